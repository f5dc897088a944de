package runtimes

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1000, 0)

// Guards against estimates that follow declared times that are off by ten.
func TestEstimate(t *testing.T) {
	const run = time.Minute
	tests := []struct {
		name     string
		declared func(i int, run time.Duration) time.Duration
		varied   bool    // run times vary by 20 and the declared times follow them
		factor   float64 // largest acceptable factor between estimate and run time
	}{
		{"ten times too long", func(_ int, run time.Duration) time.Duration { return 10 * run }, false, 1.1},
		{"ten times too short", func(_ int, run time.Duration) time.Duration { return run / 10 }, false, 1.1},
		{"off in either direction", func(i int, run time.Duration) time.Duration {
			return []time.Duration{10 * run, run / 10}[i%2]
		}, false, 1.1},
		{"none", func(int, time.Duration) time.Duration { return 0 }, false, 1.1},
		{"varied, ten times too long", func(_ int, run time.Duration) time.Duration { return 10 * run }, true, 1.2},
		{"varied, ten times too short", func(_ int, run time.Duration) time.Duration { return run / 10 }, true, 1.2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b Book
			rng := rand.New(rand.NewPCG(1, 1))
			for i := range 60 {
				actual := run
				if tt.varied {
					actual = time.Duration(float64(run) * (1 + 19*rng.Float64()))
				}
				declared := tt.declared(i, actual)
				e := b.Estimate("w", "k", declared)
				b.Observe("w", "k", declared, actual, start)
				if i < 30 {
					continue
				}
				ratio := float64(e.Typical) / float64(actual)
				qt.Assert(t, ratio < tt.factor && ratio > 1/tt.factor, qt.IsTrue, qt.Commentf("task %d: %v for %v", i, e, actual))
				qt.Assert(t, e.High >= e.Typical, qt.IsTrue)
			}
		})
	}
}

// Guards against estimates of kinds without history that are zero or too sure.
func TestWithoutHistory(t *testing.T) {
	var b Book
	qt.Assert(t, b.Estimate("w", "k", time.Second), qt.Equals, Estimate{Typical: time.Second, High: 10 * time.Second})
	qt.Assert(t, b.Estimate("w", "k", 0).Typical, qt.Equals, unknown)
	qt.Assert(t, b.Remaining("w", "k", time.Second, 4*time.Second), qt.Equals, 6*time.Second)
	qt.Assert(t, b.Remaining("w", "k", time.Second, time.Minute), qt.Equals, time.Minute)
	qt.Assert(t, b.Straggler("w", "k", time.Hour), qt.IsFalse)
}

// Guards against stragglers that go unnoticed, and against a kind that is judged by
// what it was long ago.
func TestStraggler(t *testing.T) {
	var b Book
	observe := func(n int, run time.Duration, now time.Time) {
		for range n {
			b.Observe("w", "k", 0, run, now)
		}
	}
	observe(100, time.Second, start)
	qt.Assert(t, b.Straggler("w", "k", 2*time.Second), qt.IsFalse)
	qt.Assert(t, b.Straggler("w", "k", 4*time.Second), qt.IsTrue)
	for i := range 3 {
		observe(100, time.Minute, start.Add(time.Duration(i+1)*windowAge))
	}
	qt.Assert(t, b.Straggler("w", "k", 2*time.Minute), qt.IsFalse)
	p50, n := b.Quantile("w", "k", 0.5)
	qt.Assert(t, n, qt.Equals, 200)
	qt.Assert(t, p50.Round(10*time.Second), qt.Equals, time.Minute)
	b.Forget("w", "k")
	_, n = b.Quantile("w", "k", 0.5)
	qt.Assert(t, n, qt.Equals, 0)
}
