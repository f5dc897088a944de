package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

const (
	// stalledTask is the task that stands still in these tests, and pollInterval the time
	// between two looks at the workers.
	stalledTask  = "j.0.0.0"
	pollInterval = 500 * time.Millisecond
)

// poll lets time pass in looks at the workers, in each of which the progress of the
// task grows.
func (s *site) poll(looks int, percent int64) {
	for range looks {
		if w := s.target(stalledTask); w != "" {
			s.workers[w].running[stalledTask].Percent += percent
		}
		s.step(pollInterval)
	}
}

// Guards against work that stands still on a faulty worker until somebody cancels it,
// and against work that is moved although waiting loses less.
func TestStalledRuns(t *testing.T) {
	tests := []struct {
		name   string
		step   job.Step
		before int64         // percent that the run has done in 2 s, before it stands still
		moved  time.Duration // by when it must have started elsewhere; 0 if it must not
	}{
		{name: "little is lost", step: job.Step{EstimateMillis: 20_000}, before: 8, moved: 6 * time.Second},
		{name: "much is lost", step: job.Step{EstimateMillis: 4000}, before: 80},
		{name: "checkpoints", step: job.Step{EstimateMillis: 4000, Checkpointable: true}, before: 80, moved: 3 * time.Second},
		{name: "slow, but at work", step: job.Step{EstimateMillis: 400_000}, before: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t, 2)
			tt.step.Tasks, tt.step.Accelerators = 1, 4
			s.add(newJob("j", "long", tt.step))
			s.step(0)
			at := s.target(stalledTask)
			s.poll(4, tt.before/4)
			began := s.now
			for s.now.Sub(began) < 5*pollInterval || tt.moved > 0 && s.now.Sub(began) < tt.moved {
				s.poll(1, 0)
				if tt.name == "slow, but at work" && s.now.Sub(began)%(2*pollInterval) == 0 {
					s.workers[at].running[stalledTask].Percent++
				}
			}
			if tt.moved == 0 {
				qt.Assert(t, s.starts, qt.HasLen, 1)
				return
			}
			qt.Assert(t, s.target(stalledTask), qt.Not(qt.Equals), "")
			qt.Assert(t, s.target(stalledTask), qt.Not(qt.Equals), at)
		})
	}
}

// Guards against new work on a worker where other work stands still.
func TestNoStartBesideStalledRun(t *testing.T) {
	s := newSite(t, 2)
	s.add(newJob("j", "long", job.Step{Tasks: 1, Accelerators: 4, EstimateMillis: 4000}))
	s.step(0)
	at := s.target(stalledTask)
	s.poll(4, 20)
	s.poll(4, 0)
	s.add(newJob("k", "long", job.Step{Tasks: 1, Accelerators: 4}))
	qt.Assert(t, s.target(stalledTask), qt.Equals, at)
	qt.Assert(t, s.target("k.0.0.0"), qt.Not(qt.Equals), at)
	s.poll(5, 2)
	s.add(newJob("l", "long", job.Step{Tasks: 1, Accelerators: 4}))
	qt.Assert(t, s.target("l.0.0.0"), qt.Equals, at)
}

// Guards against workers that list no progress being taken for faulty ones, and
// against old lists being taken for work that stands still.
func TestStallNeedsProgressAndPolls(t *testing.T) {
	tests := []struct {
		name   string
		before int64
		looks  bool // new ones arrive while the run stands still
	}{
		{name: "no progress is ever listed", looks: true},
		{name: "no new look", before: 20},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t, 2)
			s.add(newJob("j", "long", job.Step{Tasks: 1, Accelerators: 4, Checkpointable: true, EstimateMillis: 4000}))
			s.step(0)
			at := s.target(stalledTask)
			s.poll(4, tt.before/4)
			for range 10 {
				if tt.looks {
					s.step(pollInterval)
					continue
				}
				w := s.workers[at]
				s.now = s.now.Add(pollInterval)
				s.p.Report(at, &agentrpc.WatchReply{
					Worker: w.worker, Listed: true, Look: w.poll, Running: []*agentrpc.RunStatus{w.running[stalledTask]},
				}, s.now)
				s.pass()
			}
			qt.Assert(t, s.starts, qt.HasLen, 1)
		})
	}
}
