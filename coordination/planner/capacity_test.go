package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// setAccelerators changes the accelerators that the worker t00 reports.
func (h *harness) setAccelerators(n int64) {
	w := h.workers["t00"].worker
	h.workers["t00"].worker = &agentrpc.Worker{
		Life: w.GetLife(), Pool: w.GetPool(), Cpu: w.GetCpu(), MemoryMb: w.GetMemoryMb(), Accelerators: n, Labels: w.GetLabels(), Rack: w.GetRack(),
	}
}

// Guards against starts that bring a worker over a capacity that has shrunk, which a worker
// without admission check carries out.
func TestStartsAfterCapacityShrinks(t *testing.T) {
	task := job.Step{Tasks: 1, Accelerators: 4, EstimateMillis: 60_000}
	tests := []struct {
		name string
		// play starts a task of 4 accelerators on t00, which has 8 of them, and then leaves a
		// second one to start there after the capacity has shrunk to 4.
		play func(h *harness)
	}{
		{name: "new work", play: func(h *harness) {
			h.setAccelerators(4)
			h.advance(time.Second)
			h.addJob(newJob("second", "urgent", task))
		}},
		{name: "order repeated because it got no answer", play: func(h *harness) {
			h.workers["t00"].dropsOrders = true
			h.addJob(newJob("second", "urgent", task))
			h.setAccelerators(4)
			h.advance(100 * time.Millisecond)
			h.workers["t00"].dropsOrders = false
		}},
		{name: "run recorded by an earlier planner and never ordered", play: func(h *harness) {
			h.workers["t00"].dropsOrders = true
			second := newJob("second", "urgent", task)
			h.addJob(second)
			h.setAccelerators(4)
			h.workers["t00"].dropsOrders = false
			h.takeOver(newJob("first", "urgent", task), second)
		}},
		{name: "claim for capacity that is being freed", play: func(h *harness) {
			h.addJob(newJob("victim", "fill", task))
			h.advance(100 * time.Millisecond)
			h.addJob(newJob("second", "urgent", task))
			qt.Assert(h.t, h.p.claims, qt.HasLen, 1)
			h.setAccelerators(4)
			h.advance(0)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addJob(newJob("first", "urgent", task))
			h.advance(100 * time.Millisecond)
			tt.play(h)
			for range 100 {
				h.advance(200 * time.Millisecond)
				_, first := h.workers["t00"].running["first.0.0.0"]
				_, second := h.workers["t00"].running["second.0.0.0"]
				qt.Assert(t, first && second, qt.IsFalse, qt.Commentf("8 accelerators in use of 4"))
			}
			qt.Assert(t, h.stateOf("first"), qt.Equals, job.Running)
			h.setAccelerators(8)
			for range 20 {
				h.advance(200 * time.Millisecond)
			}
			qt.Check(t, h.targetOf("second.0.0.0"), qt.Equals, "t00")
		})
	}
}

// Guards against an order that is sent although the capacity of its worker has shrunk while the
// row of the run was being written.
func TestOrderAfterCapacityShrinks(t *testing.T) {
	task := job.Step{Tasks: 1, Accelerators: 4, EstimateMillis: 60_000}
	h := newHarness(t, 1)
	h.addJob(newJob("first", "urgent", task))
	h.advance(100 * time.Millisecond)
	h.p.AddJob(newJob("second", "urgent", task), nil, h.now)
	b := h.p.Plan(h.now)
	qt.Assert(t, b.Orders, qt.HasLen, 1)
	qt.Assert(t, h.p.OrderValid("t00", b.Orders[0].Orders[0]), qt.IsTrue)
	h.setAccelerators(4)
	h.now = h.now.Add(5 * time.Second)
	h.report("t00")
	qt.Check(t, h.p.OrderValid("t00", b.Orders[0].Orders[0]), qt.IsFalse)
}

// Guards against work that waits for headroom beside free workers, because another worker runs
// more than its capacity holds since that has shrunk.
func TestHeadroomAfterCapacityShrinks(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(newJob("first", "urgent", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 60_000}))
	qt.Assert(t, h.targetOf("first.0.0.0"), qt.Equals, "t00")
	h.setAccelerators(0)
	h.advance(time.Second)
	h.addJob(newJob("second", "long", job.Step{Tasks: 1, Accelerators: 1}))
	qt.Check(t, h.targetOf("second.0.0.0"), qt.Equals, "t01")
}
