package planner

import (
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

const (
	// stalledTask is the task whose run stalls in these tests.
	stalledTask = "j.0.0.0"
	// pollInterval is the time between two polls of the simulated workers.
	pollInterval = 500 * time.Millisecond
)

// advancePolls advances the clock by a number of polls of the workers. The progress of
// stalledTask grows by percentPerPoll before each of them.
func (h *harness) advancePolls(polls int, percentPerPoll int64) {
	for range polls {
		if w := h.targetOf(stalledTask); w != "" {
			h.workers[w].running[stalledTask].Percent += percentPerPoll
		}
		h.advance(pollInterval)
	}
}

// Guards against runs that stay stalled on a faulty worker until somebody cancels them, and
// against runs that are moved although waiting loses less.
func TestStalledRuns(t *testing.T) {
	tests := []struct {
		name          string
		step          job.Step
		percentBefore int64         // progress of the run in 2 s, before it stalls
		moveWithin    time.Duration // time in which the run must have moved; 0 if it must not move
	}{
		{name: "little work to repeat", step: job.Step{EstimateMillis: 20_000}, percentBefore: 8, moveWithin: 6 * time.Second},
		{name: "much work to repeat", step: job.Step{EstimateMillis: 4000}, percentBefore: 80},
		{name: "checkpoints", step: job.Step{EstimateMillis: 4000, Checkpointable: true}, percentBefore: 80, moveWithin: 3 * time.Second},
		{name: "slow progress", step: job.Step{EstimateMillis: 400_000}, percentBefore: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 2)
			tt.step.Tasks, tt.step.Accelerators = 1, 4
			h.addJob(newJob("j", "long", tt.step))
			h.advance(0)
			origin := h.targetOf(stalledTask)
			h.advancePolls(4, tt.percentBefore/4)
			stalledSince := h.now
			for h.now.Sub(stalledSince) < 5*pollInterval || tt.moveWithin > 0 && h.now.Sub(stalledSince) < tt.moveWithin {
				h.advancePolls(1, 0)
				if tt.name == "slow progress" && h.now.Sub(stalledSince)%(2*pollInterval) == 0 {
					h.workers[origin].running[stalledTask].Percent++
				}
			}
			if tt.moveWithin == 0 {
				qt.Assert(t, h.starts, qt.HasLen, 1)
				return
			}
			qt.Assert(t, h.targetOf(stalledTask), qt.Not(qt.Equals), "")
			qt.Assert(t, h.targetOf(stalledTask), qt.Not(qt.Equals), origin)
		})
	}
}

// Guards against new work on a worker that has a stalled run.
func TestNoStartBesideStalledRun(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(newJob("j", "long", job.Step{Tasks: 1, Accelerators: 4, EstimateMillis: 4000}))
	h.advance(0)
	target := h.targetOf(stalledTask)
	h.advancePolls(4, 20)
	h.advancePolls(4, 0)
	h.addJob(newJob("k", "long", job.Step{Tasks: 1, Accelerators: 4}))
	qt.Assert(t, h.targetOf(stalledTask), qt.Equals, target)
	qt.Assert(t, h.targetOf("k.0.0.0"), qt.Not(qt.Equals), target)
	h.advancePolls(5, 2)
	h.addJob(newJob("l", "long", job.Step{Tasks: 1, Accelerators: 4}))
	qt.Assert(t, h.targetOf("l.0.0.0"), qt.Equals, target)
}

// Guards against workers that never report progress being taken for faulty ones, and against
// repeated reports of the same poll being taken for a stall.
func TestStallNeedsProgressAndPolls(t *testing.T) {
	tests := []struct {
		name          string
		percentBefore int64
		newPolls      bool // new polls are reported while the run makes no progress
	}{
		{name: "progress never reported", newPolls: true},
		{name: "no new poll", percentBefore: 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 2)
			h.addJob(newJob("j", "long", job.Step{Tasks: 1, Accelerators: 4, Checkpointable: true, EstimateMillis: 4000}))
			h.advance(0)
			target := h.targetOf(stalledTask)
			h.advancePolls(4, tt.percentBefore/4)
			for range 10 {
				if tt.newPolls {
					h.advance(pollInterval)
					continue
				}
				w := h.workers[target]
				h.now = h.now.Add(pollInterval)
				h.p.Report(target, &agentrpc.WatchReply{
					Worker: w.worker, Listed: true, Look: w.poll, Running: []*agentrpc.RunStatus{w.running[stalledTask]},
				}, h.now)
				h.runPass()
			}
			qt.Assert(t, h.starts, qt.HasLen, 1)
		})
	}
}

// Guards against a task that stands still wherever it runs, is moved for ever, and keeps new work
// away from one worker after another.
func TestTaskThatStandsStillEverywhere(t *testing.T) {
	for _, tasks := range []int{1, 3} { // alone, and in a gang
		t.Run(strconv.Itoa(tasks), func(t *testing.T) { testStandsStillEverywhere(t, tasks) })
	}
}

func testStandsStillEverywhere(t *testing.T, tasks int) {
	h := newHarness(t, 6)
	h.addJob(newJob("j", "long", job.Step{Tasks: tasks, Accelerators: 1, EstimateMillis: 20_000, Gang: tasks > 1}))
	h.addJob(newJob("other", "long", job.Step{Tasks: 1, Accelerators: 1, EstimateMillis: 600_000}))
	h.advance(0)
	for i := range 400 {
		for _, w := range h.workers { // Workers report progress, but not of this task.
			if r := w.running["other.0.0.0"]; r != nil {
				r.Percent = int64(i / 8)
			}
		}
		h.advance(pollInterval)
	}
	qt.Check(t, h.startsOf(stalledTask), qt.Equals, 1+maxStallMoves)
	h.addJob(newJob("wide", "urgent", job.Step{Tasks: 6, Accelerators: 5}))
	h.advance(pollInterval)
	for k := range 6 {
		name := job.TaskName{Job: "wide", Index: k}.String()
		qt.Check(t, h.targetOf(name), qt.Not(qt.Equals), "", qt.Commentf("%s", name))
	}
}

// Guards against a gang that is stopped because a member that has done its work waits for slower
// members, and against new work being kept away from the worker of such a member.
func TestMembersThatWaitForTheGangDoNotStandStill(t *testing.T) {
	h := newHarness(t, 3)
	step := job.Step{Tasks: 2, Accelerators: 4, EstimateMillis: 4000, Gang: true, MaxPerWorker: 1, Checkpointable: true}
	h.addJob(newJob("j", "long", step))
	h.advance(0)
	fast, slow := h.targetOf(stalledTask), h.targetOf("j.0.0.1")
	for range 20 {
		run := h.workers[fast].running[stalledTask]
		qt.Assert(t, run, qt.IsNotNil)
		run.Percent = min(run.Percent+25, 100)
		h.workers[slow].running["j.0.0.1"].Percent += 4
		h.advance(pollInterval)
	}
	qt.Assert(t, h.starts, qt.HasLen, 2)
	qt.Check(t, h.p.targets[fast].acceptsWork(h.now), qt.IsTrue)
	// The gang moves if the member that still works stands still.
	for range 10 {
		h.advance(pollInterval)
	}
	qt.Check(t, h.targetOf("j.0.0.1"), qt.Not(qt.Equals), slow)
}
