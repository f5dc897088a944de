package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against the loss of work on a worker that has announced in time that it leaves: the
// task would wait until the lease of an unreachable worker has lapsed, and would lose the work
// since its last checkpoint.
func TestEvacuation(t *testing.T) {
	const notice = 3 * time.Second
	tests := []struct {
		name       string
		step       job.Step
		percent    int64         // progress after one second
		moveWithin time.Duration // time from the notice in which the run must move; 0 if it may stay
	}{
		{name: "long", step: job.Step{EstimateMillis: 60_000}, percent: 1, moveWithin: maxPassInterval},
		{name: "long with checkpoints", step: job.Step{EstimateMillis: 60_000, Checkpointable: true}, percent: 1, moveWithin: notice - stopTime},
		{name: "may still end in time", step: job.Step{EstimateMillis: 5000}, percent: 1, moveWithin: notice - stopTime},
		{name: "slower than declared", step: job.Step{EstimateMillis: 2000}, percent: 5, moveWithin: maxPassInterval},
		{name: "ends in time", step: job.Step{EstimateMillis: 60_000}, percent: 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 2)
			tt.step.Tasks, tt.step.Accelerators = 1, 4
			h.addJob(newJob("j1", "long", tt.step))
			h.advance(0)
			origin := h.targetOf("j1.0.0.0")
			w := h.workers[origin]
			w.running["j1.0.0.0"].Percent = tt.percent
			h.advance(time.Second)
			w.worker.Draining = true
			movedAfter := time.Duration(0)
			for elapsed := time.Duration(0); elapsed < notice && movedAfter == 0; elapsed += maxPassInterval / 2 {
				if tt.moveWithin == 0 && elapsed > notice/2 {
					h.finishTask("j1.0.0.0")
				}
				if r := w.running["j1.0.0.0"]; r != nil && tt.moveWithin == 0 {
					r.Percent += 2
				}
				w.worker.RemainingMillis = (notice - elapsed).Milliseconds()
				h.advance(maxPassInterval / 2)
				if target := h.targetOf("j1.0.0.0"); target != "" && target != origin {
					movedAfter = elapsed
				}
			}
			if tt.moveWithin == 0 {
				qt.Assert(t, h.starts, qt.HasLen, 1)
				qt.Assert(t, h.stateOf("j1"), qt.Equals, job.Completed)
				return
			}
			qt.Assert(t, movedAfter > 0 && movedAfter <= tt.moveWithin, qt.IsTrue, qt.Commentf("moved after %v", movedAfter))
			if tt.step.Checkpointable {
				qt.Assert(t, movedAfter > notice/2, qt.IsTrue, qt.Commentf("stopped long before the worker leaves: %v", movedAfter))
			}
		})
	}
}

// Guards against a gang that loses one member with its worker while the other members keep
// occupying their places.
func TestEvacuationOfGang(t *testing.T) {
	h := newHarness(t, 4)
	h.addJob(newJob("j1", "long", job.Step{Tasks: 2, Accelerators: 8, Gang: true, EstimateMillis: 60_000}))
	h.advance(time.Second)
	origin := h.targetOf("j1.0.0.0")
	w := h.workers[origin]
	w.worker.Draining, w.worker.RemainingMillis = true, 3000
	for range 4 {
		h.advance(maxPassInterval)
	}
	for _, task := range []string{"j1.0.0.0", "j1.0.0.1"} {
		qt.Assert(t, h.targetOf(task), qt.Not(qt.Equals), "")
		qt.Assert(t, h.targetOf(task), qt.Not(qt.Equals), origin)
	}
	qt.Assert(t, h.rows["j1/0"].Steps[0].Tasks[0].LastRun, qt.Equals, 2)
	qt.Assert(t, h.rows["j1/0"].Steps[0].Failures, qt.Equals, 0)
}

// Guards against the time at which a draining worker leaves being applied to the next
// incarnation of the worker.
func TestEvacuationEndsWithIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	w := h.workers["t00"]
	w.worker.Draining, w.worker.RemainingMillis = true, 1000
	h.advance(time.Second)
	*w = *newSimWorker("t00", 2, "r0")
	h.advance(time.Second)
	h.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4, EstimateMillis: 60_000}))
	w.worker.Draining = true // without RemainingMillis
	h.p.Report("t00", &agentrpc.WatchReply{Worker: w.worker, Listed: true, Look: 9}, h.now)
	h.advance(time.Second)
	qt.Assert(t, h.targetOf("j1.0.0.0"), qt.Equals, "t00")
}
