package agent_test

import (
	"context"
	"errors"
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
	holdMax   = 10 * time.Second
	callBound = 3 * time.Second // longer than any call of the agent lasts
)

// fakeWorker answers as the test says and keeps what it was asked.
type fakeWorker struct {
	start time.Time

	mu      sync.Mutex
	silent  bool
	born    int64
	ended   []*agentrpc.RunEnd
	running []*agentrpc.RunStatus
	holds   []agent.HoldRequest
	starts  []agent.StartRequest
	answer  func() error // of a start
}

var errNoAnswer = errors.New("no answer")

func (w *fakeWorker) set(f func(w *fakeWorker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

func (w *fakeWorker) clock() agent.Clock { return agent.Clock(time.Since(w.start).Milliseconds() + 1) }

func (w *fakeWorker) Hold(ctx context.Context, r agent.HoldRequest) (agent.HoldReply, error) {
	w.mu.Lock()
	w.holds = append(w.holds, r)
	silent := w.silent
	ended := make([]*agentrpc.RunEnd, 0, len(w.ended))
	for _, e := range w.ended {
		if e.GetNumber() > r.Seen {
			ended = append(ended, &agentrpc.RunEnd{Number: e.GetNumber(), Task: e.GetTask(), Run: e.GetRun(), How: e.GetHow(), Result: e.GetResult()})
		}
	}
	reply := agent.HoldReply{Clock: w.clock(), Born: w.born, Running: w.running, Ended: ended}
	w.mu.Unlock()
	if silent {
		<-ctx.Done()
		return agent.HoldReply{}, errNoAnswer
	}
	if len(ended) == 0 && r.Wait > 0 {
		time.Sleep(r.Wait)
	}
	return reply, nil
}

func (w *fakeWorker) Start(_ context.Context, r agent.StartRequest) (agent.Clock, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts = append(w.starts, r)
	if w.answer != nil {
		return w.clock(), w.answer()
	}
	return w.clock(), nil
}

func (w *fakeWorker) Stop(context.Context, agent.StopRequest) (agent.Clock, error) {
	return w.clock(), nil
}

func (w *fakeWorker) Pace(context.Context, agent.PaceRequest) (agent.Clock, error) {
	return w.clock(), nil
}

// rig is an agent with a worker that has registered.
type rig struct {
	c      *qt.C
	worker *fakeWorker
	store  *tabletest.Store
	agent  *agent.Agent
	life   *agentrpc.Life
}

func run(t *testing.T, f func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := &fakeWorker{start: time.Now(), born: 7}
		r := &rig{c: qt.New(t), worker: w, store: tabletest.New(), life: &agentrpc.Life{Worker: "w-1", Born: 7}}
		r.agent = agent.New(agent.Settings{Name: "side-1", HoldMax: holdMax}, w, r.store, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			r.agent.Run(ctx)
		}()
		r.agent.SetWorker(agent.Info{Life: r.life, Clock: 1, Sequence: 1})
		f(r)
		cancel()
		<-done
	})
}

func (r *rig) watch(in *agentrpc.WatchRequest) *agentrpc.WatchReply {
	r.c.Helper()
	if in.GetFence() == 0 {
		in.Epoch, in.Fence, in.Planner, in.Life = 1, 1, "side-2", r.life
	}
	out, err := r.agent.Watch(r.c.Context(), in)
	r.c.Assert(err, qt.IsNil)
	return out
}

func (r *rig) startRun() *agentrpc.OrderResult {
	r.c.Helper()
	out, err := r.agent.Order(r.c.Context(), &agentrpc.OrderRequest{Epoch: 1, Fence: 1, Life: r.life, Orders: []*agentrpc.Order{
		{Order: &agentrpc.Order_Start{Start: &agentrpc.Start{Task: "j.0.0.0", Run: 1}}},
	}})
	r.c.Assert(err, qt.IsNil)
	r.c.Assert(out.GetRefused(), qt.IsFalse)
	return out.GetResults()[0]
}

// Guards against leases that outlast the planner's cap, so that work would run on
// after the planner has started it elsewhere.
func TestLeaseEndsAtTheCap(t *testing.T) {
	run(t, func(r *rig) {
		const limit = agent.Clock(12_000)
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: int64(limit)})
		time.Sleep(20 * time.Second)
		r.worker.set(func(w *fakeWorker) {
			latest := agent.Clock(0)
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

// Guards against two runs of a task: a worker that was started again under its ID,
// and whose answers are lost, took the lease of the former life's clock for one of
// its own, which outlasted the time after which the planner gave up the run.
func TestNoLeaseIsExtendedWhileTheWorkerDoesNotAnswer(t *testing.T) {
	run(t, func(r *rig) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		time.Sleep(5 * time.Second)
		r.worker.set(func(w *fakeWorker) { w.silent, w.holds = true, nil })
		time.Sleep(callBound)
		// Only the call that was to be answered first may carry a lease.
		r.worker.set(func(w *fakeWorker) { w.holds = nil })
		res := r.startRun()
		r.c.Check(res.GetReason(), qt.Equals, agent.ReasonNoLease)
		time.Sleep(8 * time.Second)
		r.worker.set(func(w *fakeWorker) {
			r.c.Check(len(w.holds) > 5, qt.IsTrue, qt.Commentf("%d holds", len(w.holds)))
			for _, h := range w.holds {
				r.c.Check(h.Until, qt.Equals, agent.Clock(0))
			}
		})
		out := r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		r.c.Check(out.GetUngrantedMillis() >= 8000, qt.IsTrue, qt.Commentf("%d ms", out.GetUngrantedMillis()))
		r.c.Check(out.GetSilentMillis() >= out.GetUngrantedMillis(), qt.IsTrue)

		r.worker.set(func(w *fakeWorker) { w.silent, w.holds = false, nil })
		time.Sleep(callBound)
		r.worker.set(func(w *fakeWorker) { r.c.Check(w.holds[len(w.holds)-1].Until > 0, qt.IsTrue) })
	})
}

// Guards against a start that may still be carried out being reported as refused:
// the planner would start the task elsewhere.
func TestDoubtAboutAStartStays(t *testing.T) {
	run(t, func(r *rig) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		time.Sleep(callBound)
		r.worker.set(func(w *fakeWorker) { w.answer = func() error { return errNoAnswer } })
		r.c.Check(r.startRun().GetOutcome(), qt.Equals, agentrpc.Outcome_UNKNOWN)
		r.worker.set(func(w *fakeWorker) {
			w.answer = func() error { return &agent.RefusedError{Reason: agent.ReasonRoom} }
		})
		r.c.Check(r.startRun().GetOutcome(), qt.Equals, agentrpc.Outcome_UNKNOWN)
		r.agent.SetWorker(agent.Info{Life: r.life, Clock: 1, Sequence: 2, Draining: true})
		r.c.Check(r.startRun().GetOutcome(), qt.Equals, agentrpc.Outcome_UNKNOWN)
	})
}

// Guards against starts on workers that leave, by planners of the past, and for
// former lives.
func TestOrdersAreRefused(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *rig, in *agentrpc.OrderRequest)
		reason string // of the order; empty if the whole request is refused
	}{
		{"leaving", func(r *rig, _ *agentrpc.OrderRequest) {
			r.agent.SetWorker(agent.Info{Life: r.life, Clock: 1, Sequence: 2, Draining: true})
		}, agent.ReasonDraining},
		{"left", func(r *rig, _ *agentrpc.OrderRequest) { r.agent.WorkerLeft("w-1") }, agent.ReasonDraining},
		{"old epoch", func(r *rig, _ *agentrpc.OrderRequest) { r.agent.RaiseEpoch(2) }, ""},
		{"former life", func(_ *rig, in *agentrpc.OrderRequest) { in.Life = &agentrpc.Life{Worker: "w-1", Born: 6} }, ""},
		{"fence not confirmed", func(r *rig, in *agentrpc.OrderRequest) {
			r.worker.set(func(w *fakeWorker) { w.silent = true })
			in.Fence = 9
		}, agent.ReasonNoLease},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(r *rig) {
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
				time.Sleep(callBound)
				in := &agentrpc.OrderRequest{Epoch: 1, Fence: 1, Life: r.life, Orders: []*agentrpc.Order{
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
				r.worker.set(func(w *fakeWorker) { r.c.Check(w.starts, qt.HasLen, 0) })
			})
		})
	}
}

// Guards against an end that is reported before its result is kept, and against a
// busy loop while the result can't be stored.
func TestEndWaitsForItsResult(t *testing.T) {
	run(t, func(r *rig) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		r.store.SetDown(true)
		r.worker.set(func(w *fakeWorker) {
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
		r.worker.set(func(w *fakeWorker) {
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

		// Only what is recorded may be forgotten by the worker.
		r.watch(&agentrpc.WatchRequest{SeenEnd: 1})
		time.Sleep(time.Second)
		r.worker.set(func(w *fakeWorker) { r.c.Check(w.holds[len(w.holds)-1].Seen, qt.Equals, int64(1)) })
	})
}

// Guards against a late report that brings back a former life or state.
func TestLateReportsAreDropped(t *testing.T) {
	tests := []struct {
		name  string
		info  agent.Info
		taken bool
	}{
		{"newer", agent.Info{Life: &agentrpc.Life{Worker: "w-1", Born: 7}, Sequence: 2}, true},
		{"same sequence", agent.Info{Life: &agentrpc.Life{Worker: "w-1", Born: 7}, Sequence: 1}, false},
		{"former life", agent.Info{Life: &agentrpc.Life{Worker: "w-0", Born: 6}, Sequence: 9}, false},
		{"next life under the same ID", agent.Info{Life: &agentrpc.Life{Worker: "w-1", Born: 8}, Sequence: 1}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(r *rig) { r.c.Check(r.agent.SetWorker(tt.info), qt.Equals, tt.taken) })
		})
	}
}

// Guards against a planner that waits for a worker that has left: it is gone once
// it no longer answers.
func TestLeftWorkerIsGone(t *testing.T) {
	run(t, func(r *rig) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		time.Sleep(callBound)
		r.agent.WorkerLeft("w-1")
		r.c.Check(r.agent.Gone(), qt.IsFalse)
		r.worker.set(func(w *fakeWorker) { w.silent = true })
		time.Sleep(callBound)
		r.c.Check(r.agent.Gone(), qt.IsTrue)
		r.c.Check(r.watch(&agentrpc.WatchRequest{}).GetWorker().GetGone(), qt.IsTrue)
	})
}
