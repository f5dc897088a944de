package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/rows"
)

const (
	// startWait is how long the reply to Start or Release may wait for the end
	// of the attempt. Short work ends within it, so that it costs one round trip.
	startWait = time.Second
	// startTimeout bounds Start and Release beyond their wait time.
	startTimeout = 2 * time.Second
	// dispatchTimeout bounds the row write before an attempt. A gang's
	// reservations must not lapse during it.
	dispatchTimeout = 5 * time.Second
	// reserveTimeout bounds Reserve. A held launch takes up to a second.
	reserveTimeout = 2 * time.Second
	// reservationTTL is how long a member keeps its slots without a release.
	reservationTTL = 10 * time.Second
	// fenceTimeout bounds one Fence call.
	fenceTimeout = time.Second
	// awaitWait is the long poll of Await.
	awaitWait = 10 * time.Second
	// lostAfter is how long an idempotent attempt may be out of reach before it
	// is tried again. By then the leases of its tasks have lapsed.
	lostAfter = 15 * time.Second
	// resultRetention is how long a target keeps the result of an attempt.
	resultRetention = 10 * time.Minute
)

// attempt is one try to run a job at a place.
type attempt struct {
	*run
	id       *targetrpc.AttemptID
	place    place
	uptime   time.Duration // of the hub's process before the attempt was sent
	released bool          // the hub has said so
}

// make makes the attempt and waits for its end. ctx ends at the job's deadline or
// cancellation; the attempt is then canceled at its target.
func (a *attempt) make(ctx context.Context) result {
	sessions, err := a.openSessions(ctx)
	if err != nil {
		return notRunResult{detail: err.Error()}
	}
	if a.spec.isGang() {
		return a.runGang(ctx, sessions)
	}
	return a.runSingle(ctx, sessions[0])
}

// resume settles an attempt that a former owner of the job may have sent.
func (a *attempt) resume(ctx context.Context, record rows.Job) result {
	a.uptime = time.Duration(record.HubUptime) * time.Millisecond
	return a.fence(ctx, Session{Target: record.Hub, Address: record.HubAddress, Incarnation: record.HubIncarnation})
}

func (a *attempt) hub() member { return a.place.members[0] }

func (a *attempt) openSessions(ctx context.Context) ([]Session, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	sessions := make([]Session, len(a.place.members))
	errs := make([]error, len(a.place.members))
	parallel(len(sessions), func(i int) {
		sessions[i], errs[i] = a.s.peers.Targets.Session(ctx, a.place.members[i].address)
	})
	for i, err := range errs {
		if err != nil {
			return nil, outcome.Step("open session", a.place.members[i].target, err)
		}
	}
	return sessions, nil
}

func (a *attempt) runSingle(ctx context.Context, hub Session) result {
	if r := a.recordDispatch(ctx, hub); r != nil {
		return r
	}
	if ctx.Err() != nil {
		return notRunResult{code: targetrpc.RefusalCode_REFUSAL_CANCELED, detail: "canceled before the start"}
	}
	if !hub.Live() {
		return notRunResult{detail: "the session with " + hub.Target + " expired before the start"}
	}
	callCtx, cancel := context.WithTimeout(ctx, startWait+startTimeout)
	defer cancel()
	reply, err := hub.Client.Start(callCtx, &targetrpc.StartRequest{
		Session:     hub.ID,
		Incarnation: hub.Incarnation,
		Attempt:     a.id,
		Task:        a.task(),
		WaitMillis:  toMillis(startWait),
		Generation:  a.s.generation(),
	})
	return a.settle(ctx, hub, reply, err)
}

// recordDispatch names the attempt in the job's row. It returns nil if the
// attempt may be sent.
func (a *attempt) recordDispatch(ctx context.Context, hub Session) result {
	a.uptime = hub.Uptime
	ctx, cancel := context.WithTimeout(ctx, dispatchTimeout)
	defer cancel()
	err := a.change(ctx, func(record rows.Job) rows.Job {
		record.State = rows.JobDispatched
		record.Attempt = a.id.GetNumber()
		record.Hub = hub.Target
		record.HubAddress = hub.Address
		record.HubIncarnation = hub.Incarnation
		record.HubUptime = hub.Uptime.Milliseconds()
		record.Members = a.place.targets()
		return record
	})
	if err == nil {
		return nil
	}
	var superseded *supersededError
	if errors.As(err, &superseded) {
		return supersededResult{}
	}
	return notRunResult{detail: err.Error()}
}

func (a *attempt) task() *targetrpc.Task {
	m := a.hub()
	return &targetrpc.Task{
		Workspace:      a.spec.request.Workspace,
		Kind:           a.spec.request.Kind,
		Class:          string(a.spec.class),
		Slots:          uint32(m.slots),
		Payload:        a.spec.request.Payload,
		DeclaredMillis: toMillis(a.spec.request.Declared),
		LimitMillis:    toMillis(a.spec.limit),
		Lent:           a.place.lent,
		KeepFree:       uint32(m.keepFree),
	}
}

// settle follows an attempt that was sent until its end is known or given up.
func (a *attempt) settle(ctx context.Context, hub Session, reply *targetrpc.AttemptReply, err error) result {
	if err != nil && errors.Is(err, ErrNotSent) {
		return notRunResult{detail: err.Error(), target: hub.Target}
	}
	if err == nil {
		err = checkReply(a.id, reply)
	}
	if err == nil {
		if r := resultOf(reply, hub.Target); r != nil {
			return r
		}
		if reply.GetState() == targetrpc.AttemptState_ATTEMPT_RUNNING {
			return a.follow(ctx, hub)
		}
	}
	return a.fence(ctx, hub)
}

// fence asks whether a doubtful attempt has been released, and forbids it if
// not.
func (a *attempt) fence(ctx context.Context, hub Session) result {
	since := time.Now()
	limit := a.reachLimit()
	for wait := firstBackoff; ; wait = min(2*wait, lastBackoff) {
		reply, err := a.s.fence(a.id, hub, a.uptime) //nolint:contextcheck // The question must outlive the job's deadline.
		if err == nil {
			if r := resultOf(reply, hub.Target); r != nil {
				return r
			}
			if reply.GetState() == targetrpc.AttemptState_ATTEMPT_RUNNING {
				return a.follow(ctx, hub)
			}
		}
		if a.s.isReplaced(hub.Target, hub.Incarnation) {
			return lostResult{detail: "target process " + hub.Target + " was restarted"}
		}
		// Idempotent short work is better tried elsewhere than held up by a
		// target that does not answer.
		if time.Since(since) >= limit || !a.s.sleep(wait) {
			return lostResult{detail: "no answer from target " + hub.Target + " after the attempt was sent"}
		}
	}
}

// reachLimit is how long to try to reach the hub of an attempt that may be
// running.
func (a *attempt) reachLimit() time.Duration {
	if !a.spec.idempotent {
		// The last question must arrive before the target forgets the attempt.
		return resultRetention - time.Minute
	}
	if !a.recorded && !a.spec.isGang() {
		return fenceTimeout
	}
	return lostAfter
}

// follow waits for the end of a released attempt. When ctx ends, it cancels the
// attempt and waits for the answer to that.
func (a *attempt) follow(ctx context.Context, hub Session) result {
	a.released = true
	reached := time.Now()
	for wait := firstBackoff; ; {
		if a.s.life.Err() != nil {
			return lostResult{detail: "the entry is shutting down"} // The attempt goes on at its target.
		}
		if ctx.Err() != nil {
			return a.cancel(hub)
		}
		reply, err := a.s.await(ctx, a.id, hub.Address, hub.Incarnation, awaitWait)
		if err == nil {
			reached = time.Now()
			wait = firstBackoff
			if r := a.ended(reply, hub.Target); r != nil {
				return r
			}
			if reply.GetState() == targetrpc.AttemptState_ATTEMPT_NONE {
				return lostResult{detail: "target " + hub.Target + " no longer knows the attempt"}
			}
			continue
		}
		if a.s.isReplaced(hub.Target, hub.Incarnation) {
			return lostResult{detail: "target process " + hub.Target + " was restarted"}
		}
		if time.Since(reached) >= max(a.reachLimit(), lostAfter) {
			return lostResult{detail: "no answer from target " + hub.Target + " while the attempt ran"}
		}
		if ctx.Err() == nil {
			sleep(ctx, wait)
			wait = min(2*wait, lastBackoff)
		}
	}
}

// ended is the result of an attempt that was released, or nil if it has not ended.
// A target that has forgotten it may say that it did not run.
func (a *attempt) ended(reply *targetrpc.AttemptReply, target string) result {
	r := resultOf(reply, target)
	if _, ok := r.(notRunResult); ok && a.released {
		return lostResult{detail: "target " + target + " no longer knows the attempt"}
	}
	return r
}

// cancel stops a released attempt.
func (a *attempt) cancel(hub Session) result {
	since := time.Now()
	for wait := firstBackoff; ; wait = min(2*wait, lastBackoff) {
		reply, err := a.s.cancelAttempt(a.id, hub.Address, hub.Incarnation)
		if err == nil {
			if r := a.ended(reply, hub.Target); r != nil {
				return r
			}
		}
		if a.s.isReplaced(hub.Target, hub.Incarnation) || time.Since(since) >= lostAfter || !a.s.sleep(wait) {
			return lostResult{detail: "canceled; no confirmation from target " + hub.Target}
		}
	}
}
