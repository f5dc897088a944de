package planner

import "time"

const (
	// failuresBeforePause is the number of consecutive failures after which a worker gets no
	// new work for a while; one of the task that failed last does not count. A single
	// failure is usually the task's own fault.
	failuresBeforePause = 2
	// firstFailurePause is the duration of the first pause. It doubles with each further
	// failure, up to maxFailurePause. It is also the pause after a stalled run is seen.
	firstFailurePause = 2 * time.Second
	maxFailurePause   = 16 * time.Second
)

// health tracks the failures and stalls of runs on a worker.
type health struct {
	failureStreak     int    // consecutive failures; one of the task that failed last does not count
	lastFailedTask    string // name of the task that failed last
	failurePauseUntil time.Time
}

func (h *health) recordSuccess() { *h = health{} }

func (h *health) recordFailure(task string, now time.Time) {
	if task == h.lastFailedTask {
		return
	}
	h.lastFailedTask = task
	h.failureStreak++
	if h.failureStreak >= failuresBeforePause {
		// The bound of 8 keeps the shift from overflowing.
		h.failurePauseUntil = now.Add(min(firstFailurePause<<min(h.failureStreak-failuresBeforePause, 8), maxFailurePause))
	}
}

// recordStall pauses new work on the worker because a run on it makes no progress.
func (h *health) recordStall(now time.Time) {
	if end := now.Add(firstFailurePause); end.After(h.failurePauseUntil) {
		h.failurePauseUntil = end
	}
}

// isPaused reports whether the worker gets no new work now because of failures or stalls.
func (h *health) isPaused(now time.Time) bool { return now.Before(h.failurePauseUntil) }
