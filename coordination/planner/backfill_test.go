package planner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against a gang that never starts because small work takes each worker that becomes
// free, and against a reservation that outlives its gang.
func TestBackfill(t *testing.T) {
	tests := []struct {
		name       string
		backfill   bool
		fillMillis int64 // run time of the tasks that compete
		wantGang   bool  // it starts within its objective, of 10 s
	}{
		{name: "without", fillMillis: 4000},
		{name: "long work is kept out", backfill: true, fillMillis: 4000, wantGang: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.p.settings.Policy = Policy{NoHeadroom: true, Backfill: tt.backfill}
			fills := 0
			addFill := func() {
				h.addJob(newJob(fmt.Sprintf("f%d", fills), "fill", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: tt.fillMillis}))
				fills++
			}
			for range 4 {
				addFill()
				h.advance(time.Second)
			}
			h.addJob(newJob("g", "long", job.Step{Tasks: 2, Accelerators: 8, Gang: true, EstimateMillis: 3000}))
			started := time.Duration(-1)
			reservedAt := time.Duration(-1)
			for elapsed := time.Duration(0); elapsed < 10*time.Second && started < 0; elapsed += 500 * time.Millisecond {
				for _, w := range h.workers {
					for task, at := range w.startedAt {
						if _, ok := w.running[task]; ok && h.now.Sub(at) >= time.Duration(tt.fillMillis)*time.Millisecond {
							h.finishTask(task)
						}
					}
				}
				addFill()
				h.advance(500 * time.Millisecond)
				if len(h.p.reservations) > 0 && reservedAt < 0 {
					reservedAt = elapsed
				}
				if h.targetOf("g.0.0.0") != "" {
					started = elapsed
				}
			}
			qt.Check(t, started >= 0, qt.Equals, tt.wantGang)
			qt.Check(t, reservedAt >= 0, qt.Equals, tt.backfill)
			if tt.wantGang {
				h.advance(0)
				h.advance(maxPassInterval)
				qt.Check(t, h.p.reservations, qt.HasLen, 0)
				for _, target := range h.p.sortedTargets {
					qt.Check(t, target.reservation, qt.IsNil)
				}
			}
		})
	}
}

// Guards against reservations that keep out urgent or guaranteed work or work of a higher
// priority, or short work that ends before; and against work that waits at an idle site.
func TestWithoutReserved(t *testing.T) {
	tests := []struct {
		name     string
		kind     string
		estimate time.Duration
		idle     bool // the site
		want     int  // tasks of 1 accelerator that may run beside a reservation of 6
	}{
		{name: "long run", kind: "fill", estimate: 20 * time.Second, want: 2},
		{name: "same priority", kind: "long", estimate: 20 * time.Second, want: 2},
		{name: "ends before", kind: "fill", estimate: 3 * time.Second, want: 8},
		{name: "would end just after", kind: "fill", estimate: 4500 * time.Millisecond, want: 2},
		{name: "urgent", kind: "urgent", estimate: 20 * time.Second, want: 8},
		{name: "idle site", kind: "fill", estimate: 20 * time.Second, idle: true, want: 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 1)
			w := h.p.sortedTargets[0]
			unitOf := func(id, kind string, tasks, accelerators int, estimate time.Duration) unit {
				h.p.AddJob(newJob(id, kind, job.Step{Tasks: tasks, Accelerators: accelerators, EstimateMillis: estimate.Milliseconds()}), nil, h.now)
				js := h.p.jobs[id]
				s := h.p.addOccurrence(js, h.now).steps[0]
				return unit{step: s, tasks: s.tasks, kind: h.p.kindOf(js), resources: taskResources(s.spec)}
			}
			r := unitOf("r", "long", 3, 2, time.Minute)
			h.p.lastPass, h.p.reservationsHold = h.now, !tt.idle
			w.reservation = &reservation{unit: r, tasks: map[*target]int{w: 3}, readyAt: h.now.Add(5 * time.Second)}
			u := unitOf("u", tt.kind, 10, 1, tt.estimate)
			qt.Check(t, w.available().maxCount(u.resources, h.p.remainingPerWorker(u, w)), qt.Equals, tt.want)
		})
	}
}
