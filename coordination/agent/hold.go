package agent

import (
	"context"
	"slices"
	"strconv"
	"time"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

const (
	// holdWait is how long the worker may wait for an end before it answers. The
	// platform allows 2 s; a shorter wait renews the lease and refreshes
	// checkpoints more often. Calls from the worker's own machine cost nothing.
	holdWait = time.Second
	// holdPause is the pause between two looks while ends wait to be recorded: the
	// worker answers at once as long as it has any.
	holdPause = 200 * time.Millisecond
	// callTimeout bounds a call beyond the time that the worker may wait.
	callTimeout = 500 * time.Millisecond
	// retryPause is the pause after a failed call.
	retryPause = 150 * time.Millisecond
)

// holdOnce makes one call to the worker, or waits until there is a reason for one.
func (a *Agent) holdOnce(ctx context.Context) {
	a.mu.Lock()
	wake := a.lease
	life := a.info.Life
	if life == nil || a.life.fence == 0 && !a.left || a.gone {
		a.mu.Unlock()
		pause.Until(ctx, wake, time.Minute)
		return
	}
	r := HoldRequest{
		Call:  Call{Worker: life.GetWorker(), Fence: a.life.fence},
		Until: a.untilLocked(), Seen: a.life.seen, Wait: holdWait,
	}
	// The worker answers at once as long as it lists ends, so the next look waits.
	pending := a.life.unstored || len(a.life.ended) > 0 && a.life.seen == a.life.seenSent
	fresh := a.life.confirmed != a.life.fence || a.life.failing
	a.mu.Unlock()
	if pending {
		pause.Until(ctx, wake, holdPause)
	}
	if pending || fresh {
		r.Wait = 0
	}
	if pending {
		a.mu.Lock()
		r.Seen, r.Until, r.Fence = a.life.seen, a.untilLocked(), a.life.fence
		stale := !agentrpc.SameLife(a.info.Life, life)
		a.mu.Unlock()
		if stale || ctx.Err() != nil {
			return
		}
	}
	if !a.hold(ctx, life, r) {
		pause.For(ctx, retryPause)
	}
}

// untilLocked returns the end of the lease to ask for: as long as the worker
// grants, but not beyond the planner's cap. A worker that does not answer may have
// been started again under its ID. Its clock then starts anew, and a time of the
// former clock would extend the lease each time it arrives, so none is sent.
func (a *Agent) untilLocked() Clock {
	if a.life.clock == 0 || a.life.failing {
		return 0
	}
	return min(a.life.clock+Clock(a.cfg.HoldMax.Milliseconds()), a.life.cap)
}

// hold makes one call and takes its answer. It reports whether there was one.
func (a *Agent) hold(ctx context.Context, life *agentrpc.Life, r HoldRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, r.Wait+callTimeout)
	defer cancel()
	sent := time.Now()
	a.mu.Lock()
	a.life.look++
	look := a.life.look
	if r.Until > 0 {
		a.life.granted = sent
	}
	a.mu.Unlock()
	reply, err := a.worker.Hold(ctx, r)
	listed := len(reply.Ended)
	if err == nil {
		reply.Ended = a.storeResults(ctx, reply.Ended)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if !agentrpc.SameLife(a.info.Life, life) {
		return true
	}
	a.life.failing = err != nil
	a.cfg.Metrics.GetOrCreateCounter(`medlargrade_lease_renewals_total{answered="` + strconv.FormatBool(err == nil) + `"}`).Inc()
	if err != nil {
		if a.left && !a.gone {
			a.gone = true
			a.log.Info().Int("Event", EventWorkerGone).Str("Worker", life.GetWorker()).Err(err).Msg("the worker that left no longer answers")
			a.bumpLocked()
		}
		return false
	}
	if reply.Born != 0 && reply.Born != life.GetBorn() {
		// The worker has been started again under its ID; its report follows.
		a.life.failing = true
		return false
	}
	a.life.clock = max(a.life.clock, reply.Clock)
	a.life.answered = sent
	a.life.confirmed = max(a.life.confirmed, r.Fence)
	a.life.seenSent = max(a.life.seenSent, r.Seen)
	changed := !a.life.listed || !sameRuns(a.life.running, reply.Running) || !sameEnds(a.life.ended, reply.Ended)
	a.life.listed = true
	if a.life.announce > a.life.listLook && a.life.announce <= look {
		changed = true
	}
	a.life.listLook = look
	a.life.unstored = len(reply.Ended) < listed
	a.life.running, a.life.ended = reply.Running, reply.Ended
	for _, s := range reply.Running {
		delete(a.life.doubt, runKey{s.GetTask(), s.GetRun()})
	}
	if changed {
		a.bumpLocked()
	}
	return true
}

// sameRuns reports whether two lists name the same runs. Progress of a run is not
// a change: watchers get it with the next one or at the end of their wait.
func sameRuns(x, y []*agentrpc.RunStatus) bool {
	return slices.EqualFunc(x, y, func(x, y *agentrpc.RunStatus) bool {
		return x.GetTask() == y.GetTask() && x.GetRun() == y.GetRun()
	})
}

func sameEnds(x, y []*agentrpc.RunEnd) bool {
	return slices.EqualFunc(x, y, func(x, y *agentrpc.RunEnd) bool { return x.GetNumber() == y.GetNumber() })
}
