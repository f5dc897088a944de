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

// targetsSink takes the rows by which targets are found.
type targetsSink struct {
	o   *owner
	ctx context.Context //nolint:containedctx // ends with the ownership, as the watches do
	wg  *sync.WaitGroup
}

// Reset implements follow.Sink.
func (s targetsSink) Reset(rows []table.Row) { s.Apply(rows) }

// Apply implements follow.Sink.
func (s targetsSink) Apply(rows []table.Row) {
	o := s.o
	for _, r := range rows {
		if r.Deleted {
			o.retire(r.Key)
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
			w = &watch{o: o, name: r.Key, heard: o.lastHeard(r.Key), fence: int64(o.row.Epoch) << fenceBits, again: make(chan struct{}, 1)}
			o.watches[r.Key] = w
			s.wg.Go(func() { w.run(s.ctx) })
		}
		w.address, w.retired = t.Address, false
		o.mu.Unlock()
		w.poke()
	}
}

// watch follows the agent of one target.
type watch struct {
	o     *owner
	name  string
	again chan struct{} // cuts a pause short

	// The owner's mutex guards the rest.
	address string
	fence   int64
	heard   time.Time // when the last answer arrived, or the shard was taken over
	called  bool      // there has been an answer
	// connected reports whether the last call was answered.
	connected bool
	lapsed    bool
	retired   bool // the target has removed its row
	boot      uint64
	life      *agentrpc.Life
	seen      int64
	cap       int64
	rev       uint64
}

// lastHeard returns when a target can have answered a former owner last, as far as
// the last of them knew.
func (o *owner) lastHeard(name string) time.Time {
	if millis, ok := o.inherited.Silent[name]; ok {
		return o.local(millis, o.taken)
	}
	if o.inherited.Epoch == 0 {
		return o.taken
	}
	until := o.inherited.BeatMillis
	if o.inherited.Name != "" {
		until += grantLimit.Milliseconds()
	}
	if heard := o.local(until, o.taken); heard.Before(o.taken) {
		return heard
	}
	return o.taken
}

// local returns a time on the store's steady clock, in milliseconds, as one of this
// process, or another one if the store's clock is not known.
func (o *owner) local(millis int64, unknown time.Time) time.Time {
	now, known := o.deps.Clock.Now()
	if !known {
		return unknown
	}
	return time.Now().Add(time.Duration(millis)*time.Millisecond - now)
}

// formerStoppedLocked takes that the former owner has stopped to extend leases: the
// agent in its process has taken the epoch of this one.
func (o *owner) formerStoppedLocked() {
	if now, ok := o.deps.Clock.Now(); ok {
		o.grants = min(o.grants, max(o.inherited.GrantsMillis, now.Milliseconds()))
	}
}

// lastGrantLocked returns the latest time at which any owner can have extended a lease
// on a target that answered this one last at heard. Former owners may reach the target.
func (o *owner) lastGrantLocked(heard time.Time) time.Time {
	if o.grants == 0 {
		return heard
	}
	if former := o.local(o.grants, o.taken.Add(grantLimit)); former.After(heard) {
		return former
	}
	return heard
}

// silentLocked returns the targets that have not answered for a while.
func (o *owner) silentLocked() map[string]int64 {
	now, ok := o.deps.Clock.Now()
	if !ok {
		return nil
	}
	var out map[string]int64
	for name, w := range o.watches {
		if since := time.Since(w.heard); since > silentRecorded {
			if out == nil {
				out = make(map[string]int64)
			}
			out[name] = (now - since).Milliseconds()
		}
	}
	return out
}

// retire takes that a target has removed its row: its worker is gone for good.
func (o *owner) retire(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if w := o.watches[name]; w != nil && !w.retired {
		w.retired = true
		o.deps.Log.Info().Int("Event", EventTargetRetired).Str("Target", name).Msg("a target has left for good")
		o.plan.Lapsed(name, "the target has left", time.Now())
		o.plan.Connected(name, false)
		o.signal()
	}
}

func (w *watch) poke() {
	select {
	case w.again <- struct{}{}:
	default:
	}
}

func (w *watch) run(ctx context.Context) {
	pause := watchPause
	for ctx.Err() == nil {
		if w.pausedForGood() {
			select {
			case <-ctx.Done():
			case <-w.again:
			}
			continue
		}
		req, address := w.request()
		client := w.o.deps.Agents.Agent(address)
		bound := time.Duration(req.GetWaitMillis())*time.Millisecond + watchTimeout
		cctx, cancel := context.WithTimeout(ctx, bound)
		sent := time.Now()
		reply, err := client.Watch(cctx, req)
		cancel()
		if ctx.Err() != nil {
			return
		}
		if err == nil && !reply.GetRefused() {
			pause = watchPause
			w.take(reply)
			continue
		}
		// A call that outlasted its bound did so because this process was paused, and
		// the answer may be waiting.
		w.miss(reply, err, time.Since(sent) > bound+pausedLimit)
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
		case <-w.again:
		case <-t.C:
		}
		t.Stop()
		pause = min(2*pause, maxWatchPause)
	}
}

// pausedForGood reports whether the target has left.
func (w *watch) pausedForGood() bool {
	w.o.mu.Lock()
	defer w.o.mu.Unlock()
	return w.retired
}

// request returns the next call and the address to make it to.
func (w *watch) request() (*agentrpc.WatchRequest, string) {
	o := w.o
	o.mu.Lock()
	defer o.mu.Unlock()
	unconfirmed := time.Since(o.confirmed)
	// The runtime's clock stands still while the machine is suspended; the time of day
	// does not.
	awake := max(unconfirmed, time.Now().Round(0).Sub(o.confirmed.Round(0)))
	r := &agentrpc.WatchRequest{
		Epoch: o.row.Epoch, Planner: o.cfg.Name, Fence: w.fence, Life: w.life, SeenEnd: w.seen,
		WaitMillis: watchWait.Milliseconds(), Boot: w.boot, Revision: w.rev, UnconfirmedMillis: unconfirmed.Milliseconds(),
	}
	// An agent that has taken the epoch of another owner has told it that this one extends
	// no more leases.
	if awake < grantLimit && o.deps.Agent.Contact().Epoch <= o.row.Epoch {
		r.LeaseCapMillis = w.cap
	}
	return r, w.address
}

// take takes an answer.
func (w *watch) take(in *agentrpc.WatchReply) {
	o := w.o
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	restarted := w.called && (in.GetBoot() != w.boot || in.GetWorker() != nil && w.life != nil && !agentrpc.SameLife(w.life, in.GetWorker().GetLife()))
	if restarted {
		// Calls of the agent's or the worker's former life carry the old token.
		w.fence++
	}
	if w.name == o.inherited.Name {
		o.formerStoppedLocked()
	}
	w.heard, w.called, w.connected, w.lapsed = now, true, true, false
	w.boot, w.rev = in.GetBoot(), in.GetRevision()
	if wk := in.GetWorker(); wk != nil {
		if !agentrpc.SameLife(w.life, wk.GetLife()) {
			w.life, w.seen, w.cap = wk.GetLife(), 0, 0
		}
		if clock := wk.GetClockMillis(); clock > 0 {
			w.cap = max(w.cap, clock+leaseSpan.Milliseconds())
		}
	}
	if restarted {
		in.Listed = false
	}
	o.plan.Report(w.name, in, now)
	if since := min(in.GetSilentMillis(), in.GetUngrantedMillis()); time.Duration(since)*time.Millisecond > lapse(min(o.cfg.HoldMax, leaseSpan)) {
		o.plan.Lapsed(w.name, "the worker does not answer", now)
	}
	o.signal()
}

// lapse returns after how long on this process's clock a time on a worker's clock
// has certainly passed.
func lapse(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+clockError)) + lapseMargin
}

// miss takes that a call failed or was refused. After a pause of this process, it
// is not yet taken that the target can't be reached.
func (w *watch) miss(in *agentrpc.WatchReply, err error, paused bool) {
	o := w.o
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.plan.Connected(w.name, false)
	w.connected, w.rev = false, 0
	if now.Sub(o.lastGrantLocked(w.heard)) > lapse(leaseSpan) && !w.lapsed && !paused {
		w.lapsed = true
		o.deps.Log.Warn().Int("Event", EventTargetLapsed).Str("Target", w.name).Dur("Silent", now.Sub(w.heard)).Err(err).
			Uint64("RefusedBy", in.GetEpoch()).Msg("what ran on a target is given up")
		o.deps.Metrics.GetOrCreateCounter(`medlargrade_targets_lapsed_total`).Inc()
		o.plan.Lapsed(w.name, "lease lapsed", now)
		o.signal()
	}
}

// carryOut passes on what a batch says.
func (o *owner) carryOut(ctx context.Context, b planner.Batch) {
	o.mu.Lock()
	for name, s := range b.Seen {
		if w := o.watches[name]; w != nil && agentrpc.SameLife(w.life, s.Life) {
			w.seen = max(w.seen, s.End)
		}
	}
	o.mu.Unlock()
	for _, t := range b.Orders {
		o.orders.Go(func() { o.send(ctx, t) })
	}
}

// send sends orders to the agent of a target and takes the results.
func (o *owner) send(ctx context.Context, t planner.TargetOrders) {
	o.mu.Lock()
	w := o.watches[t.Target]
	if w == nil {
		o.mu.Unlock()
		return
	}
	address := w.address
	req := &agentrpc.OrderRequest{Epoch: o.row.Epoch, Fence: w.fence, Life: t.Life}
	t.Orders = slices.DeleteFunc(t.Orders, func(ord planner.Order) bool { return !o.plan.Stands(t.Target, ord) })
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
		o.plan.OrderDone(t.Target, t.Life, ord, reply.GetResults()[i], now)
	}
	o.signal()
}
