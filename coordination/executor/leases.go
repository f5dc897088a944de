package executor

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// leaseSet holds the leases of the tasks on the worker.
type leaseSet struct {
	mu     sync.Mutex
	byName map[string]*lease
}

// lease is the lease of one task on the worker. It is guarded by the lock of its
// set.
type lease struct {
	// sure is the time until which the worker certainly runs the task, measured
	// from the sending of the last renewal that was confirmed.
	sure time.Time
	// possible is the time from which the worker certainly has stopped the task,
	// measured from the end of the last call that may have renewed it.
	possible time.Time
	renew    bool
	valid    func(now time.Time) bool // whether the task may go on; checked before each renewal
	ended    chan struct{}            // closed when the lease has lapsed or the worker lost the task
}

// add registers a launched task. Valid may be nil; it is called under a lock.
func (s *leaseSet) add(name string, sent time.Time, valid func(time.Time) bool) *lease {
	l := &lease{
		sure:     sent.Add(WorkerLease),
		possible: time.Now().Add(WorkerLease),
		renew:    true,
		valid:    valid,
		ended:    make(chan struct{}),
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byName[name] = l
	return l
}

func (s *leaseSet) remove(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.byName, name)
}

// suspend ends the renewals of a lease and returns the time from which the
// worker has stopped the task by itself.
func (s *leaseSet) suspend(l *lease) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	l.renew = false
	return l.possible
}

// isSure reports whether the worker certainly still holds the task.
func (s *leaseSet) isSure(l *lease) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(l.sure)
}

// endLocked wakes the owner of a lease once.
func (l *lease) endLocked() {
	l.renew = false
	select {
	case <-l.ended:
	default:
		close(l.ended)
	}
}

// lapse ends the leases whose time is over.
func (s *leaseSet) lapse(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.byName {
		if !now.Before(l.sure) {
			l.endLocked()
		}
	}
}

// due returns the names of the tasks to renew. A lease that has lapsed is not
// renewed: the process may have been paused, and the worker has stopped the task.
func (s *leaseSet) due(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name, l := range s.byName {
		if l.renew && now.Before(l.sure) && (l.valid == nil || l.valid(now)) {
			out = append(out, name)
			// The call may take effect at any time until it returns.
			l.possible = now.Add(callTimeout + WorkerLease)
		}
	}
	slices.Sort(out)
	return out
}

// renewed records the outcome of a call that was sent at the time sent.
func (s *leaseSet) renewed(names, lost []string, sent time.Time, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, name := range names {
		l, ok := s.byName[name]
		if !ok {
			continue
		}
		l.possible = now.Add(WorkerLease)
		switch {
		case err != nil:
		case slices.Contains(lost, name):
			l.endLocked()
		default:
			l.sure = sent.Add(WorkerLease)
		}
	}
}

// renewLoop renews the leases of all tasks with one call per period.
func (e *Executor) renewLoop(ctx context.Context) {
	tick := time.NewTicker(RenewPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		e.renewOnce(ctx)
		e.readUsage(ctx)
	}
}

func (e *Executor) renewOnce(ctx context.Context) {
	sent := time.Now()
	names := e.leases.due(sent)
	if len(names) == 0 {
		return
	}
	cctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	lost, err := e.cfg.Worker.Renew(cctx, names, WorkerLease)
	e.leases.renewed(names, lost, sent, err)
	if err != nil && !errors.Is(err, context.Canceled) {
		e.log.Warn().Int(eventField, EventRenewFailed).Err(err).Int("Tasks", len(names)).Msg("worker leases not renewed")
	}
}

func (e *Executor) readUsage(ctx context.Context) {
	cctx, cancel := context.WithTimeout(ctx, callTimeout/4)
	defer cancel()
	if u, err := e.cfg.Worker.Usage(cctx); err == nil {
		e.load.Store(u.LoadPercent)
	}
}
