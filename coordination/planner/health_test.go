package planner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against a faulty worker that fails every task and gets all new work because it is
// always free, and against pausing a sound worker because of a task that fails everywhere.
func TestPauseAfterFailures(t *testing.T) {
	type event struct {
		at   time.Duration // since the start
		task string        // the task that failed; empty for a success
	}
	tests := []struct {
		name     string
		events   []event
		pauseEnd time.Duration // end of the pause, since the start; 0 for no pause
	}{
		{name: "one failure", events: []event{{0, "a"}}},
		{name: "one task twice", events: []event{{0, "a"}, {time.Second, "a"}}},
		{name: "two tasks", events: []event{{0, "a"}, {time.Second, "b"}}, pauseEnd: time.Second + firstFailurePause},
		{name: "three tasks", events: []event{{0, "a"}, {0, "b"}, {3 * time.Second, "c"}}, pauseEnd: 3*time.Second + 2*firstFailurePause},
		{name: "success between", events: []event{{0, "a"}, {0, ""}, {0, "b"}}},
		{name: "success ends the pause", events: []event{{0, "a"}, {0, "b"}, {time.Second, ""}}},
		{
			name:   "bounded pause",
			events: []event{{0, "a"}, {0, "b"}, {0, "c"}, {0, "d"}, {0, "e"}, {0, "f"}, {0, "g"}, {0, "h"}}, pauseEnd: maxFailurePause,
		},
	}
	start := time.Now()
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var h health
			last := time.Duration(0)
			for _, e := range tt.events {
				last = e.at
				if e.task == "" {
					h.recordSuccess()
				} else {
					h.recordFailure(e.task, start.Add(e.at))
				}
			}
			qt.Check(t, h.isPaused(start.Add(last)), qt.Equals, tt.pauseEnd > 0)
			if tt.pauseEnd > 0 {
				qt.Check(t, h.isPaused(start.Add(tt.pauseEnd-time.Millisecond)), qt.IsTrue)
			}
			qt.Check(t, h.isPaused(start.Add(tt.pauseEnd)), qt.IsFalse)
		})
	}
}

// Guards against a task that waits forever because it has failed on the only worker that may
// run it, and against one that is retried on the worker on which it failed although another
// worker may run it.
func TestRetryAfterFailure(t *testing.T) {
	tests := []struct {
		name    string
		workers int
		want    []string // targets of the starts, in order
	}{
		{name: "only worker", workers: 1, want: []string{"t00", "t00"}},
		{name: "another worker", workers: 2, want: []string{"t00", "t01"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, tt.workers)
			h.addJob(newJob("j", "long", job.Step{Tasks: 1, Accelerators: 1})) // its kind allows two attempts
			for _, want := range tt.want {
				for range 30 { // The worker may be paused after the failure.
					if h.targetOf("j.0.0.0") != "" {
						break
					}
					h.advance(200 * time.Millisecond)
				}
				qt.Assert(t, h.targetOf("j.0.0.0"), qt.Equals, want)
				h.advance(200 * time.Millisecond)
				h.workers[want].endRun("j.0.0.0", endFailed)
				h.advance(200 * time.Millisecond)
			}
			h.advance(200 * time.Millisecond)
			qt.Check(t, h.stateOf("j"), qt.Equals, job.Failed)
		})
	}
}

// Guards against lasting work that is not started again in time because the only worker that may run
// it is paused after the failures of that work.
func TestLastingWorkOnPausedWorker(t *testing.T) {
	const bound = 6 * time.Second // from the end of its last run
	h := newHarness(t, 2)
	h.workers["t01"].worker.Labels = []string{"a", "b"}
	h.advance(time.Second)
	for i := range 6 {
		h.addJob(newJob(fmt.Sprintf("s%d", i), "long", job.Step{Tasks: 1, Accelerators: 1, LongRunning: true, Label: "b", EstimateMillis: 60_000}))
	}
	endedAt := make(map[string]time.Time)
	for round := range 60 {
		h.advance(500 * time.Millisecond)
		if task := fmt.Sprintf("s%d.0.0.0", round%6); round%2 == 0 && h.targetOf(task) != "" {
			h.failTask(task)
			endedAt[task] = h.now
		}
		for failed, at := range endedAt {
			if h.targetOf(failed) != "" {
				delete(endedAt, failed)
			}
			qt.Assert(t, h.now.Sub(at) <= bound, qt.IsTrue, qt.Commentf("%s was not started again in time", failed))
		}
	}
}

// Guards against lasting work that is started on a paused worker although another has room.
func TestLastingWorkLeavesPausedWorker(t *testing.T) {
	h := newHarness(t, 2)
	for i := range 2 {
		h.addJob(newJob(fmt.Sprintf("s%d", i), "long", job.Step{Tasks: 1, Accelerators: 1, LongRunning: true, EstimateMillis: 60_000}))
	}
	h.advance(time.Second)
	faulty := h.failTask("s0.0.0.0")
	qt.Assert(t, h.failTask("s1.0.0.0"), qt.Equals, faulty)
	for range 8 {
		h.advance(500 * time.Millisecond)
		for i := range 2 {
			qt.Check(t, h.targetOf(fmt.Sprintf("s%d.0.0.0", i)), qt.Not(qt.Equals), faulty)
		}
	}
	for i := range 2 {
		qt.Check(t, h.targetOf(fmt.Sprintf("s%d.0.0.0", i)), qt.Not(qt.Equals), "")
	}
}
