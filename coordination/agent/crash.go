package agent

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

const (
	// crashReportTime is how long a crash is part of the replies to the planner. A planner
	// may be lost before it has recorded the crash; its successor needs a few seconds to
	// read the rows.
	crashReportTime = 30 * time.Second
	// maxReportedCrashes bounds the crashes in a reply.
	maxReportedCrashes = 4
)

// crash is the end of an incarnation of the worker that had not announced it.
type crash struct {
	incarnation *agentrpc.Life
	at          time.Time
	runs        []*agentrpc.CrashedRun
}

// recordRunsLocked updates runStarts after the answer to a hold that was sent at the given
// time. The answer says nothing of runs that were started after it was sent.
func (s *workerState) recordRunsLocked(running []*agentrpc.RunStatus, sent time.Time) {
	listed := make(map[runKey]struct{}, len(running))
	for _, r := range running {
		key := runKey{r.GetTask(), r.GetRun()}
		listed[key] = struct{}{}
		s.recordStartLocked(key)
	}
	for key, at := range s.runStarts {
		if _, ok := listed[key]; !ok && at.Before(sent) {
			delete(s.runStarts, key)
		}
	}
}

// recordStartLocked records that the worker runs a run.
func (s *workerState) recordStartLocked(key runKey) {
	if s.runStarts == nil {
		s.runStarts = make(map[runKey]time.Time)
	}
	if _, ok := s.runStarts[key]; !ok {
		s.runStarts[key] = time.Now()
	}
}

// recordFailedHoldLocked records a hold that got no answer; silent is set if its time was over. Watchers
// are notified if the worker's address has no listener, so that nothing is placed there before it answers
// again. That ends no run: only the next incarnation, or the lapse of the leases, shows that the worker
// has ended.
func (a *Agent) recordFailedHoldLocked(notListening, silent bool) {
	if a.state.failingSince.IsZero() {
		a.state.failingSince, a.state.silent = time.Now(), silent
	}
	if !notListening || a.state.notListening {
		return
	}
	a.state.notListening, a.state.runsKnown = true, false
	a.state.refusedAt = a.state.clock + WorkerTime(time.Since(a.state.answeredHoldSentAt).Milliseconds())
	a.state.crashedRuns = a.runsAtCrashLocked()
	a.log.Info().Int("Event", EventWorkerDown).Str("Worker", a.heartbeat.Incarnation.GetWorker()).
		Int("Runs", len(a.state.crashedRuns)).Msg("the worker's address has no listener")
	a.bumpRevisionLocked()
}

// recordSignOfLifeLocked records a heartbeat that the worker has sent at the given time on its clock.
// If its address refused connections before that, the worker has not crashed then, and the tasks that
// it ran are not suspected.
func (a *Agent) recordSignOfLifeLocked(clock WorkerTime) {
	if a.state.notListening && clock > a.state.refusedAt {
		a.state.notListening, a.state.crashedRuns, a.state.failingSince = false, nil, time.Time{}
	}
}

// runsAtCrashLocked returns what the worker may have run when its calls began to fail:
// nothing if the leases have lapsed meanwhile, since the runs may have ended by that. They are
// confirmed only if calls failed when the worker ended: its address had no listener then, or broke
// connections again and again, and it was not silent before. Behind a cut, a run may be done before the
// worker ends.
func (a *Agent) runsAtCrashLocked() []*agentrpc.CrashedRun {
	if a.leasesLapsedLocked() {
		return nil
	}
	at := a.state.failingSince
	if at.IsZero() {
		at = time.Now()
	}
	confirmed := (a.state.notListening || a.state.failedAgain) && !a.state.silent
	var out []*agentrpc.CrashedRun
	for key, started := range a.state.runStarts {
		age := max(at.Sub(started), 0)
		out = append(out, &agentrpc.CrashedRun{Task: key.task, Run: key.run, AgeMillis: age.Milliseconds(), Confirmed: confirmed})
	}
	for key := range a.state.unknownStarts {
		if _, ok := a.state.runStarts[key]; !ok {
			out = append(out, &agentrpc.CrashedRun{Task: key.task, Run: key.run})
		}
	}
	slices.SortFunc(out, func(x, y *agentrpc.CrashedRun) int {
		return cmp.Or(cmp.Compare(x.GetTask(), y.GetTask()), cmp.Compare(x.GetRun(), y.GetRun()))
	})
	return out
}

// recordCrashLocked records the end of the known incarnation of the worker, which a new one
// replaces, unless it has announced its end.
func (a *Agent) recordCrashLocked() {
	if a.heartbeat.Incarnation == nil || a.heartbeat.Draining {
		return
	}
	c := crash{incarnation: a.heartbeat.Incarnation, at: a.state.failingSince, runs: a.state.crashedRuns}
	if !a.state.notListening {
		c.runs = a.runsAtCrashLocked()
	}
	if c.at.IsZero() {
		c.at = time.Now()
	}
	a.crashes = append(a.crashes, c)
	a.crashes = a.crashes[max(len(a.crashes)-maxReportedCrashes, 0):]
	a.log.Warn().Int("Event", EventWorkerCrashed).Str("Worker", c.incarnation.GetWorker()).Int64("Born", c.incarnation.GetBorn()).
		Dur("Ago", time.Since(c.at)).Int("Runs", len(c.runs)).Msg("the worker has started again without having announced its end")
	a.cfg.Metrics.GetOrCreateCounter(`medlargrade_worker_crashes_total`).Inc()
}

// crashReportsLocked returns the crashes of the last crashReportTime.
func (a *Agent) crashReportsLocked() []*agentrpc.Crash {
	a.crashes = slices.DeleteFunc(a.crashes, func(c crash) bool { return time.Since(c.at) > crashReportTime })
	var out []*agentrpc.Crash
	for _, c := range a.crashes {
		out = append(out, &agentrpc.Crash{Life: c.incarnation, AgoMillis: time.Since(c.at).Milliseconds(), Runs: c.runs})
	}
	return out
}
