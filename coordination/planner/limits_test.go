package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against two tasks of a step on one worker beyond its limit, when one of
// them holds a claim on the worker and has not started yet.
func TestMaxPerWorkerCountsClaims(t *testing.T) {
	s := newSite(t, 2)
	// Both workers are full of work that an urgent job may displace.
	s.p.cfg.Policy.NoHeadroom = true
	s.add(newJob("low", "fill", job.Step{Tasks: 4, Accelerators: 4, EstimateMillis: 60_000}))
	s.step(time.Second)
	qt.Assert(t, s.starts, qt.HasLen, 4)
	s.starts = nil
	s.add(newJob("urgent", "urgent", job.Step{Tasks: 2, Accelerators: 4, MaxPerWorker: 1}))
	for range 5 {
		s.step(200 * time.Millisecond)
	}
	a, b := s.target("urgent.0.0.0"), s.target("urgent.0.0.1")
	qt.Assert(t, a, qt.Not(qt.Equals), "")
	qt.Assert(t, b, qt.Not(qt.Equals), "")
	qt.Assert(t, a, qt.Not(qt.Equals), b)
}
