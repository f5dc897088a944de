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
func (s *harness) restartPlanner() {
	s.p = New(testSettings(), zerolog.Nop())
	s.p.SetConfig(testConfig())
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
			s := newHarness(t, 2)
			j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
			s.addJob(j)
			row := s.rows["j1/0"]
			qt.Assert(t, row.Steps[0].Tasks[0].Active, qt.HasLen, 1)

			s.restartPlanner()
			for _, n := range s.names {
				s.workers[n] = newSimWorker(n, 2, "r0")
			}
			if tt.reportFirst {
				s.report(s.names...)
			}
			s.p.AddJob(j, []job.Progress{row}, s.now)
			s.p.SetLoaded()
			s.starts = nil
			s.advance(time.Second)
			s.advance(time.Second)
			qt.Assert(t, s.starts, qt.HasLen, 1)
			qt.Assert(t, s.rows["j1/0"].Steps[0].Tasks[0].LastRun, qt.Equals, 2)
		})
	}
}

// Guards against a second start of a run that continues while the planner is replaced, and
// against its end being missed.
func TestRunSurvivesTakeOver(t *testing.T) {
	s := newHarness(t, 2)
	j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
	s.addJob(j)
	s.advance(time.Second)
	s.restartPlanner()
	s.p.AddJob(j, []job.Progress{s.rows["j1/0"]}, s.now)
	s.p.SetLoaded()
	s.advance(time.Second)
	s.advance(time.Second)
	qt.Assert(t, s.starts, qt.HasLen, 1)
	s.finishTask("j1.0.0.0")
	s.advance(time.Second)
	qt.Assert(t, s.stateOf("j1"), qt.Equals, job.Completed)
}

// Guards against the loss of a recorded start that never reached its worker: the new planner
// must order it again, as the same run.
func TestRecordedStartIsRepeated(t *testing.T) {
	s := newHarness(t, 1)
	j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
	s.workers["t00"].dropsOrders = true
	s.addJob(j)
	qt.Assert(t, s.starts, qt.HasLen, 0)
	s.restartPlanner()
	s.workers["t00"].dropsOrders = false
	s.p.AddJob(j, []job.Progress{s.rows["j1/0"]}, s.now)
	s.p.SetLoaded()
	s.advance(time.Second)
	qt.Assert(t, s.starts, qt.DeepEquals, []string{"j1.0.0.0 1 t00"})
}

// Guards against a planner that acknowledges the end of a run before it has loaded the run:
// the end would be lost, and the task would be started again although it is done.
func TestEndReportedBeforeJobsAreLoaded(t *testing.T) {
	s := newHarness(t, 1)
	j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
	s.addJob(j)
	s.advance(time.Second)
	s.finishTask("j1.0.0.0")
	s.restartPlanner()
	s.report(s.names...)
	s.runPass()
	qt.Assert(t, s.workers["t00"].ended, qt.HasLen, 1)
	s.p.AddJob(j, []job.Progress{s.rows["j1/0"]}, s.now)
	s.p.SetLoaded()
	s.advance(time.Second)
	qt.Assert(t, s.stateOf("j1"), qt.Equals, job.Completed)
	qt.Assert(t, s.starts, qt.HasLen, 1)
}

// Guards against the loss of an end from a worker's next incarnation because an end of the
// former one, handled shortly before the worker restarted, had the same number.
func TestEndNumbersArePerIncarnation(t *testing.T) {
	s := newHarness(t, 1)
	s.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4}))
	s.advance(time.Second)
	s.finishTask("j1.0.0.0")
	s.report(s.names...)
	formerIncarnation := s.workers["t00"].worker.GetLife()
	s.workers["t00"] = newSimWorker("t00", 2, "r0")
	s.p.Report("t00", &agentrpc.WatchReply{Worker: s.workers["t00"].worker}, s.now)
	b := s.p.Plan(s.now)
	for name, ack := range b.EndAcks {
		qt.Check(t, ack.Incarnation, qt.Equals, formerIncarnation, qt.Commentf("end %d of %s", ack.End, name))
	}
}
