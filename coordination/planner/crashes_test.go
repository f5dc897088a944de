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

// crashDowntime is the time from a crash until the next incarnation of the worker registers.
const crashDowntime = 3 * time.Second

// crash ends a worker without an announcement. A new incarnation registers with the first
// report after crashDowntime.
func (h *harness) crash(target string) {
	w := h.workers[target]
	c := &agentrpc.Crash{Life: w.worker.GetLife()}
	for task, r := range w.running {
		c.Runs = append(c.Runs, &agentrpc.CrashedRun{
			Task: task, Run: r.GetRun(), AgeMillis: h.now.Sub(w.startedAt[task]).Milliseconds(), Confirmed: true,
		})
	}
	next := newSimWorker(target, w.worker.GetLife().GetBorn()+1, w.worker.GetRack())
	next.crash, next.formerCrashedAt = c, h.now
	w.next, w.crashedAt = next, h.now
}

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

// takeOver replaces the planner by one that reads the rows of jobs.
func (h *harness) takeOver(jobs ...job.Job) {
	h.restartPlanner()
	for _, j := range jobs {
		var recorded []job.Progress
		for k := range j.Occurrences() {
			if r, ok := h.rows[job.ProgressKey(j.ID, k)]; ok {
				recorded = append(recorded, r)
			}
		}
		h.p.AddJob(j, recorded, h.acceptedAt[j.ID])
	}
	h.p.SetLoaded()
	h.report(h.names...)
}

// Guards against a task that crashes each worker that starts it and is started again for ever.
func TestTaskThatCrashesWorkersIsGivenUp(t *testing.T) {
	tests := []struct {
		name     string
		step     job.Step
		age      time.Duration // of the run at the crash; 10 ms if 0
		unknown  bool          // the starts have no answer
		takeOver bool          // the planner is replaced after each crash
		crashes  int           // after which the job is given up
	}{
		{name: "single task", step: job.Step{Tasks: 1, Accelerators: 2}, crashes: 2},
		{name: "gang on several workers", step: job.Step{Tasks: 4, Accelerators: 4, Gang: true}, crashes: 2},
		{name: "one of several tasks", step: job.Step{Tasks: 4, Accelerators: 2}, crashes: 2},
		{name: "long-running task", step: job.Step{Tasks: 1, Accelerators: 2, LongRunning: true}, crashes: 2},
		{name: "crash after 3 s", step: job.Step{Tasks: 1, Accelerators: 2}, age: 3 * time.Second, crashes: 4},
		{name: "crash after a minute", step: job.Step{Tasks: 1, Accelerators: 2}, age: time.Minute, crashes: 4},
		{name: "start without an answer", step: job.Step{Tasks: 1, Accelerators: 2}, unknown: true, crashes: 4},
		{name: "new planner after each crash", step: job.Step{Tasks: 1, Accelerators: 2}, takeOver: true, crashes: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 8)
			other := newJob("other", "long", job.Step{Tasks: 8, Accelerators: 1, EstimateMillis: 3_600_000})
			bad := newJob("bad", "long", tt.step)
			h.addJob(other)
			h.advance(2 * time.Second)
			h.addJob(bad)
			crashes := 0
			for range 100 {
				if target := h.targetOf("bad.0.0.0"); target != "" {
					for age := tt.age; age > 0; age -= time.Second {
						h.advance(time.Second)
					}
					h.now = h.now.Add(10 * time.Millisecond)
					h.crash(target)
					if tt.unknown {
						for _, r := range h.workers[target].next.crash.GetRuns() {
							r.Confirmed, r.AgeMillis = false, 0
						}
					}
					crashes++
					for range 15 {
						h.advance(crashDowntime / 15)
					}
					if tt.takeOver {
						h.takeOver(other, bad)
					}
				}
				h.advance(200 * time.Millisecond)
			}
			// A task may be given up after two crashes, and must not be started three times
			// more after three.
			qt.Check(t, crashes, qt.Equals, tt.crashes)
			qt.Check(t, h.startsOf("bad.0.0.0") <= 5, qt.IsTrue, qt.Commentf("%d starts", h.startsOf("bad.0.0.0")))
			qt.Check(t, h.stateOf("bad"), qt.Equals, job.Failed)
			qt.Check(t, slices.ContainsFunc(h.rows["bad/0"].Steps[0].Tasks, func(k job.Task) bool {
				return strings.HasSuffix(k.Error, "workers crashed while they ran this task")
			}), qt.IsTrue)
			qt.Check(t, h.stateOf("other"), qt.Equals, job.Running)
		})
	}
}

// Guards against occurrences of a job that crash workers after an earlier one was given up.
func TestOccurrencesOfJobThatIsGivenUp(t *testing.T) {
	for _, takeOver := range []bool{false, true} {
		h := newHarness(t, 8)
		bad := newJob("bad", "long", job.Step{Tasks: 1, Accelerators: 2})
		bad.Times, bad.IntervalMillis, bad.StartMillis = 20, 4000, h.now.UnixMilli()
		h.addJob(bad)
		crashes := 0
		for range 200 {
			for _, n := range h.names {
				if len(h.workers[n].running) > 0 && h.workers[n].next == nil {
					h.now = h.now.Add(10 * time.Millisecond)
					h.crash(n)
					crashes++
				}
			}
			if takeOver && crashes == 3 {
				h.takeOver(bad)
			}
			h.advance(500 * time.Millisecond)
		}
		qt.Check(t, crashes <= 3, qt.IsTrue, qt.Commentf("%d crashes", crashes))
		qt.Check(t, h.stateOf("bad"), qt.Equals, job.Failed)
	}
}

// Guards against a job that is given up although its tasks don't crash their workers.
func TestTaskBesideCrashesIsKept(t *testing.T) {
	long := job.Step{Tasks: 1, Accelerators: 2, EstimateMillis: 3_600_000}
	tests := []struct {
		name string
		// play has the task "j.0.0.0" lose its worker at least twice.
		play func(h *harness)
	}{
		{name: "two crashes long after its start", play: func(h *harness) {
			for range 2 {
				h.advance(10 * time.Second)
				h.crash(h.targetOf("j.0.0.0"))
				h.advance(crashDowntime)
			}
		}},
		{name: "six crashes in several hours", play: func(h *harness) {
			for range 6 {
				for range 40 {
					h.advance(time.Minute)
				}
				h.crash(h.targetOf("j.0.0.0"))
				h.advance(crashDowntime)
			}
		}},
		{name: "machines that start again", play: func(h *harness) {
			for range 6 {
				h.advance(100 * time.Millisecond)
				n := h.targetOf("j.0.0.0")
				h.workers[n] = newSimWorker(n, h.workers[n].worker.GetLife().GetBorn()+1, "r0") // The agent is new as well and knows no crash.
				h.advance(crashDowntime)
			}
		}},
		{name: "crashes at its start that another task explains", play: func(h *harness) {
			h.addJob(newJob("bad", "long", job.Step{Tasks: 1, Accelerators: 2}))
			qt.Assert(h.t, h.targetOf("bad.0.0.0"), qt.Equals, h.targetOf("j.0.0.0"))
			for range 2 {
				h.now = h.now.Add(10 * time.Millisecond)
				h.crash(h.targetOf("bad.0.0.0"))
				h.advance(crashDowntime)
			}
			qt.Assert(h.t, h.stateOf("bad"), qt.Equals, job.Failed)
			h.now = h.now.Add(10 * time.Millisecond)
			h.crash(h.targetOf("j.0.0.0"))
			h.advance(crashDowntime)
		}},
		{name: "one crash at its start, and one after it ran for a while", play: func(h *harness) {
			h.now = h.now.Add(100 * time.Millisecond)
			h.crash(h.targetOf("j.0.0.0"))
			h.advance(crashDowntime)
			h.advance(startCrashTime + 100*time.Millisecond)
			h.advance(time.Second)
			h.crash(h.targetOf("j.0.0.0"))
			h.advance(crashDowntime)
		}},
		{name: "one crash at its start, a run that lasts, and one at its start", play: func(h *harness) {
			for range 2 {
				h.now = h.now.Add(100 * time.Millisecond)
				h.crash(h.targetOf("j.0.0.0"))
				h.advance(crashDowntime)
				h.advance(startCrashTime + 100*time.Millisecond)
				h.advance(time.Second)
				h.workers[h.targetOf("j.0.0.0")].endRun("j.0.0.0", endFailed)
				h.advance(0)
				h.advance(0)
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 8)
			j := newJob("j", "urgent", long)
			h.addJob(j)
			tt.play(h)
			h.advance(time.Second)
			qt.Check(t, h.stateOf("j"), qt.Equals, job.Running)
			qt.Check(t, h.targetOf("j.0.0.0"), qt.Not(qt.Equals), "")
			h.takeOver(j)
			h.advance(time.Second)
			qt.Check(t, h.stateOf("j"), qt.Equals, job.Running)
		})
	}
}

// Guards against a suspected task that takes other work with it when it crashes its next worker,
// and against a job that crashes several workers at a time.
func TestSuspectsAreIsolated(t *testing.T) {
	h := newHarness(t, 8)
	h.addJob(newJob("bad", "urgent", job.Step{Tasks: 6, Accelerators: 1, EstimateMillis: 600_000}))
	target := h.targetOf("bad.0.0.0")
	h.now = h.now.Add(10 * time.Millisecond)
	h.crash(target)
	// Other work takes a part of each of the other workers, most of one.
	for i, n := range h.names[1:] {
		h.addJob(newJob("other"+n, "urgent", job.Step{Tasks: 1, Accelerators: 8 - i, EstimateMillis: 600_000}))
	}
	h.advance(crashDowntime)
	suspects := make(map[string]int) // by target
	for k := range 6 {
		suspects[h.targetOf(job.TaskName{Job: "bad", Index: k}.String())]++
	}
	qt.Assert(t, suspects, qt.DeepEquals, map[string]int{target: 6}, qt.Commentf("suspects on the empty worker only"))
	h.addJob(newJob("new", "urgent", job.Step{Tasks: 20, Accelerators: 2}))
	for _, s := range h.starts {
		if strings.HasPrefix(s, "new") {
			qt.Check(t, strings.HasSuffix(s, target), qt.IsFalse, qt.Commentf("%s", s))
		}
	}
	qt.Check(t, h.startsOf("new.0.0.19"), qt.Equals, 0)
	h.advance(suspectProbation + 100*time.Millisecond)
	qt.Check(t, h.starts[len(h.starts)-1], qt.Matches, "new.* "+target)
}
