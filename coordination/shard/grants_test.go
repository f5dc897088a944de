package shard_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// unconfirmedGrantBound is how long an owner extends leases without confirmation by the
// store. lastLapseBound is an upper bound on the time after which the leases on a target
// that no owner reaches are considered lapsed, counted from the last confirmation.
const (
	unconfirmedGrantBound = 4 * time.Second
	lastLapseBound        = unconfirmedGrantBound + lapseBound
)

// Guards against a task that is started elsewhere while a former owner, which is cut off
// from the store, still extends its lease, and against one that is started later than
// any owner can have extended the lease.
func TestLeasesExtendedByFormerOwner(t *testing.T) {
	// The bounds include 1 or 2 s for the change of owner and the start of the task.
	tests := []struct {
		name               string
		silence            time.Duration // of the target before the owner is cut off
		changeOwner        func(s *testSite, oldTarget *fakeAgent)
		formerOwnerReaches bool          // the former owner still reaches the run's target and extends its lease after it is cut off from the store
		storeReachable     bool          // the former owner is not cut off from the store
		within             time.Duration // after the owner is cut off
	}{
		{
			name: "the target was silent for a while", silence: 3 * time.Second, formerOwnerReaches: true, within: lastLapseBound + time.Second,
			changeOwner: func(s *testSite, _ *fakeAgent) { s.startProcess("b", s.store) },
		},
		// Whoever cuts the former owner off refuses connections to it. It reaches the run's target
		// all the same, as it reaches its own.
		{
			name: "connections to the former owner are refused", formerOwnerReaches: true, within: lastLapseBound + time.Second,
			changeOwner: func(s *testSite, _ *fakeAgent) {
				s.setRefusing("c")
				s.startProcess("b", s.store)
			},
		},
		// Only the successor can't reach the former owner, which learns from its next transaction that
		// it has been replaced.
		{
			name: "connections to the former owner are refused in one direction", storeReachable: true, within: lastLapseBound + time.Second,
			changeOwner: func(s *testSite, _ *fakeAgent) {
				s.setRefusing("c")
				s.startProcess("b", s.store)
			},
		},
		{
			name: "the row of the former owner can't be decoded", formerOwnerReaches: true, within: lastLapseBound + time.Second,
			changeOwner: func(s *testSite, _ *fakeAgent) {
				_, err := s.store.Commit(s.c.Context(), table.Tx{Part: part}.WithWrite(shard.TableShard, shard.OwnerKey, []byte("{")))
				s.c.Assert(err, qt.IsNil)
				s.startProcess("b", s.store)
			},
		},
		{
			name: "calls of the former owner arrive late", within: lastLapseBound + time.Second,
			changeOwner: func(s *testSite, oldTarget *fakeAgent) {
				oldTarget.update(func(x *fakeAgent) { x.delay = 6 * time.Second })
				s.startProcess("b", s.store)
			},
		},
		// A machine that takes the place of the former owner's under the same name says nothing of
		// the process at the former owner's address.
		{
			name: "a process with the former owner's name takes over at another address", formerOwnerReaches: true, within: lastLapseBound + time.Second,
			changeOwner: func(s *testSite, oldTarget *fakeAgent) {
				s.addTarget("c2")
				for _, x := range []*fakeAgent{oldTarget, s.targets["c"]} {
					x.update(func(x *fakeAgent) { x.unreachableFrom = s.ownerRow().Epoch + 1 })
				}
				s.startProcessAt("c", "c2", s.store)
			},
		},
		{
			name: "an agent with the former owner's name answers at another address", formerOwnerReaches: true, within: lastLapseBound + time.Second,
			changeOwner: func(s *testSite, _ *fakeAgent) {
				s.addTarget("c2")
				_, err := s.store.Commit(s.c.Context(), table.Tx{Part: part}.WithWrite(shard.TableTargets, "c", []byte(`{"Address":"c2"}`)))
				s.c.Assert(err, qt.IsNil)
				s.startProcess("b", s.store)
			},
		},
		{name: "two owners later", formerOwnerReaches: true, within: lastLapseBound + time.Second, changeOwner: func(s *testSite, _ *fakeAgent) {
			b := s.startProcess("b", s.store)
			time.Sleep(5 * time.Second)
			b.stop()
			s.startProcess("a", s.store)
		}},
		{name: "the owner changes late", within: lastLapseBound + time.Second, changeOwner: func(s *testSite, oldTarget *fakeAgent) {
			oldTarget.update(func(x *fakeAgent) { x.unreachable = true })
			time.Sleep(8 * time.Second)
			s.startProcess("b", s.store)
		}},
		// The former owner stops extending leases when b reaches its agent, 2 s after it
		// is cut off.
		{name: "the former owner is told to stop", within: 4*time.Second + lapseBound, changeOwner: func(s *testSite, oldTarget *fakeAgent) {
			oldTarget.update(func(x *fakeAgent) { x.unreachable = true })
			s.startProcess("b", s.store)
			time.Sleep(2 * time.Second)
			s.targets["c"].update(func(x *fakeAgent) { x.unreachableFor = nil })
		}},
		// The same, while the former owner still reaches the run's target. It must not extend
		// the lease after b has reached its agent.
		{name: "the former owner, which reaches the target, is told to stop", formerOwnerReaches: true, within: 4*time.Second + lapseBound, changeOwner: func(s *testSite, _ *fakeAgent) {
			s.startProcess("b", s.store)
			time.Sleep(2 * time.Second)
			s.targets["c"].update(func(x *fakeAgent) { x.unreachableFor = nil })
		}},
		// The second owner stops extending leases when its process ends, 5 s after the
		// first is cut off.
		{name: "the second owner's process has ended", within: 6*time.Second + lapseBound, changeOwner: func(s *testSite, oldTarget *fakeAgent) {
			oldTarget.update(func(x *fakeAgent) { x.unreachable = true })
			b := s.startProcess("b", s.store)
			time.Sleep(5 * time.Second)
			s.setRefusing("b")
			s.startProcess("a", s.store)
			b.stop()
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 3, func(s *testSite) {
				ownerStore, oldTarget := s.startOwnerWithRun()
				oldTarget.update(func(x *fakeAgent) { x.unreachable = true })
				time.Sleep(tt.silence)
				// Owner b, and a if the former owner reaches the target, can't reach the
				// run's target. They can't reach the former owner's own target either: its agent
				// would make the former owner stop extending leases. In the other cases
				// changeOwner makes the run's target unreachable for all owners, so nothing
				// extends its lease.
				for _, x := range []*fakeAgent{oldTarget, s.targets["c"]} {
					x.update(func(x *fakeAgent) {
						x.unreachable, x.unreachableFor = false, map[string]bool{"b": true, "a": tt.formerOwnerReaches}
					})
				}
				ownerStore.setUnreachable(!tt.storeReachable)
				cutAt := time.Now()
				tt.changeOwner(s, oldTarget)
				lease := s.checkStartElsewhere(oldTarget)
				elapsed := time.Since(cutAt)
				s.c.Check(!tt.formerOwnerReaches || lease > cutAt.Sub(oldTarget.startedAt)+lapseBound, qt.IsTrue, qt.Commentf("the former owner did not extend the lease"))
				s.c.Check(elapsed < tt.within, qt.IsTrue, qt.Commentf("started elsewhere after %v", elapsed))
			})
		})
	}
}

// startOwnerWithRun starts process c, which becomes the owner, and submits a job. It returns
// the store of c and the target that runs the job's task, which is not that of c.
func (s *testSite) startOwnerWithRun() (*processStore, *fakeAgent) {
	ownerStore := &processStore{Store: s.store}
	return ownerStore, s.startOwnerWithRunOn(ownerStore)
}

// startOwnerWithRunOn is startOwnerWithRun with a given store of process c.
func (s *testSite) startOwnerWithRunOn(ownerStore *processStore) *fakeAgent {
	s.startProcess("c", ownerStore)
	time.Sleep(settleTime)
	s.submit()
	time.Sleep(time.Second)
	t := s.targetRunningJob()
	s.c.Assert(t, qt.IsNotNil)
	s.c.Assert(t.name, qt.Not(qt.Equals), "c")
	return t
}

// checkStartElsewhere waits until a task is started on another target, and checks that the lease on
// the given one has ended by then. It returns when that lease ends, on the worker's clock.
func (s *testSite) checkStartElsewhere(oldTarget *fakeAgent) (lease time.Duration) {
	s.c.Helper()
	for begin := time.Now(); time.Since(begin) < time.Minute && s.startsExcept(oldTarget) == 0; {
		time.Sleep(50 * time.Millisecond)
	}
	s.c.Assert(s.startsExcept(oldTarget), qt.Equals, 1)
	oldTarget.view(func(x *fakeAgent) {
		clock := time.Since(x.startedAt)
		lease = time.Duration(x.leaseCap) * time.Millisecond
		s.c.Check(clock > lease, qt.IsTrue, qt.Commentf("started elsewhere %v before the end of the lease", lease-clock))
	})
	return lease
}

// startsExcept returns the number of starts on all targets but one.
func (s *testSite) startsExcept(excluded *fakeAgent) int {
	n := 0
	for _, a := range s.targets {
		if a != excluded {
			a.view(func(a *fakeAgent) { n += len(a.starts) })
		}
	}
	return n
}

// Guards against a run that is started elsewhere before its lease has ended, because the owner
// extended the lease for longer than its row says: it counted the time without confirmation
// from the attempt that learned of the outcome, while the row has the time of the earlier
// attempt whose answer was lost.
func TestLeasesExtendedAfterLostAnswer(t *testing.T) {
	runSite(t, 3, func(s *testSite) {
		ownerStore, oldTarget := s.startOwnerWithRun()
		// The next owner reaches neither the run's target nor that of the former owner.
		for _, x := range []*fakeAgent{oldTarget, s.targets["c"]} {
			x.update(func(x *fakeAgent) { x.unreachableFor = map[string]bool{"b": true} })
		}
		lost := make(chan struct{}, 1)
		s.store.OnCommit(func(table.Tx) tabletest.CommitResult {
			select {
			case lost <- struct{}{}:
			default:
			}
			ownerStore.setRefusing(true)
			return tabletest.ReplyLost
		})
		<-lost
		s.store.OnCommit(nil)
		// The time is below unconfirmedGrantBound, so that the owner still extends leases.
		time.Sleep(unconfirmedGrantBound - 500*time.Millisecond)
		ownerStore.setRefusing(false)
		time.Sleep(100 * time.Millisecond)
		ownerStore.setUnreachable(true)
		s.startProcess("b", s.store)
		s.checkStartElsewhere(oldTarget)
	})
}

// Guards against a run that is started elsewhere before its lease has ended, because the former owner
// and its successor count its time without confirmation by clocks that differ.
func TestLeasesExtendedWithOtherClocks(t *testing.T) {
	const difference = 3 * time.Second
	tests := []struct {
		name      string
		suspended time.Duration // of the former owner, just before the transaction that is confirmed last
		ahead     time.Duration // by which the successor's estimate of the store's clock is ahead
	}{
		{name: "the former owner was suspended before its last transaction", suspended: difference},
		{name: "the successor's clock has been fast for a long time", ahead: difference},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 3, func(s *testSite) {
				ownerStore := &processStore{Store: s.store, clockLag: tt.suspended}
				oldTarget := s.startOwnerWithRunOn(ownerStore)
				for _, x := range []*fakeAgent{oldTarget, s.targets["c"]} {
					x.update(func(x *fakeAgent) { x.unreachableFor = map[string]bool{"b": true} })
				}
				ownerStore.resumeAndCut()
				page, err := s.store.Read(s.c.Context(), table.Range{Table: shard.TableShard, Part: part})
				s.c.Assert(err, qt.IsNil)
				s.clock = &table.Clock{}
				s.clock.Observe(page.Now+tt.ahead, time.Now())
				time.Sleep(time.Second)
				s.startProcess("b", s.store)
				s.checkStartElsewhere(oldTarget)
			})
		})
	}
}

// Guards against a run that is started elsewhere while it runs, because an agent at another address
// has taken the name of its target and knows another worker or none.
func TestTargetMovesToAnotherAddress(t *testing.T) {
	tests := []struct {
		name       string
		update     func(x *fakeAgent) // the agent at the new address
		sameWorker bool               // the worker and its runs are those of the former agent
	}{
		{name: "with another worker", update: func(*fakeAgent) {}},
		{name: "without a worker", update: func(x *fakeAgent) { x.noWorker, x.workerSilence = true, time.Minute }},
		{name: "with the same worker", update: func(x *fakeAgent) { x.running["j1.0.0.0"] = 1 }, sameWorker: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 3, func(s *testSite) {
				_, oldTarget := s.startOwnerWithRun()
				next := s.addTarget(oldTarget.name + "-next")
				next.update(tt.update)
				if tt.sameWorker {
					next.update(func(x *fakeAgent) { x.incarnation, x.startedAt = oldTarget.incarnation, oldTarget.startedAt })
				}
				_, err := s.store.Commit(s.c.Context(), table.Tx{Part: part}.WithWrite(shard.TableTargets, oldTarget.name, []byte(`{"Address":"`+next.name+`"}`)))
				s.c.Assert(err, qt.IsNil)
				movedAt := time.Now()
				if tt.sameWorker {
					time.Sleep(lapseBound + settleTime)
					s.c.Check(s.startsExcept(oldTarget), qt.Equals, 0)
					return
				}
				s.checkStartElsewhere(oldTarget)
				elapsed := time.Since(movedAt)
				s.c.Check(elapsed < lapseBound+time.Second, qt.IsTrue, qt.Commentf("started elsewhere after %v", elapsed))
			})
		})
	}
}
