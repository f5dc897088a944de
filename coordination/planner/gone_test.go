package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against work that stands still until a lease has lapsed although its
// worker has said that it ends and is gone.
func TestGoneWorkerLosesItsRuns(t *testing.T) {
	s := newSite(t, 2)
	s.add(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4}))
	s.step(time.Second)
	at := s.target("j1.0.0.0")
	w := s.workers[at]
	gone := &agentrpc.Worker{Life: w.worker.GetLife(), Pool: testPool, Draining: true, Gone: true}
	s.p.Report(at, &agentrpc.WatchReply{Worker: gone}, s.now)
	delete(w.running, "j1.0.0.0")
	s.pass()
	qt.Assert(t, s.starts, qt.HasLen, 2)
	qt.Assert(t, s.target("j1.0.0.0"), qt.Not(qt.Equals), at)
	qt.Assert(t, s.rows["j1/0"].Steps[0].Tasks[0].Failures, qt.Equals, 0)
}
