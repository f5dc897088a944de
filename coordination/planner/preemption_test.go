package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against a wrong account of what a preemption loses and frees: the members of a gang
// are stopped together, so their work is lost only once, and the capacity that they free on
// other targets must be used as well.
func TestVictims(t *testing.T) {
	wholeWorker := job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 60_000}
	gangOfTwo := wholeWorker
	gangOfTwo.Tasks, gangOfTwo.Gang = 2, true
	tests := []struct {
		name    string
		jobs    []job.Step // started one second after another, on four targets
		urgent  job.Step
		stopped []string // IDs of the jobs that must be stopped
	}{
		{
			name: "the youngest of equal tasks", jobs: []job.Step{wholeWorker, wholeWorker, wholeWorker, wholeWorker},
			urgent: job.Step{Tasks: 1, Accelerators: 8}, stopped: []string{"j3"},
		},
		{
			name: "a task rather than a gang", jobs: []job.Step{wholeWorker, wholeWorker, gangOfTwo},
			urgent: job.Step{Tasks: 1, Accelerators: 8}, stopped: []string{"j1"},
		},
		{
			name: "a gang rather than two older tasks", jobs: []job.Step{wholeWorker, wholeWorker, gangOfTwo},
			urgent: job.Step{Tasks: 2, Accelerators: 8, Gang: true}, stopped: []string{"j2"},
		},
		{
			name: "no more than needed", jobs: []job.Step{wholeWorker, gangOfTwo, wholeWorker},
			urgent: job.Step{Tasks: 3, Accelerators: 8, Gang: true}, stopped: []string{"j1", "j2"},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.p.settings.Policy.NoHeadroom = true
			for i, step := range tt.jobs {
				h.addJob(newJob("j"+string(rune('0'+i)), "long", step))
				h.advance(time.Second)
			}
			tt.urgent.EstimateMillis = 60_000
			u := newJob("u", "urgent", tt.urgent)
			u.Workspace = "w3" // without a guarantee
			h.addJob(u)
			stopped := make(map[string]bool)
			for _, target := range h.p.sortedTargets {
				for r := range target.runs {
					if r.stopReason != "" {
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

// Guards against urgent work that preempts other work far from its data although it could
// still get a place near its data.
func TestClaimNearData(t *testing.T) {
	h := newHarness(t, 2)
	h.p.settings.Policy.NoHeadroom = true
	farWorker := newSimWorker("x00", 1, "r9")
	h.workers["x00"] = farWorker
	h.names = append(h.names, "x00")
	h.report("x00")
	for _, id := range []string{"j0", "j1", "j2"} {
		h.addJob(newJob(id, "long", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 60_000}))
		h.advance(time.Second)
	}
	u := newJob("u", "urgent", job.Step{Tasks: 1, Accelerators: 8, DataRack: "r0", EstimateMillis: 60_000})
	u.Workspace = "w3"
	h.addJob(u)
	h.advance(stopTime)
	h.advance(stopTime)
	qt.Assert(t, h.targetOf("u.0.0.0"), qt.Not(qt.Equals), "")
	qt.Assert(t, h.workers[h.targetOf("u.0.0.0")].worker.GetRack(), qt.Equals, "r0")
}

// Guards against urgent work that stops runs which are about to end anyway: a stop takes as
// long, and the work of these runs would be lost.
func TestClaimWaitsForEnds(t *testing.T) {
	tests := []struct {
		name      string
		percent   int64  // progress of the running task after 10 s
		workspace string // of the urgent job
		wantStop  bool   // the running task must be stopped
	}{
		{name: "ends soon", percent: 98, workspace: "w3"},
		{name: "half done", percent: 50, workspace: "w3", wantStop: true},
		// A claim within a guarantee must be met within a bounded time.
		{name: "guaranteed", percent: 98, workspace: "w1", wantStop: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 1)
			other := newJob("j", "fill", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 10_000})
			other.Workspace = "w2"
			h.addJob(other)
			h.advance(0)
			h.workers["t00"].running["j.0.0.0"].Percent = tt.percent
			h.advance(10 * time.Second)
			u := newJob("u", "urgent", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 60_000})
			u.Workspace = tt.workspace
			h.addJob(u)
			lastHow := ""
			for _, e := range h.workers["t00"].ended {
				lastHow = e.GetHow()
			}
			qt.Assert(t, lastHow == endStopped, qt.Equals, tt.wantStop)
			if !tt.wantStop {
				h.finishTask("j.0.0.0")
			}
			h.advance(stopTime)
			qt.Assert(t, h.targetOf("u.0.0.0"), qt.Equals, "t00")
		})
	}
}

// Guards against a guarantee that is withheld because lasting work of others fills the site, and
// against lasting work that is stopped beyond its disruption budget, or for a unit without a guarantee.
func TestGuaranteeReclaimsLastingWork(t *testing.T) {
	const reclaimBound = 2900 * time.Millisecond
	// Urgent work of w1 and w2 is within their guarantees of 16 accelerators, w3 has none. Jobs of
	// the kind "long" don't count against a guarantee.
	tests := []struct {
		name      string
		kind      string // of the lasting work
		workspace string // of the lasting work
		mayMiss   int    // of each of its four steps with 8 tasks on one accelerator, which fill the site
		gang      bool   // each step is a gang
		claimant  string // workspace of an urgent job with 4 tasks on one accelerator
		label     string // that it requires; the last worker has "last"
		want      bool
		stopped   int // tasks of lasting work at the most
	}{
		{name: "without a budget", kind: "long", workspace: "w2", claimant: "w1", want: true, stopped: 4},
		{name: "of its own workspace", kind: "long", workspace: "w1", claimant: "w1", want: true, stopped: 4},
		{name: "within a budget", kind: "long", workspace: "w2", mayMiss: 8, claimant: "w1", want: true, stopped: 4},
		{name: "within the budgets of several steps", kind: "long", workspace: "w2", mayMiss: 1, claimant: "w1", want: true, stopped: 4},
		{name: "gang within its budget", kind: "long", workspace: "w2", mayMiss: 8, gang: true, claimant: "w1", want: true, stopped: 8},
		{name: "gang beyond its budget", kind: "long", workspace: "w2", mayMiss: 7, gang: true, claimant: "w1"},
		{name: "within a budget, on one worker only", kind: "long", workspace: "w2", mayMiss: 4, label: "last", claimant: "w1", want: true, stopped: 4},
		{name: "claimant without a guarantee", kind: "long", workspace: "w2", mayMiss: 8, claimant: "w3"},
		{name: "beyond the guarantee of another", kind: "urgent", workspace: "w2", mayMiss: 8, claimant: "w1", want: true, stopped: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.workers["t03"].worker.Labels = []string{"a", "last"}
			h.advance(time.Second)
			for i := range 4 {
				j := newJob(fmt.Sprintf("l%d", i), tt.kind, job.Step{Tasks: 8, Accelerators: 1, LongRunning: true, MayMiss: tt.mayMiss, Gang: tt.gang, EstimateMillis: 60_000})
				j.Workspace = tt.workspace
				h.addJob(j)
			}
			for range 20 {
				for _, w := range h.workers {
					for _, r := range w.running {
						r.Percent = fullPace
					}
				}
				h.advance(200 * time.Millisecond)
			}
			qt.Assert(t, h.starts, qt.HasLen, 32)
			j := newJob("claim", "urgent", job.Step{Tasks: 4, Accelerators: 1, Label: tt.label, EstimateMillis: 60_000})
			j.Workspace = tt.claimant
			h.addJob(j)
			for range reclaimBound / (100 * time.Millisecond) {
				h.advance(100 * time.Millisecond)
			}
			began, lasting := 0, 0
			for _, w := range h.workers {
				for task := range w.running {
					if strings.HasPrefix(task, "claim.") {
						began++
					} else {
						lasting++
					}
				}
			}
			qt.Check(t, began == 4, qt.Equals, tt.want, qt.Commentf("%d tasks of the claim run", began))
			qt.Check(t, 32-lasting <= tt.stopped, qt.IsTrue, qt.Commentf("%d lasting tasks were stopped", 32-lasting))
		})
	}
}
