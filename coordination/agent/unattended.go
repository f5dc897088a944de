package agent

import (
	"context"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// A call without an answer may be carried out seconds later, and the lease in it may count from
// then. The planner gives up the runs of a target that it can't reach 0.7 s after the lease cap.
// What the worker acknowledges to have stopped by then can't run any more; the fencing token can't
// rule it out, since the worker does not get a new one from an agent that has none.
const (
	// contactLimit is how long after a Watch that shows that the planner receives the answers the
	// planner is in contact. A planner calls every 0.4 s, and again 1.05 s after a lost call.
	contactLimit = 2 * time.Second
	// unknownStartMargin is the time before the lease cap from which on unknown starts are stopped
	// and no run is started, while no planner is in contact: 4 s after the contact was lost. If 40 %
	// of the calls are late, one of the 60 stops until the cap is answered in time.
	unknownStartMargin = 6 * time.Second
	// runStopMargin is the time before the lease cap from which on all runs are stopped, while no
	// planner is in contact. With the 0.7 s until the planner gives the runs up, and 0.9 s for a
	// stop, there is time for 10 stops. A longer margin would end runs during a change of the planner
	// that takes 7 s: the cap is 10 s ahead of a clock that is up to 1.4 s old when contact is lost.
	runStopMargin = 1200 * time.Millisecond
	// ownStopPeriod is the time between two stops for the same run until it is acknowledged. It
	// is slowStopPeriod from slowStopsAfter after the cap on: calls are carried out up to 12 s late,
	// with leases of up to 10 s.
	ownStopPeriod  = 100 * time.Millisecond
	slowStopPeriod = 2 * time.Second
	slowStopsAfter = 22 * time.Second
)

// ownStop is the state of the stops for a run that the agent sends itself.
type ownStop struct {
	sentAt       time.Time // when the last one was sent
	acknowledged bool
}

// recordClock records the worker's clock in an answer.
func (s *workerState) recordClock(clock WorkerTime) {
	if clock >= s.clock {
		s.clock, s.clockAt = clock, time.Now()
	}
}

// isUnattendedLocked reports whether no planner is in contact: none has called lately that has
// received an answer to an earlier call.
func (a *Agent) isUnattendedLocked() bool { return time.Since(a.answerSeenAt) > contactLimit }

// leaseLeftLocked returns the time until the lease cap by the worker's clock. The worker's clock
// is not ahead of the estimate by more than the time that an answer takes.
func (a *Agent) leaseLeftLocked() time.Duration {
	return time.Duration(a.state.leaseCap-a.state.clock)*time.Millisecond - time.Since(a.state.clockAt)
}

// stopUnattendedRuns stops starts with an unknown outcome, and runs that may outlive the lease
// cap, while no planner is in contact. It returns once ctx is done and all calls have ended.
func (a *Agent) stopUnattendedRuns(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	for pause.For(ctx, ownStopPeriod) {
		inc, fence, due := a.dueOwnStops()
		for _, key := range due {
			wg.Go(func() {
				a.sendOwnStop(ctx, inc, StopRequest{CallHeader: callHeader(inc, fence), Task: key.task, Run: key.run})
			})
		}
	}
}

// dueOwnStops returns the runs for which a stop is to be sent now, with the incarnation that has
// them and the fencing token.
func (a *Agent) dueOwnStops() (inc *agentrpc.Life, fence int64, due []runKey) {
	a.mu.Lock()
	defer a.mu.Unlock()
	left := a.leaseLeftLocked()
	lapsing := a.awaitsLapseLocked()
	if a.heartbeat.Incarnation == nil || a.gone || a.state.leaseCap == 0 || !lapsing && (left > unknownStartMargin || !a.isUnattendedLocked()) {
		a.state.ownStops = nil
		return nil, 0, nil
	}
	period := ownStopPeriod
	if left < -slowStopsAfter {
		period = slowStopPeriod
	}
	if a.state.ownStops == nil {
		a.state.ownStops = make(map[runKey]*ownStop)
	}
	add := func(key runKey, unknown bool) {
		s := a.state.ownStops[key]
		if s == nil {
			s = &ownStop{}
			a.state.ownStops[key] = s
			a.log.Warn().Int("Event", EventOwnStop).Str("Task", key.task).Int64("Run", key.run).Bool("Unknown", unknown).
				Dur("Left", left).Bool("Lapsing", lapsing).Msg("the agent stops the run itself")
			a.cfg.Metrics.GetOrCreateCounter(`medlargrade_own_stops_total`).Inc()
		}
		if !s.acknowledged && time.Since(s.sentAt) >= period {
			s.sentAt = time.Now()
			due = append(due, key)
		}
	}
	for key := range a.state.unknownStarts {
		add(key, true)
	}
	if left <= runStopMargin || lapsing {
		for key := range a.state.runStarts {
			add(key, false)
		}
	}
	return a.heartbeat.Incarnation, a.state.fence, due
}

// sendOwnStop sends one stop for a run. Its start can't happen any more once the worker has
// acknowledged the stop.
func (a *Agent) sendOwnStop(ctx context.Context, inc *agentrpc.Life, r StopRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	clock, err := a.worker.Stop(ctx, r)
	if err != nil {
		return
	}
	a.recordClock(inc, clock)
	a.mu.Lock()
	defer a.mu.Unlock()
	if !agentrpc.SameLife(a.heartbeat.Incarnation, inc) {
		return
	}
	key := runKey{r.Task, r.Run}
	delete(a.state.unknownStarts, key)
	if s := a.state.ownStops[key]; s != nil && !s.acknowledged {
		s.acknowledged = true
		a.log.Info().Int("Event", EventOwnStopAcknowledged).Str("Task", key.task).Int64("Run", key.run).Send()
	}
}
