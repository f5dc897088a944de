package shard_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// grantBound is how long an owner extends leases without confirmation by the store.
// lastLapse is the time after which the leases on a target that no owner reaches have
// lapsed, counted from the last confirmation.
const (
	grantBound = 4 * time.Second
	lastLapse  = grantBound + lapseBound
)

// Guards against a task that is started elsewhere while a former owner, which is cut off
// from the store, still extends its lease, and against one that is started later than
// any owner can have extended the lease.
func TestFormerOwnersGrants(t *testing.T) {
	tests := []struct {
		name          string
		silence       time.Duration // of the target before the owner is cut off
		changeOwner   func(s *site, oldTarget *target)
		formerReaches bool          // the former owner reaches the target
		within        time.Duration // after the owner is cut off
	}{
		{
			name: "the target was silent for a while", silence: 3 * time.Second, formerReaches: true, within: lastLapse + time.Second,
			changeOwner: func(s *site, _ *target) { s.startProcess("b", s.store) },
		},
		{name: "two owners later", formerReaches: true, within: lastLapse + time.Second, changeOwner: func(s *site, _ *target) {
			b := s.startProcess("b", s.store)
			time.Sleep(5 * time.Second)
			b.stop()
			s.startProcess("a", s.store)
		}},
		{name: "the owner changes late", within: lastLapse + time.Second, changeOwner: func(s *site, oldTarget *target) {
			oldTarget.update(func(x *target) { x.unreachable = true })
			time.Sleep(8 * time.Second)
			s.startProcess("b", s.store)
		}},
		{name: "the former owner is told to stop", within: 4*time.Second + lapseBound, changeOwner: func(s *site, oldTarget *target) {
			oldTarget.update(func(x *target) { x.unreachable = true })
			s.startProcess("b", s.store)
			time.Sleep(2 * time.Second)
			s.targets["c"].update(func(x *target) { x.unreachableFor = nil })
		}},
		{name: "the second owner's process has ended", within: 6*time.Second + lapseBound, changeOwner: func(s *site, oldTarget *target) {
			oldTarget.update(func(x *target) { x.unreachable = true })
			b := s.startProcess("b", s.store)
			time.Sleep(5 * time.Second)
			s.setRefusing("b")
			s.startProcess("a", s.store)
			b.stop()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 3, func(s *site) {
				ownerStore := &processStore{Store: s.store}
				s.startProcess("c", ownerStore)
				time.Sleep(settleTime)
				s.submit()
				time.Sleep(time.Second)
				oldTarget := s.targetRunning("j1.0.0.0")
				s.c.Assert(oldTarget, qt.IsNotNil)
				s.c.Assert(oldTarget.name, qt.Not(qt.Equals), "c")
				oldTarget.update(func(x *target) { x.unreachable = true })
				time.Sleep(tt.silence)
				// The other owners can't reach the former owner's own target either: its agent
				// would make the former owner stop extending leases.
				for _, x := range []*target{oldTarget, s.targets["c"]} {
					x.update(func(x *target) {
						x.unreachable, x.unreachableFor = false, map[string]bool{"b": true, "a": tt.formerReaches}
					})
				}
				ownerStore.setUnreachable(true)
				cutAt := time.Now()
				tt.changeOwner(s, oldTarget)
				for time.Since(cutAt) < time.Minute && s.startsExcept(oldTarget) == 0 {
					time.Sleep(50 * time.Millisecond)
				}
				elapsed := time.Since(cutAt)
				oldTarget.view(func(x *target) {
					clock := time.Since(x.startedAt)
					lease := time.Duration(x.leaseCap) * time.Millisecond
					s.c.Check(clock > lease, qt.IsTrue, qt.Commentf("started elsewhere %v before the end of the lease", lease-clock))
					s.c.Check(!tt.formerReaches || lease > cutAt.Sub(x.startedAt)+lapseBound, qt.IsTrue, qt.Commentf("the former owner did not extend the lease"))
				})
				s.c.Check(elapsed < tt.within, qt.IsTrue, qt.Commentf("started elsewhere after %v", elapsed))
			})
		})
	}
}

// startsExcept returns the number of starts on all targets but one.
func (s *site) startsExcept(excluded *target) int {
	n := 0
	for _, t := range s.targets {
		if t != excluded {
			t.view(func(t *target) { n += len(t.starts) })
		}
	}
	return n
}
