package agent

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// The planner takes a new incarnation of the worker for the proof that the former one, with all its
// runs, is over. A heartbeat is no such proof: it may be a late one of a former incarnation, or come
// from another program. The agent therefore registers an incarnation only after the worker's address
// has answered a call that names it.

const (
	// candidateTTL is how long after its last heartbeat an incarnation that does not answer is
	// called. Workers send a heartbeat about every 1.5 s.
	candidateTTL = 5 * time.Second
	// maxCandidates bounds the incarnations that are called. One is the worker; the others are
	// refuted as soon as it answers.
	maxCandidates = 4
)

// candidate is an incarnation that is named by a heartbeat and not registered.
type candidate struct {
	heartbeat  WorkerHeartbeat // the last one; Draining is set if any has said so
	receivedAt time.Time       // when heartbeat was received
}

// identification is what a call tells about a candidate.
type identification int

const (
	unidentified identification = iota // the call got no answer that tells
	confirmed                          // the candidate is the worker
	refuted                            // another incarnation is
)

// RecordHeartbeat records a heartbeat that names an incarnation of the worker. An incarnation that
// is not the registered one is registered as soon as it answers a call of Run. RecordHeartbeat
// ignores a heartbeat that is not newer than the recorded one and returns false: heartbeats can
// arrive late, even after the worker has been restarted. An incarnation with an earlier start time is
// newer if the worker's last answer was not that of the registered one: the time of day may have
// jumped.
func (a *Agent) RecordHeartbeat(heartbeat WorkerHeartbeat) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	known := a.heartbeat
	switch {
	case !agentrpc.SameLife(heartbeat.Incarnation, known.Incarnation):
		if known.Incarnation != nil && heartbeat.Incarnation.GetBorn() < known.Incarnation.GetBorn() && !a.state.otherAnswers {
			return false
		}
		return a.addCandidateLocked(heartbeat)
	case heartbeat.Sequence <= known.Sequence:
		return false
	}
	a.applyHeartbeatLocked(heartbeat, time.Now())
	return true
}

// addCandidateLocked records the heartbeat of an incarnation that is not registered. It returns
// false if the heartbeat is not newer than the recorded one.
func (a *Agent) addCandidateLocked(heartbeat WorkerHeartbeat) bool {
	a.expireCandidatesLocked()
	c := candidate{heartbeat, time.Now()}
	if i := a.candidateIndexLocked(heartbeat.Incarnation); i >= 0 {
		former := a.candidates[i].heartbeat
		if heartbeat.Sequence <= former.Sequence {
			return false
		}
		c.heartbeat.Draining = c.heartbeat.Draining || former.Draining
		a.candidates[i] = c
		return true
	}
	a.candidates = append(a.candidates, c)
	a.candidates = slices.Delete(a.candidates, 0, max(len(a.candidates)-maxCandidates, 0))
	select {
	case a.candidateWake <- struct{}{}:
	default:
	}
	return true
}

// candidateIndexLocked returns the index of an incarnation in candidates, or -1.
func (a *Agent) candidateIndexLocked(inc *agentrpc.Life) int {
	return slices.IndexFunc(a.candidates, func(c candidate) bool { return agentrpc.SameLife(c.heartbeat.Incarnation, inc) })
}

// dropCandidatesLocked removes the candidates with an ID, which has been deregistered. If the
// notice is a late one, the next heartbeat adds the candidate again.
func (a *Agent) dropCandidatesLocked(worker string) {
	a.candidates = slices.DeleteFunc(a.candidates, func(c candidate) bool { return c.heartbeat.Incarnation.GetWorker() == worker })
}

func (a *Agent) expireCandidatesLocked() {
	a.candidates = slices.DeleteFunc(a.candidates, func(c candidate) bool { return time.Since(c.receivedAt) > candidateTTL })
}

// registerWorkers calls the candidates and registers the one that answers, until ctx ends.
func (a *Agent) registerWorkers(ctx context.Context) {
	for ctx.Err() == nil {
		a.mu.Lock()
		a.expireCandidatesLocked()
		candidates := slices.Clone(a.candidates)
		a.mu.Unlock()
		for _, c := range candidates {
			a.identify(ctx, c.heartbeat.Incarnation)
		}
		wait := retryDelay
		if len(candidates) == 0 {
			wait = time.Minute
		}
		pause.ForOrWake(ctx, a.candidateWake, wait)
	}
}

// identify calls the worker's address in the name of a candidate, and registers the candidate if it
// answers, or removes it if another incarnation does.
func (a *Agent) identify(ctx context.Context, inc *agentrpc.Life) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	a.mu.Lock()
	// Without a lease end the call extends no lease.
	r := HoldRequest{CallHeader: callHeader(inc, a.state.fence)}
	a.mu.Unlock()
	reply, err := a.worker.Hold(ctx, r)
	result := identificationOf(inc, reply, err)
	a.mu.Lock()
	defer a.mu.Unlock()
	i := a.candidateIndexLocked(inc)
	if i < 0 || result == unidentified {
		return
	}
	c := a.candidates[i]
	a.candidates = slices.Delete(a.candidates, i, i+1)
	if result == refuted {
		a.log.Warn().Int("Event", EventHeartbeatForeign).Str("Worker", inc.GetWorker()).Int64("Born", inc.GetBorn()).
			Str("Pool", c.heartbeat.Pool).Str("Known", a.heartbeat.Incarnation.GetWorker()).
			Msg("heartbeat names an incarnation that is not the worker at the worker's address")
		a.cfg.Metrics.GetOrCreateCounter(`medlargrade_foreign_heartbeats_total`).Inc()
		return
	}
	a.registerLocked(c)
	if reply.Clock > 0 {
		a.state.recordClock(reply.Clock)
	}
}

// identificationOf returns what the result of a call to an incarnation tells about it. A worker
// that has seen a higher fencing token refuses the call, which shows its ID but not its start
// time; the lists of the first hold that it answers show that.
func identificationOf(inc *agentrpc.Life, reply HoldReply, err error) identification {
	var refusal *RefusedError
	switch {
	case err == nil && reply.Born != 0 && reply.Born != inc.GetBorn(), errors.Is(err, ErrOtherIncarnation):
		return refuted
	case err == nil, errors.As(err, &refusal) && refusal.Reason == ReasonFence:
		return confirmed
	}
	return unidentified
}

// registerLocked makes a candidate the known incarnation of the worker.
func (a *Agent) registerLocked(c candidate) {
	a.recordCrashLocked()
	inc := c.heartbeat.Incarnation
	a.heartbeat, a.reportedDraining, a.deregistered, a.gone = WorkerHeartbeat{Incarnation: inc}, false, false, false
	a.state = workerState{
		unknownStarts: make(map[runKey]struct{}), revision: a.state.revision, clock: c.heartbeat.Clock, clockAt: c.receivedAt,
		answeredHoldSentAt: time.Now(), lastGrantSentAt: time.Now(),
	}
	a.log.Info().Int("Event", EventWorkerLife).Str("Worker", inc.GetWorker()).Int64("Born", inc.GetBorn()).
		Str("Pool", c.heartbeat.Pool).Msg("worker registered")
	a.applyHeartbeatLocked(c.heartbeat, c.receivedAt)
	a.bumpRevisionLocked()
}

// applyHeartbeatLocked records a heartbeat of the known incarnation.
func (a *Agent) applyHeartbeatLocked(heartbeat WorkerHeartbeat, receivedAt time.Time) {
	old := a.heartbeat
	if heartbeat.Draining && !old.Draining {
		a.log.Info().Int("Event", EventWorkerDraining).Str("Worker", heartbeat.Incarnation.GetWorker()).
			Dur("Remaining", heartbeat.Remaining).Msg("worker is draining")
	}
	a.heartbeat, a.heartbeatReceivedAt = heartbeat, receivedAt
	a.recordSignOfLifeLocked(heartbeat.Clock)
	// An incarnation that drains does not become ready again. One that has only deregistered
	// does: workers drain first, so that the notice was a late one of a former incarnation.
	a.reportedDraining = a.reportedDraining || heartbeat.Draining
	if a.deregistered && !a.reportedDraining {
		a.deregistered, a.gone = false, false
		a.log.Warn().Int("Event", EventDeregistrationVoid).Str("Worker", heartbeat.Incarnation.GetWorker()).
			Msg("worker reports that it is ready after it has deregistered")
	}
	a.heartbeat.Draining = a.reportedDraining || a.deregistered
	if a.heartbeat.Draining != old.Draining || a.heartbeat.Pool != old.Pool ||
		a.heartbeat.CPU != old.CPU || a.heartbeat.MemoryMB != old.MemoryMB || a.heartbeat.Accelerators != old.Accelerators {
		a.bumpRevisionLocked()
	}
}
