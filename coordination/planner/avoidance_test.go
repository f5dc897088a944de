package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// failTask ends the run of a task as failed and returns its target.
func (h *harness) failTask(task string) string {
	name := h.targetOf(task)
	qt.Assert(h.t, name, qt.Not(qt.Equals), "")
	h.workers[name].endRun(task, endFailed)
	return name
}

// Guards against a task that is not started again after a failure, though the worker on which it
// failed has room, because another one could run it if it were empty or sound.
func TestFailedTaskIsNotHeldBackForOtherWorkers(t *testing.T) {
	const limit = 3 * time.Second // for which a job may wait while there is free capacity for it
	lasting := job.Step{Tasks: 1, Accelerators: 5, LongRunning: true}
	tests := []struct {
		name string
		step job.Step
		// occupy is what the other worker is busy with; no tasks for nothing.
		occupy job.Step
		block  func(h *harness, other string) // called before each report of the workers
	}{
		{name: "busy with work that lasts", occupy: lasting},
		{name: "busy with work of an hour", occupy: job.Step{Tasks: 1, Accelerators: 5, EstimateMillis: 3_600_000}},
		{name: "paused after failures", block: func(h *harness, other string) {
			h.p.targetNamed(other).health.failurePauseUntil = h.now.Add(time.Minute)
		}},
		{name: "refuses starts", block: func(h *harness, other string) {
			h.p.targetNamed(other).refusalPauseUntil = h.now.Add(time.Minute)
		}},
		{name: "has a run that no row names", block: func(h *harness, other string) {
			h.workers[other].dropsOrders = true
			h.workers[other].running["x.0.0.0"] = &agentrpc.RunStatus{Task: "x.0.0.0", Run: 1}
		}},
		{name: "runs as many tasks of the step as it may", step: job.Step{Tasks: 2, Accelerators: 4, MaxPerWorker: 1}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.p.settings.Policy.NoHeadroom = true
			other := ""
			if tt.occupy.Tasks > 0 {
				h.addJob(newJob("lasting", "urgent", tt.occupy))
				other = h.targetOf("lasting.0.0.0")
			}
			if tt.step.Tasks == 0 {
				tt.step = job.Step{Tasks: 1, Accelerators: 4}
			}
			h.addJob(newJob("batch", "long", tt.step))
			h.advance(time.Second)
			failed := h.failTask("batch.0.0.0")
			for _, n := range h.names {
				if n != failed {
					qt.Assert(t, other == "" || other == n, qt.IsTrue)
					other = n
				}
			}
			h.starts = nil
			for end := h.now.Add(limit); h.now.Before(end) && h.targetOf("batch.0.0.0") == ""; {
				if tt.block != nil {
					tt.block(h, other)
				}
				h.advance(100 * time.Millisecond)
			}
			qt.Check(t, h.starts, qt.DeepEquals, []string{"batch.0.0.0 2 " + failed})
		})
	}
}

// Guards against a task that spends its attempts on the worker on which it has just failed, while
// another one has room or will soon have.
func TestFailedTaskPrefersOtherWorkers(t *testing.T) {
	tests := []struct {
		name   string
		freeIn time.Duration // until the other worker has room
	}{
		{"room at once", 0},
		{"room after a second", time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.p.settings.Policy.NoHeadroom = true
			h.addJob(newJob("busy", "urgent", job.Step{Tasks: 1, Accelerators: 5}))
			h.addJob(newJob("batch", "long", job.Step{Tasks: 1, Accelerators: 4}))
			h.advance(time.Second)
			other, failed := h.targetOf("busy.0.0.0"), h.failTask("batch.0.0.0")
			qt.Assert(t, other, qt.Not(qt.Equals), failed)
			if tt.freeIn == 0 {
				h.finishTask("busy.0.0.0")
			}
			free := h.now.Add(tt.freeIn)
			for range 15 {
				h.advance(100 * time.Millisecond)
				if h.now.Equal(free) {
					h.finishTask("busy.0.0.0")
				}
			}
			qt.Check(t, h.targetOf("batch.0.0.0"), qt.Equals, other)
			// It fails there as well, and no other worker is left.
			h.failTask("batch.0.0.0")
			h.advance(100 * time.Millisecond)
			h.advance(100 * time.Millisecond)
			qt.Check(t, h.stateOf("batch"), qt.Equals, job.Failed)
		})
	}
}
