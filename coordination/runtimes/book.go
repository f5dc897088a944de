package runtimes

import (
	"math"
	"sync"
	"time"
)

// Parameters of Book.
const (
	// minSamples is the number of ended tasks from which on history replaces the
	// declared time.
	minSamples = 3
	// stragglerSamples is the number of ended tasks from which on stragglers are
	// told: with fewer, the 95th percentile is little more than the longest run.
	stragglerSamples = 20
	// stragglerFactor times the 95th percentile is the elapsed time of a straggler.
	stragglerFactor = 3
	// declaredError is the factor by which declared times are expected to be off.
	declaredError = 10
	// unknown is the estimate without history and without a declared time.
	unknown = 10 * time.Minute
	// errorWeight is the weight of the latest error in the average error.
	errorWeight = 0.1
)

// Estimate is a predicted run time.
type Estimate struct {
	Typical time.Duration // median
	High    time.Duration // 95th percentile
	Samples int           // ended tasks that it is based on; 0 for the declared time
}

// Book holds the history of all kinds. The zero Book is empty.
type Book struct {
	mu    sync.Mutex
	kinds map[kindKey]*history
}

type kindKey struct{ workspace, kind string }

// history is what is known of one kind.
type history struct {
	runs   series // in milliseconds
	ratios series // of run time to declared time, in thousandths
	// Average errors of the two predictors, as absolute logarithms.
	runError   float64
	ratioError float64
}

// Observe records the run time of an ended task. declared is 0 if the caller
// declared none. Tasks that were stopped before their end must not be recorded.
func (b *Book) Observe(workspace, kind string, declared, run time.Duration, now time.Time) {
	if run <= 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.kinds[kindKey{workspace, kind}]
	if h == nil {
		h = &history{}
		if b.kinds == nil {
			b.kinds = make(map[kindKey]*history)
		}
		b.kinds[kindKey{workspace, kind}] = h
	}
	if h.runs.count() >= minSamples {
		learn(&h.runError, h.byRun().Typical, run)
		if declared > 0 && h.ratios.count() >= minSamples {
			learn(&h.ratioError, h.byRatio(declared).Typical, run)
		}
	}
	h.runs.record(run.Milliseconds(), now)
	if declared > 0 {
		h.ratios.record(int64(math.Round(1000*float64(run)/float64(declared))), now)
	}
}

// learn moves an average error towards the error of one prediction.
func learn(avg *float64, predicted, run time.Duration) {
	e := math.Abs(math.Log(float64(max(predicted, 1)) / float64(run)))
	*avg += errorWeight * (e - *avg)
}

// Estimate predicts the run time of a task. declared is 0 if there is none.
func (b *Book) Estimate(workspace, kind string, declared time.Duration) Estimate {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.kinds[kindKey{workspace, kind}]
	switch {
	case h == nil || h.runs.count() < minSamples:
		if declared <= 0 {
			declared = unknown
		}
		return Estimate{Typical: declared, High: declaredError * declared}
	case declared > 0 && h.ratios.count() >= minSamples && h.ratioError < h.runError:
		return h.byRatio(declared)
	}
	return h.byRun()
}

// byRun predicts the usual run time.
func (h *history) byRun() Estimate {
	return Estimate{Typical: h.run(50), High: h.run(95), Samples: h.runs.count()}
}

// byRatio corrects the declared time and keeps it within the run times seen, which
// bounds the error for a declared time that is off more than usual.
func (h *history) byRatio(declared time.Duration) Estimate {
	low, high := h.run(0), h.run(100)
	at := func(q float64) time.Duration {
		d := time.Duration(float64(declared) * float64(h.ratios.quantile(q)) / 1000)
		return min(max(d, low), high)
	}
	return Estimate{Typical: at(50), High: at(95), Samples: h.ratios.count()}
}

func (h *history) run(q float64) time.Duration {
	return time.Duration(h.runs.quantile(q)) * time.Millisecond
}

// Quantile returns a quantile (0 to 1) of the run times seen and their number. It
// returns 0, 0 without history.
func (b *Book) Quantile(workspace, kind string, q float64) (time.Duration, int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := b.kinds[kindKey{workspace, kind}]
	if h == nil {
		return 0, 0
	}
	return h.run(100 * q), h.runs.count()
}

// Remaining predicts how much longer a task will run. A task that has outrun its
// estimate is expected to run as long again: in distributions with a long tail,
// the remaining time grows with the elapsed one.
func (b *Book) Remaining(workspace, kind string, declared, elapsed time.Duration) time.Duration {
	e := b.Estimate(workspace, kind, declared)
	switch {
	case elapsed < e.Typical:
		return e.Typical - elapsed
	case elapsed < e.High:
		return e.High - elapsed
	}
	return max(elapsed, time.Millisecond)
}

// Straggler reports whether a task has run for more than three times the 95th
// percentile of its kind. It returns false while too little is known.
func (b *Book) Straggler(workspace, kind string, elapsed time.Duration) bool {
	p95, n := b.Quantile(workspace, kind, 0.95)
	return n >= stragglerSamples && elapsed > stragglerFactor*p95
}

// Forget drops the history of a kind, for example of one that was removed from
// the configuration.
func (b *Book) Forget(workspace, kind string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.kinds, kindKey{workspace, kind})
}
