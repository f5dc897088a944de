package agent

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// orderTries is how often an order is sent that gets no answer. Repeating one is
// safe, because a run number is started at most once on a worker.
const orderTries = 2

// Order implements agentrpc.DRPCAgentServer. It returns when the worker has
// answered each order or has been silent for all tries.
func (a *Agent) Order(ctx context.Context, in *agentrpc.OrderRequest) (*agentrpc.OrderReply, error) {
	a.mu.Lock()
	refused := !a.acceptLocked(in.GetEpoch(), a.planner) || !agentrpc.SameLife(in.GetLife(), a.info.Life)
	epoch := a.epoch
	if in.GetFence() > a.life.fence {
		a.life.fence = in.GetFence()
		a.wakeLocked()
	}
	a.mu.Unlock()
	if refused {
		return &agentrpc.OrderReply{Refused: true, Epoch: epoch}, nil
	}
	results := make([]*agentrpc.OrderResult, len(in.GetOrders()))
	var wg sync.WaitGroup
	for i, o := range in.GetOrders() {
		wg.Go(func() { results[i] = a.order(ctx, in, o) })
	}
	wg.Wait()
	return &agentrpc.OrderReply{Epoch: epoch, Results: results}, nil
}

// order carries out one order.
func (a *Agent) order(ctx context.Context, in *agentrpc.OrderRequest, o *agentrpc.Order) *agentrpc.OrderResult {
	call := Call{Worker: in.GetLife().GetWorker(), Fence: in.GetFence()}
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
		r := PaceRequest{Call: call, Task: o.Pace.GetTask(), Run: o.Pace.GetRun(), Percent: o.Pace.GetPercent()}
		res = a.try(ctx, in.GetLife(), func(ctx context.Context) (Clock, error) { return a.worker.Pace(ctx, r) })
		a.log.Info().Int("Event", EventPaceOrder).Str("Task", o.Pace.GetTask()).Int64("Run", o.Pace.GetRun()).
			Str("Outcome", res.GetOutcome().String()).Str("Reason", res.GetReason()).Send()
	default:
		res = &agentrpc.OrderResult{Outcome: agentrpc.Outcome_REFUSED, Reason: ReasonMalformed}
	}
	a.cfg.Metrics.GetOrCreateCounter(`medlargrade_orders_total{outcome="` + strings.ToLower(res.GetOutcome().String()) + `"}`).Inc()
	return res
}

func (a *Agent) start(ctx context.Context, in *agentrpc.OrderRequest, call Call, s *agentrpc.Start) *agentrpc.OrderResult {
	key := runKey{s.GetTask(), s.GetRun()}
	refuse := func(reason string) *agentrpc.OrderResult {
		return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_REFUSED, Reason: reason}
	}
	a.mu.Lock()
	_, doubt := a.life.doubt[key]
	reason := a.refusalLocked(in)
	until := a.untilLocked()
	if reason == "" {
		a.life.doubt[key] = struct{}{}
	}
	a.mu.Unlock()
	if reason != "" {
		if doubt {
			return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_UNKNOWN, Reason: reason}
		}
		return refuse(reason)
	}
	payload, err := a.payload(ctx, s)
	if err != nil {
		return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_UNKNOWN, Reason: err.Error()}
	}
	r := StartRequest{
		Call: call, Task: s.GetTask(), Run: s.GetRun(), Payload: payload,
		Checkpoint: s.GetCheckpoint(), Ticket: s.GetTicket(), Until: until,
	}
	first := true
	res := a.try(ctx, in.GetLife(), func(ctx context.Context) (Clock, error) {
		a.granting(in.GetLife())
		clock, err := a.worker.Start(ctx, r)
		var refused *RefusedError
		if err != nil && !errors.As(err, &refused) && !errors.Is(err, ErrOtherLife) {
			first = false
		}
		return clock, err
	})
	// An earlier call of this start that got no answer may still be carried out, or
	// has been and is the reason of this refusal.
	if res.GetOutcome() == agentrpc.Outcome_REFUSED && (doubt || !first) {
		res.Outcome = agentrpc.Outcome_UNKNOWN
	}
	if res.GetOutcome() != agentrpc.Outcome_UNKNOWN {
		a.mu.Lock()
		delete(a.life.doubt, key)
		a.mu.Unlock()
	}
	return res
}

// granting notes that a call is sent that can extend the lease.
func (a *Agent) granting(life *agentrpc.Life) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if agentrpc.SameLife(a.info.Life, life) {
		a.life.granted = time.Now()
	}
}

// payload returns what the task is started with.
func (a *Agent) payload(ctx context.Context, s *agentrpc.Start) (string, error) {
	if s.GetPayloadObject() == "" {
		return s.GetPayload(), nil
	}
	body, err := a.objs.GetObject(ctx, s.GetPayloadObject())
	if err != nil {
		return "", fmt.Errorf("read payload of %s: %w", s.GetTask(), err)
	}
	return string(body), nil
}

// refusalLocked returns why no run may be started now, or "".
func (a *Agent) refusalLocked(in *agentrpc.OrderRequest) string {
	switch {
	case !agentrpc.SameLife(in.GetLife(), a.info.Life):
		return ReasonOtherLife
	case a.info.Draining:
		return ReasonDraining
	case a.life.confirmed < in.GetFence() || a.untilLocked() <= a.life.clock:
		return ReasonNoLease
	}
	return ""
}

func (a *Agent) stop(ctx context.Context, in *agentrpc.OrderRequest, call Call, s *agentrpc.Stop) *agentrpc.OrderResult {
	r := StopRequest{Call: call, Task: s.GetTask(), Run: s.GetRun()}
	res := a.try(ctx, in.GetLife(), func(ctx context.Context) (Clock, error) { return a.worker.Stop(ctx, r) })
	if res.GetOutcome() != agentrpc.Outcome_DONE {
		return res
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.life.doubt, runKey{s.GetTask(), s.GetRun()})
	res.Look = a.life.look + 1
	a.life.announce = res.Look
	return res
}

// try makes a call up to orderTries times until the worker answers.
func (a *Agent) try(ctx context.Context, life *agentrpc.Life, call func(context.Context) (Clock, error)) *agentrpc.OrderResult {
	res := &agentrpc.OrderResult{Outcome: agentrpc.Outcome_UNKNOWN}
	for range orderTries {
		tctx, cancel := context.WithTimeout(ctx, callTimeout)
		clock, err := call(tctx)
		cancel()
		var refused *RefusedError
		switch {
		case err == nil:
			a.answered(life, clock)
			res.Outcome = agentrpc.Outcome_DONE
			return res
		case errors.As(err, &refused):
			a.answered(life, refused.Clock)
			res.Outcome, res.Reason = agentrpc.Outcome_REFUSED, refused.Reason
			return res
		case errors.Is(err, ErrOtherLife):
			res.Outcome, res.Reason = agentrpc.Outcome_REFUSED, ReasonOtherLife
			return res
		case ctx.Err() != nil:
			return res
		}
		res.Reason = err.Error()
		pause.For(ctx, retryPause)
	}
	return res
}

// answered takes the clock of an answer.
func (a *Agent) answered(life *agentrpc.Life, clock Clock) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if agentrpc.SameLife(a.info.Life, life) {
		a.life.clock = max(a.life.clock, clock)
	}
}
