package executor

import (
	"context"
	"time"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/attempts"
)

const (
	// attachWait is the time that a Release waits for members whose first pulse
	// is still on its way.
	attachWait = 3 * time.Second
	// unknownPoll is the time between two looks for a gang whose Reserve has not
	// reached the hub yet while a member already pulses.
	unknownPoll = 20 * time.Millisecond
)

// Release implements targetrpc.DRPCTargetServer.
func (e *Executor) Release(ctx context.Context, r *targetrpc.ReleaseRequest) (*targetrpc.AttemptReply, error) {
	if e.ctx.Err() != nil {
		return nil, errClosed
	}
	if r.GetIncarnation() != e.incarnation {
		return e.other(r.GetAttempt()), nil
	}
	id := idOf(r.GetAttempt())
	if id.Job == "" {
		return e.notRun(r.GetAttempt(), attempts.CodeInvalid, "the attempt has no job"), nil
	}
	if code, reason := e.checkSender(r.GetGeneration(), r.GetSession()); code != attempts.CodeNone {
		return e.reply(e.table.Fence(id, code, reason)), nil
	}
	held, err := e.awaitMembers(ctx, id)
	if err != nil {
		return nil, err
	}
	st := e.table.Release(id, r.GetSession())
	if held {
		e.logRelease(id, st)
	}
	return e.await(ctx, id, millis(r.GetWaitMillis()))
}

// logRelease logs the hub's decision on a held gang.
func (e *Executor) logRelease(id attempts.ID, st attempts.Status) {
	if st.Phase == attempts.NotRun {
		e.log.Info().Int(eventField, EventGangRefused).Stringer("Attempt", id).Str("Reason", st.Reason).Msg("release of a gang refused")
		return
	}
	e.log.Info().Int(eventField, EventGangReleased).Stringer("Attempt", id).Int("Members", len(st.Members)).Msg("gang released")
}

// awaitMembers waits a while until all members of a held gang are attached. It
// reports whether the gang was held.
func (e *Executor) awaitMembers(ctx context.Context, id attempts.ID) (bool, error) {
	timer := time.NewTimer(attachWait)
	defer timer.Stop()
	for {
		st := e.table.Get(id)
		if st.Phase != attempts.Held || st.Attached(GangLease) || !st.Spec.IsHub() {
			return st.Phase == attempts.Held, nil
		}
		select {
		case <-st.Changed:
		case <-timer.C:
			return true, nil
		case <-ctx.Done():
			return true, ctx.Err()
		case <-e.ctx.Done():
			return true, errClosed
		}
	}
}

// Pulse implements targetrpc.DRPCTargetServer. It replies at once if the verdict
// differs from the one that the member has seen, otherwise at the next change or
// after PulsePoll.
func (e *Executor) Pulse(ctx context.Context, r *targetrpc.PulseRequest) (*targetrpc.PulseReply, error) {
	if e.ctx.Err() != nil {
		return nil, errClosed
	}
	e.learn(r.GetGeneration(), "")
	if r.GetHubIncarnation() != e.incarnation {
		return e.pulseReply(attempts.StopGang, true), nil
	}
	p := attempts.Pulse{
		ID:          idOf(r.GetAttempt()),
		Index:       int(r.GetIndex()),
		Incarnation: r.GetMemberIncarnation(),
		State:       attempts.MemberState(r.GetState()),
		Part:        partOf(r.GetPart()),
		Reason:      r.GetReason(),
	}
	seen := attempts.Verdict(r.GetSeen())
	poll := time.NewTimer(PulsePoll)
	defer poll.Stop()
	res := e.table.Pulse(p)
	for {
		changed := res.Changed
		switch {
		case res.Known && (res.Ended || res.Verdict != seen):
			return e.pulseReply(res.Verdict, res.Ended), nil
		case !res.Known && p.State != attempts.MemberHeld:
			// This process never gave or no longer knows the verdict Run.
			return e.pulseReply(attempts.StopGang, true), nil
		}
		var again <-chan time.Time
		if !res.Known {
			again = time.After(unknownPoll)
		}
		select {
		case <-changed:
			res = e.table.Verdict(p.ID)
		case <-again:
			res = e.table.Pulse(p)
		case <-poll.C:
			return e.pulseReply(res.Verdict, res.Ended), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-e.ctx.Done():
			return nil, errClosed
		}
	}
}

func (e *Executor) pulseReply(v attempts.Verdict, ended bool) *targetrpc.PulseReply {
	return &targetrpc.PulseReply{Verdict: targetrpc.Verdict(v), Ended: ended, Generation: e.cfg.Generation()}
}
