package scheduler

import (
	"context"
	"sync"
)

// turns lets one goroutine at a time write a row. Unlike a lock it may be held over
// a call to the store, because the wait for a turn ends with a context. The zero
// value is ready for use.
type turns struct {
	once sync.Once
	free chan struct{}
}

// take waits for a turn. It reports false if ctx ended first.
func (t *turns) take(ctx context.Context) bool {
	t.once.Do(func() { t.free = make(chan struct{}, 1) })
	select {
	case t.free <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// give ends the turn.
func (t *turns) give() { <-t.free }
