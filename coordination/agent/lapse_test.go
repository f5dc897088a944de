package agent_test

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// Guards against an end that the planner learns of, and acknowledges, after it has given up the
// run: a late call had kept the lease alive, so that the end is valid, and the task had been
// started elsewhere.
func TestUncertainLeaseLapsesBeforeListsArePassedOn(t *testing.T) {
	const lapse = 10700 * time.Millisecond // the lease of 10 s, 2 % and 0.5 s
	const latest = 12 * time.Second        // how late a call may be carried out
	tests := []struct {
		name    string
		without time.Duration // time without a planner
		silence time.Duration // of the worker, from the same moment on
		fence   int64         // of the planner that comes then
		waits   bool
	}{
		{name: "a call has got no answer, the cap has passed", without: 13 * time.Second, silence: 3 * time.Second, fence: 2, waits: true},
		{name: "all calls were answered", without: 13 * time.Second, fence: 2},
		{name: "the cap has not passed", without: 5 * time.Second, silence: 3 * time.Second, fence: 2},
		{name: "the planner has given up nothing", without: 13 * time.Second, silence: 3 * time.Second, fence: 1},
		{name: "the call is so old that its lease has lapsed", without: 40 * time.Second, silence: 3 * time.Second, fence: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) {
				leaseCap := func() int64 { return int64(r.worker.clock()) + leaseMax.Milliseconds() }
				for range 8 {
					r.watch(&agentrpc.WatchRequest{LeaseCapMillis: leaseCap()})
					time.Sleep(400 * time.Millisecond)
				}
				r.worker.withLock(func(w *fakeWorker) { w.unresponsive = tt.silence > 0 })
				// The planner is lost only after a call that extends the lease has been sent.
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: leaseCap()})
				lostAt := time.Now()
				time.Sleep(tt.silence)
				r.worker.withLock(func(w *fakeWorker) {
					w.unresponsive = false
					w.ended = []*agentrpc.RunEnd{{Number: 1, Task: "j.0.0.0", Run: 1, How: "done"}}
				})
				time.Sleep(tt.without - tt.silence)
				watch := func() *agentrpc.WatchReply {
					return r.watch(&agentrpc.WatchRequest{Epoch: 1, Fence: tt.fence, Planner: "target-2", Life: r.incarnation, LeaseCapMillis: leaseCap()})
				}
				watch()
				r.worker.withLock(func(w *fakeWorker) { w.holds = nil })
				synctest.Wait()
				begin := time.Now()
				for !watch().GetListed() && time.Since(begin) < time.Minute {
					time.Sleep(100 * time.Millisecond)
				}
				waited := time.Since(begin)
				if !tt.waits {
					r.c.Check(waited < time.Second, qt.IsTrue, qt.Commentf("after %v", waited))
					return
				}
				r.c.Check(waited >= min(lapse, lostAt.Add(latest+lapse).Sub(begin)), qt.IsTrue, qt.Commentf("after %v", waited))
				r.c.Check(waited <= lapse+2*time.Second, qt.IsTrue, qt.Commentf("after %v", waited))
				r.worker.withLock(func(w *fakeWorker) {
					for i, h := range w.holds {
						// The last one may have been sent after the lapse.
						r.c.Check(h.Until == 0 || i == len(w.holds)-1, qt.IsTrue, qt.Commentf("hold %d extends the lease to %d", i, h.Until))
						r.c.Check(h.RecordedEnd, qt.Equals, int64(0))
					}
				})
				r.c.Check(watch().GetEnded(), qt.HasLen, 1)
			})
		})
	}
}

// Guards against an end that is acknowledged by way of an agent that doesn't know the calls of the
// former process of its target: they may have kept the lease alive after a planner gave up the run.
func TestUncertainEnds(t *testing.T) {
	const lapse = 10700 * time.Millisecond // the lease of 10 s, 2 % and 0.5 s
	const latest = 12 * time.Second        // how late a call may be carried out
	tests := []struct {
		name      string
		age       time.Duration // of the agent when a planner takes up contact
		silent    bool          // another planner was in contact by then, and the worker was silent
		ended     bool          // the worker lists an end by then
		awaits    bool          // the planner asks for the lapse
		lost      time.Duration // the worker answers nothing for so long after the planner asks
		changes   bool          // another planner takes up contact after that
		uncertain bool
		waits     time.Duration // at least; 0 for not at all
	}{
		{name: "the planner asks for the lapse", ended: true, awaits: true, uncertain: true, waits: lapse},
		{name: "the planner has given up no such run", ended: true, uncertain: true},
		{name: "the worker lists no end", awaits: true},
		{name: "the agent is so old that a lease from before it has lapsed", age: latest + lapse + time.Second, ended: true, awaits: true},
		{name: "the agent is as old, and a call of its own got no answer", age: latest + lapse + time.Second, silent: true, ended: true, awaits: true, uncertain: true, waits: lapse},
		{name: "a call in progress gets no answer", ended: true, awaits: true, lost: 3 * time.Second, uncertain: true, waits: latest + lapse - time.Second},
		{name: "a call in progress gets no answer, and the planner changes", ended: true, awaits: true, lost: 3 * time.Second, changes: true, uncertain: true, waits: 3*time.Second + lapse},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) {
				time.Sleep(tt.age)
				if tt.silent {
					extend := func() {
						r.watch(&agentrpc.WatchRequest{LeaseCapMillis: int64(r.worker.clock()) + leaseMax.Milliseconds()})
					}
					extend()
					time.Sleep(time.Second)
					r.worker.withLock(func(w *fakeWorker) { w.unresponsive = true })
					extend()
					time.Sleep(3 * time.Second)
					r.worker.withLock(func(w *fakeWorker) { w.unresponsive = false })
				}
				if tt.ended {
					r.worker.withLock(func(w *fakeWorker) {
						w.ended = []*agentrpc.RunEnd{{Number: 1, Task: "j.0.0.0", Run: 1, How: "done"}}
					})
				}
				epoch := uint64(2)
				watch := func(awaits bool) *agentrpc.WatchReply {
					return r.watch(&agentrpc.WatchRequest{
						Epoch: epoch, Fence: int64(epoch) << 20, Planner: "target-2", Life: r.incarnation, AwaitLapse: awaits,
						LeaseCapMillis: int64(r.worker.clock()) + leaseMax.Milliseconds(),
					})
				}
				watch(false)
				time.Sleep(300 * time.Millisecond)
				first := watch(false)
				r.c.Assert(first.GetListed(), qt.IsTrue)
				r.c.Check(first.GetUncertainEnds(), qt.Equals, tt.uncertain)
				begin := time.Now()
				if tt.lost > 0 {
					// The next hold extends the lease, and gets no answer.
					r.worker.withLock(func(w *fakeWorker) { w.unresponsive = true })
					time.Sleep(300 * time.Millisecond)
				}
				watch(tt.awaits)
				time.Sleep(tt.lost)
				r.worker.withLock(func(w *fakeWorker) { w.unresponsive, w.holds = false, nil })
				if tt.changes {
					epoch++
				}
				synctest.Wait()
				out := watch(tt.awaits)
				for !out.GetListed() && time.Since(begin) < time.Minute {
					r.worker.withLock(func(w *fakeWorker) {
						for _, h := range w.holds {
							r.c.Check(int64(h.Until), qt.Equals, int64(0))
						}
						w.holds = nil
					})
					time.Sleep(100 * time.Millisecond)
					out = watch(tt.awaits)
				}
				waited := time.Since(begin)
				r.c.Check(waited >= tt.waits, qt.IsTrue, qt.Commentf("after %v", waited))
				r.c.Check(waited <= tt.waits+2*time.Second, qt.IsTrue, qt.Commentf("after %v", waited))
				r.c.Check(out.GetUncertainEnds(), qt.Equals, tt.uncertain && !tt.awaits)
			})
		})
	}
}
