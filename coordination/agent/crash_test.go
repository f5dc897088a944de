package agent_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// Guards against crashes of the worker that the planner doesn't hear of, and against other ends
// of a worker that it takes for crashes.
func TestCrashReports(t *testing.T) {
	tests := []struct {
		name string
		// end ends the worker, on which a run was started 3 s before.
		end  func(r *harness)
		runs []*agentrpc.CrashedRun
		none bool // no crash is reported
	}{
		{
			name: "no listener", end: func(r *harness) { r.worker.withLock(func(w *fakeWorker) { w.notListening = true }) },
			runs: []*agentrpc.CrashedRun{{Task: "j.0.0.0", Run: 1, AgeMillis: 3000, Confirmed: true}},
		},
		{
			// Nobody knows when the worker has ended, and whether the run had ended before.
			name: "silent", end: func(r *harness) { r.worker.withLock(func(w *fakeWorker) { w.unresponsive = true }) },
			runs: []*agentrpc.CrashedRun{{Task: "j.0.0.0", Run: 1, AgeMillis: 4500}},
		},
		{
			name: "silent, then no listener", end: func(r *harness) {
				r.worker.withLock(func(w *fakeWorker) { w.unresponsive = true })
				time.Sleep(2 * time.Second)
				r.worker.withLock(func(w *fakeWorker) { w.notListening = true })
			},
			runs: []*agentrpc.CrashedRun{{Task: "j.0.0.0", Run: 1, AgeMillis: 4500}},
		},
		{
			// The run may have been done before the worker ended, since no call failed then. The first one that
			// does is the next hold, whose answer takes 1 s.
			name: "starts again behind a cut", end: func(r *harness) { r.worker.withLock(func(w *fakeWorker) { w.born = 8 }) },
			runs: []*agentrpc.CrashedRun{{Task: "j.0.0.0", Run: 1, AgeMillis: 3500}},
		},
		{name: "silent until the leases have lapsed", end: func(r *harness) {
			r.worker.withLock(func(w *fakeWorker) { w.unresponsive = true })
			time.Sleep(leaseMax + 3*time.Second)
		}},
		{name: "no listener after the leases have lapsed", end: func(r *harness) {
			r.worker.withLock(func(w *fakeWorker) { w.unresponsive = true })
			time.Sleep(leaseMax + 3*time.Second)
			r.worker.withLock(func(w *fakeWorker) { w.notListening = true })
		}},
		{name: "refuses connections until the leases have lapsed, and goes on", end: func(r *harness) {
			r.worker.withLock(func(w *fakeWorker) { w.notListening = true })
			for i := range uint64(10) {
				time.Sleep(1500 * time.Millisecond)
				r.agent.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: r.incarnation, Clock: r.worker.clock(), Sequence: 2 + i})
			}
		}},
		{
			name: "no listener, and a late heartbeat from before", end: func(r *harness) {
				clock := r.worker.clock()
				r.worker.withLock(func(w *fakeWorker) { w.notListening = true })
				time.Sleep(2 * time.Second)
				r.agent.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: r.incarnation, Clock: clock, Sequence: 2})
			},
			runs: []*agentrpc.CrashedRun{{Task: "j.0.0.0", Run: 1, AgeMillis: 3000, Confirmed: true}},
		},
		{name: "run has ended", end: func(r *harness) {
			r.worker.withLock(func(w *fakeWorker) {
				w.running, w.ended = nil, []*agentrpc.RunEnd{{Number: 1, Task: "j.0.0.0", Run: 1, How: "done"}}
			})
			time.Sleep(2 * time.Second)
			r.worker.withLock(func(w *fakeWorker) { w.notListening = true })
		}},
		{name: "start without an answer", end: func(r *harness) {
			r.worker.withLock(func(w *fakeWorker) { w.startResult = func() error { return errNoAnswer } })
			_, err := r.agent.Order(r.c.Context(), &agentrpc.OrderRequest{Epoch: 1, Fence: 1, Life: r.incarnation, Orders: []*agentrpc.Order{
				{Order: &agentrpc.Order_Start{Start: &agentrpc.Start{Task: "k.0.0.0", Run: 2}}},
			}})
			r.c.Assert(err, qt.IsNil)
			r.worker.withLock(func(w *fakeWorker) { w.notListening = true })
		}, runs: []*agentrpc.CrashedRun{{Task: "j.0.0.0", Run: 1, AgeMillis: 3300, Confirmed: true}, {Task: "k.0.0.0", Run: 2}}},
		{name: "announced by a heartbeat", none: true, end: func(r *harness) {
			r.agent.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: r.incarnation, Clock: 2, Sequence: 2, Draining: true})
			r.worker.withLock(func(w *fakeWorker) { w.notListening = true })
		}},
		{name: "deregistered", none: true, end: func(r *harness) {
			r.agent.WorkerDeregistered("w-1")
			r.worker.withLock(func(w *fakeWorker) { w.notListening = true })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) {
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 60_000})
				synctest.Wait()
				r.c.Assert(r.startRun().GetOutcome(), qt.Equals, agentrpc.Outcome_DONE)
				r.worker.withLock(func(w *fakeWorker) { w.running = []*agentrpc.RunStatus{{Task: "j.0.0.0", Run: 1}} })
				time.Sleep(3 * time.Second)
				tt.end(r)
				time.Sleep(3 * time.Second)
				r.restart(&agentrpc.Life{Worker: "w-2", Born: 8})
				got := r.watch(&agentrpc.WatchRequest{}).GetCrashes()
				if tt.none {
					r.c.Assert(got, qt.HasLen, 0)
					return
				}
				r.c.Assert(got, qt.HasLen, 1)
				r.c.Check(agentrpc.SameLife(got[0].GetLife(), r.incarnation), qt.IsTrue)
				r.c.Assert(got[0].GetRuns(), qt.HasLen, len(tt.runs))
				for i, want := range tt.runs {
					run := got[0].GetRuns()[i]
					r.c.Check([]any{run.GetTask(), run.GetRun(), run.GetConfirmed()}, qt.DeepEquals, []any{want.GetTask(), want.GetRun(), want.GetConfirmed()})
					// A crash is noticed by the next call, at the latest after its wait and time limit.
					r.c.Check(run.GetAgeMillis() >= want.GetAgeMillis()-200 && run.GetAgeMillis() <= want.GetAgeMillis()+1500, qt.IsTrue, qt.Commentf("age %d", run.GetAgeMillis()))
				}
				time.Sleep(31 * time.Second)
				r.c.Check(r.watch(&agentrpc.WatchRequest{}).GetCrashes(), qt.HasLen, 0)
			})
		})
	}
}

// Guards against work that is placed on a worker whose process is down, until the worker has been
// silent for seconds.
func TestWatchersLearnThatWorkerIsDown(t *testing.T) {
	withAgent(t, func(r *harness) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 60_000})
		time.Sleep(3 * time.Second)
		reply := r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 60_000})
		r.c.Assert(reply.GetListed(), qt.IsTrue)
		r.worker.withLock(func(w *fakeWorker) { w.notListening = true })
		begin := time.Now()
		reply = r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 60_000, WaitMillis: 5000, Boot: reply.GetBoot(), Revision: reply.GetRevision()})
		r.c.Check(reply.GetListed(), qt.IsFalse)
		r.c.Check(time.Since(begin) <= 1500*time.Millisecond, qt.IsTrue, qt.Commentf("after %v", time.Since(begin)))
		r.worker.withLock(func(w *fakeWorker) { w.notListening = false })
		reply = r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 60_000, WaitMillis: 5000, Boot: reply.GetBoot(), Revision: reply.GetRevision()})
		r.c.Check(reply.GetListed(), qt.IsTrue)
	})
}

// Guards against a sound task that is given up because its worker crashed before it began: the start
// reaches the next incarnation, which has the same ID, and counts as running in the former one.
func TestStartInNextIncarnationIsNoCrash(t *testing.T) {
	tests := []struct {
		name string
		next bool // the worker restarts before the start arrives
		runs int  // reported with the crash
	}{
		{name: "started before the worker restarts", runs: 1},
		{name: "started after the worker has restarted", next: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) {
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: int64(r.worker.clock()) + leaseMax.Milliseconds()})
				time.Sleep(5 * time.Second)
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: int64(r.worker.clock()) + leaseMax.Milliseconds()})
				restart := func() {
					r.worker.withLock(func(w *fakeWorker) { w.start, w.born = time.Now(), w.born+1 })
				}
				if tt.next {
					restart()
				}
				r.c.Assert(r.startRun().GetOutcome(), qt.Equals, agentrpc.Outcome_DONE)
				if !tt.next {
					restart()
				}
				next := &agentrpc.Life{Worker: "w-1", Born: r.worker.born}
				r.restart(next)
				time.Sleep(3 * time.Second)
				out := r.watch(&agentrpc.WatchRequest{Epoch: 1, Fence: 1, Planner: "target-2", Life: next})
				r.c.Assert(out.GetCrashes(), qt.HasLen, 1)
				r.c.Check(out.GetCrashes()[0].GetRuns(), qt.HasLen, tt.runs)
			})
		})
	}
}
