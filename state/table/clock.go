package table

import (
	"sync"
	"time"
)

// Clock estimates the store's monotonic clock, which is the common time base of all
// processes. The zero Clock has no estimate. Its methods are safe for concurrent use.
type Clock struct {
	mu         sync.Mutex
	storeTime  time.Duration // from the reply that the estimate rests on
	receivedAt time.Time     // when that reply arrived, by the local clock
}

// Observe updates the estimate with the store's time in a reply that has just arrived, to a call
// that was sent at the given time. The estimate stays as it is if the reply allows it: the reply
// took longer then than the one that the estimate rests on. An estimate that is ahead of any time
// that the reply allows comes from a local clock that is faster than the store's.
func (c *Clock) Observe(storeTime time.Duration, sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if estimate := c.storeTime + now.Sub(c.receivedAt); !c.receivedAt.IsZero() && storeTime <= estimate && estimate <= storeTime+now.Sub(sent) {
		return
	}
	c.storeTime, c.receivedAt = storeTime, now
}

// Now returns the estimate. It lags behind the store's clock by at most the delay of a reply, and is
// ahead by at most the duration of a call and what the local clock has gained since the last reply.
// It returns false if no reply has arrived yet.
func (c *Clock) Now() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.receivedAt.IsZero() {
		return 0, false
	}
	return c.storeTime + time.Since(c.receivedAt), true
}
