package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against more tasks of a step on one worker than MaxPerWorker allows, when one of
// them has a claim on the worker and has not started yet.
func TestMaxPerWorkerCountsClaims(t *testing.T) {
	h := newHarness(t, 2)
	// Both workers are full of work that an urgent job may preempt.
	h.p.settings.Policy.NoHeadroom = true
	h.addJob(newJob("low", "fill", job.Step{Tasks: 4, Accelerators: 4, EstimateMillis: 60_000}))
	h.advance(time.Second)
	qt.Assert(t, h.starts, qt.HasLen, 4)
	h.starts = nil
	h.addJob(newJob("urgent", "urgent", job.Step{Tasks: 2, Accelerators: 4, MaxPerWorker: 1}))
	for range 5 {
		h.advance(200 * time.Millisecond)
	}
	a, b := h.targetOf("urgent.0.0.0"), h.targetOf("urgent.0.0.1")
	qt.Assert(t, a, qt.Not(qt.Equals), "")
	qt.Assert(t, b, qt.Not(qt.Equals), "")
	qt.Assert(t, a, qt.Not(qt.Equals), b)
}
