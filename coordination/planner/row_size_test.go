package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// checkpointAll lets all running tasks of a job leave a checkpoint of n bytes.
func (h *harness) checkpointAll(id string, n int, gang bool) {
	for _, w := range h.workers {
		for name, r := range w.running {
			if !strings.HasPrefix(name, id+".") {
				continue
			}
			unique := name
			if gang {
				unique = id
			}
			r.Checkpoint = fmt.Sprintf("%0*d", n, 0)[len(unique):] + unique
		}
	}
}

// Guards against a job of many tasks that fails because a worker crashes once: the crash is recorded for
// each of the tasks that ran there, which takes more space than the row has. A new planner learns of the
// crash again, although the former one had to forget it to start the tasks.
func TestCrashUnderManyTasks(t *testing.T) {
	const tasks = 400
	h := newHarness(t, 2)
	h.workers["t00"] = newSimWorker("t00", h.now.UnixMilli(), "r0")
	h.workers["t01"].worker.Draining = true // The tasks run on the other worker.
	h.report(h.names...)
	j := newJob("j1", "long", job.Step{Tasks: tasks, CPU: 100, EstimateMillis: 60_000})
	h.addJob(j)
	for range 5 {
		h.advance(time.Second)
	}
	qt.Assert(t, h.workers["t00"].running, qt.HasLen, tasks)
	h.workers["t01"].worker.Draining = false
	h.crash("t00")
	for range 6 {
		h.advance(time.Second)
	}
	h.takeOver(j)
	for range 3 {
		h.advance(time.Second)
	}
	qt.Assert(t, h.stateOf("j1"), qt.Equals, job.Running)
	for i := range tasks {
		h.finishTask(fmt.Sprintf("j1.0.0.%d", i))
	}
	for range 3 {
		h.advance(time.Second)
	}
	qt.Check(t, h.stateOf("j1"), qt.Equals, job.Completed)
}

// Guards against a job whose long checkpoints make its row too long for the store, so that nothing
// of the site is recorded any more (the harness fails for such a row), and against one that gets
// no runs any more because checkpoints take the space of its row.
func TestLongCheckpoints(t *testing.T) {
	tests := []struct {
		name  string
		step  job.Step
		bytes int
	}{
		{"200 tasks", job.Step{Tasks: 200, CPU: 200, Checkpointable: true}, 320},
		{"78 tasks", job.Step{Tasks: 78, CPU: 200, Checkpointable: true}, 1000},
		{"39 tasks", job.Step{Tasks: 39, CPU: 200, Checkpointable: true}, 1600},
		{"not declared checkpointable", job.Step{Tasks: 200, CPU: 200}, 320},
		{"gang", job.Step{Tasks: 64, CPU: 200, Gang: true, Checkpointable: true}, 2000},
		{"longer than a row", job.Step{Tasks: 2, CPU: 200, Checkpointable: true}, 70_000},
		{"more tasks than runs fit into the row", job.Step{Tasks: 500, CPU: 1, Checkpointable: true}, 1000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 4)
			tt.step.EstimateMillis = 60_000
			h.addJob(newJob("large", "long", tt.step))
			for range 3 {
				h.advance(time.Second)
				h.checkpointAll("large", tt.bytes, tt.step.Gang)
				h.advance(time.Second)
			}
			qt.Assert(t, h.stateOf("large"), qt.Equals, job.Running)
			// All workers lose their work, which leaves the tasks with their checkpoints only.
			for _, n := range h.names {
				h.p.LoseRuns(n, "test", h.now)
				h.workers[n].running = make(map[string]*agentrpc.RunStatus)
			}
			h.addJob(newJob("small", "urgent", job.Step{Tasks: 1, Accelerators: 4}))
			h.advance(time.Second)
			qt.Check(t, h.targetOf("small.0.0.0"), qt.Not(qt.Equals), "")
			for range 10 {
				for _, n := range h.names {
					for name := range h.workers[n].running {
						h.workers[n].endRun(name, endDone)
					}
				}
				h.advance(time.Second)
			}
			qt.Check(t, h.stateOf("large"), qt.Equals, job.Completed)
			qt.Check(t, h.stateOf("small"), qt.Equals, job.Completed)
		})
	}
}

// Guards against a job that waits for ever because what is recorded of its tasks leaves no space in
// its row for another run, and against one that holds up others while it does.
func TestRowWithoutSpaceFailsItsJob(t *testing.T) {
	h := newHarness(t, 4)
	j := newJob("large", "long", job.Step{Tasks: 200, CPU: 200, EstimateMillis: 60_000})
	j.Key = "k"
	h.addJob(j)
	for range 10 {
		for _, n := range h.names {
			w := h.workers[n]
			for name := range w.running {
				w.endRun(name, endDone)
				w.ended[len(w.ended)-1].Result = make([]byte, 512)
			}
		}
		h.advance(time.Second)
	}
	qt.Check(t, h.stateOf("large"), qt.Equals, job.Failed)
	qt.Check(t, h.rows["large/0"].Steps[0].Tasks[0].Error, qt.Equals, "what is to be recorded of its 200 tasks is too large")
	h.addJob(newJob("small", "urgent", job.Step{Tasks: 1, Accelerators: 4}))
	qt.Check(t, h.targetOf("small.0.0.0"), qt.Not(qt.Equals), "")
}

// Guards against a row that is written for ever although the store rejects it: its job ends as
// failed, and ends of other jobs in the same batch are acknowledged later.
func TestRejectedRow(t *testing.T) {
	h := newHarness(t, 2)
	h.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4, EstimateMillis: 60_000}))
	h.addJob(newJob("j2", "long", job.Step{Tasks: 1, Accelerators: 4, EstimateMillis: 60_000}))
	h.advance(time.Second)
	h.finishTask("j2.0.0.0")
	h.now = h.now.Add(time.Second)
	h.report(h.names...)
	h.p.Plan(h.now) // The store rejects this batch; its acknowledgements are not carried out.
	h.p.RejectRows([]string{job.ProgressKey("j1", 0)}, h.now)
	h.advance(time.Second)
	h.advance(time.Second)
	qt.Check(t, h.stateOf("j1"), qt.Equals, job.Failed)
	qt.Check(t, h.targetOf("j1.0.0.0"), qt.Equals, "")
	qt.Check(t, h.rows["j1/0"].Steps[0].Tasks[0].Error, qt.Equals, "the store rejects its progress")
	for _, n := range h.names {
		qt.Check(t, h.workers[n].ended, qt.HasLen, 0)
	}
	writes := 0
	for range 10 {
		h.now = h.now.Add(time.Second)
		writes += len(h.p.Plan(h.now).Writes)
	}
	qt.Check(t, writes, qt.Equals, 0)
}
