package interference_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/interference"
)

var (
	a = interference.Class{Kind: "a", Accelerators: 1}
	b = interference.Class{Kind: "b", Image: "i", Accelerators: 2}
	c = interference.Class{Kind: "c"}
)

// history is a random history of a site.
type history struct {
	r           *rand.Rand
	d           *interference.Detector
	now         time.Time
	speeds      []float64 // logarithms, by worker
	besides     []float64 // share of runs with a neighbour, by worker
	factor      float64   // of a beside b
	spread      float64   // of the work within a step
	steps       int
	pairRuns    int                    // of a beside b
	maxPairRuns int                    // ends the history; 0 for no limit
	verdicts    []interference.Verdict // all that were ever in force
}

func newHistory(seed uint64, workers int) *history {
	h := &history{r: rand.New(rand.NewPCG(seed, 1)), d: interference.New(), now: time.Unix(1_800_000_000, 0), factor: 1, spread: 0.2} //nolint:gosec // reproducible draws
	for range workers {
		h.speeds = append(h.speeds, 0)
		h.besides = append(h.besides, 0.5)
	}
	return h
}

// step adds a step of n tasks of a class, each beside one of the others on its worker's share.
func (h *history) step(class interference.Class, n int) {
	h.steps++
	work := 0.4 * h.r.NormFloat64()
	if h.r.Float64() < 0.05 {
		work += math.Log(7) // a tail: all tasks of the job are long
	}
	for i := 0; i < n && (h.maxPairRuns == 0 || h.pairRuns < h.maxPairRuns); i++ {
		w := h.r.IntN(len(h.speeds))
		o := interference.Observation{
			Run: fmt.Sprintf("%d/%d", h.steps, i), Step: fmt.Sprint(h.steps), Class: class,
			Worker: fmt.Sprint(w), Log: h.speeds[w] - work + h.spread*h.r.NormFloat64(),
		}
		for _, n := range []interference.Class{a, b, c} {
			if n != class && h.r.Float64() < h.besides[w] {
				o.Beside = append(o.Beside, n)
				if class == a && n == b {
					o.Log -= math.Log(h.factor)
					h.pairRuns++
				}
			}
		}
		h.d.Observe(o, h.now)
	}
}

// update updates the detector a second later.
func (h *history) update() {
	h.now = h.now.Add(time.Second)
	for _, x := range h.d.Update(h.now) {
		if !x.Withdrawn {
			h.verdicts = append(h.verdicts, x.Verdict)
		}
	}
}

// Guards against verdicts without a cause: of 1,000 random histories without interference, with
// slow workers that have more neighbours than others and with long jobs, less than one may have
// a verdict at any time.
func TestFalseVerdicts(t *testing.T) {
	const histories = 1000
	n := 0
	for seed := range uint64(histories) {
		h := newHistory(seed, 0)
		workers := 4 + h.r.IntN(12)
		h.spread = 0.05 + 0.35*h.r.Float64()
		for range workers {
			share, speed := h.r.Float64(), 0.1*h.r.NormFloat64()
			if h.r.Float64() < 0.25 {
				speed, share = -math.Log(1+2*h.r.Float64()), 0.5+share/2
			}
			h.speeds, h.besides = append(h.speeds, speed), append(h.besides, share)
		}
		largest := 1 + h.r.IntN(12)
		for range 25 {
			for _, class := range []interference.Class{a, b, c} {
				h.step(class, 1+h.r.IntN(largest))
			}
			h.update()
		}
		if len(h.verdicts) > 0 {
			n++
			t.Logf("seed %d: %v", seed, h.verdicts)
		}
	}
	qt.Assert(t, n < 1, qt.IsTrue, qt.Commentf("%d of %d histories have a verdict", n, histories))
}

// Guards against interference that is noticed late: a slowdown of 1.5 must be known within 40
// runs of the pair.
func TestDetection(t *testing.T) {
	const seeds, maxRuns = 100, 40
	tests := []struct {
		name  string
		tasks int // of a step
	}{
		{"large steps", 12}, {"small steps", 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			missed := 0
			for seed := range uint64(seeds) {
				h := newHistory(seed, 8)
				h.factor, h.maxPairRuns = 1.5, maxRuns
				for h.pairRuns < maxRuns && !h.d.Harmful(a, b) {
					h.step(a, tt.tasks)
					h.step(c, tt.tasks)
					h.update()
				}
				if !h.d.Harmful(a, b) {
					missed++
				}
			}
			qt.Check(t, missed, qt.Equals, 0)
		})
	}
}

// Guards against verdicts that stay after their cause went, with and without further runs.
func TestWithdrawal(t *testing.T) {
	for _, runsOn := range []bool{true, false} {
		t.Run(fmt.Sprintf("runs on %v", runsOn), func(t *testing.T) {
			h := newHistory(1, 8)
			h.factor = 1.5
			for range 20 {
				h.step(a, 8)
				h.step(c, 8)
				h.update()
			}
			qt.Assert(t, h.d.Harmful(b, a), qt.IsTrue)
			h.factor = 1
			for range 600 {
				if h.now = h.now.Add(time.Second); runsOn && h.r.IntN(4) == 0 {
					h.step(a, 8)
					h.step(c, 8)
				}
				h.update()
			}
			qt.Assert(t, h.d.Verdicts(), qt.HasLen, 0)
		})
	}
}

// Guards against a verdict from too few workers.
func TestMinWorkers(t *testing.T) {
	h := newHistory(1, 2)
	h.factor = 3
	for range 30 {
		h.step(a, 8)
		h.step(c, 8)
		h.update()
	}
	qt.Assert(t, h.d.Verdicts(), qt.HasLen, 0)
}

func BenchmarkUpdate(b *testing.B) {
	h := newHistory(1, 50)
	var classes []interference.Class
	for i := range 12 {
		classes = append(classes, interference.Class{Kind: fmt.Sprint(i)})
	}
	for i := range 2000 {
		o := interference.Observation{
			Run: fmt.Sprint(i), Step: fmt.Sprint(i / 8), Class: classes[i/8%12], Worker: fmt.Sprint(h.r.IntN(50)), Log: 0.2 * h.r.NormFloat64(),
		}
		for range 3 {
			o.Beside = append(o.Beside, classes[h.r.IntN(12)])
		}
		o.Beside = interference.SortClasses(o.Beside)
		h.d.Observe(o, h.now)
	}
	for b.Loop() {
		h.d.Update(h.now)
	}
}
