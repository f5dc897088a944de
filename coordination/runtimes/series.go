package runtimes

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of series.
const (
	windowAge = 6 * time.Hour
	// windowSamples keeps the history of kinds that run seldom.
	windowSamples = 50
	// maxValue is 30 days in milliseconds.
	maxValue = 30 * 24 * 3600 * 1000
	// One significant digit is far more precise than the spread of run times, and
	// keeps a kind below 16 KiB: a site has thousands of kinds.
	digits = 1
)

// series is a histogram of the latest one to two windows.
type series struct {
	current *hdrhistogram.Histogram
	both    *hdrhistogram.Histogram // current and previous window
	since   time.Time
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxValue, digits) }

func (s *series) record(v int64, now time.Time) {
	switch {
	case s.current == nil:
		s.current, s.both, s.since = newHistogram(), newHistogram(), now
	case now.Sub(s.since) >= windowAge && s.current.TotalCount() >= windowSamples:
		// The previous window is dropped, and the current one takes its place.
		s.both, s.current, s.since = s.current, newHistogram(), now
	}
	v = min(max(v, 1), maxValue)
	// The value is within the range of the histograms, so this can't fail.
	_ = s.current.RecordValue(v)
	_ = s.both.RecordValue(v)
}

func (s *series) count() int {
	if s.both == nil {
		return 0
	}
	return int(s.both.TotalCount())
}

// quantile returns the value at q percent.
func (s *series) quantile(q float64) int64 {
	if s.both == nil {
		return 0
	}
	return s.both.ValueAtQuantile(q)
}
