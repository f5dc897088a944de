package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against later occurrences of a recurring job that count as late from the start
// because their objective is measured from the acceptance of the job.
func TestObjectiveOfOccurrence(t *testing.T) {
	const interval = time.Minute
	h := newHarness(t, 1)
	h.p.settings.Policy.NoHeadroom = true
	j := newJob("timed", "urgent", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 1000})
	j.Times, j.StartMillis, j.IntervalMillis = 2, h.now.UnixMilli(), interval.Milliseconds()
	h.addJob(j)
	h.finishTask("timed.0.0.0")
	h.advance(time.Second)
	qt.Assert(t, h.stateOf("timed"), qt.Equals, job.Completed)
	h.advance(interval - time.Second)
	step := h.p.jobs["timed"].occurrences[1].steps[0]
	objectiveEnd, tier := h.p.objectiveEndAndTier(step, h.p.kindOf(step.occ.job), h.now)
	qt.Assert(t, tier, qt.Equals, tierOnTime)
	qt.Assert(t, objectiveEnd.After(h.now), qt.IsTrue)
	qt.Assert(t, h.targetOf("timed.1.0.0"), qt.Equals, "t00")
}
