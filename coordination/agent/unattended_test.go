package agent_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// Guards against an old order that is sent with a new lease end: it was delayed while the planner
// gave up its run, and started the task a second time.
func TestLowerTokenIsRefused(t *testing.T) {
	tests := []struct {
		name  string
		raise func(r *harness) // in addition to the one before the order
		sent  int              // starts that the worker gets
		want  agentrpc.Outcome // unless the whole request is refused
	}{
		{name: "before the order"},
		{name: "between the attempts", raise: func(r *harness) {
			r.worker.withLock(func(w *fakeWorker) {
				w.startResult = func() error {
					r.watch(&agentrpc.WatchRequest{Epoch: 1, Fence: 2, Planner: "target-2", Life: r.incarnation, LeaseCapMillis: 1 << 40})
					return errNoAnswer
				}
			})
		}, sent: 1, want: agentrpc.Outcome_UNKNOWN},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withAgent(t, func(r *harness) {
				r.watch(&agentrpc.WatchRequest{LeaseCapMillis: 1 << 40})
				if tt.raise == nil {
					r.watch(&agentrpc.WatchRequest{Epoch: 1, Fence: 2, Planner: "target-2", Life: r.incarnation, LeaseCapMillis: 1 << 40})
				} else {
					tt.raise(r)
				}
				time.Sleep(maxCallTime)
				out, err := r.agent.Order(r.c.Context(), &agentrpc.OrderRequest{Epoch: 1, Fence: 1, Life: r.incarnation, Orders: []*agentrpc.Order{
					{Order: &agentrpc.Order_Start{Start: &agentrpc.Start{Task: "j.0.0.0", Run: 1}}},
				}})
				r.c.Assert(err, qt.IsNil)
				r.c.Check(out.GetRefused(), qt.Equals, tt.raise == nil)
				if tt.raise != nil {
					r.c.Check(out.GetResults()[0].GetOutcome(), qt.Equals, tt.want)
				}
				r.worker.withLock(func(w *fakeWorker) { r.c.Check(w.starts, qt.HasLen, tt.sent) })
			})
		})
	}
}
