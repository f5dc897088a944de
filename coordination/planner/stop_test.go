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
	h := newHarness(t, 1)
	h.workers["t00"].dropsOrders = true
	h.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4}))
	h.workers["t00"].dropsOrders = false
	h.p.Cancel("j1", h.now)
	return h
}

// Guards against a stop that is never confirmed because each repetition of it waits for a
// later poll of the worker than the one before.
func TestRepeatedStopIsConfirmed(t *testing.T) {
	h := harnessWithLostStart(t)
	h.runPass()
	w := h.workers["t00"]
	firstPoll := w.poll + 1
	// The worker is polled while the lists are under way, so the result of each repetition
	// names a later poll.
	for range 3 {
		w.poll++
		h.now = h.now.Add(resendAfter)
		h.runPass()
	}
	h.p.Report("t00", &agentrpc.WatchReply{Worker: w.worker, Listed: true, Look: firstPoll}, h.now)
	h.runPass()
	qt.Assert(t, h.rows["j1/0"].Steps[0].Tasks[0].Active, qt.HasLen, 0)
}

// Guards against a stop that waits for a poll which a new agent reaches late or never,
// because a new agent starts to number its polls from the beginning.
func TestStopIsRepeatedToNewAgent(t *testing.T) {
	h := harnessWithLostStart(t)
	w := h.workers["t00"]
	w.poll = 100
	h.runPass()
	w.poll = 0
	h.p.Report("t00", &agentrpc.WatchReply{Boot: 2, Worker: w.worker, Listed: true, Look: 1}, h.now)
	h.runPass()
	w.poll = 1
	h.p.Report("t00", &agentrpc.WatchReply{Boot: 2, Worker: w.worker, Listed: true, Look: 3}, h.now)
	h.runPass()
	qt.Assert(t, h.rows["j1/0"].Steps[0].Tasks[0].Active, qt.HasLen, 0)
}

// Guards against a run that is given up, and started a second time, because its start order
// reached the next incarnation of a worker that kept its ID.
func TestOrderReachesNextIncarnation(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4}))
	target := h.targetOf("j1.0.0.0")
	w := h.workers[target]
	nextWorker := &agentrpc.Worker{Life: &agentrpc.Life{Worker: w.worker.GetLife().GetWorker(), Born: 9}, Pool: testPool, Accelerators: 8}
	w.worker = nextWorker
	h.p.Report(target, &agentrpc.WatchReply{Worker: nextWorker}, h.now) // its runs are not listed under the new fencing token yet
	h.runPass()
	qt.Assert(t, h.starts, qt.HasLen, 1)
	h.advance(time.Second)
	qt.Assert(t, h.starts, qt.HasLen, 1)
	qt.Assert(t, h.rows["j1/0"].Steps[0].Tasks[0].Active[0].Place.Born, qt.Equals, int64(9))
	h.finishTask("j1.0.0.0")
	h.advance(time.Second)
	qt.Assert(t, h.stateOf("j1"), qt.Equals, job.Completed)
}

// Guards against a member of a gang that runs twice at the same time: the first list that a new
// planner gets shows it as running, together with the failed end of another member.
func TestFirstListWithFailedMember(t *testing.T) {
	h := newHarness(t, 2)
	j := newJob("j", "urgent", job.Step{Tasks: 3, Accelerators: 2, Gang: true})
	h.addJob(j)
	h.advance(100 * time.Millisecond)
	w := h.workers[h.targetOf("j.0.0.1")]
	qt.Assert(t, w.running, qt.HasLen, 3)
	w.endRun("j.0.0.0", endFailed)
	h.takeOver(j)
	qt.Assert(t, w.running, qt.HasLen, 2)
	w.dropsOrders = true // The stops have not arrived yet.
	for range 3 {
		h.runPass()
		h.advance(100 * time.Millisecond)
	}
	qt.Check(t, h.startsOf("j.0.0.1"), qt.Equals, 1)
	w.dropsOrders = false
	for range 20 {
		h.advance(200 * time.Millisecond)
	}
	qt.Check(t, h.startsOf("j.0.0.1"), qt.Equals, 2)
}
