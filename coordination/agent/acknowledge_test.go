package agent_test

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// Guards against the number of an end that reaches another incarnation than the one that has listed the
// end: that one would discard ends of its own that nobody has seen, and their tasks would be done again.
// Calls without an answer may be carried out late, so that no hold may carry the number that isn't needed.
func TestOnlyListedEndsAreDiscarded(t *testing.T) {
	ends := []*agentrpc.RunEnd{{Number: 1, Task: "j.0.0.0", Run: 1, How: "done"}, {Number: 2, Task: "j.0.0.1", Run: 1, How: "done"}, {Number: 3, Task: "j.0.0.2", Run: 1, How: "done"}}
	tests := []struct {
		name   string
		change func(r *harness) // of the worker, after it has listed ends, of which the first two are recorded
		want   int64            // greatest number in the holds after that
	}{
		{name: "the ends are listed", change: func(*harness) {}, want: 2},
		{name: "the ends are not listed any more", change: func(r *harness) {
			r.worker.withLock(func(w *fakeWorker) { w.ended = nil })
		}},
		{name: "only later ends are listed", change: func(r *harness) {
			r.worker.withLock(func(w *fakeWorker) { w.ended = ends[2:] })
		}},
		{name: "the worker does not answer", change: func(r *harness) {
			r.worker.withLock(func(w *fakeWorker) { w.unresponsive = true })
		}},
		{name: "another incarnation answers", change: func(r *harness) {
			r.worker.withLock(func(w *fakeWorker) { w.born, w.ended = 8, nil })
		}},
		{name: "the next incarnation is registered", change: func(r *harness) {
			r.restart(&agentrpc.Life{Worker: "w-1", Born: 8})
			r.worker.withLock(func(w *fakeWorker) { w.ended = ends })
			r.watch(&agentrpc.WatchRequest{SeenEnd: 2, LeaseCapMillis: 1 << 40})
		}},
		{name: "a new fencing token", change: func(r *harness) {
			r.worker.withLock(func(w *fakeWorker) { w.ended = nil })
			time.Sleep(maxCallTime)
			r.watch(&agentrpc.WatchRequest{Epoch: 2, Fence: 2, Planner: "target-3", Life: r.incarnation, SeenEnd: 2, LeaseCapMillis: 1 << 40})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) {
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
				r.worker.withLock(func(w *fakeWorker) { w.ended = ends })
				time.Sleep(maxCallTime)
				r.watch(&agentrpc.WatchRequest{SeenEnd: 2, LeaseCapMillis: 1 << 40})
				tt.change(r)
				time.Sleep(maxCallTime) // The calls in progress have ended.
				var last []agent.HoldRequest
				r.worker.withLock(func(w *fakeWorker) { w.holds = nil })
				time.Sleep(maxCallTime)
				r.worker.withLock(func(w *fakeWorker) { last = w.holds })
				r.c.Assert(len(last) > 0, qt.IsTrue)
				greatest := int64(0)
				for _, h := range last {
					greatest = max(greatest, h.RecordedEnd)
				}
				r.c.Check(greatest, qt.Equals, tt.want)
			})
		})
	}
}

// Guards against a list that counts as complete although it has as many ends as the worker lists at a
// time: planners take a run that it lacks for one that was never started. The stop of such a run is
// confirmed only by a list with all ends.
func TestListThatMayLackEnds(t *testing.T) {
	withAgent(t, func(r *harness) {
		r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
		r.worker.withLock(func(w *fakeWorker) {
			w.listLimit = 2
			for i := range int64(5) {
				w.ended = append(w.ended, &agentrpc.RunEnd{Number: i + 1, Task: fmt.Sprintf("j.0.0.%d", i), Run: 1, How: "done"})
			}
		})
		time.Sleep(maxCallTime)
		out, err := r.agent.Order(r.c.Context(), &agentrpc.OrderRequest{Epoch: 1, Fence: 1, Life: r.incarnation, Orders: []*agentrpc.Order{
			{Order: &agentrpc.Order_Stop{Stop: &agentrpc.Stop{Task: "j.0.0.4", Run: 1}}},
		}})
		r.c.Assert(err, qt.IsNil)
		confirmedBy := out.GetResults()[0].GetLook()
		for _, recorded := range []int64{0, 2, 4} {
			r.watch(&agentrpc.WatchRequest{SeenEnd: recorded, LeaseCapMillis: 1 << 40})
			r.worker.withLock(func(w *fakeWorker) { w.ended = w.ended[min(recorded, 2):] })
			time.Sleep(maxCallTime)
			reply := r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
			complete := recorded == 4
			r.c.Check(reply.GetLook() >= confirmedBy, qt.Equals, complete, qt.Commentf("%v", reply))
			r.c.Check(reply.GetEnded(), qt.HasLen, map[bool]int{false: 2, true: 1}[complete])
		}
	})
}
