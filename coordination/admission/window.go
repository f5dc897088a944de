package admission

import "time"

const (
	bucketWidth = time.Second
	buckets     = 10
)

// window counts events over the last buckets*bucketWidth. The zero window is
// empty.
type window struct {
	start  time.Time
	slot   int64 // of the newest bucket
	counts [buckets]int
}

func (w *window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	slot := int64(now.Sub(w.start) / bucketWidth)
	for n := min(slot-w.slot, buckets); n > 0; n-- {
		w.counts[(slot-n+1)%buckets] = 0
	}
	w.slot = max(w.slot, slot)
}

func (w *window) add(now time.Time, n int) {
	w.advance(now)
	w.counts[w.slot%buckets] += n
}

func (w *window) sum(now time.Time) int {
	w.advance(now)
	n := 0
	for _, c := range w.counts {
		n += c
	}
	return n
}

// rate returns the events per second, or 0 if there were none.
func (w *window) rate(now time.Time) float64 {
	n := w.sum(now)
	span := min(max(now.Sub(w.start), bucketWidth), buckets*bucketWidth)
	return float64(n) / span.Seconds()
}
