package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against a row of a large job that is written again for each task that ends, and against
// a job whose completion is recorded late.
func TestEndsAreRecordedTogether(t *testing.T) {
	const tasks, interval = 32, 10 * time.Millisecond
	h := newHarness(t, 8)
	h.addJob(newJob("j", "urgent", job.Step{Tasks: tasks, Accelerators: 2}))
	h.advance(time.Second)
	writes := 0
	for k := range tasks {
		h.now = h.now.Add(interval)
		h.finishTask(job.TaskName{Job: "j", Index: k}.String())
		h.report(h.names...)
		b := h.p.Plan(h.now)
		writes += len(b.Writes)
		if k == tasks-1 {
			qt.Assert(t, b.Writes, qt.HasLen, 1)
			pr, err := job.DecodeProgress(b.Writes[0].Value)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, pr.State, qt.Equals, job.Completed)
		}
	}
	most := int(tasks*interval/endRecordDelay) + 1
	qt.Check(t, writes >= 1 && writes <= most, qt.IsTrue, qt.Commentf("%d writes, at most %d", writes, most))
}

// Guards against a run end that a worker drops before it is recorded, because one with a higher
// number was recorded first, and against ends that are kept for longer than needed.
func TestEndIsKeptUntilItIsRecorded(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(newJob("slow", "urgent", job.Step{Tasks: 2, Accelerators: 1}))
	h.addJob(newJob("quick", "urgent", job.Step{Tasks: 1, Accelerators: 1}))
	h.addJob(newJob("elsewhere", "urgent", job.Step{Tasks: 1, Accelerators: 8}))
	h.advance(time.Second)
	for _, task := range []string{"slow.0.0.0", "slow.0.0.1", "quick.0.0.0"} {
		qt.Assert(t, h.targetOf(task), qt.Equals, "t00")
	}
	h.finishTask("slow.0.0.0")
	h.finishTask("quick.0.0.0")
	h.finishTask("elsewhere.0.0.0")
	h.advance(10 * time.Millisecond)
	qt.Check(t, h.stateOf("quick"), qt.Equals, job.Completed)
	qt.Check(t, h.rows["slow/0"].Steps[0].Tasks[0].Done, qt.IsFalse)
	qt.Check(t, h.workers["t00"].ended, qt.HasLen, 2, qt.Commentf("the end of slow.0.0.0, which isn't recorded, and the one after it"))
	qt.Check(t, h.workers["t01"].ended, qt.HasLen, 0)
	h.advance(endRecordDelay)
	qt.Check(t, h.rows["slow/0"].Steps[0].Tasks[0].Done, qt.IsTrue)
	qt.Check(t, h.workers["t00"].ended, qt.HasLen, 0)
}

// Guards against a task that runs again because the planner was replaced before it had recorded
// the end of its run.
func TestUnrecordedEndSurvivesTakeOver(t *testing.T) {
	h := newHarness(t, 2)
	j := newJob("j", "urgent", job.Step{Tasks: 2, Accelerators: 1})
	h.addJob(j)
	h.advance(time.Second)
	h.finishTask("j.0.0.0")
	h.advance(10 * time.Millisecond)
	qt.Assert(t, h.rows["j/0"].Steps[0].Tasks[0].Done, qt.IsFalse)
	h.takeOver(j)
	h.advance(time.Second)
	h.advance(time.Second)
	qt.Check(t, h.rows["j/0"].Steps[0].Tasks[0].Done, qt.IsTrue)
	qt.Check(t, h.startsOf("j.0.0.0"), qt.Equals, 1)
	h.finishTask("j.0.0.1")
	h.advance(time.Second)
	qt.Check(t, h.stateOf("j"), qt.Equals, job.Completed)
}
