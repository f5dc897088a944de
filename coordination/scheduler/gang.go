package scheduler

import (
	"context"
	"sync"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

// runGang reserves every member, names the attempt in the row and then asks the
// hub for the release. Without the release no member runs, so everything that
// fails before it is proven not to have run.
func (a *attempt) runGang(ctx context.Context, sessions []Session) result {
	if r := a.reserve(ctx, sessions); r != nil {
		a.abort(sessions)
		return r
	}
	hub := sessions[0]
	if r := a.recordDispatch(ctx, hub); r != nil {
		a.abort(sessions)
		return r
	}
	if ctx.Err() != nil {
		a.abort(sessions)
		return notRunResult{code: targetrpc.RefusalCode_REFUSAL_CANCELED, detail: "canceled before the release"}
	}
	if !hub.Live() {
		a.abort(sessions)
		return notRunResult{detail: "the session with " + hub.Target + " expired before the release"}
	}
	callCtx, cancel := context.WithTimeout(ctx, startWait+startTimeout)
	defer cancel()
	reply, err := hub.Client.Release(callCtx, &targetrpc.ReleaseRequest{
		Session:     hub.ID,
		Incarnation: hub.Incarnation,
		Attempt:     a.id,
		WaitMillis:  toMillis(startWait),
		Generation:  a.s.generation(),
	})
	r := a.settle(ctx, hub, reply, err)
	if _, ok := r.(notRunResult); ok {
		a.abort(sessions)
	}
	return r
}

// reserve takes slots on every member in parallel. It returns nil if all are
// reserved.
func (a *attempt) reserve(ctx context.Context, sessions []Session) result {
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	members := make([]*targetrpc.Member, len(sessions))
	for i, s := range sessions {
		members[i] = &targetrpc.Member{Target: s.Target, Address: s.Address, Incarnation: s.Incarnation}
	}
	results := make([]result, len(sessions))
	parallel(len(sessions), func(i int) {
		results[i] = a.reserveMember(ctx, sessions[i], i, members)
	})
	for _, r := range results {
		if r != nil {
			return r
		}
	}
	return nil
}

func (a *attempt) reserveMember(ctx context.Context, s Session, index int, members []*targetrpc.Member) result {
	task := a.task()
	task.Slots = uint32(a.place.members[index].slots)
	task.Tasks = uint32(a.place.members[index].tasks)
	task.KeepFree = uint32(a.place.members[index].keepFree)
	reply, err := s.Client.Reserve(ctx, &targetrpc.ReserveRequest{
		Session:     s.ID,
		Incarnation: s.Incarnation,
		Attempt:     a.id,
		Task:        task,
		Index:       uint32(index),
		Hub:         0,
		Members:     members,
		TtlMillis:   toMillis(reservationTTL),
		Generation:  a.s.generation(),
	})
	if err != nil {
		return notRunResult{detail: outcome.Step("reserve", s.Target, err).Error(), target: s.Target}
	}
	if !reply.GetReserved() {
		r := reply.GetRefusal()
		return notRunResult{code: r.GetCode(), detail: r.GetReason(), target: s.Target, retry: millis(r.GetRetryMillis())}
	}
	return nil
}

// abort frees the reservations of an attempt that will not be released. A
// member that can't be reached frees them at the end of the reservation TTL.
func (a *attempt) abort(sessions []Session) {
	a.s.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, fenceTimeout)
		defer cancel()
		parallel(len(sessions), func(i int) {
			s := sessions[i]
			// The reservation lapses by itself if this call is lost.
			_, _ = s.Client.Abort(ctx, &targetrpc.AbortRequest{
				Attempt:     a.id,
				Incarnation: s.Incarnation,
				Generation:  a.s.generation(),
			})
		})
	})
}

// parallel calls f for 0 to n-1 and waits for all calls.
func parallel(n int, f func(i int)) {
	if n == 1 {
		f(0)
		return
	}
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() { f(i) })
	}
	wg.Wait()
}
