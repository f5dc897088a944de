package shard

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/pause"
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

// Reset implements follow.Sink. Targets without a row have left, whether or not this owner
// has known them.
func (s targetsSink) Reset(rows []table.Row) {
	s.Apply(rows)
	hasRow := make(map[string]struct{}, len(rows))
	for _, r := range rows {
		hasRow[r.Key] = struct{}{}
	}
	for _, name := range s.o.knownTargets() {
		if _, ok := hasRow[name]; !ok {
			s.o.handleTargetDeleted(name)
		}
	}
}

// Apply implements follow.Sink.
func (s targetsSink) Apply(rows []table.Row) {
	o := s.o
	for _, r := range rows {
		if r.Deleted {
			o.handleTargetDeleted(r.Key)
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
			w = &watch{o: o, name: r.Key, lastAnswerAt: o.assumedLastAnswer(r.Key), fence: int64(o.row.Epoch) << fenceBits, wake: make(chan struct{}, 1)}
			o.watches[r.Key] = w
			o.goProtected(s.wg, "watch of "+w.name, func() { w.run(s.ctx) })
		}
		w.setAddressLocked(t.Address)
		w.row = rowPresent
		o.mu.Unlock()
		w.wakeUp()
	}
}

// errFormerLeases reports an answer of an agent that has taken the name of another one, whose leases
// may not have lapsed.
var errFormerLeases = errors.New("leases may last that an agent at a former address of the target has extended")

// watch polls the agent of one target.
type watch struct {
	o    *owner
	name string
	wake chan struct{} // ends a pause early

	// The owner's mutex guards the rest.
	address string
	// formerLapseAt is when the leases that the agent at a former address may extend have certainly
	// lapsed; zero if there was none.
	formerLapseAt time.Time
	fence         int64
	lastAnswerAt  time.Time // when the last answer arrived; assumedLastAnswer before the first
	answeredOnce  bool      // this owner has had an answer from the target
	connected     bool      // the last call was answered
	callFailed    bool      // the last call failed or was refused
	lastErr       error     // of the last call that failed
	refusedBy     uint64    // epoch with which the agent refused that call; 0 if it did not
	lapsed        bool      // the leases have lapsed since the last answer
	silentLapsed  bool      // the leases have lapsed while the agent answers and the worker does not
	row           rowState
	boot          uint64         // of the agent
	incarnation   *agentrpc.Life // of the worker
	recordedEnd   int64          // highest recorded end of the incarnation
	leaseCap      int64          // on the worker's clock, in milliseconds
	revision      uint64         // of the agent's state; 0 if none is known
}

// setAddressLocked sets the address of the target's agent. An agent at another address that has
// another worker, or none, knows nothing of what the former one has started or may still extend, so it
// is not listened to before that has lapsed.
func (w *watch) setAddressLocked(address string) {
	if w.address != "" && w.address != address {
		w.formerLapseAt = w.o.lastGrantLocked(w.lastAnswerAt).Add(lapseAfter(leaseSpan))
	}
	w.address = address
}

// awaitsFormerLapse reports whether an answer comes from an agent at a new address that is not that of
// the known worker, while leases may last that the agent at the former address has extended.
func (w *watch) awaitsFormerLapse(reply *agentrpc.WatchReply) bool {
	w.o.mu.Lock()
	defer w.o.mu.Unlock()
	sameWorker := agentrpc.SameLife(w.incarnation, reply.GetWorker().GetLife())
	return time.Now().Before(w.formerLapseAt) && !sameWorker
}

// assumedLastAnswer returns the time from which the silence of a target that has not
// answered this owner counts: its entry in the predecessor's Silent, or otherwise the
// time when the predecessor stopped extending leases, at most the time of the take-over.
// Without a predecessor it is the time of the take-over. The target may have answered
// the predecessor later than its entry says; lastGrantLocked covers that by GrantsMillis.
func (o *owner) assumedLastAnswer(name string) time.Time {
	row := o.predecessor.row
	if millis, ok := row.Silent[name]; ok {
		return o.predecessor.localTime(millis)
	}
	if row.Epoch == 0 {
		return o.acquiredAt
	}
	until := row.BeatMillis
	if row.Name != "" {
		until += unconfirmedGrantLimit.Milliseconds()
	}
	if answer := o.predecessor.localTime(until); answer.Before(o.acquiredAt) {
		return answer
	}
	return o.acquiredAt
}

// localTime converts a time on the store's monotonic clock, in milliseconds, to the clock of this
// process. The result is later than the true time by at most the delay of the answer to the read of
// the row. table.Clock would not do: it may be ahead of the store's clock if the clock of this
// process is faster, and then leases would count as lapsed too early.
func (p predecessor) localTime(millis int64) time.Time {
	return p.receivedAt.Add(time.Duration(millis)*time.Millisecond - p.readAt)
}

// endPredecessorGrantsLocked records that the predecessor has stopped extending leases,
// because the agent in its process has accepted this owner's epoch.
func (o *owner) endPredecessorGrantsLocked(now time.Time) {
	if !o.predecessorStoppedAt.IsZero() {
		return
	}
	o.predecessorStoppedAt = now
	// The owners before the predecessor may go on for longer.
	until := now
	if earlier := o.predecessor.localTime(o.predecessor.row.GrantsMillis); earlier.After(now) {
		until = earlier
	}
	if until.Before(o.grantsUntil) {
		o.grantsUntil = until
	}
}

// lastGrantLocked returns the latest time at which any owner can have extended a lease
// on a target that last answered this one at lastAnswerAt. Former owners may still reach
// the target.
func (o *owner) lastGrantLocked(lastAnswerAt time.Time) time.Time {
	if o.grantsUntil.After(lastAnswerAt) {
		return o.grantsUntil
	}
	return lastAnswerAt
}

// maxSilentBytes bounds the encoded size of OwnerRow.Silent. The row is part of every transaction
// of the shard, and has at most table.MaxValueBytes; a transaction of the largest batch has space
// for about 40 KB beside it.
const maxSilentBytes = 16 << 10

// silentTargetsLocked returns OwnerRow.Silent: the targets that have not answered for
// longer than recordSilenceAfter. If there are too many for the row, it has those that have been
// silent for the longest time; a successor waits longer for the leases of the others.
func (o *owner) silentTargetsLocked() map[string]int64 {
	now, ok := o.deps.Clock.Now()
	if !ok {
		return nil
	}
	var silent []*watch
	for _, w := range o.watches {
		if time.Since(w.lastAnswerAt) > recordSilenceAfter && w.row != rowRetired {
			silent = append(silent, w)
		}
	}
	slices.SortFunc(silent, func(x, y *watch) int {
		return cmp.Or(x.lastAnswerAt.Compare(y.lastAnswerAt), cmp.Compare(x.name, y.name))
	})
	var out map[string]int64
	bytes := 0
	for _, w := range silent {
		const numberBytes = 20
		if bytes += len(table.EncodeValue(w.name)) + numberBytes; bytes > maxSilentBytes {
			break
		}
		if out == nil {
			out = make(map[string]int64)
		}
		out[w.name] = (now - time.Since(w.lastAnswerAt)).Milliseconds()
	}
	return out
}

// knownTargets returns the names of the targets that have a watch or a recorded run.
func (o *owner) knownTargets() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := o.plan.TargetsWithRuns()
	for name := range o.watches {
		names = append(names, name)
	}
	return names
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
		if w.isRowDeleted() {
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
		if err == nil && w.awaitsFormerLapse(reply) {
			err = errFormerLeases
		}
		if err == nil && !reply.GetRefused() {
			delay = watchRetryPause
			w.handleReply(req.GetFence(), address, reply)
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

// isRowDeleted reports whether the target's row has been deleted.
func (w *watch) isRowDeleted() bool {
	w.o.mu.Lock()
	defer w.o.mu.Unlock()
	return w.row == rowRetired
}

// nextRequest returns the request of the next Watch call and the address to send it to.
func (w *watch) nextRequest() (*agentrpc.WatchRequest, string) {
	o := w.o
	o.mu.Lock()
	defer o.mu.Unlock()
	if w.row == rowMissing {
		w.row = rowVerified
	}
	sinceConfirmed := time.Since(o.confirmedSentAt)
	// The monotonic clock stops while the machine is suspended; the wall clock does not.
	// The larger difference counts.
	maxSinceConfirmed := max(sinceConfirmed, time.Now().Round(0).Sub(o.confirmedSentAt.Round(0)))
	// A successor counts from the time in the row. That time is earlier than the transaction if the
	// process was paused or suspended before it.
	if storeNow, ok := o.deps.Clock.Now(); ok {
		maxSinceConfirmed = max(maxSinceConfirmed, o.row.age(storeNow))
	}
	r := &agentrpc.WatchRequest{
		Epoch: o.row.Epoch, Planner: o.cfg.Name, Fence: w.fence, Life: w.incarnation, SeenEnd: w.recordedEnd,
		WaitMillis: watchWait.Milliseconds(), Boot: w.boot, Revision: w.revision, UnconfirmedMillis: sinceConfirmed.Milliseconds(),
		AwaitLapse: o.plan.AwaitsLapse(w.name),
	}
	// Once the agent of this process has accepted the epoch of another owner, that owner
	// assumes that this one extends no more leases.
	if maxSinceConfirmed < unconfirmedGrantLimit && o.deps.Agent.Contact().Epoch <= o.row.Epoch {
		r.LeaseCapMillis = w.leaseCap
	}
	return r, w.address
}

// raiseFenceLocked raises the fencing token of the target, because its runs are given up. A start
// that the planner has ordered before, and that has not been carried out yet, has the old token:
// the agent refuses it, since it gets the new token with or before the next lease cap, and the
// worker does once the agent has called it with the new one.
func (w *watch) raiseFenceLocked(reason string) {
	w.fence++
	w.o.deps.Log.Info().Int("Event", EventFenceRaised).Str("Target", w.name).Int64("Fence", w.fence).Str("Reason", reason).Send()
}

// handleReply stores the state in the answer to a request with the given fencing token to the given
// address, and reports it to the planner.
func (w *watch) handleReply(sentFence int64, address string, reply *agentrpc.WatchReply) {
	o := w.o
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	restarted := w.answeredOnce && (reply.GetBoot() != w.boot || reply.GetWorker() != nil && w.incarnation != nil && !agentrpc.SameLife(w.incarnation, reply.GetWorker().GetLife()))
	if restarted {
		// Calls from before the restart of the agent or the worker may arrive late; they
		// carry the old token.
		w.fence++
	}
	if o.predecessor.row.names(w.name, address) {
		o.endPredecessorGrantsLocked(now)
	}
	w.lastAnswerAt, w.answeredOnce, w.connected, w.callFailed, w.lapsed = now, true, true, false, false
	w.boot, w.revision = reply.GetBoot(), reply.GetRevision()
	if worker := reply.GetWorker(); worker != nil {
		if !agentrpc.SameLife(w.incarnation, worker.GetLife()) {
			w.incarnation, w.recordedEnd, w.leaseCap = worker.GetLife(), 0, 0
		}
		if clock := worker.GetClockMillis(); clock > 0 {
			w.leaseCap = max(w.leaseCap, clock+leaseSpan.Milliseconds())
		}
	}
	if sentFence != w.fence {
		// The lists may have been confirmed under an old token. The planner must wait for lists
		// under the new one.
		reply.Listed = false
	}
	o.plan.Report(w.name, reply, now)
	if w.row == rowVerified {
		if reply.GetWorker().GetGone() {
			w.retireLocked()
			return
		}
		w.restoreRowLocked()
	}
	// The agent extends leases by at most LeaseMax and at most to the cap. Both the last
	// answer of the worker and the last call that could extend a lease must be older
	// than that.
	if since := min(reply.GetSilentMillis(), reply.GetUngrantedMillis()); time.Duration(since)*time.Millisecond > lapseAfter(min(o.cfg.LeaseMax, leaseSpan)) {
		if !w.silentLapsed {
			w.silentLapsed = true
			w.raiseFenceLocked("the worker does not answer")
		}
		o.plan.LoseRuns(w.name, "the worker does not answer", now)
	} else {
		w.silentLapsed = false
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
	o.mu.Lock()
	defer o.mu.Unlock()
	o.plan.SetConnected(w.name, false)
	w.connected, w.revision = false, 0
	w.callFailed, w.lastErr, w.refusedBy = true, err, reply.GetEpoch()
	if w.row == rowVerified && !processPaused {
		w.retireLocked()
		return
	}
	if !processPaused {
		w.checkLapseLocked(time.Now())
	}
}

// checkLapseLocked loses the runs on an unreachable target once their leases have
// certainly lapsed. Its agent may extend leases up to the cap that it got last. A target
// that has not been called yet may answer with ends that must not be lost.
func (w *watch) checkLapseLocked(now time.Time) {
	o := w.o
	if !w.callFailed || w.lapsed || w.row == rowRetired || now.Sub(o.lastGrantLocked(w.lastAnswerAt)) <= lapseAfter(leaseSpan) {
		return
	}
	w.lapsed = true
	w.raiseFenceLocked("lease lapsed")
	o.deps.Log.Warn().Int("Event", EventTargetLapsed).Str("Target", w.name).Dur("Silent", now.Sub(w.lastAnswerAt)).Err(w.lastErr).
		Uint64("RefusedBy", w.refusedBy).Msg("the leases on an unreachable target have lapsed; its runs are lost")
	o.deps.Metrics.GetOrCreateCounter(`medlargrade_targets_lapsed_total`).Inc()
	o.plan.LoseRuns(w.name, "lease lapsed", now)
	o.requestPass()
}

// checkLapses loses the runs on unreachable targets when their leases lapse, which may be
// long before the next call to a target fails. After a pause of this process it waits until
// each target could answer again.
func (o *owner) checkLapses(ctx context.Context) {
	lastCheck, resumedAt := time.Now(), time.Time{}
	for pause.For(ctx, lapseCheckPeriod) {
		now := time.Now()
		if now.Sub(lastCheck) > lapseCheckPeriod+processPauseLimit {
			resumedAt = now
		}
		lastCheck = now
		if now.Sub(resumedAt) <= watchWait+watchMargin {
			continue
		}
		o.mu.Lock()
		for _, w := range o.watches {
			w.checkLapseLocked(now)
		}
		o.mu.Unlock()
	}
}

// dispatch stores the numbers of the ends that a batch has recorded, which workers may
// then discard, and sends the orders of the batch.
func (o *owner) dispatch(ctx context.Context, b planner.Batch) {
	o.mu.Lock()
	for name, s := range b.EndAcks {
		if w := o.watches[name]; w != nil && agentrpc.SameLife(w.incarnation, s.Incarnation) {
			w.recordedEnd = max(w.recordedEnd, s.End)
		}
	}
	o.mu.Unlock()
	for _, t := range b.Orders {
		for _, piece := range splitOrders(t) {
			o.goProtected(&o.orderCalls, "orders for "+t.Target, func() { o.sendOrders(ctx, piece) })
		}
	}
}

// orderRequest returns the orders that are still valid, the request for them and the address
// to send it to.
func (o *owner) orderRequest(t planner.TargetOrders) (planner.TargetOrders, *agentrpc.OrderRequest, string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.watches[t.Target]
	if w == nil {
		return planner.TargetOrders{}, nil, ""
	}
	o.updateConfigLocked()
	t.Orders = slices.DeleteFunc(t.Orders, func(ord planner.Order) bool { return !o.plan.OrderValid(t.Target, ord) })
	req := &agentrpc.OrderRequest{Epoch: o.row.Epoch, Fence: w.fence, Life: t.Incarnation}
	for _, ord := range t.Orders {
		req.Orders = append(req.Orders, ord.Message)
	}
	return t, req, w.address
}

// sendOrders sends orders to the agent of a target and passes the results to the
// planner. It omits orders that are no longer valid, because their run was removed or
// stopped while the rows were written.
func (o *owner) sendOrders(ctx context.Context, t planner.TargetOrders) {
	t, req, address := o.orderRequest(t)
	if len(t.Orders) == 0 {
		return
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
