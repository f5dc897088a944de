package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against sums of a target, or of a workspace's use, that drift away from the
// runs and claims they are sums of: the planner would overfill workers or leave them
// empty.
func TestSumsMatchRuns(t *testing.T) {
	const rounds = 300
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // reproducible draws
			s := newSite(t, 4)
			for i := range rounds {
				randomEvent(s, r, i)
				s.step(time.Duration(r.IntN(300)) * time.Millisecond)
				checkSums(s)
			}
		})
	}
}

// randomEvent lets something happen: a job, an end, a cancellation, another life of a
// worker, or lost orders.
func randomEvent(s *site, r *rand.Rand, i int) {
	w := s.workers[s.names[r.IntN(len(s.names))]]
	switch r.IntN(8) {
	case 0, 1, 2:
		kind := []string{"urgent", "long", "fill"}[r.IntN(3)]
		j := newJob(fmt.Sprintf("j%d", i), kind, job.Step{Tasks: 1 + r.IntN(4), Accelerators: 1 + r.IntN(8), Gang: r.IntN(2) == 0})
		j.Workspace = []string{"w1", "w2", "w3"}[r.IntN(3)]
		s.add(j)
	case 3, 4:
		for task := range w.running {
			w.endRun(task, []string{endDone, endFailed, endLapsed}[r.IntN(3)])
		}
	case 5:
		s.p.Cancel(fmt.Sprintf("j%d", r.IntN(i+1)), s.now)
	case 6:
		next := newSimWorker(w.worker.GetRack()+fmt.Sprint(i), int64(i+2), w.worker.GetRack())
		*w = *next
	case 7:
		w.dropsOrders = !w.dropsOrders
	}
}

func checkSums(s *site) {
	use := make(map[string]int)
	for _, t := range s.p.sortedTargets {
		var used, stopping, reserved resources
		for r := range t.runs {
			used = used.plus(r.resources)
			if r.stopCause != "" {
				stopping = stopping.plus(r.resources)
			} else if js := r.task.step.occ.job; countsAgainstGuarantee(s.p.kind(js)) {
				use[js.job.Workspace] += r.resources.accelerators
			}
		}
		for _, c := range s.p.claims {
			for _, o := range c.targets {
				if o == t {
					reserved = reserved.plus(c.unit.resources)
				}
			}
		}
		qt.Assert(s.t, t.used, qt.Equals, used)
		qt.Assert(s.t, t.stopping, qt.Equals, stopping)
		qt.Assert(s.t, t.reserved, qt.Equals, reserved)
	}
	for _, c := range s.p.claims {
		if js := c.unit.step.occ.job; countsAgainstGuarantee(s.p.kind(js)) {
			use[js.job.Workspace] += len(c.unit.tasks) * c.unit.resources.accelerators
		}
	}
	for _, w := range []string{"w1", "w2", "w3"} {
		qt.Assert(s.t, s.p.guaranteeUsage(w), qt.Equals, use[w])
	}
}

// Guards against passes that weigh all that waits although nothing has changed: at
// many workers, reports without news come more often than the planner can do so.
func TestNoPassWithoutChange(t *testing.T) {
	s := newSite(t, 4)
	for i := range 50 {
		s.add(newJob(fmt.Sprintf("j%d", i), "long", job.Step{Tasks: 20, Accelerators: 8}))
	}
	s.step(maxPassInterval)
	s.report(s.names...)
	lastPass := s.p.lastPass
	s.now = s.now.Add(maxPassInterval / 2)
	s.report(s.names...)
	s.pass()
	qt.Assert(t, s.p.lastPass, qt.Equals, lastPass)
	s.now = s.now.Add(maxPassInterval)
	s.pass()
	qt.Assert(t, s.p.lastPass, qt.Equals, s.now)
}
