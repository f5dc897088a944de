package executor

import (
	"context"
	"errors"
	"time"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/attempts"
)

// preemptWait is the time beyond the checkpoint that a Preempt waits for the
// stops. With the checkpoint it stays within the reclaim bound of 5 s.
const preemptWait = 1500 * time.Millisecond

// Preempt implements targetrpc.DRPCTargetServer. For a gang it is sent to the
// hub, which has all members stopped. A member other than the hub that gets it
// only notes for whom its slots are held when the hub has stopped the gang.
func (e *Executor) Preempt(ctx context.Context, r *targetrpc.PreemptRequest) (*targetrpc.PreemptReply, error) {
	if e.ctx.Err() != nil {
		return nil, errClosed
	}
	out := &targetrpc.PreemptReply{Generation: e.cfg.Generation()}
	if len(r.GetAttempts()) > maxBatch {
		return nil, errors.New("more than 256 attempts in a preempt")
	}
	if r.GetIncarnation() != e.incarnation {
		out.Refusal = refusal(attempts.CodeIncarnation, "the request is meant for another process")
		return out, nil
	}
	code, reason := e.checkSender(r.GetGeneration(), r.GetSession())
	if code == attempts.CodeNone && !e.table.HasSession(r.GetSession()) {
		code, reason = attempts.CodeSession, "the session is unknown or has expired"
	}
	if code != attempts.CodeNone {
		out.Refusal = refusal(code, reason)
		return out, nil
	}
	grace := min(millis(r.GetGraceMillis()), CheckpointGrace)
	e.log.Info().Int(eventField, EventPreempt).Int("Attempts", len(r.GetAttempts())).
		Str("Claimant", r.GetClaimant()).Stringer("Claim", idOf(r.GetClaim())).Msg("slots reclaimed")
	stop := attempts.Stop{
		Code:       attempts.CodeCanceled,
		Reason:     "preempted for the guarantee of " + r.GetClaimant(),
		Checkpoint: grace,
		Preempted:  true,
	}
	for _, id := range r.GetAttempts() {
		e.table.Claim(idOf(id), idOf(r.GetClaim()))
		if e.table.Get(idOf(id)).Spec.IsHub() {
			e.table.Stop(idOf(id), stop)
		}
	}
	cctx, cancel := context.WithTimeout(ctx, grace+preemptWait)
	defer cancel()
	for _, id := range r.GetAttempts() {
		st := e.awaitFree(cctx, idOf(id))
		out.Attempts = append(out.Attempts, e.reply(st))
	}
	return out, nil
}

// awaitFree waits until an attempt has ended and takes no slots, or ctx ends.
func (e *Executor) awaitFree(ctx context.Context, id attempts.ID) attempts.Status {
	for {
		st := e.table.Get(id)
		if st.Phase == attempts.None || st.Phase.IsEnded() && st.Slots == 0 {
			return st
		}
		select {
		case <-st.Changed:
		case <-ctx.Done():
			return e.table.Get(id)
		case <-e.ctx.Done():
			return e.table.Get(id)
		}
	}
}
