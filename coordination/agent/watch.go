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
	if !a.acceptLocked(in.GetEpoch(), in.GetPlanner()) {
		defer a.mu.Unlock()
		return &agentrpc.WatchReply{Refused: true, Epoch: a.epoch}, nil
	}
	a.unconfirmed = time.Duration(in.GetUnconfirmedMillis()) * time.Millisecond
	a.takeLocked(in)
	a.watching++
	defer func() {
		a.mu.Lock()
		defer a.mu.Unlock()
		a.watching--
		a.contact = time.Now()
	}()

	wait := time.NewTimer(min(time.Duration(in.GetWaitMillis())*time.Millisecond, maxWatchWait))
	defer wait.Stop()
	for in.GetBoot() == a.boot && in.GetRevision() == a.life.revision && in.GetWaitMillis() > 0 {
		changed := a.changed
		a.mu.Unlock()
		over := false
		select {
		case <-changed:
		case <-wait.C:
			over = true
		case <-ctx.Done():
			return nil, ctx.Err()
		}
		a.mu.Lock()
		if a.epoch > in.GetEpoch() {
			defer a.mu.Unlock()
			return &agentrpc.WatchReply{Refused: true, Epoch: a.epoch}, nil
		}
		if over {
			break
		}
	}
	defer a.mu.Unlock()
	return a.replyLocked(), nil
}

// acceptLocked reports whether the epoch is the highest seen.
func (a *Agent) acceptLocked(epoch uint64, planner string) bool {
	if epoch < a.epoch {
		return false
	}
	if epoch > a.epoch || planner != a.planner {
		a.log.Info().Int("Event", EventPlannerChanged).Uint64("Epoch", epoch).Str("Planner", planner).Msg("a planner makes contact")
	}
	a.epoch, a.planner = epoch, planner
	a.contact = time.Now()
	return true
}

// takeLocked takes the fencing token and, if they are about the present life of
// the worker, the recorded ends and the cap of the lease.
func (a *Agent) takeLocked(in *agentrpc.WatchRequest) {
	wake := false
	if in.GetFence() > a.life.fence {
		if a.life.fence == 0 {
			// Without a fencing token the worker has not been asked yet, so its silence
			// begins now.
			a.life.answered, a.life.granted = time.Now(), time.Now()
		}
		a.life.fence = in.GetFence()
		wake = true
	}
	if agentrpc.SameLife(in.GetLife(), a.info.Life) {
		if in.GetSeenEnd() > a.life.seen {
			a.life.seen = in.GetSeenEnd()
			wake = true
		}
		a.life.cap = max(a.life.cap, Clock(in.GetLeaseCapMillis()))
	}
	if wake {
		a.wakeLocked()
	}
}

func (a *Agent) replyLocked() *agentrpc.WatchReply {
	out := &agentrpc.WatchReply{Epoch: a.epoch, Boot: a.boot, Revision: a.life.revision}
	if a.info.Life == nil {
		return out
	}
	i := a.info
	out.Worker = &agentrpc.Worker{
		Life: i.Life, Pool: i.Pool, DataCentre: i.DataCentre, Machine: i.Machine, Cpu: i.CPU, MemoryMb: i.MemoryMB,
		Accelerators: i.Accelerators, Labels: i.Labels, Rack: i.Rack, Draining: i.Draining,
		RemainingMillis: max(i.Remaining-time.Since(a.infoAt), 0).Milliseconds(), ClockMillis: int64(a.life.clock), Gone: a.gone,
	}
	// What the worker listed under an older fencing token may still change through
	// calls that carry that token.
	out.Listed = a.life.listed && a.life.confirmed == a.life.fence
	out.SilentMillis = time.Since(a.life.answered).Milliseconds()
	out.UngrantedMillis = time.Since(a.life.granted).Milliseconds()
	if out.Listed {
		out.Running = a.life.running
		out.Look = a.life.listLook
		for _, e := range a.life.ended {
			if e.GetNumber() > a.life.seen {
				out.Ended = append(out.Ended, e)
			}
		}
	}
	return out
}
