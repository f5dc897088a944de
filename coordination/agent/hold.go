package agent

import (
	"context"
	"errors"
	"fmt"
	"os"
	"slices"
	"strconv"
	"time"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

const (
	// holdWait is how long the worker may wait for an end before it answers. The
	// platform allows 2 s. A shorter wait renews leases and updates checkpoints more
	// often, and the calls are cheap because they stay on the worker's machine.
	holdWait = time.Second
	// endsPollInterval is the delay before a hold while ends wait to be recorded and
	// no new acknowledgement can be sent, or while a result can't be stored. The worker
	// answers at once as long as it lists any ends, so holds without this delay would be
	// a busy loop.
	endsPollInterval = 200 * time.Millisecond
	// callTimeout bounds a call, in addition to the time that the worker may wait.
	callTimeout = 500 * time.Millisecond
	// retryDelay is the delay after a failed call.
	retryDelay = 150 * time.Millisecond
	// maxClockDrift is the fraction by which a worker's clock may be slow, by the platform's
	// protocol. lapseMargin is added to the time after which a lease counts as lapsed.
	maxClockDrift = 0.02
	lapseMargin   = 500 * time.Millisecond
)

// holdOnce makes one hold call. If no worker is known, no fencing token has arrived yet
// or the worker is gone, it waits for a change instead. A deregistered worker is called
// even without a fencing token, to detect that it is gone.
func (a *Agent) holdOnce(ctx context.Context) {
	a.mu.Lock()
	wake := a.holdWake
	inc := a.heartbeat.Incarnation
	if inc == nil || a.state.fence == 0 && !a.deregistered || a.gone {
		a.mu.Unlock()
		pause.ForOrWake(ctx, wake, time.Minute)
		return
	}
	r := HoldRequest{
		CallHeader: callHeader(inc, a.state.fence),
		Until:      a.leaseUntilLocked(), RecordedEnd: a.endToDiscardLocked(), Wait: holdWait,
	}
	endsPending := (a.state.endsMissing || len(a.state.ended) > 0) && r.RecordedEnd == 0
	// The worker is to answer at once to confirm a new fencing token, or to show
	// whether it answers again.
	immediate := a.state.confirmedFence != a.state.fence || a.state.holdFailed
	a.mu.Unlock()
	if endsPending {
		pause.ForOrWake(ctx, wake, endsPollInterval)
	}
	if endsPending || immediate {
		r.Wait = 0
	}
	if endsPending {
		a.mu.Lock()
		r.RecordedEnd, r.Until, r.Fence = a.endToDiscardLocked(), a.leaseUntilLocked(), a.state.fence
		replaced := !agentrpc.SameLife(a.heartbeat.Incarnation, inc)
		a.mu.Unlock()
		if replaced || ctx.Err() != nil {
			return
		}
	}
	if !a.hold(ctx, inc, r) {
		pause.For(ctx, retryDelay)
	}
}

// leaseUntilLocked returns the lease end to request: the maximum that the worker
// grants, but at most the planner's cap. It returns 0, which extends no lease, if the leases must
// lapse, or if the worker's clock is unknown or the last hold failed: the worker may have been
// restarted under the same ID, which restarts its clock. A lease end on the former
// clock can be far in the future on the new one, so that each call that arrives would
// extend the lease, beyond the time after which the planner considers it lapsed.
func (a *Agent) leaseUntilLocked() WorkerTime {
	if a.state.clock == 0 || a.state.holdFailed || a.state.capPassed || a.awaitsLapseLocked() {
		return 0
	}
	return min(a.state.clock+WorkerTime(a.cfg.LeaseMax.Milliseconds()), a.state.leaseCap)
}

// endToDiscardLocked returns the number of the last end that the worker is to discard: of the ends in
// its last list, the last one that is recorded, or 0 if none is. A hold without an answer may be
// carried out seconds later, so that the number is sent only until the end is no longer listed.
func (a *Agent) endToDiscardLocked() int64 {
	last := int64(0)
	if a.state.holdFailed {
		return last
	}
	for _, e := range a.state.ended {
		if e.GetNumber() <= a.state.recordedEnd {
			last = max(last, e.GetNumber())
		}
	}
	return last
}

// hold makes one hold call and records the reply. It returns false if this
// incarnation of the worker did not answer, unless a newer one has registered.
func (a *Agent) hold(ctx context.Context, inc *agentrpc.Life, r HoldRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+callTimeout)
	defer cancel()
	sent := time.Now()
	a.mu.Lock()
	a.state.holdSeq++
	seq := a.state.holdSeq
	if r.Until > 0 {
		a.state.lastGrantSentAt = sent
	}
	a.mu.Unlock()
	reply, err := a.worker.Hold(ctx, r)
	listedEnds := len(reply.Ended)
	if err == nil {
		reply.Ended = a.storeResults(ctx, reply.Ended)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !agentrpc.SameLife(a.heartbeat.Incarnation, inc) {
		return true
	}
	if err != nil && r.Until > 0 {
		a.recordUnansweredGrantLocked(r.Fence, sent, err)
	}
	if err != nil && seq < a.state.answeredHoldSeq {
		// The worker has answered a later hold.
		return true
	}
	a.state.holdFailed = err != nil
	a.cfg.Metrics.GetOrCreateCounter(`medlargrade_lease_renewals_total{answered="` + strconv.FormatBool(err == nil) + `"}`).Inc()
	if err != nil {
		silent := ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded)
		if errors.Is(err, ErrOtherIncarnation) {
			a.recordOtherAnswerLocked(err)
		} else if !a.state.failingSince.IsZero() && !silent {
			a.state.failedAgain = true
		}
		a.recordFailedHoldLocked(errors.Is(err, ErrNotListening), silent)
		// A refused connection alone shows nothing: whoever cuts the worker off may refuse connections
		// in its place, and a worker whose notice got no answer goes on for some seconds.
		if a.deregistered && !a.gone && (errors.Is(err, ErrNotListening) && a.runsNothingLocked() || a.leasesLapsedLocked()) {
			a.gone = true
			a.log.Info().Int("Event", EventWorkerGone).Str("Worker", inc.GetWorker()).Err(err).Msg("deregistered worker no longer answers")
			a.bumpRevisionLocked()
		}
		return false
	}
	if reply.Born != 0 && reply.Born != inc.GetBorn() {
		a.state.holdFailed = true
		a.recordFailedHoldLocked(false, false)
		a.recordOtherAnswerLocked(fmt.Errorf("born %d", reply.Born))
		return false
	}
	a.state.failingSince, a.state.notListening, a.state.otherAnswers, a.state.crashedRuns = time.Time{}, false, false, nil
	a.state.failedAgain = false
	a.state.recordClock(reply.Clock)
	if seq < a.state.answeredHoldSeq {
		// The lists may be older than those of the later hold that was answered before.
		return true
	}
	a.state.answeredHoldSeq, a.state.answeredHoldSentAt = seq, sent
	// A planner that waits for lists under its token must hear of them at once, also if they
	// are the same as before.
	changed := r.Fence > a.state.confirmedFence
	if changed {
		a.settleGrantsLocked(reply.Clock)
	}
	changed = a.endLapseLocked() || changed
	a.state.confirmedFence = max(a.state.confirmedFence, r.Fence)
	changed = changed || !a.state.runsKnown || !sameRuns(a.state.running, reply.Running) || !sameEnds(a.state.ended, reply.Ended)
	a.state.runsKnown = true
	a.state.endsMissing = reply.MoreEnds || len(reply.Ended) < listedEnds
	if !a.state.endsMissing {
		// A list without some of the ends does not show whether a run has ended.
		changed = changed || a.state.notifyAtHoldSeq > a.state.listHoldSeq && a.state.notifyAtHoldSeq <= seq
		a.state.listHoldSeq = seq
	}
	a.state.running, a.state.ended = reply.Running, reply.Ended
	if listedEnds == 0 {
		// Later ends come after the fencing token that makes earlier calls ineffective.
		a.state.uncertainEnds = false
	}
	a.state.recordRunsLocked(reply.Running, sent)
	for _, s := range reply.Running {
		delete(a.state.unknownStarts, runKey{s.GetTask(), s.GetRun()})
	}
	if changed {
		a.bumpRevisionLocked()
	}
	return true
}

// recordOtherAnswerLocked records that another incarnation than the registered one has answered, as err
// says. The worker has started again; its next heartbeat registers the new incarnation.
func (a *Agent) recordOtherAnswerLocked(err error) {
	if a.state.otherAnswers {
		return
	}
	a.state.otherAnswers = true
	a.log.Info().Int("Event", EventOtherAnswers).Str("Worker", a.heartbeat.Incarnation.GetWorker()).
		Int64("Born", a.heartbeat.Incarnation.GetBorn()).Err(err).Msg("another incarnation of the worker answers")
}

// confirmTokens makes a hold whenever a new fencing token arrives, until ctx ends. The hold of
// Run that is in progress then carries the old token, and the worker may wait with its answer
// for holdWait.
func (a *Agent) confirmTokens(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.tokenWake:
		}
		a.mu.Lock()
		callable := a.heartbeat.Incarnation != nil && !a.gone
		a.mu.Unlock()
		if callable {
			a.holdNow(ctx)
		}
	}
}

// holdNow makes one hold call that the worker answers at once, beside the one that Run may have
// in progress.
func (a *Agent) holdNow(ctx context.Context) {
	a.mu.Lock()
	inc := a.heartbeat.Incarnation
	r := HoldRequest{
		CallHeader: callHeader(inc, a.state.fence), Until: a.leaseUntilLocked(), RecordedEnd: a.endToDiscardLocked(),
	}
	a.mu.Unlock()
	a.hold(ctx, inc, r)
}

// runsNothingLocked reports whether the worker has listed that nothing runs, under the fencing token
// in force, and nothing may have been started since.
func (a *Agent) runsNothingLocked() bool {
	return a.state.listHoldSeq > 0 && a.state.confirmedFence == a.state.fence && len(a.state.runStarts) == 0 && len(a.state.unknownStarts) == 0
}

// leasesLapsedLocked reports whether all leases on the worker have certainly lapsed, whether
// or not it still runs.
func (a *Agent) leasesLapsedLocked() bool {
	return time.Since(a.state.answeredHoldSentAt) > a.lapseTime() && time.Since(a.state.lastGrantSentAt) > a.lapseTime()
}

// sameRuns reports whether two lists name the same runs. Progress of a run does not
// count as a change: watchers get it with the next change or at the end of their wait.
func sameRuns(x, y []*agentrpc.RunStatus) bool {
	return slices.EqualFunc(x, y, func(x, y *agentrpc.RunStatus) bool {
		return x.GetTask() == y.GetTask() && x.GetRun() == y.GetRun()
	})
}

func sameEnds(x, y []*agentrpc.RunEnd) bool {
	return slices.EqualFunc(x, y, func(x, y *agentrpc.RunEnd) bool { return x.GetNumber() == y.GetNumber() })
}
