package agent_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// Guards against a worker that is replaced on the word of a heartbeat alone: the planner would give
// up its runs, and start their tasks a second time, while they go on.
func TestHeartbeatsOfOthersReplaceNoWorker(t *testing.T) {
	tests := []struct {
		name  string
		other agent.WorkerHeartbeat
		fault func(w *fakeWorker) // before the heartbeat; nil for none
	}{
		{name: "another program", other: agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-x", Born: 99}, Pool: "unknown"}},
		{name: "another program without a start time", other: agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-x"}}},
		{name: "the ID of the worker with a later start time", other: agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-1", Born: 99}}},
		{name: "the ID of the worker with an earlier start time", other: agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-1", Born: 6}}},
		{name: "late, of a former worker", other: agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-0", Born: 6}}},
		{name: "late, of a former worker whose clock was ahead", other: agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-0", Born: 8}}},
		{name: "draining", other: agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-x", Born: 99}, Draining: true}},
		{
			name: "while the worker does not answer", other: agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-x", Born: 99}},
			fault: func(w *fakeWorker) { w.unresponsive = true },
		},
		{
			name: "while the worker's address refuses connections", other: agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-x", Born: 99}},
			fault: func(w *fakeWorker) { w.notListening = true },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) {
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 60_000})
				time.Sleep(maxCallTime)
				r.worker.withLock(func(w *fakeWorker) {
					w.running = []*agentrpc.RunStatus{{Task: "j.0.0.0", Run: 1}}
					if tt.fault != nil {
						tt.fault(w)
					}
				})
				for n := range 4 {
					tt.other.Clock, tt.other.Sequence = 5000, uint64(n+1) //nolint:gosec // small
					r.agent.RecordHeartbeat(tt.other)
					r.agent.WorkerDeregistered("w-x")
					r.agent.RecordHeartbeat(tt.other)
					time.Sleep(time.Second)
					reply := r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 60_000})
					r.c.Assert(agentrpc.SameLife(reply.GetWorker().GetLife(), r.incarnation), qt.IsTrue, qt.Commentf("%v", reply.GetWorker()))
					r.c.Check(reply.GetWorker().GetDraining(), qt.IsFalse)
					r.c.Check(reply.GetCrashes(), qt.HasLen, 0)
				}
				r.worker.withLock(func(w *fakeWorker) { w.unresponsive, w.notListening = false, false })
				time.Sleep(maxCallTime)
				reply := r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 60_000})
				r.c.Check(reply.GetListed(), qt.IsTrue)
				r.c.Check(reply.GetRunning(), qt.HasLen, 1)
				r.worker.withLock(func(w *fakeWorker) {
					last := w.holds[len(w.holds)-1]
					r.c.Check([]any{last.Worker, last.Until > 0}, qt.DeepEquals, []any{"w-1", true}, qt.Commentf("the lease of the worker is renewed"))
				})
			})
		})
	}
}

// Guards against an agent that, after its own restart, takes the first heartbeat for that of the
// worker, and against one that no longer registers the worker beside such heartbeats.
func TestFirstHeartbeatIsOfAnother(t *testing.T) {
	tests := []struct {
		name  string
		other *agentrpc.Life
	}{
		{"late, of a former worker", &agentrpc.Life{Worker: "w-0", Born: 6}},
		{"late, of a former incarnation under the same ID", &agentrpc.Life{Worker: "w-1", Born: 6}},
		{"another program", &agentrpc.Life{Worker: "w-x", Born: 99}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &fakeWorker{start: time.Now(), id: "w-1", born: 7, running: []*agentrpc.RunStatus{{Task: "j.0.0.0", Run: 1}}}
				a := agent.New(agent.Settings{Name: "target-1", LeaseMax: leaseMax}, w, tabletest.New(), zerolog.Nop())
				ctx, cancel := context.WithCancel(t.Context())
				done := make(chan struct{})
				go func() {
					defer close(done)
					a.Run(ctx)
				}()
				registered := func() *agentrpc.Worker {
					out, err := a.Watch(t.Context(), &agentrpc.WatchRequest{Epoch: 1, Fence: 1, Planner: "target-2"})
					qt.Assert(t, err, qt.IsNil)
					return out.GetWorker()
				}
				a.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: tt.other, Clock: 5000, Sequence: 9})
				synctest.Wait()
				qt.Check(t, registered(), qt.IsNil)
				a.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-1", Born: 7}, Clock: 1, Sequence: 1})
				synctest.Wait()
				qt.Check(t, agentrpc.SameLife(registered().GetLife(), &agentrpc.Life{Worker: "w-1", Born: 7}), qt.IsTrue)
				w.withLock(func(w *fakeWorker) {
					for _, h := range w.holds {
						qt.Check(t, h.Worker == "w-1" || h.Until == 0 && h.RecordedEnd == 0, qt.IsTrue, qt.Commentf("%+v", h))
					}
				})
				cancel()
				<-done
			})
		})
	}
}

// Guards against a worker that started again and is not registered at once, because other programs
// send heartbeats or its first answers are lost: its machine would stand idle.
func TestNextWorkerRegistersBesideOthers(t *testing.T) {
	withAgent(t, func(r *harness) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 60_000})
		time.Sleep(maxCallTime)
		for n := range 9 {
			r.agent.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-x", Born: int64(90 + n)}, Clock: 1, Sequence: 1})
		}
		r.restart(&agentrpc.Life{Worker: "w-2", Born: 8})
		r.c.Check(r.watch(&agentrpc.WatchRequest{}).GetWorker().GetLife().GetWorker(), qt.Equals, "w-2")
	})
	withAgent(t, func(r *harness) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 60_000})
		time.Sleep(maxCallTime)
		r.worker.withLock(func(w *fakeWorker) { w.id, w.born, w.unresponsive = "w-2", 8, true })
		r.agent.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w-2", Born: 8}, Clock: 1, Sequence: 1})
		time.Sleep(2 * time.Second)
		r.worker.withLock(func(w *fakeWorker) { w.unresponsive = false })
		time.Sleep(time.Second)
		r.c.Check(r.watch(&agentrpc.WatchRequest{}).GetWorker().GetLife().GetWorker(), qt.Equals, "w-2")
	})
}
