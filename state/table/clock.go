package table

import (
	"sync"
	"time"
)

// Clock estimates the store's steady clock, which all processes share. The zero
// Clock knows nothing. Its methods are safe for concurrent use.
type Clock struct {
	mu  sync.Mutex
	now time.Duration // highest time that a reply has shown
	at  time.Time     // when that reply arrived
}

// Observe takes the time of a reply that has just arrived.
func (c *Clock) Observe(now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.at.IsZero() && now <= c.now+time.Since(c.at) {
		return
	}
	c.now, c.at = now, time.Now()
}

// Now returns an estimate that is late by the delay of a reply at most, and false
// if no reply has arrived.
func (c *Clock) Now() (time.Duration, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.at.IsZero() {
		return 0, false
	}
	return c.now + time.Since(c.at), true
}
