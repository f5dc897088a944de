package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against victims whose loss is counted wrongly: the members of a gang end
// together, so that their work is lost once, and what they free on other targets must
// be used.
func TestVictims(t *testing.T) {
	whole := job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 60_000}
	pair := whole
	pair.Tasks, pair.Gang = 2, true
	tests := []struct {
		name    string
		jobs    []job.Step // started one second after another, on four targets
		urgent  job.Step
		stopped []string // jobs
	}{
		{
			name: "one of equal tasks, the youngest", jobs: []job.Step{whole, whole, whole, whole},
			urgent: job.Step{Tasks: 1, Accelerators: 8}, stopped: []string{"j3"},
		},
		{
			name: "a task rather than a gang", jobs: []job.Step{whole, whole, pair},
			urgent: job.Step{Tasks: 1, Accelerators: 8}, stopped: []string{"j1"},
		},
		{
			name: "a gang rather than two older tasks", jobs: []job.Step{whole, whole, pair},
			urgent: job.Step{Tasks: 2, Accelerators: 8, Gang: true}, stopped: []string{"j2"},
		},
		{
			name: "what is enough", jobs: []job.Step{whole, pair, whole},
			urgent: job.Step{Tasks: 3, Accelerators: 8, Gang: true}, stopped: []string{"j1", "j2"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t, 4)
			s.p.cfg.Policy.NoHeadroom = true
			for i, step := range tt.jobs {
				s.add(newJob("j"+string(rune('0'+i)), "long", step))
				s.step(time.Second)
			}
			tt.urgent.EstimateMillis = 60_000
			u := newJob("u", "urgent", tt.urgent)
			u.Workspace = "w3" // without a guarantee
			s.add(u)
			stopped := make(map[string]bool)
			for _, target := range s.p.sortedTargets {
				for r := range target.runs {
					if r.stopCause != "" {
						stopped[r.task.step.occ.job.job.ID] = true
					}
				}
			}
			qt.Assert(t, len(stopped), qt.Equals, len(tt.stopped), qt.Commentf("%v", stopped))
			for _, id := range tt.stopped {
				qt.Check(t, stopped[id], qt.IsTrue, qt.Commentf("%v", stopped))
			}
		})
	}
}

// Guards against urgent work that takes a place far from its data at the cost of other
// work, while it could still have one near it.
func TestClaimNearData(t *testing.T) {
	s := newSite(t, 2)
	s.p.cfg.Policy.NoHeadroom = true
	far := newSimWorker("x00", 1, "r9")
	s.workers["x00"] = far
	s.names = append(s.names, "x00")
	s.report("x00")
	for _, id := range []string{"j0", "j1", "j2"} {
		s.add(newJob(id, "long", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 60_000}))
		s.step(time.Second)
	}
	u := newJob("u", "urgent", job.Step{Tasks: 1, Accelerators: 8, DataRack: "r0", EstimateMillis: 60_000})
	u.Workspace = "w3"
	s.add(u)
	s.step(stopTime)
	s.step(stopTime)
	qt.Assert(t, s.target("u.0.0.0"), qt.Not(qt.Equals), "")
	qt.Assert(t, s.workers[s.target("u.0.0.0")].worker.GetRack(), qt.Equals, "r0")
}

// Guards against urgent work that stops others which are about to end: a stop takes as
// long, and their work is lost.
func TestClaimWaitsForEnds(t *testing.T) {
	tests := []struct {
		name    string
		percent int64 // of the run after 10 s
		claims  string
		stops   bool
	}{
		{name: "about to end", percent: 98, claims: "w3"},
		{name: "long to go", percent: 50, claims: "w3", stops: true},
		// A claim on a guarantee has a bound in time.
		{name: "guaranteed", percent: 98, claims: "w1", stops: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite(t, 1)
			other := newJob("j", "fill", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 10_000})
			other.Workspace = "w2"
			s.add(other)
			s.step(0)
			s.workers["t00"].running["j.0.0.0"].Percent = tt.percent
			s.step(10 * time.Second)
			u := newJob("u", "urgent", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 60_000})
			u.Workspace = tt.claims
			s.add(u)
			how := ""
			for _, e := range s.workers["t00"].ended {
				how = e.GetHow()
			}
			qt.Assert(t, how == endStopped, qt.Equals, tt.stops)
			if !tt.stops {
				s.finishTask("j.0.0.0")
			}
			s.step(stopTime)
			qt.Assert(t, s.target("u.0.0.0"), qt.Equals, "t00")
		})
	}
}
