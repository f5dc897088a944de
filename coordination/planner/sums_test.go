package planner

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against the resource totals of a target, or the guarantee usage of a workspace,
// drifting away from the runs and claims that they add up: the planner would overload
// workers or leave them idle.
func TestSumsMatchRuns(t *testing.T) {
	const rounds = 300
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			r := rand.New(rand.NewPCG(seed, 0)) //nolint:gosec // reproducible draws
			h := newHarness(t, 4)
			for i := range rounds {
				applyRandomEvent(h, r, i)
				h.advance(time.Duration(r.IntN(300)) * time.Millisecond)
				checkSums(h)
			}
		})
	}
}

// applyRandomEvent adds a job, ends the runs on a worker, cancels a job, replaces the
// incarnation of a worker, or toggles the loss of the orders to a worker.
func applyRandomEvent(h *harness, r *rand.Rand, i int) {
	w := h.workers[h.names[r.IntN(len(h.names))]]
	switch r.IntN(8) {
	case 0, 1, 2:
		kind := []string{"urgent", "long", "fill"}[r.IntN(3)]
		j := newJob(fmt.Sprintf("j%d", i), kind, job.Step{Tasks: 1 + r.IntN(4), Accelerators: 1 + r.IntN(8), Gang: r.IntN(2) == 0})
		j.Workspace = []string{"w1", "w2", "w3"}[r.IntN(3)]
		h.addJob(j)
	case 3, 4:
		for task := range w.running {
			w.endRun(task, []string{endDone, endFailed, endLapsed}[r.IntN(3)])
		}
	case 5:
		h.p.Cancel(fmt.Sprintf("j%d", r.IntN(i+1)), h.now)
	case 6:
		replacement := newSimWorker(w.worker.GetRack()+fmt.Sprint(i), int64(i+2), w.worker.GetRack())
		*w = *replacement
	case 7:
		w.dropsOrders = !w.dropsOrders
	}
}

// checkSums compares the totals that the planner keeps with sums over its runs and claims.
func checkSums(h *harness) {
	usage := make(map[string]int)
	for _, t := range h.p.sortedTargets {
		var used, stopping, reserved resources
		for r := range t.runs {
			used = used.plus(r.resources)
			if r.stopReason != "" {
				stopping = stopping.plus(r.resources)
			} else if js := r.task.step.occ.job; countsAgainstGuarantee(h.p.kindOf(js)) {
				usage[js.job.Workspace] += r.resources.accelerators
			}
		}
		for _, c := range h.p.claims {
			for _, o := range c.targets {
				if o == t {
					reserved = reserved.plus(c.unit.resources)
				}
			}
		}
		qt.Assert(h.t, t.used, qt.Equals, used)
		qt.Assert(h.t, t.stopping, qt.Equals, stopping)
		qt.Assert(h.t, t.reserved, qt.Equals, reserved)
	}
	for _, c := range h.p.claims {
		if js := c.unit.step.occ.job; countsAgainstGuarantee(h.p.kindOf(js)) {
			usage[js.job.Workspace] += len(c.unit.tasks) * c.unit.resources.accelerators
		}
	}
	for _, w := range []string{"w1", "w2", "w3"} {
		qt.Assert(h.t, h.p.guaranteeUsage(w), qt.Equals, usage[w])
	}
}
