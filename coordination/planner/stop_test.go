package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// harnessWithLostStart returns a harness with a recorded run whose start order never reached the
// worker and whose job has been cancelled.
func harnessWithLostStart(t *testing.T) *harness {
	s := newHarness(t, 1)
	s.workers["t00"].dropsOrders = true
	s.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4}))
	s.workers["t00"].dropsOrders = false
	s.p.Cancel("j1", s.now)
	return s
}

// Guards against a stop that is never confirmed because each repetition of it waits for a
// later poll of the worker than the one before.
func TestRepeatedStopIsConfirmed(t *testing.T) {
	s := harnessWithLostStart(t)
	s.runPass()
	w := s.workers["t00"]
	// The results of the orders name polls that are still to come, and lists arrive late.
	for range 3 {
		s.now = s.now.Add(resendAfter)
		s.runPass()
	}
	w.poll++
	s.report("t00")
	s.runPass()
	qt.Assert(t, s.rows["j1/0"].Steps[0].Tasks[0].Active, qt.HasLen, 0)
}

// Guards against a stop that waits for a poll which a new agent reaches late or never,
// because a new agent starts to number its polls from the beginning.
func TestStopIsRepeatedToNewAgent(t *testing.T) {
	s := harnessWithLostStart(t)
	w := s.workers["t00"]
	w.poll = 100
	s.runPass()
	w.poll = 0
	s.p.Report("t00", &agentrpc.WatchReply{Boot: 2, Worker: w.worker, Listed: true, Look: 1}, s.now)
	s.runPass()
	w.poll = 1
	s.p.Report("t00", &agentrpc.WatchReply{Boot: 2, Worker: w.worker, Listed: true, Look: 3}, s.now)
	s.runPass()
	qt.Assert(t, s.rows["j1/0"].Steps[0].Tasks[0].Active, qt.HasLen, 0)
}

// Guards against a run that is given up, and started a second time, because its start order
// reached the next incarnation of a worker that kept its ID.
func TestOrderReachesNextIncarnation(t *testing.T) {
	s := newHarness(t, 2)
	s.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4}))
	target := s.targetOf("j1.0.0.0")
	w := s.workers[target]
	nextWorker := &agentrpc.Worker{Life: &agentrpc.Life{Worker: w.worker.GetLife().GetWorker(), Born: 9}, Pool: testPool, Accelerators: 8}
	w.worker = nextWorker
	s.p.Report(target, &agentrpc.WatchReply{Worker: nextWorker}, s.now) // its runs are not listed under the new fencing token yet
	s.runPass()
	qt.Assert(t, s.starts, qt.HasLen, 1)
	s.advance(time.Second)
	qt.Assert(t, s.starts, qt.HasLen, 1)
	qt.Assert(t, s.rows["j1/0"].Steps[0].Tasks[0].Active[0].Place.Born, qt.Equals, int64(9))
	s.finishTask("j1.0.0.0")
	s.advance(time.Second)
	qt.Assert(t, s.stateOf("j1"), qt.Equals, job.Completed)
}
