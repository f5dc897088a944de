package planner

import "time"

const (
	// failuresToPause is the number of consecutive failures of different tasks after
	// which a worker gets no new work for a while. A single failure is usually the
	// task's own fault.
	failuresToPause = 2
	// firstPause is the duration of the first pause. It doubles with each further
	// failure, up to maxPause.
	firstPause = 2 * time.Second
	maxPause   = 16 * time.Second
)

// health tracks the failures and stalls of runs on a worker.
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

// recordStall pauses new work on the worker because a run on it makes no progress.
func (h *health) recordStall(now time.Time) {
	if end := now.Add(firstPause); end.After(h.pausedUntil) {
		h.pausedUntil = end
	}
}

// isSuspect reports whether the worker should get no new work now.
func (h *health) isSuspect(now time.Time) bool { return now.Before(h.pausedUntil) }
