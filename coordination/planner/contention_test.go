package planner

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// playUrgentGang plays an urgent gang of 24 accelerators, from its acceptance to a second after its end.
func (h *harness) playUrgentGang(id string) {
	h.addJob(newJob(id, "urgent", job.Step{Tasks: 3, Accelerators: 8, Gang: true, EstimateMillis: 2000}))
	h.advance(2 * time.Second)
	for k := range 3 {
		h.finishTask(fmt.Sprintf("%s.0.0.%d", id, k))
	}
	h.advance(time.Second)
}

// Guards against long work that waits for room although nothing urgent arrives, and against
// long work that is costly to stop and takes the room that urgent work has just used.
func TestAdaptiveRoom(t *testing.T) {
	tests := []struct {
		name           string
		urgent         int // gangs of 24 accelerators, one every 3 s, before the long work
		checkpointable bool
		wait           time.Duration
		want           int // tasks that start, of 8 with 4 accelerators; the site has 32
	}{
		{name: "nothing arrived", want: 8},
		// Gangs of 3 workers ask for the highest room, 3 of the 4 workers.
		{name: "urgent work arrives", urgent: 6, want: 2},
		{name: "cheap to stop", urgent: 6, checkpointable: true, want: 4},
		// After a while, work starts as long as half of the accelerators are available.
		{name: "waited", urgent: 6, wait: idleSiteWait, want: 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.p.settings.Policy.AdaptiveRoom = true
			// The first pass that sees a job begins the history.
			h.addJob(newJob("first", "fill", job.Step{Tasks: 1, EstimateMillis: 1}))
			h.finishTask("first.0.0.0")
			for i := range 6 {
				if i < tt.urgent {
					h.playUrgentGang(fmt.Sprintf("u%d", i))
					continue
				}
				h.advance(3 * time.Second)
			}
			before := len(h.starts)
			h.addJob(newJob("j", "long", job.Step{Tasks: 8, Accelerators: 4, EstimateMillis: 20_000, Checkpointable: tt.checkpointable}))
			h.advance(tt.wait)
			qt.Check(t, len(h.starts)-before, qt.Equals, tt.want)
			qt.Check(t, h.p.State(h.now).Rooms, qt.HasLen, 1)
		})
	}
}

// Guards against lasting work that waits for room kept free for urgent work: it must be at work
// within 6 s, however full the site is, and a task of it is past its objective for good.
func TestLastingWorkDoesNotWaitForRoom(t *testing.T) {
	const bound = 6 * time.Second
	tests := []struct {
		name     string
		adaptive bool
		again    bool // its first run is lost with its worker, which comes back
	}{
		{name: "fixed headroom"},
		{name: "fixed headroom, after a crash", again: true},
		{name: "adaptive room", adaptive: true},
		{name: "adaptive room, after a crash", adaptive: true, again: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.p.settings.Policy.AdaptiveRoom = tt.adaptive
			lasting := func() bool {
				return slices.ContainsFunc(h.starts, func(s string) bool { return strings.HasPrefix(s, "service.") })
			}
			addLasting := func() {
				h.addJob(newJob("service", "long", job.Step{Tasks: 1, Accelerators: 4, EstimateMillis: 20_000, LongRunning: true}))
			}
			if tt.again {
				addLasting()
				qt.Assert(t, lasting(), qt.IsTrue)
			}
			for i := range 6 {
				h.playUrgentGang(fmt.Sprintf("u%d", i))
			}
			h.addJob(newJob("long", "long", job.Step{Tasks: 8, Accelerators: 4, EstimateMillis: 60_000}))
			h.advance(2 * time.Second)
			h.addJob(newJob("busy", "urgent", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 60_000}))
			h.advance(time.Second)
			h.starts = nil
			if tt.again {
				h.crash(h.targetOf("service.0.0.0"))
				h.advance(crashDowntime)
			} else {
				addLasting()
			}
			for range bound / time.Second {
				h.advance(time.Second)
			}
			qt.Check(t, lasting(), qt.IsTrue, qt.Commentf("%v", h.starts))
		})
	}
}

// Guards against work that waits for room kept free for urgent work for longer than a job may have
// nothing at work while less than half of a service's capacity is in use: workers that accept no work
// are a part of that capacity.
func TestRoomIsNotKeptOnHalfIdleService(t *testing.T) {
	const bound = 3 * time.Second
	tests := []struct {
		name   string
		reject func(h *harness, target string) // makes a target accept no work
		used   int                             // accelerators, of the 40 that accept work
		want   bool
	}{
		{name: "all accept work, under half in use", used: 19, want: true},
		{name: "all accept work, more than half in use", used: 21},
		{name: "one drains, under half in use", reject: func(h *harness, name string) { h.workers[name].worker.Draining = true }, used: 23, want: true},
		{name: "one can't be reached, under half in use", reject: func(h *harness, name string) { h.p.SetConnected(name, false) }, used: 23, want: true},
		{name: "one drains, more than half in use", reject: func(h *harness, name string) { h.workers[name].worker.Draining = true }, used: 25},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			workers := 5
			if tt.reject != nil {
				workers++
			}
			h := newHarness(t, workers)
			h.p.settings.Policy.AdaptiveRoom = true
			h.addJob(newJob("first", "fill", job.Step{Tasks: 1, EstimateMillis: 1}))
			h.finishTask("first.0.0.0")
			for i := range 6 {
				h.playUrgentGang(fmt.Sprintf("u%d", i))
			}
			reporting := h.names
			if tt.reject != nil {
				last := h.names[len(h.names)-1]
				tt.reject(h, last)
				h.report(last)
				tt.reject(h, last) // again, since the report has connected the target
				reporting = h.names[:len(h.names)-1]
			}
			wait := func() {
				for range int(bound / time.Second) {
					h.now = h.now.Add(time.Second)
					h.report(reporting...)
					h.runPass()
				}
			}
			// Lasting work does not wait for room.
			h.addJob(newJob("lasting", "long", job.Step{Tasks: tt.used, Accelerators: 1, EstimateMillis: 60_000, LongRunning: true}))
			wait()
			qt.Assert(t, h.startsOf(fmt.Sprintf("lasting.0.0.%d", tt.used-1)), qt.Equals, 1)
			h.addJob(newJob("long", "fill", job.Step{Tasks: 1, Accelerators: 1, EstimateMillis: 20_000}))
			wait()
			qt.Check(t, h.startsOf("long.0.0.0") == 1, qt.Equals, tt.want)
		})
	}
}
