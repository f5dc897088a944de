package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"github.com/medlargrade/medlargrade/coordination/evacuation"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// newCentresHarness returns a harness of workers with 8 accelerators each, whose data centres are
// dc0, dc1, dc0, ...
func newCentresHarness(t *testing.T, workers int) *harness {
	h := newHarness(t, workers)
	for i, n := range h.names {
		h.workers[n].worker.DataCentre = []string{"dc0", "dc1"}[i%2]
		h.workers[n].worker.Rack = h.workers[n].worker.GetDataCentre() + "-r"
	}
	h.report(h.names...)
	return h
}

// evacuate sets the evacuated data centres.
func (h *harness) evacuate(names ...string) {
	var requests []evacuation.Request
	for _, n := range names {
		requests = append(requests, evacuation.Request{DataCentre: n})
	}
	h.p.SetConfig(h.p.config.WithEvacuations(evacuation.NewSet(requests...)))
}

// centreOf returns the data centre in which a task runs, or "".
func (h *harness) centreOf(task string) string { return h.workers[h.targetOf(task)].dataCentre() }

func (w *simWorker) dataCentre() string {
	if w == nil {
		return ""
	}
	return w.worker.GetDataCentre()
}

// Guards against starts in an evacuated data centre, against work that waits although other data
// centres have capacity for it, and against work that runs elsewhere although it fits only with
// the evacuated one.
func TestEvacuatedDataCentreGetsNoStarts(t *testing.T) {
	tests := []struct {
		name   string
		step   job.Step
		within time.Duration // in which it starts elsewhere; 0 if it must wait
	}{
		{"task", job.Step{Tasks: 1, Accelerators: 8}, maxPassInterval},
		{"gang", job.Step{Tasks: 2, Accelerators: 8, Gang: true}, maxPassInterval},
		{"gang of one rack", job.Step{Tasks: 2, Accelerators: 8, Gang: true, SameRack: true}, maxPassInterval},
		{"data in the evacuated rack", job.Step{Tasks: 1, Accelerators: 8, DataRack: "dc0-r"}, maxLocalityWait + maxPassInterval},
		{"gang that needs all workers", job.Step{Tasks: 4, Accelerators: 8, Gang: true}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newCentresHarness(t, 4)
			h.p.settings.Policy.NoHeadroom = true
			h.evacuate("dc0")
			h.addJob(newJob("j1", "long", tt.step))
			for elapsed := time.Duration(0); elapsed < tt.within; elapsed += maxPassInterval / 2 {
				h.advance(maxPassInterval / 2)
			}
			if tt.within > 0 {
				qt.Assert(t, h.starts, qt.HasLen, tt.step.Tasks)
				for i := range tt.step.Tasks {
					qt.Assert(t, h.centreOf(job.TaskName{Job: "j1", Index: i}.String()), qt.Equals, "dc1")
				}
				return
			}
			h.advance(maxPassInterval)
			qt.Assert(t, h.starts, qt.HasLen, 0)
			qt.Assert(t, h.p.jobs["j1"].occurrences[0].steps[0].waitReason, qt.Equals, reasonEvacuated)
			h.evacuate()
			h.advance(maxPassInterval)
			qt.Assert(t, h.starts, qt.HasLen, tt.step.Tasks)
		})
	}
}

// Guards against work that is stopped by an evacuation, which concerns starts, and against a
// start without a confirmation that takes effect later than the evacuation.
func TestEvacuationOfRuns(t *testing.T) {
	for _, confirmed := range []bool{true, false} {
		h := newCentresHarness(t, 2)
		h.evacuate("dc1")
		w := h.workers["t00"]
		w.dropsOrders = !confirmed
		h.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 8}))
		if confirmed {
			h.advance(maxPassInterval)
		}
		h.evacuate("dc0")
		for range 20 {
			h.advance(maxPassInterval)
			w.dropsOrders = false
		}
		if confirmed {
			qt.Assert(t, h.targetOf("j1.0.0.0"), qt.Equals, "t00")
		} else {
			// The start that the worker did not get is stopped, and the next run is elsewhere.
			qt.Assert(t, h.starts, qt.DeepEquals, []string{"j1.0.0.0 2 t01"})
		}
		qt.Assert(t, h.p.Summarize(h.now).Evacuated, qt.Equals, 1)
	}
}

// Guards against an order that is sent although its data centre was evacuated while its row was
// being written, and against a claim that is carried out there.
func TestEvacuationDropsOrdersAndClaims(t *testing.T) {
	h := newCentresHarness(t, 2)
	h.p.settings.Policy.NoHeadroom = true
	h.p.AddJob(newJob("j1", "fill", job.Step{Tasks: 2, Accelerators: 8, EstimateMillis: 60_000}), nil, h.now)
	b := h.p.Plan(h.now)
	qt.Assert(t, b.Orders, qt.HasLen, 2)
	h.evacuate("dc0")
	for _, o := range b.Orders {
		valid := h.p.OrderValid(o.Target, o.Orders[0])
		qt.Assert(t, valid, qt.Equals, h.workers[o.Target].dataCentre() != "dc0")
	}

	h = newCentresHarness(t, 2)
	h.p.settings.Policy.NoHeadroom = true
	h.addJob(newJob("j1", "fill", job.Step{Tasks: 2, Accelerators: 8, EstimateMillis: 60_000}))
	h.advance(time.Second)
	qt.Assert(t, h.starts, qt.HasLen, 2)
	h.addJob(newJob("j2", "urgent", job.Step{Tasks: 1, Accelerators: 8}))
	qt.Assert(t, h.p.claims, qt.HasLen, 1)
	claimed := h.p.claims[0].targets[0]
	h.evacuate(claimed.worker.GetDataCentre())
	for range 5 {
		h.advance(maxPassInterval)
	}
	qt.Assert(t, h.targetOf("j2.0.0.0"), qt.Not(qt.Equals), claimed.name)
	qt.Assert(t, h.targetOf("j2.0.0.0"), qt.Not(qt.Equals), "")
}

// Guards against the loss of a worker's cold time on the way from its agent to the planner.
func TestColdTimeArrives(t *testing.T) {
	h := newCentresHarness(t, 1)
	h.workers["t00"].worker.ColdLeftMillis = 1500
	b, err := proto.Marshal(h.workers["t00"].worker)
	qt.Assert(t, err, qt.IsNil)
	var w agentrpc.Worker
	qt.Assert(t, proto.Unmarshal(b, &w), qt.IsNil)
	h.p.Report("t00", &agentrpc.WatchReply{Worker: &w, Listed: true, Look: 9}, h.now)
	qt.Assert(t, h.p.State(h.now.Add(time.Second)).Targets[0].Cold, qt.Equals, "500ms")
	qt.Assert(t, h.p.State(h.now.Add(2 * time.Second)).Targets[0].Cold, qt.Equals, "")
}

// Guards against starts with a copy of the requests that is too old or of unknown age, and
// against starts that stay withheld when it is fresh again.
func TestStartsAreWithheldWithAnOldCopy(t *testing.T) {
	h := newCentresHarness(t, 2)
	h.p.settings.Evacuation = 5 * time.Second
	h.p.SetConfigAge(0, false)
	h.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 8}))
	qt.Assert(t, h.starts, qt.HasLen, 0)
	h.p.SetConfigAge(2500*time.Millisecond, true)
	h.workers["t00"].dropsOrders = true
	h.runPass()
	qt.Assert(t, h.p.TargetsWithRuns(), qt.HasLen, 1)
	h.p.SetConfigAge(2501*time.Millisecond, true)
	h.addJob(newJob("j2", "long", job.Step{Tasks: 1, Accelerators: 8}))
	h.workers["t00"].dropsOrders = false
	for range 10 {
		h.advance(maxPassInterval)
	}
	qt.Assert(t, h.starts, qt.HasLen, 0)
	qt.Assert(t, h.p.State(h.now).Withheld, qt.IsTrue)
	h.p.SetConfigAge(0, true)
	for range 6 {
		h.advance(maxPassInterval)
	}
	qt.Assert(t, h.starts, qt.HasLen, 2)
}
