package table

import (
	"sync"
	"time"
)

// Clock estimates the store's monotonic clock, which is the common time base of all
// processes. The zero Clock has no estimate. Its methods are safe for concurrent use.
type Clock struct {
	mu         sync.Mutex
	storeTime  time.Duration // from the reply that gave the highest estimate
	receivedAt time.Time     // when that reply arrived, by the local clock
}

// Observe updates the estimate with the store's time in a reply that has just
// arrived. A time that is not ahead of the estimate has no effect: its reply took
// longer than the reply that set the estimate.
func (c *Clock) Observe(storeTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.receivedAt.IsZero() && storeTime <= c.storeTime+time.Since(c.receivedAt) {
		return
	}
	c.storeTime, c.receivedAt = storeTime, time.Now()
}

// Now returns the estimate, which lags behind the store's clock by at most the
// delay of a reply. It returns false if no reply has arrived yet.
func (c *Clock) Now() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedAt.IsZero() {
		return 0, false
	}
	return c.storeTime + time.Since(c.receivedAt), true
}
