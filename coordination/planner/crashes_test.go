package planner

import (
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// crash ends a worker without an announcement, some time after it was last advanced. A new
// incarnation registers with its next report.
func (h *harness) crash(target string) {
	w := h.workers[target]
	c := &agentrpc.Crash{Life: w.worker.GetLife(), AgoMillis: crashDowntime.Milliseconds()}
	for task, r := range w.running {
		c.Runs = append(c.Runs, &agentrpc.CrashedRun{
			Task: task, Run: r.GetRun(), AgeMillis: h.now.Sub(w.startedAt[task]).Milliseconds(), Confirmed: true,
		})
	}
	next := newSimWorker(target, w.worker.GetLife().GetBorn()+1, w.worker.GetRack())
	next.crashes = append(slices.Clone(w.crashes), c)
	h.workers[target] = next
}

// crashDowntime is the time from a crash until the next incarnation of the worker registers.
const crashDowntime = 3 * time.Second

// startsOf returns how often runs of a task were started.
func (h *harness) startsOf(task string) int {
	n := 0
	for _, s := range h.starts {
		if strings.HasPrefix(s, task+" ") {
			n++
		}
	}
	return n
}

// Guards against a task that crashes each worker that starts it and is started again for ever.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	tests := []struct {
		name string
		step job.Step
	}{
		{name: "single task", step: job.Step{Tasks: 1, Accelerators: 2}},
		{name: "gang on several workers", step: job.Step{Tasks: 4, Accelerators: 4, Gang: true}},
		{name: "one of several tasks", step: job.Step{Tasks: 4, Accelerators: 2}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 8)
			h.addJob(newJob("other", "long", job.Step{Tasks: 8, Accelerators: 1, EstimateMillis: 60_000}))
			h.advance(time.Second)
			h.addJob(newJob("bad", "long", tt.step))
			crashes := 0
			for range 100 {
				if target := h.targetOf("bad.0.0.0"); target != "" {
					h.now = h.now.Add(10 * time.Millisecond)
					h.crash(target)
					crashes++
					h.now = h.now.Add(crashDowntime)
				}
				h.advance(200 * time.Millisecond)
			}
			// A task may be given up after two crashes, and must not be started three times
			// more after three.
			qt.Check(t, crashes >= 2, qt.IsTrue, qt.Commentf("%d crashes", crashes))
			qt.Check(t, h.startsOf("bad.0.0.0") <= 5, qt.IsTrue, qt.Commentf("%d starts", h.startsOf("bad.0.0.0")))
			qt.Check(t, h.stateOf("bad"), qt.Equals, job.Failed)
			qt.Check(t, h.stateOf("other"), qt.Equals, job.Running)
		})
	}
}
