package agent

import (
	"context"
	"time"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// maxWatchWait bounds the wait of a Watch.
const maxWatchWait = 5 * time.Second

// Watch implements agentrpc.DRPCAgentServer.
func (a *Agent) Watch(ctx context.Context, in *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
	a.mu.Lock()
	if !a.acceptEpochLocked(in.GetEpoch(), in.GetPlanner()) {
		defer a.mu.Unlock()
		return &agentrpc.WatchReply{Refused: true, Epoch: a.epoch}, nil
	}
	a.unconfirmed = time.Duration(in.GetUnconfirmedMillis()) * time.Millisecond
	a.applyWatchLocked(in)
	if in.GetBoot() == a.boot && in.GetRevision() != 0 {
		a.answerSeenAt = time.Now()
	}
	a.activeWatches++
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.activeWatches--
		a.lastContact = time.Now()
	}()

	wait := time.NewTimer(min(time.Duration(in.GetWaitMillis())*time.Millisecond, maxWatchWait))
	defer wait.Stop()
	for in.GetBoot() == a.boot && in.GetRevision() == a.state.revision && in.GetWaitMillis() > 0 {
		changed := a.changed
		a.mu.Unlock()
		expired := false
		select {
		case <-changed:
		case <-wait.C:
			expired = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		a.mu.Lock()
		if a.epoch > in.GetEpoch() {
			defer a.mu.Unlock()
			return &agentrpc.WatchReply{Refused: true, Epoch: a.epoch}, nil
		}
		if expired {
			break
		}
	}
	defer a.mu.Unlock()
	return a.watchReplyLocked(), nil
}

// acceptEpochLocked reports whether no higher epoch has been seen. If so, it records
// the epoch, the planner and the time of the call.
func (a *Agent) acceptEpochLocked(epoch uint64, planner string) bool {
	if epoch < a.epoch {
		return false
	}
	if epoch > a.epoch || planner != a.planner {
		a.log.Info().Int("Event", EventPlannerChanged).Uint64("Epoch", epoch).Str("Planner", planner).Msg("planner changed")
	}
	a.epoch, a.planner = epoch, planner
	a.lastContact = time.Now()
	return true
}

// applyWatchLocked applies the fencing token of a request and, if the request names the
// current incarnation of the worker, the last recorded end and the lease cap.
func (a *Agent) applyWatchLocked(in *agentrpc.WatchRequest) {
	wake := false
	if in.GetFence() > a.state.fence {
		if a.state.fence == 0 {
			// Before the first fencing token, hold calls are made only to a deregistered
			// worker, so the time without an answer starts now.
			a.state.answeredHoldSentAt, a.state.lastGrantSentAt = time.Now(), time.Now()
		}
		a.state.fence = in.GetFence()
		wake = true
		select {
		case a.tokenWake <- struct{}{}:
		default:
		}
	}
	if agentrpc.SameLife(in.GetLife(), a.heartbeat.Incarnation) {
		if in.GetSeenEnd() > a.state.recordedEnd {
			a.state.recordedEnd = in.GetSeenEnd()
			wake = true
		}
		if a.state.fence > a.state.confirmedFence && a.state.leaseCap != 0 && a.leaseLeftLocked() <= 0 && a.hasUncertainGrantLocked() {
			a.state.capPassed = true
		}
		a.state.leaseCap = max(a.state.leaseCap, WorkerTime(in.GetLeaseCapMillis()))
		if in.GetAwaitLapse() {
			a.handleUncertainEndsLocked()
		}
	}
	if wake {
		a.wakeHoldLocked()
	}
}

func (a *Agent) watchReplyLocked() *agentrpc.WatchReply {
	out := &agentrpc.WatchReply{Epoch: a.epoch, Boot: a.boot, Revision: a.state.revision}
	if a.heartbeat.Incarnation == nil {
		// This agent has made no call to a worker, and a former one in its place has made none
		// since this one was started.
		out.SilentMillis = time.Since(a.startedAt).Milliseconds()
		out.UngrantedMillis = out.SilentMillis
		return out
	}
	h := a.heartbeat
	out.Worker = &agentrpc.Worker{
		Life: h.Incarnation, Pool: h.Pool, DataCentre: h.DataCentre, Machine: h.Machine, Cpu: h.CPU, MemoryMb: h.MemoryMB,
		Accelerators: h.Accelerators, Labels: h.Labels, Rack: h.Rack, Draining: h.Draining,
		RemainingMillis: max(h.Remaining-time.Since(a.heartbeatReceivedAt), 0).Milliseconds(), ClockMillis: int64(a.state.clock), Gone: a.gone,
		ColdLeftMillis: max(h.ColdLeft-time.Since(a.heartbeatReceivedAt), 0).Milliseconds(),
	}
	// What the worker listed under an older fencing token may still be changed by
	// delayed calls with that token.
	out.Listed = a.state.runsKnown && a.state.confirmedFence == a.state.fence && !a.awaitsLapseLocked()
	out.SilentMillis = time.Since(a.state.answeredHoldSentAt).Milliseconds()
	out.UngrantedMillis = time.Since(a.state.lastGrantSentAt).Milliseconds()
	out.Crashes = a.crashReportsLocked()
	if out.Listed {
		out.Running, out.UncertainEnds = a.state.running, a.state.uncertainEnds
		if !a.state.endsMissing {
			out.Look = a.state.listHoldSeq
		}
		for _, e := range a.state.ended {
			if e.GetNumber() > a.state.recordedEnd {
				out.Ended = append(out.Ended, e)
			}
		}
	}
	return out
}
