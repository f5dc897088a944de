package planner

import (
	"fmt"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

const (
	// startCrashTime is the longest time from the start of a task to the crash of its worker
	// after which the task is suspected of having caused it.
	startCrashTime = time.Second
	// suspectProbation is how long a suspect's worker gets no other work. It exceeds
	// startCrashTime by the time that it takes to learn of a crash: an agent repeats a failed
	// call after 150 ms.
	suspectProbation = startCrashTime + 500*time.Millisecond
	// maxStartCrashes is the number of crashes soon after its start for which a task is given
	// up, and maxCrashes that of all crashes under it within crashMemory. Tasks that run beside
	// the cause of a crash, or on faulty workers, rarely have two of the former.
	maxStartCrashes = 2
	maxCrashes      = 4
	crashMemory     = time.Hour
	// maxKnownCrashes is how many crashes of a target's worker are kept to recognise
	// repetitions. It exceeds the number in a reply of an agent.
	maxKnownCrashes = 8
)

// crash is the unannounced end of a worker that ran a task, or may have run it.
type crash struct {
	worker string // the worker's ID
	born   int64  // identifies the incarnation together with worker
	at     time.Time
	// atStart is set if the worker is known to have run the task, for at most startCrashTime,
	// and nothing else explains the crash.
	atStart bool
}

// sameCrash reports whether two crashes are that of the same incarnation.
func sameCrash(x, y crash) bool { return x.worker == y.worker && x.born == y.born }

// recordCrashes records the crashes of a target's worker that a report has for the first time,
// and gives up the jobs of the tasks that have caused too many.
func (p *Planner) recordCrashes(t *target, in *agentrpc.WatchReply, now time.Time) {
	for _, c := range in.GetCrashes() {
		former := job.Incarnation{Target: t.name, Worker: c.GetLife().GetWorker(), Born: c.GetLife().GetBorn()}
		if slices.Contains(t.crashes, former) {
			continue
		}
		t.crashes = append(t.crashes, former)
		t.crashes = t.crashes[max(len(t.crashes)-maxKnownCrashes, 0):]
		ago := time.Duration(c.GetAgoMillis()) * time.Millisecond
		p.log.Warn().Int("Event", EventWorkerCrash).Str("Target", t.name).Str("Worker", former.Worker).Int64("Born", former.Born).
			Dur("Ago", ago).Int("Runs", len(c.GetRuns())).Msg("worker crashed")
		var tasks []*task
		for _, r := range c.GetRuns() {
			age := time.Duration(r.GetAgeMillis()) * time.Millisecond
			x := crash{former.Worker, former.Born, now.Add(-ago), r.GetConfirmed() && age <= startCrashTime}
			if k := p.taskNamed(r.GetTask()); k != nil && p.addCrash(k, x, now) {
				tasks = append(tasks, k)
				p.log.Info().Int("Event", EventRunCrashed).Str("Task", k.name).Int64("Run", r.GetRun()).Str("Target", t.name).
					Str("Worker", former.Worker).Int64("AgeMillis", r.GetAgeMillis()).Bool("Confirmed", r.GetConfirmed()).
					Int("Crashes", len(k.crashes)).Msg("worker crashed with the run")
			}
		}
		for _, k := range tasks {
			if k.causesCrashes(now) && !k.step.occ.state.Final() {
				p.giveUp(k, now)
			}
		}
	}
}

// addCrash adds a crash to those of a task, and forgets the ones that are older than
// crashMemory. It does nothing and returns false if the crash is known or the task has ended.
func (p *Planner) addCrash(k *task, x crash, now time.Time) bool {
	if k.done || k.step.occ.state.Final() || slices.ContainsFunc(k.crashes, func(y crash) bool { return sameCrash(x, y) }) {
		return false
	}
	k.crashes = slices.DeleteFunc(k.crashes, func(y crash) bool { return now.Sub(y.at) > crashMemory })
	k.crashes = append(k.crashes, x)
	if x.atStart {
		p.suspects[k] = struct{}{}
	}
	p.markDirty(k.step.occ)
	return true
}

// startCrashes returns the number of crashes that are suspected to be caused by the task.
func (k *task) startCrashes() int {
	n := 0
	for _, x := range k.crashes {
		if x.atStart {
			n++
		}
	}
	return n
}

// causesCrashes reports whether the task has caused so many crashes that it must not be
// started again.
func (k *task) causesCrashes(now time.Time) bool {
	n := 0
	for _, x := range k.crashes {
		if now.Sub(x.at) <= crashMemory {
			n++
		}
	}
	return k.startCrashes() >= maxStartCrashes || n >= maxCrashes
}

// giveUp ends the job of a task that crashes its workers as failed, with all its occurrences:
// each would crash workers again. The crashes of the task are then explained for the other
// tasks that were on the workers.
func (p *Planner) giveUp(k *task, now time.Time) {
	js := k.step.occ.job
	js.givenUp = true
	k.err = fmt.Sprintf("%d workers crashed while they ran this task", len(k.crashes))
	p.log.Warn().Int("Event", EventJobGivenUp).Str("Job", js.job.ID).Str("Task", k.name).Int("Crashes", len(k.crashes)).
		Int("StartCrashes", k.startCrashes()).Msg("job given up, because workers crash that run a task of it")
	p.count(`medlargrade_jobs_given_up_total`)
	p.failOccurrences(js, now)
	for other := range p.suspects {
		if other.step.occ.job != js {
			p.clearCrashes(other, k.crashes)
		}
	}
}

// failOccurrences ends the occurrences of a job as failed.
func (p *Planner) failOccurrences(js *jobState, now time.Time) {
	for _, o := range js.occurrences {
		if !o.state.Final() {
			p.finishOccurrence(o, job.Failed, now)
		}
	}
}

// clearCrashes records that crashes of a task are explained by something else.
func (p *Planner) clearCrashes(k *task, explained []crash) {
	for i, x := range k.crashes {
		if x.atStart && slices.ContainsFunc(explained, func(y crash) bool { return sameCrash(x, y) }) {
			k.crashes[i].atStart = false
			p.markDirty(k.step.occ)
		}
	}
	if k.startCrashes() == 0 {
		delete(p.suspects, k)
	}
}

// forgetCrashes forgets the crashes of an occurrence's tasks that the tasks are not suspected
// of, which leaves more space in the row. It reports whether there were any.
func (p *Planner) forgetCrashes(o *occurrence) bool {
	forgotten := false
	for _, s := range o.steps {
		for _, k := range s.tasks {
			n := len(k.crashes)
			if k.crashes = slices.DeleteFunc(k.crashes, func(x crash) bool { return !x.atStart }); len(k.crashes) < n {
				forgotten = true
				p.markDirty(o)
			}
		}
	}
	return forgotten
}

// checkSuspects clears the suspects of which a run has lasted for longer than startCrashTime,
// and isolates the others that run.
func (p *Planner) checkSuspects(now time.Time) {
	clear(p.isolated)
	for k := range p.suspects {
		if k.done || k.step.occ.state.Final() {
			delete(p.suspects, k)
			continue
		}
		// Only a list shows that a run has lasted: a worker that has crashed keeps its runs
		// until its next incarnation registers.
		if slices.ContainsFunc(k.runs, func(r *run) bool { return r.lastListedAt.Sub(r.confirmedAt) > startCrashTime }) {
			p.clearCrashes(k, k.crashes)
			continue
		}
		for _, r := range k.runs {
			if r.confirmedAt.IsZero() || now.Sub(r.confirmedAt) <= suspectProbation {
				p.isolate(k, p.targetNamed(r.incarnation.Target))
			}
		}
	}
}

// isolate keeps other work away from a target on which a suspect is started, until the next
// call of checkSuspects.
func (p *Planner) isolate(k *task, t *target) { p.isolated[t] = k.step.occ.job }

// isSuspect reports whether a task is suspected of having crashed a worker.
func (p *Planner) isSuspect(k *task) bool {
	_, ok := p.suspects[k]
	return ok
}

// withoutIsolated returns the targets that isolation leaves to a unit. Suspects of one job
// share a target, so that they crash no more than one worker at a time; members of a gang
// can't wait for each other, so that only other work is kept away from theirs.
func (p *Planner) withoutIsolated(u unit, s *eligibleTargets) *eligibleTargets {
	js := u.step.occ.job
	suspected := slices.ContainsFunc(u.tasks, p.isSuspect)
	hasTarget := false // a suspect of the job is being started somewhere
	for _, other := range p.isolated {
		hasTarget = hasTarget || other == js
	}
	excluded := func(t *target) bool {
		switch isolatedFor := p.isolated[t]; {
		case !suspected:
			return isolatedFor != nil
		case hasTarget && !u.step.spec.Gang:
			return isolatedFor != js
		default:
			return isolatedFor != nil && isolatedFor != js
		}
	}
	if !slices.ContainsFunc(s.targets, excluded) {
		return s
	}
	return newEligibleTargets(slices.DeleteFunc(slices.Clone(s.targets), excluded))
}

// taskNamed returns the task with a name, or nil if there is none.
func (p *Planner) taskNamed(name string) *task {
	n, err := job.ParseTaskName(name)
	if err != nil {
		return nil
	}
	js := p.jobs[n.Job]
	if js == nil || n.Occurrence >= len(js.occurrences) {
		return nil
	}
	o := js.occurrences[n.Occurrence]
	if n.Step >= len(o.steps) || n.Index >= len(o.steps[n.Step].tasks) {
		return nil
	}
	return o.steps[n.Step].tasks[n.Index]
}

// recordedCrashes returns the task's crashes as they are recorded in the row.
func (k *task) recordedCrashes() []job.Crash {
	var out []job.Crash
	for _, x := range k.crashes {
		out = append(out, job.Crash{Worker: x.worker, Born: x.born, AfterMillis: k.step.occ.sinceAcceptance(x.at), AtStart: x.atStart})
	}
	return out
}

// restoreCrashes sets the task's crashes from the row. The job has been given up if they are
// why its occurrence failed.
func (p *Planner) restoreCrashes(k *task, recorded []job.Crash) {
	o := k.step.occ
	for _, x := range recorded {
		at := o.job.acceptedAt.Add(time.Duration(x.AfterMillis) * time.Millisecond)
		k.crashes = append(k.crashes, crash{x.Worker, x.Born, at, x.AtStart})
	}
	switch {
	case o.state == job.Failed && k.causesCrashes(o.finalAt):
		o.job.givenUp = true
	case !k.done && !o.state.Final() && k.startCrashes() > 0:
		p.suspects[k] = struct{}{}
	}
}
