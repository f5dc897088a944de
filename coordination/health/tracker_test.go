package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// site runs tasks of three kinds on targets t0..t10 and reports who is on
// probation.
type site struct {
	Tracker
	rng *rand.Rand
	now time.Time
}

func newSite() *site { return &site{rng: rand.New(rand.NewPCG(1, 1)), now: start} }

// run ends n tasks, spread evenly, that fail with the rate that f returns.
func (s *site) run(n int, f func(target, kind int) float64) {
	for i := range n {
		s.now = s.now.Add(100 * time.Millisecond)
		target, kind, o := i%11, s.rng.IntN(3), Succeeded
		if s.rng.Float64() < f(target, kind) {
			o = Failed
		}
		if name := fmt.Sprintf("t%d", target); s.State(name, s.now) == Healthy {
			s.Observe(name, "w", fmt.Sprintf("k%d", kind), o, s.now)
		}
	}
}

func (s *site) onProbation() (out []string) {
	for i := range 11 {
		if name := fmt.Sprintf("t%d", i); s.State(name, s.now) != Healthy {
			out = append(out, name)
		}
	}
	return out
}

// Guards against kinds that convict workers, and against bad workers that hide
// behind bad kinds.
func TestProbation(t *testing.T) {
	only := func(bad int, rate float64) func(int, int) float64 {
		return func(target, _ int) float64 {
			if target == bad {
				return rate
			}
			return 0.01
		}
	}
	tests := []struct {
		name string
		f    func(target, kind int) float64
		want []string
	}{
		{"no failures", only(-1, 0), nil},
		{"worker fails everything", only(4, 1), []string{"t4"}},
		{"worker fails half", only(4, 0.5), []string{"t4"}},
		{"kind fails everywhere", func(_, kind int) float64 { return float64(kind / 2) }, nil},
		{"kind fails often everywhere", func(_, kind int) float64 { return []float64{0, 0.5, 0.01}[kind] }, nil},
		{"kind fails everywhere, worker fails everything", func(target, kind int) float64 {
			if kind == 2 || target == 4 {
				return 1
			}
			return 0
		}, []string{"t4"}},
		{"everything fails", func(int, int) float64 { return 1 }, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newSite()
			s.run(1500, tt.f)
			qt.Assert(t, s.onProbation(), qt.DeepEquals, tt.want)
		})
	}
	s := newSite()
	s.run(100, func(_, kind int) float64 { return float64(kind / 2) })
	qt.Assert(t, s.Kind("w", "k2", s.now).FailsEverywhere, qt.IsTrue)
	qt.Assert(t, s.Kind("w", "k1", s.now).FailsEverywhere, qt.IsFalse)
}

// Guards against a worker that draws ever more work because its tasks fail fast.
func TestFastFailingWorker(t *testing.T) {
	s := newSite()
	s.run(110, func(int, int) float64 { return 0 })
	drawn := 0
	for s.now.Before(start.Add(10 * time.Minute)) {
		s.now = s.now.Add(time.Millisecond) // it is free again at once
		switch s.State("t4", s.now) {
		case ProbeDue:
			qt.Assert(t, s.StartProbe("t4", s.now), qt.IsTrue)
			qt.Assert(t, s.StartProbe("t4", s.now), qt.IsFalse)
			s.ProbeEnded("t4", "w", "k0", Failed, s.now)
			drawn++
		case Paused:
			s.Observe("t4", "w", "k0", Succeeded, s.now) // started before it went bad
		case Healthy:
			s.Observe("t4", "w", "k0", Failed, s.now)
			drawn++
		}
	}
	qt.Assert(t, drawn < 20, qt.IsTrue, qt.Commentf("%d tasks", drawn))
	for s.State("t4", s.now) != Healthy { // repaired
		s.now = s.now.Add(time.Second)
		qt.Assert(t, s.now.Before(start.Add(20*time.Minute)), qt.IsTrue)
		if s.StartProbe("t4", s.now) {
			s.ProbeEnded("t4", "w", "k0", Succeeded, s.now)
		}
	}
}

// Guards against a job that fails on worker after worker, and against a job that is
// given up because of bad workers.
func TestJobFailed(t *testing.T) {
	var x Tracker
	fail := func(name string) bool {
		x.Observe(name, "w", "k", Failed, start)
		return x.JobFailed("j", name, "w", "k", start).Retry
	}
	qt.Assert(t, fail("t0"), qt.IsTrue)
	qt.Assert(t, fail("t0"), qt.IsTrue)
	qt.Assert(t, fail("t1"), qt.IsTrue)
	x.targetLocked("t1").probation = true
	qt.Assert(t, fail("t2"), qt.IsTrue)
	qt.Assert(t, fail("t3"), qt.IsFalse)
	qt.Assert(t, x.Kind("w", "k", start).Charges, qt.Equals, 1.0)
	qt.Assert(t, x.JobFailed("k", "t0", "w", "k", start).Exclude, qt.DeepEquals, []string{"t0"})
	x.JobEnded("k")
	qt.Assert(t, x.jobs, qt.HasLen, 0)
	x.Forget("t1")
	qt.Assert(t, x.State("t1", start), qt.Equals, Healthy)
}

// Guards against a shared fault that takes most of the site out of service.
func TestProbationIsBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSite()
		bad := rapid.IntRange(0, 11).Draw(t, "bad")
		s.rng = rand.New(rand.NewPCG(1, rapid.Uint64().Draw(t, "seed")))
		s.run(220, func(int, int) float64 { return 0 })
		s.run(880, func(target, _ int) float64 {
			if target < bad {
				return 1
			}
			return 0
		})
		if n := len(s.onProbation()); n > 5 {
			t.Fatalf("%d of 11 targets on probation", n)
		}
	})
}

// Guards against a target that stays out of service for minutes because tasks
// that ran when its probation began are taken for failed probes.
func TestTasksFromBeforeProbation(t *testing.T) {
	var x Tracker
	for range 20 {
		x.Observe("t0", "w", "k", Succeeded, start)
	}
	for range 8 {
		x.Observe("t1", "w", "k", Failed, start) // one burst on all slots
	}
	qt.Assert(t, x.State("t1", start), qt.Equals, Paused)
	now := start.Add(firstPause)
	for range probeSuccesses {
		qt.Assert(t, x.StartProbe("t1", now), qt.IsTrue)
		x.Observe("t1", "w", "k", Failed, now) // still one from before
		x.ProbeEnded("t1", "w", "k", Succeeded, now)
	}
	qt.Assert(t, x.State("t1", now), qt.Equals, Healthy)
}
