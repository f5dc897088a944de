package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// siteWithUnsentStart returns a site with a recorded run whose start never reached the worker
// and that is being stopped.
func siteWithUnsentStart(t *testing.T) *site {
	s := newSite(t, 1)
	s.workers["t00"].dropsOrders = true
	s.add(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4}))
	s.workers["t00"].dropsOrders = false
	s.p.Cancel("j1", s.now)
	return s
}

// Guards against a stop that is never settled, because each repetition waits for a
// later look at the worker than the one before.
func TestRepeatedStopIsConfirmed(t *testing.T) {
	s := siteWithUnsentStart(t)
	s.pass()
	w := s.workers["t00"]
	// Orders are answered for looks that lie ahead, and lists come late.
	for range 3 {
		s.now = s.now.Add(resendAfter)
		s.pass()
	}
	w.poll++
	s.report("t00")
	s.pass()
	qt.Assert(t, s.rows["j1/0"].Steps[0].Tasks[0].Active, qt.HasLen, 0)
}

// Guards against a stop that waits for a look which a new agent, whose looks are
// counted anew, reaches late or never.
func TestStopIsRepeatedToNewAgent(t *testing.T) {
	s := siteWithUnsentStart(t)
	w := s.workers["t00"]
	w.poll = 100
	s.pass()
	w.poll = 0
	s.p.Report("t00", &agentrpc.WatchReply{Boot: 2, Worker: w.worker, Listed: true, Look: 1}, s.now)
	s.pass()
	w.poll = 1
	s.p.Report("t00", &agentrpc.WatchReply{Boot: 2, Worker: w.worker, Listed: true, Look: 3}, s.now)
	s.pass()
	qt.Assert(t, s.rows["j1/0"].Steps[0].Tasks[0].Active, qt.HasLen, 0)
}

// Guards against a run that is given up, and started a second time, because its
// order reached the next life of a worker that kept its ID.
func TestOrderReachesNextIncarnation(t *testing.T) {
	s := newSite(t, 2)
	s.add(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4}))
	at := s.target("j1.0.0.0")
	w := s.workers[at]
	next := &agentrpc.Worker{Life: &agentrpc.Life{Worker: w.worker.GetLife().GetWorker(), Born: 9}, Pool: testPool, Accelerators: 8}
	w.worker = next
	s.p.Report(at, &agentrpc.WatchReply{Worker: next}, s.now) // not listed under the new token yet
	s.pass()
	qt.Assert(t, s.starts, qt.HasLen, 1)
	s.step(time.Second)
	qt.Assert(t, s.starts, qt.HasLen, 1)
	qt.Assert(t, s.rows["j1/0"].Steps[0].Tasks[0].Active[0].Place.Born, qt.Equals, int64(9))
	s.finishTask("j1.0.0.0")
	s.step(time.Second)
	qt.Assert(t, s.state("j1"), qt.Equals, job.Completed)
}
