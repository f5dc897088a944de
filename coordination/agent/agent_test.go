package agent_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

const (
	leaseMax    = 10 * time.Second
	maxCallTime = 3 * time.Second // upper bound on the duration of any call of the agent
)

// fakeWorker gives the answers that a test sets and records the requests.
type fakeWorker struct {
	start time.Time

	mu           sync.Mutex
	unresponsive bool
	notListening bool   // calls are not sent
	id           string // calls that name another worker get ErrOtherIncarnation
	born         int64
	ended        []*agentrpc.RunEnd
	listLimit    int // how many ends it lists at a time; 0 for all
	running      []*agentrpc.RunStatus
	holds        []agent.HoldRequest
	starts       []agent.StartRequest
	startResult  func() error // returns the error of Start; nil for success
}

var (
	errNoAnswer     = errors.New("no answer")
	errNotListening = fmt.Errorf("dial: %w", agent.ErrNotListening)
)

func (w *fakeWorker) withLock(f func(w *fakeWorker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

func (w *fakeWorker) clock() agent.WorkerTime {
	return agent.WorkerTime(time.Since(w.start).Milliseconds() + 1)
}

func (w *fakeWorker) Hold(ctx context.Context, r agent.HoldRequest) (agent.HoldReply, error) {
	w.mu.Lock()
	w.holds = append(w.holds, r)
	unresponsive := w.unresponsive
	if w.notListening {
		defer w.mu.Unlock()
		return agent.HoldReply{}, errNotListening
	}
	if w.id != r.Worker && !unresponsive {
		defer w.mu.Unlock()
		return agent.HoldReply{}, agent.ErrOtherIncarnation
	}
	ended := make([]*agentrpc.RunEnd, 0, len(w.ended))
	for _, e := range w.ended {
		if e.GetNumber() > r.RecordedEnd {
			ended = append(ended, &agentrpc.RunEnd{Number: e.GetNumber(), Task: e.GetTask(), Run: e.GetRun(), How: e.GetHow(), Result: e.GetResult()})
		}
	}
	reply := agent.HoldReply{Clock: w.clock(), Born: w.born, Running: w.running, Ended: ended}
	if w.listLimit > 0 && len(ended) >= w.listLimit {
		reply.Ended, reply.MoreEnds = ended[:w.listLimit], true
	}
	w.mu.Unlock()
	if unresponsive {
		<-ctx.Done()
		return agent.HoldReply{}, errNoAnswer
	}
	if len(ended) == 0 && r.Wait > 0 {
		time.Sleep(r.Wait)
	}
	return reply, nil
}

func (w *fakeWorker) Start(_ context.Context, r agent.StartRequest) (agent.WorkerTime, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, r)
	if w.startResult != nil {
		return w.clock(), w.startResult()
	}
	return w.clock(), nil
}

func (w *fakeWorker) Stop(context.Context, agent.StopRequest) (agent.WorkerTime, error) {
	return w.clock(), nil
}

func (w *fakeWorker) Pace(context.Context, agent.PaceRequest) (agent.WorkerTime, error) {
	return w.clock(), nil
}

// harness is a running agent with a registered fakeWorker and an empty store.
type harness struct {
	c           *qt.C
	worker      *fakeWorker
	store       *tabletest.Store
	agent       *agent.Agent
	incarnation *agentrpc.Life
}

func withAgent(t *testing.T, f func(r *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWorker{start: time.Now(), id: "w-1", born: 7}
		r := &harness{c: qt.New(t), worker: w, store: tabletest.New(), incarnation: &agentrpc.Life{Worker: "w-1", Born: 7}}
		r.agent = agent.New(agent.Settings{Name: "target-1", LeaseMax: leaseMax}, w, r.store, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.agent.Run(ctx)
		}()
		r.agent.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: r.incarnation, Clock: 1, Sequence: 1})
		synctest.Wait()
		f(r)
		cancel()
		<-done
	})
}

// restart replaces the worker with its next incarnation, which sends its first heartbeat.
func (r *harness) restart(next *agentrpc.Life) {
	r.worker.withLock(func(w *fakeWorker) {
		w.id, w.born, w.unresponsive, w.notListening, w.running, w.ended = next.GetWorker(), next.GetBorn(), false, false, nil, nil
	})
	r.agent.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: next, Clock: 1, Sequence: 1})
	synctest.Wait()
}

func (r *harness) watch(in *agentrpc.WatchRequest) *agentrpc.WatchReply {
	r.c.Helper()
	if in.GetFence() == 0 {
		in.Epoch, in.Fence, in.Planner, in.Life = 1, 1, "target-2", r.incarnation
	}
	out, err := r.agent.Watch(r.c.Context(), in)
	r.c.Assert(err, qt.IsNil)
	return out
}

func (r *harness) startRun() *agentrpc.OrderResult {
	r.c.Helper()
	out, err := r.agent.Order(r.c.Context(), &agentrpc.OrderRequest{Epoch: 1, Fence: 1, Life: r.incarnation, Orders: []*agentrpc.Order{
		{Order: &agentrpc.Order_Start{Start: &agentrpc.Start{Task: "j.0.0.0", Run: 1}}},
	}})
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(out.GetRefused(), qt.IsFalse)
	return out.GetResults()[0]
}

// Guards against leases beyond the planner's cap: a run would continue after the
// planner has started its task elsewhere.
func TestLeaseEndsAtCap(t *testing.T) {
	withAgent(t, func(r *harness) {
		const limit = agent.WorkerTime(12_000)
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: int64(limit)})
		time.Sleep(20 * time.Second)
		r.worker.withLock(func(w *fakeWorker) {
			latest := agent.WorkerTime(0)
			for _, h := range w.holds {
				latest = max(latest, h.Until)
			}
			r.c.Check(latest, qt.Equals, limit)
		})
		res := r.startRun()
		r.c.Check(res.GetOutcome(), qt.Equals, agentrpc.Outcome_REFUSED)
		r.c.Check(res.GetReason(), qt.Equals, agent.ReasonNoLease)
	})
}

// Guards against two concurrent runs of a task. A worker was restarted under the same
// ID while its answers were lost, and read the lease end on its former clock as a time
// on its new one. That lease outlasted the time after which the planner gave up the run.
func TestNoLeaseIsExtendedWhileTheWorkerDoesNotAnswer(t *testing.T) {
	withAgent(t, func(r *harness) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		time.Sleep(5 * time.Second)
		r.worker.withLock(func(w *fakeWorker) { w.unresponsive, w.holds = true, nil })
		time.Sleep(maxCallTime)
		// Only the first unanswered call may carry a lease.
		r.worker.withLock(func(w *fakeWorker) { w.holds = nil })
		res := r.startRun()
		r.c.Check(res.GetReason(), qt.Equals, agent.ReasonNoLease)
		time.Sleep(8 * time.Second)
		r.worker.withLock(func(w *fakeWorker) {
			// A hold takes 500 ms until its timeout, and the delay before the next one is
			// 150 ms: about 12 holds in 8 s.
			r.c.Check(len(w.holds) > 5, qt.IsTrue, qt.Commentf("%d holds", len(w.holds)))
			for _, h := range w.holds {
				r.c.Check(h.Until, qt.Equals, agent.WorkerTime(0))
			}
		})
		out := r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		// The last hold with a lease was sent before the pause of 8 s.
		r.c.Check(out.GetUngrantedMillis() >= 8000, qt.IsTrue, qt.Commentf("%d ms", out.GetUngrantedMillis()))
		r.c.Check(out.GetSilentMillis() >= out.GetUngrantedMillis(), qt.IsTrue)

		r.worker.withLock(func(w *fakeWorker) { w.unresponsive, w.holds = false, nil })
		time.Sleep(maxCallTime)
		r.worker.withLock(func(w *fakeWorker) { r.c.Check(w.holds[len(w.holds)-1].Until > 0, qt.IsTrue) })
	})
}

// Guards against reporting a start as refused that may still be carried out: the
// planner would start the task elsewhere as well. A refusal after an unanswered
// attempt does not prove that the earlier attempt had no effect.
func TestUnknownStartStaysUnknown(t *testing.T) {
	withAgent(t, func(r *harness) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		time.Sleep(maxCallTime)
		r.worker.withLock(func(w *fakeWorker) { w.startResult = func() error { return errNoAnswer } })
		r.c.Check(r.startRun().GetOutcome(), qt.Equals, agentrpc.Outcome_UNKNOWN)
		r.worker.withLock(func(w *fakeWorker) {
			w.startResult = func() error { return &agent.RefusedError{Reason: agent.ReasonNoCapacity} }
		})
		r.c.Check(r.startRun().GetOutcome(), qt.Equals, agentrpc.Outcome_UNKNOWN)
		r.agent.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: r.incarnation, Clock: 1, Sequence: 2, Draining: true})
		r.c.Check(r.startRun().GetOutcome(), qt.Equals, agentrpc.Outcome_UNKNOWN)
	})
}

// Guards against starts on workers that are draining or have deregistered, by planners
// with a lower epoch, for former incarnations, and before the worker has confirmed the
// fencing token.
func TestOrdersAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *harness, in *agentrpc.OrderRequest)
		reason string // of the order; empty if the whole request is refused
	}{
		{"draining worker", func(r *harness, _ *agentrpc.OrderRequest) {
			r.agent.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: r.incarnation, Clock: 1, Sequence: 2, Draining: true})
		}, agent.ReasonDraining},
		{"deregistered worker", func(r *harness, _ *agentrpc.OrderRequest) { r.agent.WorkerDeregistered("w-1") }, agent.ReasonDraining},
		{"old epoch", func(r *harness, _ *agentrpc.OrderRequest) { r.agent.RaiseEpoch(2) }, ""},
		{"former incarnation", func(_ *harness, in *agentrpc.OrderRequest) { in.Life = &agentrpc.Life{Worker: "w-1", Born: 6} }, ""},
		{"fence not confirmed", func(r *harness, in *agentrpc.OrderRequest) {
			r.worker.withLock(func(w *fakeWorker) { w.unresponsive = true })
			in.Fence = 9
		}, agent.ReasonNoLease},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) {
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
				time.Sleep(maxCallTime)
				in := &agentrpc.OrderRequest{Epoch: 1, Fence: 1, Life: r.incarnation, Orders: []*agentrpc.Order{
					{Order: &agentrpc.Order_Start{Start: &agentrpc.Start{Task: "j.0.0.0", Run: 1}}},
				}}
				tt.change(r, in)
				out, err := r.agent.Order(r.c.Context(), in)
				r.c.Assert(err, qt.IsNil)
				r.c.Check(out.GetRefused(), qt.Equals, tt.reason == "")
				if tt.reason != "" {
					r.c.Check(out.GetResults()[0].GetOutcome(), qt.Equals, agentrpc.Outcome_REFUSED)
					r.c.Check(out.GetResults()[0].GetReason(), qt.Equals, tt.reason)
				}
				r.worker.withLock(func(w *fakeWorker) { r.c.Check(w.starts, qt.HasLen, 0) })
			})
		})
	}
}

// Guards against reporting an end before its result is stored, against a busy loop
// while the result can't be stored, and against acknowledging an end that the planner
// has not recorded.
func TestEndWaitsForItsResult(t *testing.T) {
	withAgent(t, func(r *harness) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		r.store.SetDown(true)
		r.worker.withLock(func(w *fakeWorker) {
			w.ended = []*agentrpc.RunEnd{
				{Number: 1, Task: "j.0.0.0", Run: 1, How: "done", Result: []byte("short")},
				{Number: 2, Task: "j.0.0.1", Run: 1, How: "done", Result: make([]byte, 4096)},
			}
			w.holds = nil
		})
		time.Sleep(5 * time.Second)
		out := r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		r.c.Assert(out.GetEnded(), qt.HasLen, 1)
		r.c.Check(out.GetEnded()[0].GetTask(), qt.Equals, "j.0.0.0")
		r.worker.withLock(func(w *fakeWorker) {
			// The delay between holds is 200 ms: 25 holds in 5 s.
			r.c.Check(len(w.holds) <= 30, qt.IsTrue, qt.Commentf("%d holds in 5 s", len(w.holds)))
		})

		r.store.SetDown(false)
		time.Sleep(time.Second)
		out = r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		r.c.Assert(out.GetEnded(), qt.HasLen, 2)
		key := out.GetEnded()[1].GetResultObject()
		body, err := r.store.GetObject(t.Context(), key)
		r.c.Assert(err, qt.IsNil)
		r.c.Check(body, qt.HasLen, 4096)

		// The worker may discard only ends that the planner has recorded.
		r.watch(&agentrpc.WatchRequest{SeenEnd: 1})
		time.Sleep(time.Second)
		r.worker.withLock(func(w *fakeWorker) { r.c.Check(w.holds[len(w.holds)-1].RecordedEnd, qt.Equals, int64(1)) })
	})
}

// Guards against a delayed heartbeat of the worker that replaces a newer incarnation or
// state.
func TestOldHeartbeatsAreIgnored(t *testing.T) {
	tests := []struct {
		name      string
		heartbeat agent.WorkerHeartbeat
		accepted  bool
	}{
		{"newer", agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-1", Born: 7}, Sequence: 2}, true},
		{"same sequence", agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-1", Born: 7}, Sequence: 1}, false},
		{"former incarnation", agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-0", Born: 6}, Sequence: 9}, false},
		{"next incarnation under the same ID", agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-1", Born: 8}, Sequence: 1}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) { r.c.Check(r.agent.RecordHeartbeat(tt.heartbeat), qt.Equals, tt.accepted) })
		})
	}
}

// Guards against a worker that is ignored for ever, because the time of day of its machine had
// jumped back before it started again.
func TestWorkerThatStartsAgainWithEarlierTime(t *testing.T) {
	withAgent(t, func(r *harness) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 60_000})
		time.Sleep(2 * time.Second)
		next := agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-2", Born: 6}, Clock: 1, Sequence: 1}
		r.c.Assert(r.agent.RecordHeartbeat(next), qt.IsFalse, qt.Commentf("a late heartbeat, as long as the known incarnation answers"))
		r.worker.withLock(func(w *fakeWorker) { w.id, w.born = "w-2", 6 })
		time.Sleep(2 * time.Second)
		next.Sequence++
		r.c.Check(r.agent.RecordHeartbeat(next), qt.IsTrue)
		synctest.Wait()
		r.c.Check(r.watch(&agentrpc.WatchRequest{}).GetWorker().GetLife().GetWorker(), qt.Equals, "w-2")
	})
}

// Guards against a planner that keeps waiting for a worker that has deregistered and ended,
// and against one that takes a worker for gone which only does not answer for a while: its
// runs would be started elsewhere while they go on.
func TestDeregisteredWorkerIsGone(t *testing.T) {
	// The lease of 10 s, 2 % for the drift of the worker's clock and a margin of 0.5 s.
	const lapse = 10700 * time.Millisecond
	noListener := func(w *fakeWorker) { w.notListening = true }
	run := func(r *harness) {
		r.c.Assert(r.startRun().GetOutcome(), qt.Equals, agentrpc.Outcome_DONE)
		r.worker.withLock(func(w *fakeWorker) { w.running = []*agentrpc.RunStatus{{Task: "j.0.0.0", Run: 1}} })
	}
	tests := []struct {
		name   string
		before func(r *harness) // what the worker was ordered before; nil for nothing
		fault  func(w *fakeWorker)
		after  time.Duration // no earlier than this it is gone
	}{
		{"its address has no listener", nil, noListener, 0},
		{"it does not answer", nil, func(w *fakeWorker) { w.unresponsive = true }, lapse},
		{"its address refuses connections under a run", run, noListener, lapse},
		{"its address refuses connections after a start without an answer", func(r *harness) {
			r.worker.withLock(func(w *fakeWorker) { w.startResult = func() error { return errNoAnswer } })
			r.c.Assert(r.startRun().GetOutcome(), qt.Equals, agentrpc.Outcome_UNKNOWN)
		}, noListener, lapse},
		{"its run has ended", func(r *harness) {
			run(r)
			time.Sleep(time.Second)
			r.worker.withLock(func(w *fakeWorker) {
				w.running, w.ended = nil, []*agentrpc.RunEnd{{Number: 1, Task: "j.0.0.0", Run: 1, How: "done"}}
			})
		}, noListener, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) {
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
				time.Sleep(maxCallTime)
				if tt.before != nil {
					tt.before(r)
					time.Sleep(maxCallTime)
				}
				r.agent.WorkerDeregistered("w-1")
				r.c.Check(r.agent.WorkerGone(), qt.IsFalse)
				r.worker.withLock(tt.fault)
				time.Sleep(max(tt.after-time.Second, 0))
				if tt.after > 0 {
					r.c.Check(r.agent.WorkerGone(), qt.IsFalse)
				}
				time.Sleep(time.Second + maxCallTime)
				r.c.Check(r.agent.WorkerGone(), qt.IsTrue)
				r.c.Check(r.watch(&agentrpc.WatchRequest{}).GetWorker().GetGone(), qt.IsTrue)
			})
		})
	}
}

// Guards against a worker that gets no work any more, because the notice that its former
// incarnation under the same ID ends arrived late.
func TestLateDeregistration(t *testing.T) {
	tests := []struct {
		name       string
		heartbeats []agent.WorkerHeartbeat // after the notice
		draining   bool
	}{
		{"no heartbeat", nil, true},
		{"ready", []agent.WorkerHeartbeat{{Clock: 1, Sequence: 2}}, false},
		{"late heartbeat", []agent.WorkerHeartbeat{{Clock: 1, Sequence: 1}}, true},
		{"draining", []agent.WorkerHeartbeat{{Clock: 1, Sequence: 2, Draining: true}}, true},
		{"draining, then ready", []agent.WorkerHeartbeat{{Clock: 1, Sequence: 2, Draining: true}, {Clock: 1, Sequence: 3}}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) {
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
				time.Sleep(maxCallTime)
				r.agent.WorkerDeregistered("w-1")
				for _, h := range tt.heartbeats {
					h.Incarnation = r.incarnation
					r.agent.RecordHeartbeat(h)
				}
				r.c.Check(r.watch(&agentrpc.WatchRequest{}).GetWorker().GetDraining(), qt.Equals, tt.draining)
			})
		})
	}
}

// Guards against a start that counts as possibly carried out although nothing was sent: an
// at-most-once job would be lost for nothing.
func TestUnsentStartIsRefused(t *testing.T) {
	start := &agentrpc.Start{Task: "j.0.0.0", Run: 1}
	withPayload := &agentrpc.Start{Task: "j.0.0.0", Run: 1, PayloadObject: "missing"}
	tests := []struct {
		name   string
		start  *agentrpc.Start
		errs   []error // of the calls of the worker, in order
		reason string  // of the refusal; empty if the outcome is unknown
	}{
		{"no payload", withPayload, nil, agent.ReasonNoPayload},
		{"never sent", start, []error{errNotListening, errNotListening}, agent.ReasonNotSent},
		{"sent once", start, []error{errNotListening, errNoAnswer}, ""},
		{"sent first", start, []error{errNoAnswer, errNotListening}, ""},
		{"refused after no answer", start, []error{errNoAnswer, &agent.RefusedError{Reason: agent.ReasonNoCapacity}}, ""},
		{"refused", start, []error{&agent.RefusedError{Reason: agent.ReasonNoCapacity}}, agent.ReasonNoCapacity},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) {
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
				time.Sleep(maxCallTime)
				n := 0
				r.worker.withLock(func(w *fakeWorker) {
					w.startResult = func() error {
						n++
						return tt.errs[n-1]
					}
				})
				out, err := r.agent.Order(r.c.Context(), &agentrpc.OrderRequest{Epoch: 1, Fence: 1, Life: r.incarnation, Orders: []*agentrpc.Order{
					{Order: &agentrpc.Order_Start{Start: tt.start}},
				}})
				r.c.Assert(err, qt.IsNil)
				res := out.GetResults()[0]
				if tt.reason == "" {
					r.c.Check(res.GetOutcome(), qt.Equals, agentrpc.Outcome_UNKNOWN)
					r.c.Check(r.agent.State().InDoubt, qt.Equals, 1)
					return
				}
				r.c.Check(res.GetOutcome(), qt.Equals, agentrpc.Outcome_REFUSED)
				r.c.Check(res.GetReason(), qt.Equals, tt.reason)
				r.c.Check(r.agent.State().InDoubt, qt.Equals, 0)
			})
		})
	}
}

// Guards against a refused order that raises the fencing token: the worker would refuse the
// orders of the planner that is in charge until that sends a higher one.
func TestRefusedOrderKeepsFence(t *testing.T) {
	tests := []struct {
		name string
		in   *agentrpc.OrderRequest
	}{
		{"lower epoch", &agentrpc.OrderRequest{Epoch: 1, Fence: 9, Life: &agentrpc.Life{Worker: "w-1", Born: 7}}},
		{"former incarnation", &agentrpc.OrderRequest{Epoch: 2, Fence: 9, Life: &agentrpc.Life{Worker: "w-1", Born: 6}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) {
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
				r.agent.RaiseEpoch(2)
				out, err := r.agent.Order(r.c.Context(), tt.in)
				r.c.Assert(err, qt.IsNil)
				r.c.Check(out.GetRefused(), qt.IsTrue)
				r.c.Check(r.agent.State().Fence, qt.Equals, int64(1))
			})
		})
	}
}

// Guards against a run that is taken for one that was stopped before it started, and started
// again, because its end is not listed while its result can't be stored: a list that lacks ends
// must not count as one that shows the effect of a stop.
func TestListWithoutEndsShowsNoStop(t *testing.T) {
	withAgent(t, func(r *harness) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		time.Sleep(maxCallTime)
		r.store.SetDown(true)
		r.worker.withLock(func(w *fakeWorker) {
			w.ended = []*agentrpc.RunEnd{{Number: 1, Task: "j.0.0.0", Run: 1, How: "done", Result: make([]byte, 4096)}}
		})
		time.Sleep(maxCallTime)
		out, err := r.agent.Order(r.c.Context(), &agentrpc.OrderRequest{Epoch: 1, Fence: 1, Life: r.incarnation, Orders: []*agentrpc.Order{
			{Order: &agentrpc.Order_Stop{Stop: &agentrpc.Stop{Task: "j.0.0.0", Run: 1}}},
		}})
		r.c.Assert(err, qt.IsNil)
		stopped := out.GetResults()[0].GetLook()
		r.c.Assert(stopped > 0, qt.IsTrue)
		time.Sleep(maxCallTime)
		reply := r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		r.c.Check(reply.GetEnded(), qt.HasLen, 0)
		r.c.Check(reply.GetLook() < stopped, qt.IsTrue, qt.Commentf("list of poll %d, stop shown by poll %d", reply.GetLook(), stopped))
		r.store.SetDown(false)
		time.Sleep(maxCallTime)
		reply = r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		r.c.Check(reply.GetEnded(), qt.HasLen, 1)
		r.c.Check(reply.GetLook() >= stopped, qt.IsTrue)
	})
}

// Guards against a stop that is confirmed only when the hold in progress, and another one,
// have waited in vain for an end: nothing ends if the run was never started.
func TestStopIsConfirmedAtOnce(t *testing.T) {
	withAgent(t, func(r *harness) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		time.Sleep(maxCallTime)
		begin := time.Now()
		out, err := r.agent.Order(r.c.Context(), &agentrpc.OrderRequest{Epoch: 1, Fence: 1, Life: r.incarnation, Orders: []*agentrpc.Order{
			{Order: &agentrpc.Order_Stop{Stop: &agentrpc.Stop{Task: "j.0.0.0", Run: 1}}},
			{Order: &agentrpc.Order_Stop{Stop: &agentrpc.Stop{Task: "j.0.0.1", Run: 1}}},
		}})
		r.c.Assert(err, qt.IsNil)
		reply := r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		for _, res := range out.GetResults() {
			r.c.Check(reply.GetLook() >= res.GetLook(), qt.IsTrue, qt.Commentf("list of poll %d, stop shown by poll %d", reply.GetLook(), res.GetLook()))
		}
		r.c.Check(time.Since(begin) < 100*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", time.Since(begin)))
	})
}

// Guards against a list that is replaced by an older one, whose hold was sent before and
// answered after it.
func TestOlderListIsIgnored(t *testing.T) {
	withAgent(t, func(r *harness) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		time.Sleep(maxCallTime)
		// The hold in progress gets the lists of now when it ends.
		r.worker.withLock(func(w *fakeWorker) { w.running = []*agentrpc.RunStatus{{Task: "j.0.0.0", Run: 1}} })
		stop := &agentrpc.OrderRequest{Epoch: 1, Fence: 1, Life: r.incarnation, Orders: []*agentrpc.Order{
			{Order: &agentrpc.Order_Stop{Stop: &agentrpc.Stop{Task: "j.0.0.1", Run: 1}}},
		}}
		_, err := r.agent.Order(r.c.Context(), stop)
		r.c.Assert(err, qt.IsNil)
		r.c.Check(r.watch(&agentrpc.WatchRequest{}).GetRunning(), qt.HasLen, 1)
		for range 30 {
			time.Sleep(50 * time.Millisecond)
			r.c.Check(r.watch(&agentrpc.WatchRequest{}).GetRunning(), qt.HasLen, 1)
		}
	})
}

// Guards against runs that are kept for ever on a worker that ended while its agent was down: an
// agent that knows no worker must report since when it has known none.
func TestAgentWithoutWorkerReportsSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := agent.New(agent.Settings{Name: "target-1", LeaseMax: leaseMax}, &fakeWorker{start: time.Now()}, tabletest.New(), zerolog.Nop())
		time.Sleep(20 * time.Second)
		out, err := a.Watch(t.Context(), &agentrpc.WatchRequest{Epoch: 1, Fence: 1, Planner: "target-2"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, out.GetWorker(), qt.IsNil)
		qt.Check(t, out.GetSilentMillis(), qt.Equals, int64(20_000))
		qt.Check(t, out.GetUngrantedMillis(), qt.Equals, int64(20_000))
	})
}
