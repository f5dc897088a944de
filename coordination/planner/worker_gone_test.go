package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against a task that waits until the lease of its worker has lapsed although the
// worker has announced that it exits and is gone.
func TestGoneWorkerLosesItsRuns(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4}))
	h.advance(time.Second)
	origin := h.targetOf("j1.0.0.0")
	w := h.workers[origin]
	gone := &agentrpc.Worker{Life: w.worker.GetLife(), Pool: testPool, Draining: true, Gone: true}
	h.p.Report(origin, &agentrpc.WatchReply{Worker: gone}, h.now)
	delete(w.running, "j1.0.0.0")
	h.runPass()
	qt.Assert(t, h.starts, qt.HasLen, 2)
	qt.Assert(t, h.targetOf("j1.0.0.0"), qt.Not(qt.Equals), origin)
	qt.Assert(t, h.rows["j1/0"].Steps[0].Tasks[0].Failures, qt.Equals, 0)
}

// Guards against work that is placed on a target whose agent was restarted and knows no worker:
// the agent refuses its orders, so that it waits until the worker registers.
func TestNothingIsPlacedWithoutWorker(t *testing.T) {
	h := newHarness(t, 2)
	h.p.Report("t00", &agentrpc.WatchReply{Boot: 7}, h.now)
	h.addJob(newJob("j1", "urgent", job.Step{Tasks: 4, Accelerators: 2}))
	for k := range 4 {
		qt.Check(t, h.targetOf(job.TaskName{Job: "j1", Index: k}.String()), qt.Equals, "t01")
	}
}
