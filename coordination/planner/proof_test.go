package planner

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against a run that goes on in the next incarnation of its worker, which was not chosen for it and
// lacks the label that its step requires, or is in another pool.
func TestFollowedRunMeetsItsRequirement(t *testing.T) {
	tests := []struct {
		name   string
		change func(next *agentrpc.Worker)
		kept   bool
		late   bool // a new planner learns of the run after the lists of the next incarnation
	}{
		{name: "the same label and pool", change: func(*agentrpc.Worker) {}, kept: true},
		{name: "another label", change: func(next *agentrpc.Worker) { next.Labels = []string{"a"} }},
		{name: "another pool", change: func(next *agentrpc.Worker) { next.Pool = "other" }},
		{name: "the same, restored late", change: func(*agentrpc.Worker) {}, kept: true, late: true},
		{name: "another label, restored late", change: func(next *agentrpc.Worker) { next.Labels = []string{"a"} }, late: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.workers["t00"].worker.Labels = []string{"b"}
			h.report(h.names...)
			j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4, Label: "b", EstimateMillis: 60_000})
			h.addJob(j)
			h.advance(time.Second)
			qt.Assert(t, h.targetOf("j1.0.0.0"), qt.Equals, "t00")
			w := h.workers["t00"]
			next, ok := proto.Clone(w.worker).(*agentrpc.Worker)
			qt.Assert(t, ok, qt.IsTrue)
			next.Life.Born++
			tt.change(next)
			w.worker = next
			if tt.late {
				h.restartPlanner()
				h.p.SetLoaded()
				h.report(h.names...)
				h.p.AddJob(j, []job.Progress{h.rows["j1/0"]}, h.now)
				h.report(h.names...)
				// The run is stopped by an order, not given up: it is at work.
				qt.Check(t, h.p.taskNamed("j1.0.0.0").runs, qt.HasLen, 1)
			}
			for range 3 {
				h.advance(time.Second)
			}
			qt.Check(t, h.targetOf("j1.0.0.0") == "t00", qt.Equals, tt.kept)
		})
	}
}

// Guards against a run that is given up without the proof that it is over, so that its task runs
// twice, and against one that is kept in spite of the proof, so that its task never runs again.
// shard.TestRunOnUnreachableTarget, TestSilentWorker and TestLateRemovalOfTargetRow guard the paths
// that don't go through a report.
func TestRunIsGivenUpOnlyOnProof(t *testing.T) {
	next := func(worker string, born int64, in *agentrpc.WatchReply) {
		in.Boot++
		in.Worker = &agentrpc.Worker{
			Life: &agentrpc.Life{Worker: worker, Born: born}, Pool: testPool, Cpu: 128_000, MemoryMb: 262_144, Accelerators: 8, Rack: "r0",
		}
		in.Running = nil
	}
	tests := []struct {
		name   string
		change func(h *harness, in *agentrpc.WatchReply) // of the report of the run's target
		lost   bool
	}{
		{name: "unchanged", change: func(*harness, *agentrpc.WatchReply) {}},
		{name: "the target can't be reached", change: func(h *harness, in *agentrpc.WatchReply) {
			h.p.SetConnected("t00", false)
			in.Listed = false
		}},
		{name: "the agent was started again and knows no worker", change: func(_ *harness, in *agentrpc.WatchReply) {
			in.Boot++
			in.Worker, in.Listed, in.Running = nil, false, nil
		}},
		{name: "the agent was started again and has no lists", change: func(_ *harness, in *agentrpc.WatchReply) {
			in.Boot++
			in.Listed, in.Running = false, nil
		}},
		{name: "the lists are not confirmed", change: func(_ *harness, in *agentrpc.WatchReply) { in.Listed, in.Running = false, nil }},
		{name: "the worker is silent", change: func(_ *harness, in *agentrpc.WatchReply) {
			in.Listed, in.Running, in.SilentMillis = false, nil, 5000
		}},
		{name: "the worker drains", change: func(_ *harness, in *agentrpc.WatchReply) { in.Worker.Draining = true }},
		{name: "the capacity has shrunk", change: func(_ *harness, in *agentrpc.WatchReply) { in.Worker.Accelerators = 1 }},
		{name: "another pool", change: func(_ *harness, in *agentrpc.WatchReply) { in.Worker.Pool = "other" }},
		{name: "a list without the run, whose start may be late", change: func(_ *harness, in *agentrpc.WatchReply) {
			in.Look++
			in.Running = nil
		}},
		{name: "the end of an earlier run", change: func(_ *harness, in *agentrpc.WatchReply) {
			in.Ended = []*agentrpc.RunEnd{{Number: 1, Task: "j1.0.0.0", Run: 9, How: endLapsed}}
		}},
		{name: "started again under its ID, no lists", change: func(_ *harness, in *agentrpc.WatchReply) {
			next("t00-1", 9, in)
			in.Listed = false
		}},
		{name: "started again under its ID, the run is listed", change: func(_ *harness, in *agentrpc.WatchReply) {
			running := in.GetRunning()
			next("t00-1", 9, in)
			in.Running = running
		}},
		{name: "started again under its ID, the run is not listed", change: func(_ *harness, in *agentrpc.WatchReply) { next("t00-1", 9, in) }, lost: true},
		{name: "started again under its ID, the list may lack ends", change: func(_ *harness, in *agentrpc.WatchReply) {
			next("t00-1", 9, in)
			in.Look = 0
		}},
		{name: "another worker has answered", change: func(_ *harness, in *agentrpc.WatchReply) { next("t00-9", 9, in) }, lost: true},
		{name: "the worker is gone", change: func(_ *harness, in *agentrpc.WatchReply) { in.Worker.Gone = true }, lost: true},
		{name: "its end", change: func(_ *harness, in *agentrpc.WatchReply) {
			in.Ended, in.Running = []*agentrpc.RunEnd{{Number: 1, Task: "j1.0.0.0", Run: 1, How: endLapsed}}, nil
		}, lost: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4, EstimateMillis: 60_000}))
			h.advance(time.Second)
			qt.Assert(t, h.targetOf("j1.0.0.0"), qt.Equals, "t00")
			h.starts = nil
			w := h.workers["t00"]
			reported, ok := proto.Clone(w.worker).(*agentrpc.Worker)
			qt.Assert(t, ok, qt.IsTrue)
			in := &agentrpc.WatchReply{
				Boot: h.p.targetNamed("t00").agentBoot, Worker: reported, Listed: true, Look: w.poll, Running: []*agentrpc.RunStatus{w.running["j1.0.0.0"]},
			}
			tt.change(h, in)
			for range 10 {
				h.now = h.now.Add(time.Second)
				h.p.Report("t00", in, h.now)
				h.report("t01")
				h.runPass()
			}
			kept := slices.ContainsFunc(h.p.taskNamed("j1.0.0.0").runs, func(r *run) bool { return r.number == 1 })
			qt.Check(t, kept, qt.Equals, !tt.lost)
			if !tt.lost {
				qt.Check(t, h.starts, qt.HasLen, 0)
			}
		})
	}
}
