package shard_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// settle is enough for an idle site to have an owner and to start what waits.
const settle = 3 * time.Second

// lapseBound is when an owner gives up what ran on a target that it does not reach:
// the span of leases, the error of the worker's clock and a margin.
const lapseBound = 11 * time.Second

// Guards against a start that is sent although its run was given up while the store
// did not take its row: the task would run twice.
func TestOrderOfLostRunIsNotSent(t *testing.T) {
	run(t, 2, func(s *site) {
		s.start("a", s.store)
		time.Sleep(settle)
		s.submit()
		// The job is planned, and the row of its first run can't be written.
		s.store.OnCommit(refuseProgress)
		time.Sleep(2 * time.Second)
		for _, x := range s.targets {
			x.set(func(x *target) { x.cut = true })
		}
		time.Sleep(lapseBound + 5*time.Second)
		for _, x := range s.targets {
			x.set(func(x *target) { x.cut = false })
		}
		time.Sleep(100 * time.Millisecond)
		s.store.OnCommit(nil)
		time.Sleep(settle)
		var starts []string
		for _, x := range s.targets {
			x.get(func(x *target) { starts = append(starts, x.starts...) })
		}
		s.c.Check(starts, qt.HasLen, 1, qt.Commentf("%v", starts))
	})
}

// Guards against a planner that goes on after another process has taken over.
func TestDeposedOwnerStops(t *testing.T) {
	run(t, 2, func(s *site) {
		mine := &partial{Store: s.store}
		a := s.start("a", mine)
		time.Sleep(settle)
		s.submit()
		time.Sleep(time.Second)
		s.c.Assert(a.State(), qt.IsNotNil)
		mine.set(true)
		b := s.start("b", s.store)
		time.Sleep(5 * time.Second)
		s.c.Check(s.owner().Name, qt.Equals, "b")
		s.c.Check(s.owner().Epoch, qt.Equals, uint64(2))
		s.c.Assert(b.State(), qt.IsNotNil)
		mine.set(false)
		time.Sleep(5 * time.Second)
		s.c.Check(a.State(), qt.IsNil)
		s.c.Check(s.owner().Name, qt.Equals, "b")
		var starts []string
		for _, x := range s.targets {
			x.get(func(x *target) { starts = append(starts, x.starts...) })
		}
		s.c.Check(starts, qt.DeepEquals, []string{"j1.0.0.0 1"})
	})
}

// Guards against a site that is without a planner for longer than its callers can
// bear, and against an owner that is replaced although it lives.
func TestTakeOver(t *testing.T) {
	tests := []struct {
		name   string
		change func(s *site, a *process, mine *partial)
		within time.Duration // 0 if there must be no change of the owner
	}{
		{"the owner leaves", func(_ *site, a *process, _ *partial) { a.end() }, time.Second},
		{"the owner's process has ended", func(s *site, _ *process, mine *partial) {
			mine.set(true)
			s.setRefuses("a")
		}, time.Second},
		{"the store refuses the owner", func(_ *site, _ *process, mine *partial) {
			mine.setRefuses(true)
		}, time.Second},
		{"the owner is cut off from the store", func(_ *site, _ *process, mine *partial) { mine.set(true) }, time.Second},
		{"the owner stands still", func(s *site, _ *process, mine *partial) {
			// Neither its calls to the store nor those to targets arrive.
			mine.set(true)
			for _, x := range s.targets {
				x.set(func(x *target) { x.process = nil })
			}
		}, 2 * time.Second},
		{"the store is down for a while", func(s *site, _ *process, _ *partial) {
			s.store.SetDown(true)
			time.Sleep(10 * time.Second)
			s.store.SetDown(false)
		}, 0},
		{"nothing happens", func(*site, *process, *partial) {}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, 2, func(s *site) {
				mine := &partial{Store: s.store}
				a := s.start("a", mine)
				time.Sleep(settle)
				s.start("b", s.store)
				time.Sleep(settle)
				s.c.Assert(s.owner().Name, qt.Equals, "a")
				tt.change(s, a, mine)
				if tt.within == 0 {
					time.Sleep(10 * time.Second)
					s.c.Check(s.owner().Epoch, qt.Equals, uint64(1))
					return
				}
				time.Sleep(tt.within)
				s.c.Check(s.owner().Name, qt.Equals, "b")
			})
		})
	}
}

// Guards against work that is started elsewhere while the lease of its worker still
// runs, also when the owner changes in between, and against work that is never
// started again.
func TestRunOnUnreachableTarget(t *testing.T) {
	tests := []struct {
		name   string
		change bool // of the owner, while the target can't be reached
	}{
		{name: "one owner"},
		{name: "two owners", change: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, 2, func(s *site) {
				a := s.start("a", s.store)
				time.Sleep(settle)
				s.submit()
				time.Sleep(time.Second)
				from := s.holder("j1.0.0.0")
				s.c.Assert(from, qt.IsNotNil)
				cut := time.Now()
				leaseEnd := time.Duration(0)
				from.set(func(x *target) {
					x.cut = true
					leaseEnd = time.Duration(x.cap)*time.Millisecond - time.Since(x.start)
				})
				if tt.change {
					time.Sleep(4 * time.Second)
					s.start("b", s.store)
					a.end()
				}
				other := s.targets["a"]
				if other == from {
					other = s.targets["b"]
				}
				for began := false; !began && time.Since(cut) < time.Minute; time.Sleep(50 * time.Millisecond) {
					other.get(func(x *target) { began = len(x.starts) > 0 })
				}
				took := time.Since(cut)
				s.c.Check(took > leaseEnd, qt.IsTrue, qt.Commentf("started after %v, lease of %v", took, leaseEnd))
				s.c.Check(took < lapseBound+5*time.Second, qt.IsTrue, qt.Commentf("started after %v", took))
				other.get(func(x *target) { s.c.Check(x.starts, qt.DeepEquals, []string{"j1.0.0.0 2"}) })
			})
		})
	}
}

// Guards against an end whose row is not written being forgotten by the worker.
func TestEndIsForgottenOnlyOnceRecorded(t *testing.T) {
	run(t, 1, func(s *site) {
		s.start("a", s.store)
		time.Sleep(settle)
		s.submit()
		time.Sleep(time.Second)
		x := s.targets["a"]
		s.store.OnCommit(refuseProgress)
		x.end("j1.0.0.0")
		time.Sleep(5 * time.Second)
		x.get(func(x *target) { s.c.Check(x.ended, qt.HasLen, 1) })
		s.store.OnCommit(nil)
		time.Sleep(2 * time.Second)
		x.get(func(x *target) { s.c.Check(x.ended, qt.HasLen, 0) })
		p, err := s.store.Read(s.c.Context(), progressRange())
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(p.Rows, qt.HasLen, 1)
		pr, err := job.DecodeProgress(p.Rows[0].Value)
		s.c.Assert(err, qt.IsNil)
		s.c.Check(pr.State, qt.Equals, job.Completed)
	})
}

// Guards against a transaction whose answer is lost being taken for another
// process's: the owner would give up the shard, or write twice.
func TestLostAnswersDoNotDepose(t *testing.T) {
	tests := []struct {
		name string
		fate tabletest.CommitResult
	}{
		{"after it took effect", tabletest.LostAfter},
		{"before it took effect", tabletest.LostBefore},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, 1, func(s *site) {
				a := s.start("a", s.store)
				time.Sleep(settle)
				n := 0
				s.store.OnCommit(everySecond(&n, tt.fate))
				s.submit()
				time.Sleep(10 * time.Second)
				s.store.OnCommit(nil)
				s.c.Check(s.owner().Epoch, qt.Equals, uint64(1))
				s.c.Check(a.State(), qt.IsNotNil)
				s.targets["a"].get(func(x *target) { s.c.Check(x.starts, qt.DeepEquals, []string{"j1.0.0.0 1"}) })
			})
		})
	}
}
