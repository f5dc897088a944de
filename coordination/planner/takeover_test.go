package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// restartPlanner returns the site with a new planner that has no jobs yet.
func (s *site) restartPlanner() {
	s.p = New(testSettings(), zerolog.Nop())
	s.p.SetConfig(testConfig())
}

// Guards against a job that stands still for good after all machines lost power:
// its run is recorded on a life of a worker that is gone when the new planner
// reads the row, before or after that worker's new life is reported.
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
			s := newSite(t, 2)
			j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
			s.add(j)
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
			s.p.Loaded()
			s.starts = nil
			s.step(time.Second)
			s.step(time.Second)
			qt.Assert(t, s.starts, qt.HasLen, 1)
			qt.Assert(t, s.rows["j1/0"].Steps[0].Tasks[0].LastRun, qt.Equals, 2)
		})
	}
}

// Guards against a run that goes on through a change of the planner being started a
// second time, and against its end being missed.
func TestRunSurvivesTakeOver(t *testing.T) {
	s := newSite(t, 2)
	j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
	s.add(j)
	s.step(time.Second)
	s.restartPlanner()
	s.p.AddJob(j, []job.Progress{s.rows["j1/0"]}, s.now)
	s.p.Loaded()
	s.step(time.Second)
	s.step(time.Second)
	qt.Assert(t, s.starts, qt.HasLen, 1)
	s.finishTask("j1.0.0.0")
	s.step(time.Second)
	qt.Assert(t, s.state("j1"), qt.Equals, job.Completed)
}

// Guards against a recorded start that never reached its worker: the new planner
// must order it again, as the same run.
func TestRecordedStartIsRepeated(t *testing.T) {
	s := newSite(t, 1)
	j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
	s.workers["t00"].dropsOrders = true
	s.add(j)
	qt.Assert(t, s.starts, qt.HasLen, 0)
	s.restartPlanner()
	s.workers["t00"].dropsOrders = false
	s.p.AddJob(j, []job.Progress{s.rows["j1/0"]}, s.now)
	s.p.Loaded()
	s.step(time.Second)
	qt.Assert(t, s.starts, qt.DeepEquals, []string{"j1.0.0.0 1 t00"})
}

// Guards against an end that a planner takes note of before it knows the run that
// has ended: the task would be started again although it is done.
func TestEndReportedBeforeJobsAreLoaded(t *testing.T) {
	s := newSite(t, 1)
	j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
	s.add(j)
	s.step(time.Second)
	s.finishTask("j1.0.0.0")
	s.restartPlanner()
	s.report(s.names...)
	s.pass()
	qt.Assert(t, s.workers["t00"].ended, qt.HasLen, 1)
	s.p.AddJob(j, []job.Progress{s.rows["j1/0"]}, s.now)
	s.p.Loaded()
	s.step(time.Second)
	qt.Assert(t, s.state("j1"), qt.Equals, job.Completed)
	qt.Assert(t, s.starts, qt.HasLen, 1)
}

// Guards against an end of a worker's new life that is dropped because an end of the
// former life, taken shortly before the worker started again, had the same number.
func TestEndNumbersArePerIncarnation(t *testing.T) {
	s := newSite(t, 1)
	s.add(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4}))
	s.step(time.Second)
	s.finishTask("j1.0.0.0")
	s.report(s.names...)
	former := s.workers["t00"].worker.GetLife()
	s.workers["t00"] = newSimWorker("t00", 2, "r0")
	s.p.Report("t00", &agentrpc.WatchReply{Worker: s.workers["t00"].worker}, s.now)
	b := s.p.Plan(s.now)
	for name, seen := range b.Seen {
		qt.Check(t, seen.Life, qt.Equals, former, qt.Commentf("end %d of %s", seen.End, name))
	}
}
