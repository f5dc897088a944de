package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// restartPlanner replaces the planner with a new one that has no jobs yet.
func (h *harness) restartPlanner() {
	h.p = New(testSettings(), zerolog.Nop())
	h.p.SetConfig(testConfig())
}

// Guards against a job that never continues after all machines have lost power: its run is
// recorded on an incarnation of a worker that no longer exists when the new planner reads the
// row, before or after the next incarnation of the worker is reported.
func TestRunOnFormerIncarnation(t *testing.T) {
	tests := []struct {
		name        string
		reportFirst bool
	}{
		{name: "row first"},
		{name: "report first", reportFirst: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 2)
			j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
			h.addJob(j)
			row := h.rows["j1/0"]
			qt.Assert(t, row.Steps[0].Tasks[0].Active, qt.HasLen, 1)

			h.restartPlanner()
			for _, n := range h.names {
				h.workers[n] = newSimWorker(n, 2, "r0")
			}
			if tt.reportFirst {
				h.report(h.names...)
			}
			h.p.AddJob(j, []job.Progress{row}, h.now)
			h.p.SetLoaded()
			h.starts = nil
			h.advance(time.Second)
			h.advance(time.Second)
			qt.Assert(t, h.starts, qt.HasLen, 1)
			qt.Assert(t, h.rows["j1/0"].Steps[0].Tasks[0].LastRun, qt.Equals, 2)
		})
	}
}

// Guards against a second start of a run that continues while the planner is replaced, and
// against its end being missed.
func TestRunSurvivesTakeOver(t *testing.T) {
	h := newHarness(t, 2)
	j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
	h.addJob(j)
	h.advance(time.Second)
	h.restartPlanner()
	h.p.AddJob(j, []job.Progress{h.rows["j1/0"]}, h.now)
	h.p.SetLoaded()
	h.advance(time.Second)
	h.advance(time.Second)
	qt.Assert(t, h.starts, qt.HasLen, 1)
	h.finishTask("j1.0.0.0")
	h.advance(time.Second)
	qt.Assert(t, h.stateOf("j1"), qt.Equals, job.Completed)
}

// Guards against the loss of a recorded start that never reached its worker: the new planner
// must order it again, as the same run.
func TestRecordedStartIsRepeated(t *testing.T) {
	h := newHarness(t, 1)
	j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
	h.workers["t00"].dropsOrders = true
	h.addJob(j)
	qt.Assert(t, h.starts, qt.HasLen, 0)
	h.restartPlanner()
	h.workers["t00"].dropsOrders = false
	h.p.AddJob(j, []job.Progress{h.rows["j1/0"]}, h.now)
	h.p.SetLoaded()
	h.advance(time.Second)
	qt.Assert(t, h.starts, qt.DeepEquals, []string{"j1.0.0.0 1 t00"})
}

// Guards against a planner that acknowledges the end of a run before it has loaded the run:
// the end would be lost, and the task would be started again although it is done.
func TestEndReportedBeforeJobsAreLoaded(t *testing.T) {
	h := newHarness(t, 1)
	j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
	h.addJob(j)
	h.advance(time.Second)
	h.finishTask("j1.0.0.0")
	h.restartPlanner()
	h.report(h.names...)
	h.runPass()
	qt.Assert(t, h.workers["t00"].ended, qt.HasLen, 1)
	h.p.AddJob(j, []job.Progress{h.rows["j1/0"]}, h.now)
	h.p.SetLoaded()
	h.advance(time.Second)
	qt.Assert(t, h.stateOf("j1"), qt.Equals, job.Completed)
	qt.Assert(t, h.starts, qt.HasLen, 1)
}

// Guards against the loss of an end from a worker's next incarnation because an end of the
// former one, handled shortly before the worker restarted, had the same number.
func TestEndNumbersArePerIncarnation(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4}))
	h.advance(time.Second)
	h.finishTask("j1.0.0.0")
	h.report(h.names...)
	formerIncarnation := h.workers["t00"].worker.GetLife()
	h.workers["t00"] = newSimWorker("t00", 2, "r0")
	h.p.Report("t00", &agentrpc.WatchReply{Worker: h.workers["t00"].worker}, h.now)
	b := h.p.Plan(h.now)
	for name, ack := range b.EndAcks {
		qt.Check(t, ack.Incarnation, qt.Equals, formerIncarnation, qt.Commentf("end %d of %s", ack.End, name))
	}
}
