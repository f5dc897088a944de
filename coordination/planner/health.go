package planner

import "time"

const (
	// failuresToPause is the number of failures of different tasks in a row after
	// which a worker gets no work for a while. Single failures are mostly the
	// task's own.
	failuresToPause = 2
	// firstPause is the first time without work; it doubles up to maxPause with
	// each further failure.
	firstPause = 2 * time.Second
	maxPause   = 16 * time.Second
)

// health is what the ends of a worker's runs say about it.
type health struct {
	streak   int    // failures since the last success
	lastTask string // that failed last
	until    time.Time
}

func (h *health) succeeded() { *h = health{} }

func (h *health) failed(task string, now time.Time) {
	if task == h.lastTask {
		return
	}
	h.lastTask = task
	h.streak++
	if h.streak >= failuresToPause {
		h.until = now.Add(min(firstPause<<(h.streak-failuresToPause), maxPause))
	}
}

// stands takes that work on the worker stands still now.
func (h *health) stands(now time.Time) {
	if end := now.Add(firstPause); end.After(h.until) {
		h.until = end
	}
}

// suspect reports whether the worker should get no work now.
func (h *health) suspect(now time.Time) bool { return now.Before(h.until) }
