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
	failureStreak  int    // failures since the last success
	lastFailedTask string // that failed last
	pausedUntil    time.Time
}

func (h *health) recordSuccess() { *h = health{} }

func (h *health) recordFailure(task string, now time.Time) {
	if task == h.lastFailedTask {
		return
	}
	h.lastFailedTask = task
	h.failureStreak++
	if h.failureStreak >= failuresToPause {
		h.pausedUntil = now.Add(min(firstPause<<(h.failureStreak-failuresToPause), maxPause))
	}
}

// recordStall notes that a run on the worker makes no progress.
func (h *health) recordStall(now time.Time) {
	if end := now.Add(firstPause); end.After(h.pausedUntil) {
		h.pausedUntil = end
	}
}

// isSuspect reports whether the worker should get no work now.
func (h *health) isSuspect(now time.Time) bool { return now.Before(h.pausedUntil) }
