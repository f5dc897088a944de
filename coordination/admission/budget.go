package admission

import (
	"sync"
	"time"
)

// Limits of retries over the last ten seconds.
const (
	retryShare = 10 // percent of the first attempts
	retryFloor = 10 // retries that are always allowed
)

// RetryBudget limits retries to 10% of the first attempts plus 10 over the last
// ten seconds. The zero RetryBudget is ready for use.
type RetryBudget struct {
	mu      sync.Mutex
	first   window
	retries window
}

// First counts a first attempt.
func (b *RetryBudget) First(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.first.add(now, 1)
}

// Retry takes a retry from the budget. It returns false if the budget is spent.
func (b *RetryBudget) Retry(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.retries.sum(now) >= b.first.sum(now)*retryShare/100+retryFloor {
		return false
	}
	b.retries.add(now, 1)
	return true
}
