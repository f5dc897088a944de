package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

const (
	// standing is the task that stands still in these tests, and lookEvery the time
	// between two looks at the workers.
	standing  = "j.0.0.0"
	lookEvery = 500 * time.Millisecond
)

// look lets time pass in looks at the workers, in each of which the progress of the
// task grows.
func (s *site) look(looks int, percent int64) {
	for range looks {
		if w := s.where(standing); w != "" {
			s.workers[w].running[standing].Percent += percent
		}
		s.step(lookEvery)
	}
}

// Guards against work that stands still on a faulty worker until somebody cancels it,
// and against work that is moved although waiting loses less.
func TestStandingRuns(t *testing.T) {
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
			at := s.where(standing)
			s.look(4, tt.before/4)
			began := s.now
			for s.now.Sub(began) < 5*lookEvery || tt.moved > 0 && s.now.Sub(began) < tt.moved {
				s.look(1, 0)
				if tt.name == "slow, but at work" && s.now.Sub(began)%(2*lookEvery) == 0 {
					s.workers[at].running[standing].Percent++
				}
			}
			if tt.moved == 0 {
				qt.Assert(t, s.starts, qt.HasLen, 1)
				return
			}
			qt.Assert(t, s.where(standing), qt.Not(qt.Equals), "")
			qt.Assert(t, s.where(standing), qt.Not(qt.Equals), at)
		})
	}
}

// Guards against new work on a worker where other work stands still.
func TestNoStartBesideStandingRun(t *testing.T) {
	s := newSite(t, 2)
	s.add(newJob("j", "long", job.Step{Tasks: 1, Accelerators: 4, EstimateMillis: 4000}))
	s.step(0)
	at := s.where(standing)
	s.look(4, 20)
	s.look(4, 0)
	s.add(newJob("k", "long", job.Step{Tasks: 1, Accelerators: 4}))
	qt.Assert(t, s.where(standing), qt.Equals, at)
	qt.Assert(t, s.where("k.0.0.0"), qt.Not(qt.Equals), at)
	s.look(5, 2)
	s.add(newJob("l", "long", job.Step{Tasks: 1, Accelerators: 4}))
	qt.Assert(t, s.where("l.0.0.0"), qt.Equals, at)
}

// Guards against workers that list no progress being taken for faulty ones, and
// against old lists being taken for work that stands still.
func TestStandingNeedsProgressAndLooks(t *testing.T) {
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
			at := s.where(standing)
			s.look(4, tt.before/4)
			for range 10 {
				if tt.looks {
					s.step(lookEvery)
					continue
				}
				w := s.workers[at]
				s.now = s.now.Add(lookEvery)
				s.p.Report(at, &agentrpc.WatchReply{
					Worker: w.worker, Listed: true, Look: w.look, Running: []*agentrpc.RunStatus{w.running[standing]},
				}, s.now)
				s.pass()
			}
			qt.Assert(t, s.starts, qt.HasLen, 1)
		})
	}
}
