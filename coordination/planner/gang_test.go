package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// gangWithResults is a gang on two workers whose caller wants each task's result.
func gangWithResults() job.Job {
	j := newJob("g", "long", job.Step{Tasks: 2, Accelerators: 8, Gang: true})
	j.Key = "k"
	return j
}

// Guards against an answer that lacks the results of members whose ends are
// reported after the first one.
func TestGangResultsAreComplete(t *testing.T) {
	s := newSite(t, 2)
	s.add(gangWithResults())
	s.step(time.Second)
	s.finishTask("g.0.0.0")
	s.step(10 * time.Millisecond)
	qt.Assert(t, s.state("g"), qt.Equals, job.Running)
	s.finishTask("g.0.0.1")
	s.step(10 * time.Millisecond)
	qt.Assert(t, s.state("g"), qt.Equals, job.Completed)
	for _, task := range s.rows["g/0"].Steps[0].Tasks {
		qt.Check(t, string(task.Result), qt.Equals, "result")
	}
}

// Guards against a gang that waits for good for the result of a member whose
// worker was lost after the others were done.
func TestGangRunsAgainForLostResult(t *testing.T) {
	s := newSite(t, 2)
	s.add(gangWithResults())
	s.step(time.Second)
	s.finishTask("g.0.0.0")
	s.step(10 * time.Millisecond)
	lost := s.target("g.0.0.1")
	s.workers[lost] = newSimWorker(lost, 2, "r0")
	for range 3 {
		s.step(time.Second)
	}
	qt.Assert(t, s.starts, qt.HasLen, 4)
	s.finishTask("g.0.0.0")
	s.finishTask("g.0.0.1")
	s.step(10 * time.Millisecond)
	qt.Assert(t, s.state("g"), qt.Equals, job.Completed)
}

// Guards against a gang without answers that stays open because one member's end
// does not come: the first end stands for all.
func TestFirstEndCompletesGang(t *testing.T) {
	s := newSite(t, 2)
	s.add(newJob("g", "long", job.Step{Tasks: 2, Accelerators: 8, Gang: true}))
	s.step(time.Second)
	s.finishTask("g.0.0.0")
	s.step(10 * time.Millisecond)
	qt.Assert(t, s.state("g"), qt.Equals, job.Completed)
}
