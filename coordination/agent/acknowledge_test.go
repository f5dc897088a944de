package agent_test

import (
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
