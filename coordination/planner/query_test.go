package planner

import (
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// busyHarness returns a harness with active runs, a gang, stops, a claim, and what the planner keeps
// of earlier runs, crashes and removed jobs.
func busyHarness(t *testing.T) *harness {
	h := newCentresHarness(t, 4)
	h.p.settings.Policy.NoHeadroom = true
	h.addJob(newJob("first", "fill", job.Step{Tasks: 1, Accelerators: 1}))
	h.advance(time.Second)
	h.finishTask("first.0.0.0")
	h.advance(time.Second)
	h.addJob(newJob("low", "fill", job.Step{Tasks: 8, Accelerators: 2, EstimateMillis: 20_000}))
	h.addJob(newJob("gang", "long", job.Step{Tasks: 2, Accelerators: 8, Gang: true, EstimateMillis: 10_000}))
	h.advance(time.Second)
	h.addJob(newJob("urgent", "urgent", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 1000}))
	h.addJob(newJob("waits", "long", job.Step{Tasks: 1, Accelerators: 8}))
	k, target := h.p.taskNamed("low.0.0.0"), h.p.targetNamed("t00")
	k.avoidTarget("t01")
	k.crashes, target.crashes = []crash{{worker: "w"}}, []job.Incarnation{{Worker: "w"}}
	target.foreign[runKey{task: "x"}] = h.now
	h.p.suspects[k], h.p.isolated[target] = struct{}{}, k.step.occ.job
	h.p.tombstones["removed"] = tombstone{at: h.now}
	h.p.percentReported = true
	return h
}

// shared collects the maps, pointers and slices that can be reached from a value through the
// types of this package, with their paths. Types of other packages are not followed: what the
// planner shares of them is never changed.
func shared(v reflect.Value, path string, out map[uintptr]string) {
	mark := func() bool {
		if v.IsNil() || v.Kind() == reflect.Slice && v.Len() == 0 {
			return false
		}
		if _, seen := out[v.Pointer()]; seen {
			return false
		}
		out[v.Pointer()] = path
		return true
	}
	switch v.Kind() {
	case reflect.Pointer:
		if strings.HasSuffix(v.Type().Elem().PkgPath(), "/planner") && mark() {
			shared(v.Elem(), path, out)
		}
	case reflect.Map:
		if mark() {
			for it := v.MapRange(); it.Next(); {
				shared(it.Key(), path+" key", out)
				shared(it.Value(), path+" value", out)
			}
		}
	case reflect.Slice:
		if v.Type().Elem().Kind() != reflect.Uint8 && mark() {
			for i := range v.Len() {
				shared(v.Index(i), path, out)
			}
		}
	case reflect.Struct:
		if strings.HasSuffix(v.Type().PkgPath(), "/planner") {
			for i := range v.NumField() {
				shared(v.Field(i), path+"."+v.Type().Field(i).Name, out)
			}
		}
	}
}

// Guards against a query that changes the planner's state, and against a field of the state that
// the copy shares with it.
func TestQueryChangesNothing(t *testing.T) {
	h := busyHarness(t)
	qt.Assert(t, h.p.claims, qt.Not(qt.HasLen), 0)
	ofPlanner, ofCopy := make(map[uintptr]string), make(map[uintptr]string)
	q := h.p.NewQuery()
	shared(reflect.ValueOf(h.p), "planner", ofPlanner)
	shared(reflect.ValueOf(q.p), "planner", ofCopy)
	qt.Assert(t, len(ofPlanner) > 50, qt.IsTrue)
	for ptr, path := range ofCopy {
		if _, ok := ofPlanner[ptr]; ok {
			t.Errorf("the copy shares %s", path)
		}
	}
	// Pending decisions and caches are left out of the copy.
	leftOut := []string{"settings", "log", "dirty", "orders", "unackedEnds", "toDelete", "usageByWorkspace", "allUseByWorkspace", "eligibleCache", "needsPass", "room", "rooms", "speedsRow", "speedsWrittenAt"}
	original, copied := reflect.ValueOf(h.p).Elem(), reflect.ValueOf(q.p).Elem()
	for i := range original.NumField() {
		name := original.Type().Field(i).Name
		same := original.Field(i).IsZero() == copied.Field(i).IsZero() && (original.Field(i).Kind() != reflect.Map || original.Field(i).Len() == copied.Field(i).Len())
		qt.Check(t, same || slices.Contains(leftOut, name), qt.IsTrue, qt.Commentf("the copy lacks %s", name))
	}
	state := func() string {
		b, err := json.Marshal([]any{h.p.State(h.now), h.p.Summarize(h.now)})
		qt.Assert(t, err, qt.IsNil)
		return fmt.Sprint(string(b), len(h.p.dirty), h.p.orders, h.p.needsPass, h.p.lastPass, len(h.p.claims))
	}
	before := state()
	copiedState, err := json.Marshal(q.p.State(h.now))
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, before, qt.Contains, string(copiedState))
	_, err = q.Place(newJob("new", "urgent", job.Step{Tasks: 2, Accelerators: 8, Gang: true}), h.now)
	qt.Assert(t, err, qt.IsNil)
	_, err = h.p.NewQuery().PlaceRecorded("waits", h.now)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, state(), qt.Equals, before)
}

// Guards against a placement that differs from what the planner then does with the job.
func TestQueryTellsWhatPlannerDoes(t *testing.T) {
	tests := []struct {
		name      string
		evacuated []string
		kind      string
		step      job.Step
		state     string
		reason    string
		stopped   int
	}{
		{name: "starts", kind: "long", step: job.Step{Tasks: 2, Accelerators: 4, Gang: true}, state: PlacementStarts},
		{name: "stops other work", kind: "urgent", step: job.Step{Tasks: 2, Accelerators: 8, EstimateMillis: 9000}, state: PlacementClaims, stopped: 4},
		{name: "waits", kind: "long", step: job.Step{Tasks: 2, Accelerators: 8, Gang: true}, state: PlacementWaits, reason: "too little room, and the job is neither guaranteed nor urgent and still of use"},
		{name: "never fits", kind: "long", step: job.Step{Tasks: 1, Accelerators: 9}, state: PlacementWaits, reason: "too little room, and the job is neither guaranteed nor urgent and still of use"},
		{name: "evacuated", kind: "long", evacuated: []string{"dc0", "dc1"}, step: job.Step{Tasks: 1, Accelerators: 4}, state: PlacementWaits, reason: reasonEvacuated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newCentresHarness(t, 2)
			h.p.settings.Policy.NoHeadroom = true
			if tt.name != "starts" {
				h.addJob(newJob("low", "fill", job.Step{Tasks: 4, Accelerators: 4, EstimateMillis: 10_000}))
				h.advance(time.Second)
			}
			h.evacuate(tt.evacuated...)
			j := newJob("new", tt.kind, tt.step)
			got, err := h.p.NewQuery().Place(j, h.now)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, got.State, qt.Equals, tt.state)
			qt.Check(t, got.Reason, qt.Equals, tt.reason)
			qt.Check(t, got.Stopped, qt.HasLen, tt.stopped)
			qt.Check(t, got.Targets, qt.HasLen, 2)
			for _, x := range got.Targets {
				qt.Check(t, (x.Fits == 0) == (x.Against != ""), qt.IsTrue, qt.Commentf("%+v", x))
			}
			begin := h.now
			h.addJob(j)
			planned := h.p.jobs["new"]
			wait, err := time.ParseDuration(got.Wait)
			if err != nil {
				qt.Assert(t, tt.name == "never fits" || tt.name == "evacuated", qt.IsTrue)
				return
			}
			for i := 0; !planned.begun() && i < 200; i++ {
				for _, n := range h.names {
					for task, at := range h.workers[n].startedAt {
						if h.now.Sub(at) >= 10*time.Second && strings.HasPrefix(task, "low") {
							h.finishTask(task)
						}
					}
				}
				h.advance(100 * time.Millisecond)
			}
			actual := h.now.Sub(begin)
			qt.Check(t, planned.begun(), qt.IsTrue)
			qt.Check(t, (actual-wait).Abs() <= stopTime+minQueryStep, qt.IsTrue, qt.Commentf("predicted %v, waited %v", wait, actual))
			for _, x := range got.Tasks {
				qt.Check(t, h.targetOf(x.Task), qt.Not(qt.Equals), "")
			}
		})
	}
}

// Guards against a query of a job that is not there, of one that runs, and before the jobs are
// loaded.
func TestQueryOfRecordedJob(t *testing.T) {
	h := busyHarness(t)
	_, err := h.p.NewQuery().PlaceRecorded("none", h.now)
	qt.Check(t, err, qt.ErrorIs, ErrNotKnown)
	got, err := h.p.NewQuery().PlaceRecorded("gang", h.now)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.State, qt.Equals, PlacementRuns)
	qt.Check(t, got.Tasks, qt.HasLen, 2)
	got, err = h.p.NewQuery().PlaceRecorded("waits", h.now)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, got.State, qt.Equals, PlacementWaits)
	_, err = h.p.NewQuery().Place(newJob("waits", "long", job.Step{Tasks: 1}), h.now)
	qt.Check(t, err, qt.ErrorMatches, ".*recorded already")
	_, err = New(testSettings(), h.p.log).NewQuery().PlaceRecorded("waits", h.now)
	qt.Check(t, err, qt.ErrorIs, ErrNotLoaded)
}
