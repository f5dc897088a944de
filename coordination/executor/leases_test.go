package executor

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against the renewal of a lease that has lapsed, was given up or belongs
// to a task that must not go on, and against a lease that counts as renewed
// although the call failed or the worker lost the task.
func TestLeases(t *testing.T) {
	tests := []struct {
		name  string
		valid bool
		do    func(s *leaseSet, l *lease)
		wait  time.Duration
		due   bool
		ended bool
	}{
		{name: "new", valid: true, due: true},
		{name: "not valid"},
		{name: "suspended", valid: true, do: func(s *leaseSet, l *lease) { s.suspend(l) }},
		{name: "lapsed", valid: true, wait: WorkerLease, ended: true},
		{name: "renewed", valid: true, do: func(s *leaseSet, _ *lease) {
			time.Sleep(time.Second)
			s.renewed([]string{"t"}, nil, time.Now(), nil)
		}, wait: WorkerLease - 1, due: true},
		{name: "call failed", valid: true, do: func(s *leaseSet, _ *lease) {
			time.Sleep(time.Second)
			s.renewed([]string{"t"}, nil, time.Now(), errors.New("no route"))
		}, wait: WorkerLease - 1, ended: true},
		{name: "lost", valid: true, do: func(s *leaseSet, _ *lease) {
			s.renewed([]string{"t"}, []string{"t"}, time.Now(), nil)
		}, ended: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &leaseSet{byName: make(map[string]*lease)}
				l := s.add("t", time.Now(), func(time.Time) bool { return tt.valid })
				if tt.do != nil {
					tt.do(s, l)
				}
				time.Sleep(tt.wait)
				s.lapse(time.Now())
				qt.Assert(t, len(s.due(time.Now())) == 1, qt.Equals, tt.due)
				select {
				case <-l.ended:
					qt.Assert(t, tt.ended, qt.IsTrue)
				default:
					qt.Assert(t, tt.ended, qt.IsFalse)
				}
			})
		})
	}
}
