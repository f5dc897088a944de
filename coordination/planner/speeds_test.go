package planner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/speed"
	"github.com/medlargrade/medlargrade/state/job"
)

// newSpeedHarness returns a harness with a worker of each speed, all in one rack, in the order of
// their names. The speeds are given as units of 0.05 of their logarithms.
func newSpeedHarness(t *testing.T, logSpeeds ...int) *harness {
	h := newHarness(t, len(logSpeeds))
	h.p.settings.Policy.LearnSpeeds = true
	h.p.speeds = speed.New()
	entries := make([]string, len(logSpeeds))
	for i, v := range logSpeeds {
		entries[i] = fmt.Sprintf(`%q:[%d,7]`, h.names[i], v)
		h.p.targets[h.names[i]].speed = h.p.speeds.Worker(h.names[i])
	}
	h.p.RestoreSpeeds([]byte(`{"Uneven":true,"Workers":{`+strings.Join(entries, ",")+`}}`), h.now)
	qt.Assert(t, h.p.usesSpeeds(), qt.IsTrue)
	return h
}

// Log speeds of 1.22 and 0.25 in units of 0.05. With as many slow as fast workers, the speeds
// relative to their mean, after shrinking, are about 2 and 0.5.
const (
	fast = 4
	slow = -28
)

// Guards against urgent work on slow workers, against long work that takes the fast ones although
// it has time to spare, and against either waiting for the workers that it prefers.
func TestPlacementBySpeed(t *testing.T) {
	gang := job.Step{Tasks: 2, Accelerators: 8, Gang: true, SameRack: true}
	tests := []struct {
		name string
		kind string
		step job.Step
		want []string
	}{
		{"urgent task", "urgent", job.Step{Tasks: 1, Accelerators: 1}, []string{"t01"}},
		{"urgent gang", "urgent", gang, []string{"t01", "t03"}},
		{"long task with time to spare", "long", job.Step{Tasks: 1, Accelerators: 1}, []string{"t00"}},
		{"long gang with time to spare", "long", gang, []string{"t00", "t02"}},
		{"larger than the fast part", "urgent", job.Step{Tasks: 4, Accelerators: 8, Gang: true}, []string{"t00", "t01", "t02", "t03"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newSpeedHarness(t, slow, fast, slow, fast)
			h.addJob(newJob("j", tt.kind, tt.step))
			used := make(map[string]bool)
			for i := range tt.step.Tasks {
				used[h.targetOf(fmt.Sprintf("j.0.0.%d", i))] = true
			}
			for _, name := range tt.want {
				qt.Check(t, used[name], qt.IsTrue, qt.Commentf("%s of %v", name, used))
			}
			qt.Check(t, used, qt.HasLen, len(tt.want))
		})
	}
}

// Guards against an urgent gang that misses its objective on slow workers while lower work uses
// the fast ones, and against one that waits longer than maxFastWait for these.
func TestUrgentWorkReclaimsFastWorkers(t *testing.T) {
	tests := []struct {
		name      string
		other     string // kind of the work on the fast workers
		workspace string // of that work; the unit is guaranteed if it is another one
		maxWait   time.Duration
	}{
		{"lower work", "long", "w1", time.Second},
		{"lower work, guaranteed", "long", "w2", time.Second},
		{"urgent work", "urgent", "w1", maxFastWait + 200*time.Millisecond},
		{"urgent work, guaranteed", "urgent", "w2", maxGuaranteedFastWait + 200*time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newSpeedHarness(t, slow, fast, slow, fast)
			// Fills the fast workers.
			h.p.settings.Policy.NoHeadroom = true
			learner := h.p.speeds
			h.p.speeds = nil
			for i := range 4 {
				fill := newJob(fmt.Sprintf("fill%d", i), tt.other, job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: 20_000})
				fill.Workspace = tt.workspace
				h.addJob(fill)
			}
			for i := range 4 {
				name := fmt.Sprintf("fill%d.0.0.0", i)
				if on := h.targetOf(name); on == "t00" || on == "t02" {
					h.finishTask(name)
				}
			}
			h.advance(time.Millisecond)
			h.p.speeds = learner
			h.addJob(newJob("j", "urgent", job.Step{Tasks: 2, Accelerators: 8, Gang: true, EstimateMillis: 2000}))
			began := h.now
			for h.targetOf("j.0.0.0") == "" && h.now.Sub(began) < 5*time.Second {
				h.advance(100 * time.Millisecond)
			}
			waited, on := h.now.Sub(began), h.targetOf("j.0.0.0")
			qt.Check(t, on == "t01" || on == "t03", qt.Equals, tt.other == "long", qt.Commentf("%s", on))
			qt.Check(t, waited <= tt.maxWait, qt.IsTrue, qt.Commentf("%v", waited))
		})
	}
}

// Guards against a fast member of a gang that counts as stalled while it waits for slower ones.
func TestFinishedMemberIsNotStalled(t *testing.T) {
	h := newSpeedHarness(t, slow, fast)
	h.addJob(newJob("j", "urgent", job.Step{Tasks: 2, Accelerators: 8, Gang: true, EstimateMillis: 4000}))
	for i := range int64(40) {
		for k, perStep := range []int64{2, 5} {
			task := fmt.Sprintf("j.0.0.%d", k)
			h.workers[h.targetOf(task)].running[task].Percent = min((i+1)*perStep, 100)
		}
		h.advance(250 * time.Millisecond)
		for _, name := range h.names {
			qt.Assert(t, h.p.targets[name].health.isPaused(h.now), qt.IsFalse, qt.Commentf("%s after %d reports", name, i))
		}
	}
	qt.Check(t, h.starts, qt.HasLen, 2)
}

// Guards against learned speeds that are written without a change, alone, or more often than every
// speedsRowInterval, and against a malformed row that stops the planner.
func TestSpeedsRow(t *testing.T) {
	h := newSpeedHarness(t, slow, fast, fast, fast)
	h.p.RestoreSpeeds([]byte("malformed"), h.now)
	writes := 0
	for i := range 60 {
		if i%4 == 0 {
			h.p.AddJob(newJob(fmt.Sprintf("j%d", i), "urgent", job.Step{Tasks: 1, Accelerators: 1, EstimateMillis: 1000}), nil, h.now)
		}
		s := h.p.speeds.NewStep("other", time.Second, false)
		for k, d := range []time.Duration{2500, 1200, 1100, 1100} {
			s.Observe(k, h.p.targets[h.names[k]].speed, d*time.Millisecond, 100, h.now)
		}
		h.now = h.now.Add(250 * time.Millisecond)
		h.report(h.names...)
		b := h.p.Plan(h.now)
		for _, w := range b.Writes {
			if w.Table == TableSpeeds {
				writes++
				qt.Check(t, len(b.Writes) > 1, qt.IsTrue)
				qt.Check(t, speed.New().Restore(w.Value, h.now), qt.IsNil)
			}
		}
	}
	qt.Check(t, writes >= 1 && writes <= 4, qt.IsTrue, qt.Commentf("%d writes in 15 s", writes))
}
