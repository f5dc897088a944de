package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// gangWithResults returns a gang on two workers whose caller gets the result of each task.
func gangWithResults() job.Job {
	j := newJob("g", "long", job.Step{Tasks: 2, Accelerators: 8, Gang: true})
	j.Key = "k"
	return j
}

// Guards against an answer without the results of members whose ends are reported after the
// first one.
func TestGangResultsAreComplete(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(gangWithResults())
	h.advance(time.Second)
	h.finishTask("g.0.0.0")
	h.advance(10 * time.Millisecond)
	qt.Assert(t, h.stateOf("g"), qt.Equals, job.Running)
	h.finishTask("g.0.0.1")
	h.advance(10 * time.Millisecond)
	qt.Assert(t, h.stateOf("g"), qt.Equals, job.Completed)
	for _, task := range h.rows["g/0"].Steps[0].Tasks {
		qt.Check(t, string(task.Result), qt.Equals, "result")
	}
}

// Guards against a gang that waits forever for the result of a member whose worker was lost
// after the other members were done.
func TestGangRunsAgainForLostResult(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(gangWithResults())
	h.advance(time.Second)
	h.finishTask("g.0.0.0")
	h.advance(10 * time.Millisecond)
	lostTarget := h.targetOf("g.0.0.1")
	h.workers[lostTarget] = newSimWorker(lostTarget, 2, "r0")
	for range 3 {
		h.advance(time.Second)
	}
	qt.Assert(t, h.starts, qt.HasLen, 4)
	h.finishTask("g.0.0.0")
	h.finishTask("g.0.0.1")
	h.advance(10 * time.Millisecond)
	qt.Assert(t, h.stateOf("g"), qt.Equals, job.Completed)
}

// Guards against a gang without results that never completes because the end of one member
// is not reported: the first end counts for all members.
func TestFirstEndCompletesGang(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(newJob("g", "long", job.Step{Tasks: 2, Accelerators: 8, Gang: true}))
	h.advance(time.Second)
	h.finishTask("g.0.0.0")
	h.advance(10 * time.Millisecond)
	qt.Assert(t, h.stateOf("g"), qt.Equals, job.Completed)
}
