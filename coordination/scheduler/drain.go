package scheduler

import (
	"context"
	"fmt"
	"sync"
)

// requests counts the requests in progress, and refuses further ones once the
// entry drains. A sync.WaitGroup would not do: it panics if requests arrive while
// it is waited for.
type requests struct {
	mu       sync.Mutex
	n        int
	draining bool
	idle     chan struct{} // closed when draining and n is 0; nil before
}

// begin counts a request. It reports false if the entry drains.
func (r *requests) begin() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining {
		return false
	}
	r.n++
	return true
}

// extend counts one more part of a request in progress, also while the entry
// drains. It reports false if none is in progress any more.
func (r *requests) extend() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.draining && r.n == 0 {
		return false
	}
	r.n++
	return true
}

func (r *requests) end() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n--; r.draining && r.n == 0 {
		close(r.idle)
	}
}

// drain refuses further requests and returns a channel that is closed when none
// is in progress.
func (r *requests) drain() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.draining {
		r.draining, r.idle = true, make(chan struct{})
		if r.n == 0 {
			close(r.idle)
		}
	}
	return r.idle
}

func (r *requests) isDraining() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draining
}

// Drain stops accepting requests and waits until every request that a caller
// waits for has its outcome and the ends of these jobs are recorded, or until ctx
// ends. Recorded jobs that nobody waits for are left to the other entries.
func (s *Scheduler) Drain(ctx context.Context) error {
	select {
	case <-s.requests.drain():
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain: %w", ctx.Err())
	}
}
