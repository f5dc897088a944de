package shard

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/table"
)

// targetsSink receives the rows of targets and runs a watch for each target.
type targetsSink struct {
	o   *owner
	ctx context.Context //nolint:containedctx // of the watches; ends with the ownership
	wg  *sync.WaitGroup
}

// Reset implements follow.Sink.
func (s targetsSink) Reset(rows []table.Row) { s.Apply(rows) }

// Apply implements follow.Sink.
func (s targetsSink) Apply(rows []table.Row) {
	o := s.o
	for _, r := range rows {
		if r.Deleted {
			o.retireTarget(r.Key)
			continue
		}
		t, err := DecodeTarget(r.Value)
		if err != nil {
			o.deps.Log.Error().Int("Event", EventRowMalformed).Str("Key", r.Key).Err(err).Send()
			continue
		}
		o.mu.Lock()
		w := o.watches[r.Key]
		if w == nil {
			w = &watch{o: o, name: r.Key, lastAnswer: o.previousAnswer(r.Key), fence: int64(o.row.Epoch) << fenceBits, wake: make(chan struct{}, 1)}
			o.watches[r.Key] = w
			s.wg.Go(func() { w.run(s.ctx) })
		}
		w.address, w.retired = t.Address, false
		o.mu.Unlock()
		w.wakeUp()
	}
}

// watch polls the agent of one target.
type watch struct {
	o    *owner
	name string
	wake chan struct{} // ends a pause early

	// The owner's mutex guards the rest.
	address     string
	fence       int64
	lastAnswer  time.Time      // when the last answer arrived; previousAnswer before the first
	answered    bool           // this owner has had an answer
	connected   bool           // the last call was answered
	lapsed      bool           // the leases have lapsed since the last answer
	retired     bool           // the target has removed its row
	boot        uint64         // of the agent
	incarnation *agentrpc.Life // of the worker
	seenEnd     int64          // highest recorded end of the incarnation
	leaseCap    int64          // on the worker's clock, in milliseconds
	revision    uint64         // of the agent's state; 0 if none is known
}

// previousAnswer returns the latest time at which a target can have answered a former
// owner, as far as the last one has recorded it.
func (o *owner) previousAnswer(name string) time.Time {
	if millis, ok := o.previous.Silent[name]; ok {
		return o.localTime(millis, o.acquired)
	}
	if o.previous.Epoch == 0 {
		return o.acquired
	}
	until := o.previous.BeatMillis
	if o.previous.Name != "" {
		until += grantLimit.Milliseconds()
	}
	if answer := o.localTime(until, o.acquired); answer.Before(o.acquired) {
		return answer
	}
	return o.acquired
}

// localTime converts a time on the store's steady clock, in milliseconds, to the clock
// of this process. It returns unknown if the store's clock is not known.
func (o *owner) localTime(millis int64, unknown time.Time) time.Time {
	now, known := o.deps.Clock.Now()
	if !known {
		return unknown
	}
	return time.Now().Add(time.Duration(millis)*time.Millisecond - now)
}

// endPreviousGrantsLocked records that the last former owner has stopped extending
// leases, because the agent in its process has accepted this owner's epoch.
func (o *owner) endPreviousGrantsLocked() {
	if now, ok := o.deps.Clock.Now(); ok {
		o.grantsUntil = min(o.grantsUntil, max(o.previous.GrantsMillis, now.Milliseconds()))
	}
}

// lastGrantLocked returns the latest time at which any owner can have extended a lease
// on a target that last answered this one at lastAnswer. Former owners may still reach
// the target.
func (o *owner) lastGrantLocked(lastAnswer time.Time) time.Time {
	if o.grantsUntil == 0 {
		return lastAnswer
	}
	if lastFormer := o.localTime(o.grantsUntil, o.acquired.Add(grantLimit)); lastFormer.After(lastAnswer) {
		return lastFormer
	}
	return lastAnswer
}

// silentTargetsLocked returns OwnerRow.Silent: the targets that have not answered for
// longer than recordSilenceAfter.
func (o *owner) silentTargetsLocked() map[string]int64 {
	now, ok := o.deps.Clock.Now()
	if !ok {
		return nil
	}
	var out map[string]int64
	for name, w := range o.watches {
		if since := time.Since(w.lastAnswer); since > recordSilenceAfter {
			if out == nil {
				out = make(map[string]int64)
			}
			out[name] = (now - since).Milliseconds()
		}
	}
	return out
}

// retireTarget handles the removal of a target's row: its worker is gone for good.
func (o *owner) retireTarget(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.watches[name]; w != nil && !w.retired {
		w.retired = true
		o.deps.Log.Info().Int("Event", EventTargetRetired).Str("Target", name).Msg("a target has removed its row")
		o.plan.LoseRuns(name, "the target has left", time.Now())
		o.plan.SetConnected(name, false)
		o.requestPass()
	}
}

func (w *watch) wakeUp() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

func (w *watch) run(ctx context.Context) {
	delay := watchRetryPause
	for ctx.Err() == nil {
		if w.isRetired() {
			select {
			case <-ctx.Done():
			case <-w.wake:
			}
			continue
		}
		req, address := w.nextRequest()
		client := w.o.deps.Agents.Agent(address)
		timeout := time.Duration(req.GetWaitMillis())*time.Millisecond + watchMargin
		cctx, cancel := context.WithTimeout(ctx, timeout)
		sent := time.Now()
		reply, err := client.Watch(cctx, req)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil && !reply.GetRefused() {
			delay = watchRetryPause
			w.handleReply(reply)
			continue
		}
		// A call that exceeded its timeout by far did so because this process was
		// paused, and the answer may be waiting to be read.
		w.handleFailure(reply, err, time.Since(sent) > timeout+processPauseLimit)
		t := time.NewTimer(delay)
		select {
		case <-ctx.Done():
		case <-w.wake:
		case <-t.C:
		}
		t.Stop()
		delay = min(2*delay, maxWatchRetryPause)
	}
}

// isRetired reports whether the target has removed its row.
func (w *watch) isRetired() bool {
	w.o.mu.Lock()
	defer w.o.mu.Unlock()
	return w.retired
}

// nextRequest returns the request of the next Watch call and the address to send it to.
func (w *watch) nextRequest() (*agentrpc.WatchRequest, string) {
	o := w.o
	o.mu.Lock()
	defer o.mu.Unlock()
	unconfirmed := time.Since(o.lastConfirmed)
	// The monotonic clock stops while the machine is suspended; the wall clock does not.
	elapsed := max(unconfirmed, time.Now().Round(0).Sub(o.lastConfirmed.Round(0)))
	r := &agentrpc.WatchRequest{
		Epoch: o.row.Epoch, Planner: o.cfg.Name, Fence: w.fence, Life: w.incarnation, SeenEnd: w.seenEnd,
		WaitMillis: watchWait.Milliseconds(), Boot: w.boot, Revision: w.revision, UnconfirmedMillis: unconfirmed.Milliseconds(),
	}
	// Once the agent of this process has accepted the epoch of another owner, that owner
	// assumes that this one extends no more leases.
	if elapsed < grantLimit && o.deps.Agent.Contact().Epoch <= o.row.Epoch {
		r.LeaseCapMillis = w.leaseCap
	}
	return r, w.address
}

// handleReply takes over the state in an answer and reports it to the planner.
func (w *watch) handleReply(reply *agentrpc.WatchReply) {
	o := w.o
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	restarted := w.answered && (reply.GetBoot() != w.boot || reply.GetWorker() != nil && w.incarnation != nil && !agentrpc.SameLife(w.incarnation, reply.GetWorker().GetLife()))
	if restarted {
		// Calls from before the restart of the agent or the worker may arrive late; they
		// carry the old token.
		w.fence++
	}
	if w.name == o.previous.Name {
		o.endPreviousGrantsLocked()
	}
	w.lastAnswer, w.answered, w.connected, w.lapsed = now, true, true, false
	w.boot, w.revision = reply.GetBoot(), reply.GetRevision()
	if worker := reply.GetWorker(); worker != nil {
		if !agentrpc.SameLife(w.incarnation, worker.GetLife()) {
			w.incarnation, w.seenEnd, w.leaseCap = worker.GetLife(), 0, 0
		}
		if clock := worker.GetClockMillis(); clock > 0 {
			w.leaseCap = max(w.leaseCap, clock+leaseSpan.Milliseconds())
		}
	}
	if restarted {
		reply.Listed = false
	}
	o.plan.Report(w.name, reply, now)
	if since := min(reply.GetSilentMillis(), reply.GetUngrantedMillis()); time.Duration(since)*time.Millisecond > lapseAfter(min(o.cfg.LeaseMax, leaseSpan)) {
		o.plan.LoseRuns(w.name, "the worker does not answer", now)
	}
	o.requestPass()
}

// lapseAfter returns after how long on the clock of this process the time d has
// certainly passed on a worker's clock.
func lapseAfter(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+maxClockDrift)) + lapseMargin
}

// handleFailure handles a call that failed or was refused. After a pause of this
// process, leases are not yet considered lapsed: the target may be reachable.
func (w *watch) handleFailure(reply *agentrpc.WatchReply, err error, processPaused bool) {
	o := w.o
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.plan.SetConnected(w.name, false)
	w.connected, w.revision = false, 0
	if now.Sub(o.lastGrantLocked(w.lastAnswer)) > lapseAfter(leaseSpan) && !w.lapsed && !processPaused {
		w.lapsed = true
		o.deps.Log.Warn().Int("Event", EventTargetLapsed).Str("Target", w.name).Dur("Silent", now.Sub(w.lastAnswer)).Err(err).
			Uint64("RefusedBy", reply.GetEpoch()).Msg("the leases on an unreachable target have lapsed; its runs are lost")
		o.deps.Metrics.GetOrCreateCounter(`medlargrade_targets_lapsed_total`).Inc()
		o.plan.LoseRuns(w.name, "lease lapsed", now)
		o.requestPass()
	}
}

// dispatch notes the ends that a batch has recorded, which workers may then forget, and
// sends its orders.
func (o *owner) dispatch(ctx context.Context, b planner.Batch) {
	o.mu.Lock()
	for name, s := range b.EndAcks {
		if w := o.watches[name]; w != nil && agentrpc.SameLife(w.incarnation, s.Incarnation) {
			w.seenEnd = max(w.seenEnd, s.End)
		}
	}
	o.mu.Unlock()
	for _, t := range b.Orders {
		o.orderCalls.Go(func() { o.sendOrders(ctx, t) })
	}
}

// sendOrders sends orders to the agent of a target and passes the results to the
// planner. It omits orders that were overtaken while their rows were written.
func (o *owner) sendOrders(ctx context.Context, t planner.TargetOrders) {
	o.mu.Lock()
	w := o.watches[t.Target]
	if w == nil {
		o.mu.Unlock()
		return
	}
	address := w.address
	req := &agentrpc.OrderRequest{Epoch: o.row.Epoch, Fence: w.fence, Life: t.Incarnation}
	t.Orders = slices.DeleteFunc(t.Orders, func(ord planner.Order) bool { return !o.plan.OrderValid(t.Target, ord) })
	o.mu.Unlock()
	if len(t.Orders) == 0 {
		return
	}
	for _, ord := range t.Orders {
		req.Orders = append(req.Orders, ord.Message)
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := o.deps.Agents.Agent(address).Order(ctx, req)
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if err != nil || reply.GetRefused() || len(reply.GetResults()) != len(t.Orders) {
		o.deps.Log.Info().Int("Event", EventOrdersUnanswered).Str("Target", t.Target).Int("Orders", len(t.Orders)).
			Bool("Refused", reply.GetRefused()).Err(err).Send()
		o.deps.Metrics.GetOrCreateCounter(`medlargrade_order_calls_unanswered_total`).Inc()
		return
	}
	for i, ord := range t.Orders {
		o.plan.HandleOrderResult(t.Target, t.Incarnation, ord, reply.GetResults()[i], now)
	}
	o.requestPass()
}
