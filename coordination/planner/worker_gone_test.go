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
	s := newHarness(t, 2)
	s.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4}))
	s.advance(time.Second)
	origin := s.targetOf("j1.0.0.0")
	w := s.workers[origin]
	gone := &agentrpc.Worker{Life: w.worker.GetLife(), Pool: testPool, Draining: true, Gone: true}
	s.p.Report(origin, &agentrpc.WatchReply{Worker: gone}, s.now)
	delete(w.running, "j1.0.0.0")
	s.runPass()
	qt.Assert(t, s.starts, qt.HasLen, 2)
	qt.Assert(t, s.targetOf("j1.0.0.0"), qt.Not(qt.Equals), origin)
	qt.Assert(t, s.rows["j1/0"].Steps[0].Tasks[0].Failures, qt.Equals, 0)
}
