package scheduler

import (
	"context"
	"fmt"
	"sync"
	"time"
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

// leaveMargin is the part of the drain time in which callers that still wait get
// their answers.
const leaveMargin = 5 * time.Second

// drainPoll is how often a drain looks whether the ends of jobs are recorded.
const drainPoll = 10 * time.Millisecond

// Drain stops accepting requests and waits until every request that a caller
// waits for is answered. Shortly before the deadline of ctx, callers that still
// wait are answered with what is known: a recorded job goes on at another entry and
// can be looked up, an unrecorded one is canceled. Recorded jobs that nobody waits
// for are left to the other entries. At last it waits for the rows of the jobs that
// have ended: without them the answers would be lost with the targets that hold
// them.
func (s *Scheduler) Drain(ctx context.Context) error {
	if end, ok := ctx.Deadline(); ok {
		t := time.AfterFunc(max(time.Until(end)-leaveMargin, 1), func() {
			s.leave.Do(func() { close(s.leaving) })
		})
		defer t.Stop()
	}
	select {
	case <-s.requests.drain():
	case <-ctx.Done():
		return fmt.Errorf("drain: %w", ctx.Err())
	}
	for s.recording.Load() > 0 {
		if !sleep(ctx, drainPoll) {
			return fmt.Errorf("drain: ends of %d jobs not recorded: %w", s.recording.Load(), ctx.Err())
		}
	}
	return nil
}
