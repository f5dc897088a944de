package agent

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// maxOrderAttempts is the maximum number of attempts at an order that gets no answer.
// Retries are safe, because a worker starts a run number at most once.
const maxOrderAttempts = 2

// Order implements agentrpc.DRPCAgentServer. It returns when the worker has answered
// each order or all attempts have failed.
func (a *Agent) Order(ctx context.Context, in *agentrpc.OrderRequest) (*agentrpc.OrderReply, error) {
	a.mu.Lock()
	refused := !a.acceptEpochLocked(in.GetEpoch(), a.planner) || !agentrpc.SameLife(in.GetLife(), a.heartbeat.Incarnation)
	epoch := a.epoch
	if fence := a.state.fence; !refused && in.GetFence() < fence {
		// The planner may have given up the runs that orders with a lower token start.
		a.log.Info().Int("Event", EventOrdersOutdated).Int64("Fence", in.GetFence()).Int64("Newest", fence).Int("Orders", len(in.GetOrders())).Send()
		refused = true
	}
	if !refused && in.GetFence() > a.state.fence {
		a.state.fence = in.GetFence()
		a.wakeHoldLocked()
	}
	a.mu.Unlock()
	if refused {
		return &agentrpc.OrderReply{Refused: true, Epoch: epoch}, nil
	}
	results := make([]*agentrpc.OrderResult, len(in.GetOrders()))
	var wg sync.WaitGroup
	for i, o := range in.GetOrders() {
		wg.Go(func() { results[i] = a.execute(ctx, in, o) })
	}
	wg.Wait()
	if stopped := slices.ContainsFunc(results, func(r *agentrpc.OrderResult) bool { return r.GetLook() > 0 }); stopped {
		// A run that was never started leaves no end, for which the hold in progress waits.
		a.holdNow(ctx)
	}
	return &agentrpc.OrderReply{Epoch: epoch, Results: results}, nil
}

// execute sends one order to the worker and counts and logs its outcome.
func (a *Agent) execute(ctx context.Context, in *agentrpc.OrderRequest, o *agentrpc.Order) *agentrpc.OrderResult {
	call := callHeader(in.GetLife(), in.GetFence())
	var res *agentrpc.OrderResult
	switch o := o.GetOrder().(type) {
	case *agentrpc.Order_Start:
		res = a.start(ctx, in, call, o.Start)
		a.log.Info().Int("Event", EventStartOrder).Str("Task", o.Start.GetTask()).Int64("Run", o.Start.GetRun()).
			Str("Outcome", res.GetOutcome().String()).Str("Reason", res.GetReason()).Send()
	case *agentrpc.Order_Stop:
		res = a.stop(ctx, in, call, o.Stop)
		a.log.Info().Int("Event", EventStopOrder).Str("Task", o.Stop.GetTask()).Int64("Run", o.Stop.GetRun()).
			Str("Outcome", res.GetOutcome().String()).Str("Reason", res.GetReason()).Send()
	case *agentrpc.Order_Pace:
		r := PaceRequest{CallHeader: call, Task: o.Pace.GetTask(), Run: o.Pace.GetRun(), Percent: o.Pace.GetPercent()}
		res = a.callWithRetry(ctx, in, func(ctx context.Context) (WorkerTime, error) { return a.worker.Pace(ctx, r) })
		a.log.Info().Int("Event", EventPaceOrder).Str("Task", o.Pace.GetTask()).Int64("Run", o.Pace.GetRun()).
			Str("Outcome", res.GetOutcome().String()).Str("Reason", res.GetReason()).Send()
	default:
		res = &agentrpc.OrderResult{Outcome: agentrpc.Outcome_REFUSED, Reason: ReasonMalformed}
	}
	a.cfg.Metrics.GetOrCreateCounter(`medlargrade_orders_total{outcome="` + strings.ToLower(res.GetOutcome().String()) + `"}`).Inc()
	return res
}

func (a *Agent) start(ctx context.Context, in *agentrpc.OrderRequest, call CallHeader, s *agentrpc.Start) *agentrpc.OrderResult {
	key := runKey{s.GetTask(), s.GetRun()}
	refuse := func(reason string) *agentrpc.OrderResult {
		return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_REFUSED, Reason: reason}
	}
	a.mu.Lock()
	_, unknown := a.state.unknownStarts[key]
	reason := a.startRefusalLocked(in)
	until := a.leaseUntilLocked()
	if reason == "" {
		a.state.unknownStarts[key] = struct{}{}
	}
	a.mu.Unlock()
	if reason != "" {
		if unknown {
			return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_UNKNOWN, Reason: reason}
		}
		return refuse(reason)
	}
	payload, err := a.loadPayload(ctx, s)
	if err != nil {
		a.log.Warn().Int("Event", EventPayloadNotRead).Str("Task", s.GetTask()).Int64("Run", s.GetRun()).Err(err).Send()
		return a.unsentStart(key, unknown, ReasonNoPayload)
	}
	r := StartRequest{
		CallHeader: call, Task: s.GetTask(), Run: s.GetRun(), Payload: payload,
		Checkpoint: s.GetCheckpoint(), Ticket: s.GetTicket(), Until: until,
	}
	allAnswered, sent := true, false
	var clock WorkerTime // in the last answer
	res := a.callWithRetry(ctx, in, func(ctx context.Context) (WorkerTime, error) {
		sentAt := time.Now()
		a.recordGrantSent(in.GetLife())
		var err error
		clock, err = a.worker.Start(ctx, r)
		if err != nil {
			a.recordUnansweredStart(in.GetLife(), r.Fence, sentAt, err)
		}
		var refused *RefusedError
		if !errors.Is(err, ErrNotSent) {
			sent = true
			allAnswered = allAnswered && (err == nil || errors.As(err, &refused) || errors.Is(err, ErrOtherIncarnation))
		}
		return clock, err
	})
	if !sent {
		return a.unsentStart(key, unknown, ReasonNotSent)
	}
	// An earlier attempt at this start that got no answer may still be carried out,
	// or it has been and is the reason of this refusal.
	if res.GetOutcome() == agentrpc.Outcome_REFUSED && (unknown || !allAnswered) {
		res.Outcome = agentrpc.Outcome_UNKNOWN
	}
	if res.GetOutcome() != agentrpc.Outcome_UNKNOWN {
		a.recordOutcome(in.GetLife(), key, res.GetOutcome(), clock)
	}
	return res
}

// recordOutcome records the known outcome of a start on an incarnation, with the worker's clock in the
// answer. The next incarnation, which may have the same ID, answers with a clock that began anew: the
// run is one of its own then, and has no part in the end of the former one.
func (a *Agent) recordOutcome(inc *agentrpc.Life, key runKey, outcome agentrpc.Outcome, clock WorkerTime) {
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.state.unknownStarts, key)
	// Answers on different connections overtake each other, but none that is used is older than a call lasts.
	fromNext := clock+WorkerTime(callTimeout.Milliseconds()) < a.state.clock
	if outcome == agentrpc.Outcome_DONE && agentrpc.SameLife(a.heartbeat.Incarnation, inc) && !fromNext {
		a.state.recordStartLocked(key)
	}
}

// unsentStart returns the result of an order whose start was not sent. It is refused, unless
// the outcome of an earlier order for the run is unknown.
func (a *Agent) unsentStart(key runKey, unknown bool, reason string) *agentrpc.OrderResult {
	if unknown {
		return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_UNKNOWN, Reason: reason}
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.state.unknownStarts, key)
	return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_REFUSED, Reason: reason}
}

// recordGrantSent records that a call that can extend the lease is about to be sent.
func (a *Agent) recordGrantSent(inc *agentrpc.Life) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if agentrpc.SameLife(a.heartbeat.Incarnation, inc) {
		a.state.lastGrantSentAt = time.Now()
	}
}

// loadPayload returns the payload of a start, which may be stored as an object.
func (a *Agent) loadPayload(ctx context.Context, s *agentrpc.Start) (string, error) {
	if s.GetPayloadObject() == "" {
		return s.GetPayload(), nil
	}
	body, err := a.objs.GetObject(ctx, s.GetPayloadObject())
	if err != nil {
		return "", fmt.Errorf("read payload of %s: %w", s.GetTask(), err)
	}
	return string(body), nil
}

// startRefusalLocked returns the reason why no run may be started now, or "".
func (a *Agent) startRefusalLocked(in *agentrpc.OrderRequest) string {
	switch {
	case !agentrpc.SameLife(in.GetLife(), a.heartbeat.Incarnation):
		return ReasonOtherIncarnation
	case a.heartbeat.Draining:
		return ReasonDraining
	case in.GetFence() < a.state.fence:
		return ReasonFence
	case a.isUnattendedLocked() && a.leaseLeftLocked() <= unknownStartMargin:
		return ReasonNoLease
	case a.state.confirmedFence < in.GetFence() || a.leaseUntilLocked() <= a.state.clock:
		return ReasonNoLease
	}
	return ""
}

func (a *Agent) stop(ctx context.Context, in *agentrpc.OrderRequest, call CallHeader, s *agentrpc.Stop) *agentrpc.OrderResult {
	r := StopRequest{CallHeader: call, Task: s.GetTask(), Run: s.GetRun()}
	res := a.callWithRetry(ctx, in, func(ctx context.Context) (WorkerTime, error) { return a.worker.Stop(ctx, r) })
	if res.GetOutcome() != agentrpc.Outcome_DONE {
		return res
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.state.unknownStarts, runKey{s.GetTask(), s.GetRun()})
	// A hold sent after the stop is the first whose lists are certain to show its
	// effect. Watchers are notified of it even if the lists are unchanged, because the
	// planner waits for its number.
	res.Look = a.state.holdSeq + 1
	a.state.notifyAtHoldSeq = res.Look
	return res
}

// attemptRefusal returns the reason why no further attempt may be made at the orders of a
// request, or "": a Watch may have raised the fencing token since they were accepted.
func (a *Agent) attemptRefusal(in *agentrpc.OrderRequest) string {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !agentrpc.SameLife(in.GetLife(), a.heartbeat.Incarnation):
		return ReasonOtherIncarnation
	case in.GetFence() < a.state.fence:
		return ReasonFence
	}
	return ""
}

// callWithRetry makes a call until the worker answers, at most maxOrderAttempts times.
func (a *Agent) callWithRetry(ctx context.Context, in *agentrpc.OrderRequest, call func(context.Context) (WorkerTime, error)) *agentrpc.OrderResult {
	inc := in.GetLife()
	res := &agentrpc.OrderResult{Outcome: agentrpc.Outcome_UNKNOWN}
	for attempt := range maxOrderAttempts {
		if reason := a.attemptRefusal(in); reason != "" {
			res.Reason = reason
			if attempt == 0 {
				res.Outcome = agentrpc.Outcome_REFUSED
			}
			return res
		}
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		clock, err := call(callCtx)
		cancel()
		var refused *RefusedError
		switch {
		case err == nil:
			a.recordClock(inc, clock)
			res.Outcome = agentrpc.Outcome_DONE
			return res
		case errors.As(err, &refused):
			a.recordClock(inc, refused.Clock)
			res.Outcome, res.Reason = agentrpc.Outcome_REFUSED, refused.Reason
			return res
		case errors.Is(err, ErrOtherIncarnation):
			res.Outcome, res.Reason = agentrpc.Outcome_REFUSED, ReasonOtherIncarnation
			return res
		case ctx.Err() != nil:
			return res
		}
		res.Reason = err.Error()
		pause.For(ctx, retryDelay)
	}
	return res
}

// recordClock records the worker's clock in an answer of the given incarnation.
func (a *Agent) recordClock(inc *agentrpc.Life, clock WorkerTime) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if agentrpc.SameLife(a.heartbeat.Incarnation, inc) {
		a.state.recordClock(clock)
	}
}
