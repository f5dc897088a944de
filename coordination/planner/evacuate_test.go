package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against work that is lost with a worker although the worker has said in time
// that it leaves: it would wait until the lease of a worker that nobody can reach has
// lapsed, and lose its checkpoint's last part.
func TestEvacuation(t *testing.T) {
	const notice = 3 * time.Second
	tests := []struct {
		name    string
		step    job.Step
		percent int64         // after one second
		moved   time.Duration // after the notice by when the run must be elsewhere; 0 if it may stay
	}{
		{name: "long", step: job.Step{EstimateMillis: 60_000}, percent: 1, moved: maxPassInterval},
		{name: "long with checkpoints", step: job.Step{EstimateMillis: 60_000, Checkpointable: true}, percent: 1, moved: notice - stopTime},
		{name: "may end in time", step: job.Step{EstimateMillis: 5000}, percent: 1, moved: notice - stopTime},
		{name: "slower than declared", step: job.Step{EstimateMillis: 2000}, percent: 5, moved: maxPassInterval},
		{name: "about to end", step: job.Step{EstimateMillis: 60_000}, percent: 50},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t, 2)
			tt.step.Tasks, tt.step.Accelerators = 1, 4
			s.add(newJob("j1", "long", tt.step))
			s.step(0)
			at := s.target("j1.0.0.0")
			w := s.workers[at]
			w.running["j1.0.0.0"].Percent = tt.percent
			s.step(time.Second)
			w.worker.Draining = true
			elsewhere := time.Duration(0)
			for after := time.Duration(0); after < notice && elsewhere == 0; after += maxPassInterval / 2 {
				if tt.moved == 0 && after > notice/2 {
					s.finishTask("j1.0.0.0")
				}
				if r := w.running["j1.0.0.0"]; r != nil && tt.moved == 0 {
					r.Percent += 2
				}
				w.worker.RemainingMillis = (notice - after).Milliseconds()
				s.step(maxPassInterval / 2)
				if target := s.target("j1.0.0.0"); target != "" && target != at {
					elsewhere = after
				}
			}
			if tt.moved == 0 {
				qt.Assert(t, s.starts, qt.HasLen, 1)
				qt.Assert(t, s.state("j1"), qt.Equals, job.Completed)
				return
			}
			qt.Assert(t, elsewhere > 0 && elsewhere <= tt.moved, qt.IsTrue, qt.Commentf("elsewhere after %v", elsewhere))
			if tt.step.Checkpointable {
				qt.Assert(t, elsewhere > notice/2, qt.IsTrue, qt.Commentf("stopped long before the worker leaves: %v", elsewhere))
			}
		})
	}
}

// Guards against a gang of which one member is lost with its worker while the others
// hold their places.
func TestEvacuationOfGang(t *testing.T) {
	s := newSite(t, 4)
	s.add(newJob("j1", "long", job.Step{Tasks: 2, Accelerators: 8, Gang: true, EstimateMillis: 60_000}))
	s.step(time.Second)
	at := s.target("j1.0.0.0")
	w := s.workers[at]
	w.worker.Draining, w.worker.RemainingMillis = true, 3000
	for range 4 {
		s.step(maxPassInterval)
	}
	for _, task := range []string{"j1.0.0.0", "j1.0.0.1"} {
		qt.Assert(t, s.target(task), qt.Not(qt.Equals), "")
		qt.Assert(t, s.target(task), qt.Not(qt.Equals), at)
	}
	qt.Assert(t, s.rows["j1/0"].Steps[0].Tasks[0].LastRun, qt.Equals, 2)
	qt.Assert(t, s.rows["j1/0"].Steps[0].Failures, qt.Equals, 0)
}

// Guards against a deadline that a later life of the worker inherits.
func TestEvacuationEndsWithIncarnation(t *testing.T) {
	s := newSite(t, 1)
	w := s.workers["t00"]
	w.worker.Draining, w.worker.RemainingMillis = true, 1000
	s.step(time.Second)
	*w = *newSimWorker("t00", 2, "r0")
	s.step(time.Second)
	s.add(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4, EstimateMillis: 60_000}))
	w.worker.Draining = true // without a deadline
	s.p.Report("t00", &agentrpc.WatchReply{Worker: w.worker, Listed: true, Look: 9}, s.now)
	s.step(time.Second)
	qt.Assert(t, s.target("j1.0.0.0"), qt.Equals, "t00")
}
