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
	s := newHarness(t, 1)
	s.p.settings.Policy.NoHeadroom = true
	j := newJob("timed", "urgent", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 1000})
	j.Times, j.StartMillis, j.IntervalMillis = 2, s.now.UnixMilli(), interval.Milliseconds()
	s.addJob(j)
	s.finishTask("timed.0.0.0")
	s.advance(time.Second)
	qt.Assert(t, s.stateOf("timed"), qt.Equals, job.Completed)
	s.advance(interval - time.Second)
	step := s.p.jobs["timed"].occurrences[1].steps[0]
	deadline, tier := s.p.urgency(step, s.p.kindOf(step.occ.job), s.now)
	qt.Assert(t, tier, qt.Equals, tierOnTime)
	qt.Assert(t, deadline.After(s.now), qt.IsTrue)
	qt.Assert(t, s.targetOf("timed.1.0.0"), qt.Equals, "t00")
}
