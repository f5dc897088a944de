package executor

import (
	"context"
	"errors"
	"time"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/attempts"
)

// errClosed reports a call that the end of the process cut short.
var errClosed = errors.New("target process is closed")

// Start implements targetrpc.DRPCTargetServer.
func (e *Executor) Start(ctx context.Context, r *targetrpc.StartRequest) (*targetrpc.AttemptReply, error) {
	if e.ctx.Err() != nil {
		return nil, errClosed
	}
	if r.GetIncarnation() != e.incarnation {
		return e.other(r.GetAttempt()), nil
	}
	id := idOf(r.GetAttempt())
	spec, invalid := e.specOf(r.GetAttempt(), r.GetTask())
	if id.Job == "" {
		return e.notRun(r.GetAttempt(), attempts.CodeInvalid, invalid), nil
	}
	code, reason := e.checkSender(r.GetGeneration(), r.GetSession())
	if invalid != "" {
		code, reason = attempts.CodeInvalid, invalid
	}
	if code != attempts.CodeNone {
		return e.reply(e.table.Refuse(id, code, reason)), nil
	}
	if _, admitted := e.table.Admit(spec, r.GetSession(), 0); admitted {
		run := func(ctx context.Context) { e.runSingle(ctx, spec, r.GetTask().GetPayload()) }
		if !e.spawn(run) {
			e.table.Free(id)
			e.table.Finish(id, attempts.End{Phase: attempts.NotRun, Code: attempts.CodeLeaving, Reason: errClosed.Error()})
			e.table.Disown(id)
		}
	}
	return e.await(ctx, id, millis(r.GetWaitMillis()))
}

// Reserve implements targetrpc.DRPCTargetServer. It returns once the worker has
// taken the held task.
func (e *Executor) Reserve(ctx context.Context, r *targetrpc.ReserveRequest) (*targetrpc.ReserveReply, error) {
	if e.ctx.Err() != nil {
		return nil, errClosed
	}
	if r.GetIncarnation() != e.incarnation {
		return e.reserveReply(attempts.CodeIncarnation, "the attempt is meant for another process"), nil
	}
	id := idOf(r.GetAttempt())
	spec, invalid := e.specOf(r.GetAttempt(), r.GetTask())
	n := uint32(len(r.GetMembers()))
	if invalid == "" && (r.GetIndex() >= n || r.GetHub() >= n || r.GetMembers()[r.GetIndex()].GetIncarnation() != e.incarnation) {
		invalid = "the index of the member or of the hub does not fit the members"
	}
	if id.Job == "" {
		return e.reserveReply(attempts.CodeInvalid, invalid), nil
	}
	code, reason := e.checkSender(r.GetGeneration(), r.GetSession())
	if invalid != "" {
		code, reason = attempts.CodeInvalid, invalid
	}
	if code != attempts.CodeNone {
		return e.knownReservation(e.table.Refuse(id, code, reason)), nil
	}
	spec.Index, spec.Hub, spec.Members = int(r.GetIndex()), int(r.GetHub()), membersOf(r.GetMembers())
	ttl := millis(r.GetTtlMillis())
	if ttl == 0 {
		ttl = ReservationTTL
	}
	st, admitted := e.table.Admit(spec, r.GetSession(), ttl)
	if !admitted {
		return e.knownReservation(st), nil
	}
	m := e.newMember(spec, r.GetTask().GetPayload())
	if !e.spawn(m.run) {
		e.table.Fence(id, attempts.CodeLeaving, errClosed.Error())
		e.table.Free(id)
		e.table.Disown(id)
		return e.reserveReply(attempts.CodeLeaving, errClosed.Error()), nil
	}
	select {
	case <-m.launched:
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-e.ctx.Done():
		return nil, errClosed
	}
	return e.knownReservation(e.table.Get(id)), nil
}

// knownReservation is the reply to a Reserve for a recorded attempt.
func (e *Executor) knownReservation(st attempts.Status) *targetrpc.ReserveReply {
	switch st.Phase {
	case attempts.Held:
		return &targetrpc.ReserveReply{Reserved: true, Generation: e.cfg.Generation()}
	case attempts.NotRun:
		return e.reserveReply(st.Code, st.Reason)
	}
	return e.reserveReply(attempts.CodeFenced, "the attempt is no longer held")
}

func (e *Executor) reserveReply(code attempts.Code, reason string) *targetrpc.ReserveReply {
	return &targetrpc.ReserveReply{Refusal: refusal(code, reason), Generation: e.cfg.Generation()}
}

// Abort implements targetrpc.DRPCTargetServer.
func (e *Executor) Abort(_ context.Context, r *targetrpc.AbortRequest) (*targetrpc.AttemptReply, error) {
	return e.fence(r.GetAttempt(), r.GetIncarnation(), r.GetGeneration(), "aborted before the release"), nil
}

// Fence implements targetrpc.DRPCTargetServer. An attempt that may have been
// forgotten proves nothing, like one of another incarnation.
func (e *Executor) Fence(_ context.Context, r *targetrpc.FenceRequest) (*targetrpc.AttemptReply, error) {
	age := e.uptime() - millis(r.GetSentAfterMillis())
	if age >= Retention && e.table.Get(idOf(r.GetAttempt())).Phase == attempts.None {
		e.learn(r.GetGeneration(), "")
		return e.other(r.GetAttempt()), nil
	}
	return e.fence(r.GetAttempt(), r.GetIncarnation(), r.GetGeneration(), "fenced before the release"), nil
}

// fence works without a session and for any generation, since it only ever
// refuses work.
func (e *Executor) fence(id *targetrpc.AttemptID, incarnation, generation uint64, reason string) *targetrpc.AttemptReply {
	e.learn(generation, "")
	if incarnation != e.incarnation {
		return e.other(id)
	}
	if id.GetJob() == "" {
		return e.notRun(id, attempts.CodeInvalid, "the attempt has no job")
	}
	return e.reply(e.table.Fence(idOf(id), attempts.CodeFenced, reason))
}

// Await implements targetrpc.DRPCTargetServer.
func (e *Executor) Await(ctx context.Context, r *targetrpc.AwaitRequest) (*targetrpc.AttemptReply, error) {
	e.learn(r.GetGeneration(), "")
	if r.GetIncarnation() != e.incarnation {
		return e.other(r.GetAttempt()), nil
	}
	return e.await(ctx, idOf(r.GetAttempt()), millis(r.GetWaitMillis()))
}

// await returns the state of an attempt once it has ended or wait is over.
func (e *Executor) await(ctx context.Context, id attempts.ID, wait time.Duration) (*targetrpc.AttemptReply, error) {
	// A timer of zero is avoided: the race detector of Go 1.26 crashes when two
	// goroutines of a synctest bubble meet timers that are over at once.
	timer := time.NewTimer(max(wait, 1))
	defer timer.Stop()
	for {
		st := e.table.Get(id)
		if wait <= 0 || st.Phase == attempts.None || st.Phase.IsEnded() {
			if st.Phase.IsEnded() {
				e.table.Fetched(id)
			}
			return e.reply(st), nil
		}
		select {
		case <-st.Changed:
		case <-timer.C:
			return e.reply(e.table.Get(id)), nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-e.ctx.Done():
			return nil, errClosed
		}
	}
}

// Cancel implements targetrpc.DRPCTargetServer. It returns at once; the end of a
// stopped attempt is seen with Await.
func (e *Executor) Cancel(_ context.Context, r *targetrpc.CancelRequest) (*targetrpc.CancelReply, error) {
	if e.ctx.Err() != nil {
		return nil, errClosed
	}
	e.learn(r.GetGeneration(), "")
	if len(r.GetAttempts()) > maxBatch {
		return nil, errors.New("more than 256 attempts in a cancel")
	}
	const reason = "canceled by the caller"
	out := &targetrpc.CancelReply{Generation: e.cfg.Generation()}
	for _, id := range r.GetAttempts() {
		if r.GetIncarnation() != e.incarnation {
			out.Attempts = append(out.Attempts, e.other(id))
			continue
		}
		// An attempt that is not known or held is refused from now on, so that
		// one that is still on its way does not start.
		st := e.table.Fence(idOf(id), attempts.CodeCanceled, reason)
		if st.Phase == attempts.Running {
			st = e.table.Stop(idOf(id), attempts.Stop{Code: attempts.CodeCanceled, Reason: reason})
		}
		out.Attempts = append(out.Attempts, e.reply(st))
	}
	return out, nil
}
