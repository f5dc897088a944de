package targets

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func full(seq uint64, free int, tasks ...Task) Report {
	return Report{
		Target: "t1", Rack: "r1", Incarnation: 7, Sequence: seq,
		Slots: 8, Free: free, Ready: true, Tasks: tasks,
	}
}

func delta(seq, base uint64, free int, removed ...string) Report {
	r := full(seq, free)
	r.Base, r.Removed = base, removed
	return r
}

// Guards against a view that builds on state it lacks, and against reports that
// arrive late or come from a replaced process.
func TestApply(t *testing.T) {
	old := full(9, 0)
	old.Incarnation = 6
	moved := full(3, 5)
	moved.Rack = "r2"
	leaving := delta(5, 4, 3)
	leaving.Leaving = true
	tests := []struct {
		name     string
		reports  []Report
		needFull bool // of the last report
		want     int  // free slots; -1 for an unknown target
		leaving  bool
		tasks    int
	}{
		{name: "unknown base", reports: []Report{delta(2, 1, 8)}, needFull: true, want: -1},
		{name: "full", reports: []Report{full(1, 6, Task{Job: "a", Slots: 2})}, want: 6, tasks: 1},
		{name: "removal", reports: []Report{full(1, 6, Task{Job: "a", Number: 1, Slots: 2}), delta(2, 1, 8, "a/1")}, want: 8},
		{name: "late", reports: []Report{full(2, 8), full(1, 6, Task{Job: "a", Slots: 2})}, want: 8},
		{name: "lost base keeps flags", reports: []Report{full(1, 6, Task{Job: "a", Slots: 2}), leaving}, needFull: true, want: 3, leaving: true, tasks: 1},
		{name: "base older than listed", reports: []Report{full(1, 8), delta(2, 1, 6), delta(3, 1, 8)}, needFull: true, want: 8},
		{name: "superseded incarnation", reports: []Report{old, full(1, 8), old}, want: 8},
		{name: "delta of a new incarnation", reports: []Report{old, delta(2, 1, 8)}, needFull: true, want: 0},
		{name: "moved to another rack", reports: []Report{full(1, 8), moved}, want: 5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v View
			var needFull bool
			for _, r := range tt.reports {
				needFull = v.Apply(r, start)
			}
			qt.Assert(t, needFull, qt.Equals, tt.needFull)
			got, ok := v.Get("t1", start)
			qt.Assert(t, ok, qt.Equals, tt.want >= 0)
			if !ok {
				return
			}
			qt.Assert(t, got.Free, qt.Equals, tt.want)
			qt.Assert(t, got.Leaving, qt.Equals, tt.leaving)
			qt.Assert(t, v.Tasks(start), qt.HasLen, tt.tasks)
			qt.Assert(t, v.Live(start), qt.HasLen, 1)
		})
	}
}

// Guards against planning on a target that has been silent for three periods.
func TestExpiry(t *testing.T) {
	var v View
	v.Apply(full(1, 8), start)
	qt.Assert(t, v.Live(start.Add(Expiry)), qt.HasLen, 1)
	qt.Assert(t, v.Live(start.Add(Expiry+1)), qt.HasLen, 0)
}

// Guards against accounting that oscillates because a report lags behind the
// entry's own effects.
func TestOverlay(t *testing.T) {
	var v View
	free := func(now time.Time) int {
		got, _ := v.Get("t1", now)
		return got.Free
	}
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	a := Task{Job: "a", Number: 1, Slots: 2, Released: true}

	v.Apply(full(1, 8), at(0))
	v.Dispatched("t1", a, at(1))
	qt.Assert(t, free(at(1)), qt.Equals, 6)
	v.Apply(delta(2, 1, 8), at(2)) // sent before the effect
	qt.Assert(t, free(at(2)), qt.Equals, 6)
	r := delta(3, 2, 6)
	r.Tasks = []Task{a}
	v.Apply(r, at(4))
	qt.Assert(t, free(at(4)), qt.Equals, 6)
	qt.Assert(t, v.Tasks(at(5))[0].Run, qt.Equals, time.Second)

	// The slots of a victim are for the claim, and free for others only after its end.
	v.Preempted("t1", "a", 1, "claim/0", at(5))
	v.Claimed("t1", Task{Job: "claim", Slots: 1}, at(5))
	qt.Assert(t, free(at(5)), qt.Equals, 6)
	qt.Assert(t, v.Tasks(at(5)), qt.HasLen, 1)
	v.Claimed("t1", Task{Job: "other", Slots: 1}, at(5)) // its victims have ended
	qt.Assert(t, free(at(5)), qt.Equals, 5)
	v.Freed("t1", "other", 0, at(5))
	v.Apply(delta(4, 3, 6), at(6)) // the victim is still being stopped
	qt.Assert(t, free(at(6)), qt.Equals, 6)
	v.Apply(delta(5, 4, 8, "a/1"), at(8))
	qt.Assert(t, free(at(8)), qt.Equals, 7)
	v.Freed("t1", "claim", 0, at(8))

	// An effect that the target never reports does not hold slots for good.
	v.Dispatched("t1", Task{Job: "b", Slots: 8}, at(8))
	v.Apply(delta(6, 5, 8), at(14))
	qt.Assert(t, free(at(14)), qt.Equals, 0)
	qt.Assert(t, free(at(15)), qt.Equals, 8)

	// A report sent while a task ran may arrive after its end.
	v.Dispatched("t1", Task{Job: "c", Slots: 8}, at(15))
	v.Freed("t1", "c", 0, at(15))
	r = delta(7, 6, 0)
	r.Tasks = []Task{{Job: "c", Slots: 8}}
	v.Apply(r, at(16))
	qt.Assert(t, free(at(16)), qt.Equals, 8)
}

// Guards against free slots outside 0..slots, whatever the order of reports and
// effects.
func TestFreeInRange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v View
		now := start
		seq := uint64(0)
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			job := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "job")
			task := Task{Job: job, Slots: rapid.IntRange(1, 8).Draw(t, "slots")}
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0:
				seq++
				v.Apply(full(seq, 8-task.Slots, task), now)
			case 1:
				v.Dispatched("t1", task, now)
			case 2:
				v.Freed("t1", job, 0, now)
			case 3:
				v.Preempted("t1", job, 0, "c/0", now)
			case 4:
				v.Claimed("t1", task, now)
			}
			for _, x := range v.Live(now) {
				if x.Free < 0 || x.Free > x.Slots {
					t.Fatalf("free is %d of %d", x.Free, x.Slots)
				}
			}
		}
	})
}
