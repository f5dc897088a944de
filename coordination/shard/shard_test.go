package shard_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// settleTime is enough for an idle site to get an owner and to start waiting jobs.
const settleTime = 3 * time.Second

// lapseBound is an upper bound on the time after which an owner considers the leases on
// an unreachable target lapsed: the span of leases of 10 s, 2 % for the drift of the
// worker's clock and a margin of 0.5 s, together 10.7 s.
const lapseBound = 11 * time.Second

// Guards against a start order that is sent although its run has been lost. The leases
// lapse while the store refuses the run's row, and the task would run twice.
func TestOrderOfLostRunIsNotSent(t *testing.T) {
	runSite(t, 2, func(s *testSite) {
		s.startProcess("a", s.store)
		time.Sleep(settleTime)
		s.submit()
		// The job is planned, but the row of its first run can't be written.
		s.store.OnCommit(refuseProgress)
		time.Sleep(2 * time.Second)
		for _, x := range s.targets {
			x.update(func(x *fakeAgent) { x.unreachable = true })
		}
		time.Sleep(lapseBound + 5*time.Second)
		for _, x := range s.targets {
			x.update(func(x *fakeAgent) { x.unreachable = false })
		}
		time.Sleep(100 * time.Millisecond)
		s.store.OnCommit(nil)
		time.Sleep(settleTime)
		var starts []string
		for _, x := range s.targets {
			x.view(func(x *fakeAgent) { starts = append(starts, x.starts...) })
		}
		s.c.Check(starts, qt.HasLen, 1, qt.Commentf("%v", starts))
	})
}

// Guards against an owner that continues to plan after another process has taken over,
// because it was cut off from the store meanwhile.
func TestReplacedOwnerStops(t *testing.T) {
	runSite(t, 2, func(s *testSite) {
		ownerStore := &processStore{Store: s.store}
		a := s.startProcess("a", ownerStore)
		time.Sleep(settleTime)
		s.submit()
		time.Sleep(time.Second)
		s.c.Assert(a.State(), qt.IsNotNil)
		ownerStore.setUnreachable(true)
		b := s.startProcess("b", s.store)
		time.Sleep(5 * time.Second)
		s.c.Check(s.ownerRow().Name, qt.Equals, "b")
		s.c.Check(s.ownerRow().Epoch, qt.Equals, uint64(2))
		s.c.Assert(b.State(), qt.IsNotNil)
		ownerStore.setUnreachable(false)
		time.Sleep(5 * time.Second)
		s.c.Check(a.State(), qt.IsNil)
		s.c.Check(s.ownerRow().Name, qt.Equals, "b")
		var starts []string
		for _, x := range s.targets {
			x.view(func(x *fakeAgent) { starts = append(starts, x.starts...) })
		}
		s.c.Check(starts, qt.DeepEquals, []string{"j1.0.0.0 1"})
	})
}

// Guards against a shard that has no planner for longer than callers tolerate after its
// owner has failed, and against the replacement of an owner that still works.
func TestTakeOver(t *testing.T) {
	tests := []struct {
		name   string
		fault  func(s *testSite, a *process, ownerStore *processStore)
		within time.Duration // 0 if there must be no change of the owner
	}{
		{"the owner leaves", func(_ *testSite, a *process, _ *processStore) { a.stop() }, time.Second},
		{"the owner's process has ended", func(s *testSite, _ *process, ownerStore *processStore) {
			ownerStore.setUnreachable(true)
			s.setRefusing("a")
		}, time.Second},
		{"the store refuses the owner", func(_ *testSite, _ *process, ownerStore *processStore) {
			ownerStore.setRefusing(true)
		}, time.Second},
		{"the owner is cut off from the store", func(_ *testSite, _ *process, ownerStore *processStore) { ownerStore.setUnreachable(true) }, time.Second},
		{"the owner is frozen", func(s *testSite, _ *process, ownerStore *processStore) {
			// Neither its calls to the store nor its requests to take over arrive.
			ownerStore.setUnreachable(true)
			for _, x := range s.targets {
				x.update(func(x *fakeAgent) { x.process = nil })
			}
		}, 2 * time.Second},
		{"the store is down for a while", func(s *testSite, _ *process, _ *processStore) {
			s.store.SetDown(true)
			time.Sleep(10 * time.Second)
			s.store.SetDown(false)
		}, 0},
		{"no fault", func(*testSite, *process, *processStore) {}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 2, func(s *testSite) {
				ownerStore := &processStore{Store: s.store}
				a := s.startProcess("a", ownerStore)
				time.Sleep(settleTime)
				s.startProcess("b", s.store)
				time.Sleep(settleTime)
				s.c.Assert(s.ownerRow().Name, qt.Equals, "a")
				tt.fault(s, a, ownerStore)
				if tt.within == 0 {
					time.Sleep(10 * time.Second)
					s.c.Check(s.ownerRow().Epoch, qt.Equals, uint64(1))
					return
				}
				time.Sleep(tt.within)
				s.c.Check(s.ownerRow().Name, qt.Equals, "b")
			})
		})
	}
}

// Guards against a task on an unreachable target that is started elsewhere before its
// lease has ended, also if the owner changes meanwhile, and against one that is never
// started again.
func TestRunOnUnreachableTarget(t *testing.T) {
	tests := []struct {
		name        string
		changeOwner bool // while the target can't be reached
	}{
		{name: "one owner"},
		{name: "two owners", changeOwner: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 2, func(s *testSite) {
				a := s.startProcess("a", s.store)
				time.Sleep(settleTime)
				s.submit()
				time.Sleep(time.Second)
				oldTarget := s.targetRunningJob()
				s.c.Assert(oldTarget, qt.IsNotNil)
				cutAt := time.Now()
				leaseLeft := time.Duration(0)
				oldTarget.update(func(x *fakeAgent) {
					x.unreachable = true
					leaseLeft = time.Duration(x.leaseCap)*time.Millisecond - time.Since(x.startedAt)
				})
				if tt.changeOwner {
					time.Sleep(4 * time.Second)
					s.startProcess("b", s.store)
					a.stop()
				}
				other := s.targets["a"]
				if other == oldTarget {
					other = s.targets["b"]
				}
				for began := false; !began && time.Since(cutAt) < time.Minute; time.Sleep(50 * time.Millisecond) {
					other.view(func(x *fakeAgent) { began = len(x.starts) > 0 })
				}
				elapsed := time.Since(cutAt)
				s.c.Check(elapsed > leaseLeft, qt.IsTrue, qt.Commentf("started %v after the target was cut off, with %v of the lease left then", elapsed, leaseLeft))
				// The 5 s cover a change of owner and the start of the task.
				s.c.Check(elapsed < lapseBound+5*time.Second, qt.IsTrue, qt.Commentf("started after %v", elapsed))
				other.view(func(x *fakeAgent) { s.c.Check(x.starts, qt.DeepEquals, []string{"j1.0.0.0 2"}) })
			})
		})
	}
}

// Guards against a worker that forgets the end of a run before it is recorded: the owner
// must not acknowledge the end while the store refuses its row.
func TestEndIsAcknowledgedOnlyOnceRecorded(t *testing.T) {
	runSite(t, 1, func(s *testSite) {
		s.startProcess("a", s.store)
		time.Sleep(settleTime)
		s.submit()
		time.Sleep(time.Second)
		x := s.targets["a"]
		s.store.OnCommit(refuseProgress)
		x.finish("j1.0.0.0")
		time.Sleep(5 * time.Second)
		x.view(func(x *fakeAgent) { s.c.Check(x.ended, qt.HasLen, 1) })
		s.store.OnCommit(nil)
		time.Sleep(2 * time.Second)
		x.view(func(x *fakeAgent) { s.c.Check(x.ended, qt.HasLen, 0) })
		p, err := s.store.Read(s.c.Context(), progressRange())
		s.c.Assert(err, qt.IsNil)
		s.c.Assert(p.Rows, qt.HasLen, 1)
		pr, err := job.DecodeProgress(p.Rows[0].Value)
		s.c.Assert(err, qt.IsNil)
		s.c.Check(pr.State, qt.Equals, job.Completed)
	})
}

// Guards against an owner that takes its own transaction, whose answer was lost, for one
// of another process: it would give up the shard, or write twice.
func TestLostAnswersKeepOwnership(t *testing.T) {
	tests := []struct {
		name   string
		result tabletest.CommitResult
	}{
		{"after it took effect", tabletest.ReplyLost},
		{"before it took effect", tabletest.RequestLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 1, func(s *testSite) {
				a := s.startProcess("a", s.store)
				time.Sleep(settleTime)
				n := 0
				s.store.OnCommit(everySecondCommit(&n, tt.result))
				s.submit()
				time.Sleep(10 * time.Second)
				s.store.OnCommit(nil)
				s.c.Check(s.ownerRow().Epoch, qt.Equals, uint64(1))
				s.c.Check(a.State(), qt.IsNotNil)
				s.targets["a"].view(func(x *fakeAgent) { s.c.Check(x.starts, qt.DeepEquals, []string{"j1.0.0.0 1"}) })
			})
		})
	}
}

// Guards against a new owner that runs completed occurrences of a recurring job again: it reads
// the rows of the occurrences in the order of their keys, in which "j/10" precedes "j/2".
func TestTakeOverKeepsCompletedOccurrences(t *testing.T) {
	const times = 12
	runSite(t, 2, func(s *testSite) {
		j := job.Job{
			ID: "j", Kind: "long", Workspace: "w1", Pool: "pool", Times: times, IntervalMillis: 1,
			Steps: []job.Step{{Tasks: 1, Accelerators: 4, EstimateMillis: 60_000}},
		}
		tx := table.Tx{Part: part}.WithWrite(job.TableJobs, j.ID, j.Encode())
		for i := range times {
			p := job.NewProgress(j, i)
			p.State, p.Begun, p.Steps[0].Tasks[0] = job.Completed, true, job.Task{LastRun: 1, Done: true}
			tx = tx.WithWrite(job.TableProgress, job.ProgressKey(j.ID, i), p.Encode())
		}
		_, err := s.store.Commit(t.Context(), tx)
		s.c.Assert(err, qt.IsNil)
		s.startProcess("a", s.store)
		time.Sleep(2 * settleTime)
		s.c.Check(s.startsExcept(nil), qt.Equals, 0)
	})
}

// Guards against an owner that is replaced although its process and its way to the store are
// sound: after an outage that begins with a lost answer, and after a single slow transaction.
func TestSoundOwnerStays(t *testing.T) {
	outage := func(offset time.Duration) func(s *testSite, ownerStore *processStore) {
		return func(s *testSite, _ *processStore) {
			time.Sleep(offset)
			lost := make(chan struct{}, 1)
			s.store.OnCommit(func(table.Tx) tabletest.CommitResult {
				select {
				case lost <- struct{}{}:
				default:
				}
				s.store.SetDown(true)
				return tabletest.ReplyLost
			})
			<-lost
			s.store.OnCommit(nil)
			time.Sleep(5*time.Second + offset)
			s.store.SetDown(false)
		}
	}
	slow := func(d time.Duration) func(s *testSite, ownerStore *processStore) {
		return func(_ *testSite, ownerStore *processStore) { ownerStore.delayNextCommit(d) }
	}
	tests := []struct {
		name  string
		fault func(s *testSite, ownerStore *processStore)
	}{
		{"lost answer and outage", outage(0)},
		{"lost answer and outage, 70 ms later", outage(70 * time.Millisecond)},
		{"lost answer and outage, 140 ms later", outage(140 * time.Millisecond)},
		{"lost answer and outage, 210 ms later", outage(210 * time.Millisecond)},
		{"lost answer and outage, 280 ms later", outage(280 * time.Millisecond)},
		{"a transaction of 250 ms", slow(250 * time.Millisecond)},
		{"a transaction of 400 ms", slow(400 * time.Millisecond)},
		{"a transaction of 550 ms", slow(550 * time.Millisecond)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 2, func(s *testSite) {
				ownerStore := &processStore{Store: s.store}
				s.startProcess("a", ownerStore)
				time.Sleep(settleTime)
				s.startProcess("b", s.store)
				time.Sleep(settleTime)
				tt.fault(s, ownerStore)
				time.Sleep(5 * time.Second)
				row := s.ownerRow()
				s.c.Check(row.Epoch, qt.Equals, uint64(1), qt.Commentf("owner %s", row.Name))
			})
		})
	}
}

// Guards against a data race of dumps with a change of the owner. It fails under the race
// detector only.
func TestDumpDuringTakeOver(t *testing.T) {
	runSite(t, 2, func(s *testSite) {
		committed := make(chan struct{}, 1)
		s.store.OnCommit(func(tx table.Tx) tabletest.CommitResult {
			if tx.Writes[0].Table == shard.TableShard {
				select {
				case committed <- struct{}{}:
				default:
				}
			}
			return tabletest.Normal
		})
		a := s.startProcess("a", s.store)
		<-committed
		for range 1_000_000 {
			if a.State() != nil {
				return
			}
			runtime.Gosched()
		}
		s.c.Fatal("the process does not own the shard")
	})
}

// Guards against an owner whose epoch is lower than one that agents and workers have seen,
// because the row with the last epoch can't be decoded: they would refuse all its orders.
func TestEpochAfterUndecodableRow(t *testing.T) {
	runSite(t, 2, func(s *testSite) {
		var lastEpoch uint64
		for range 3 {
			a := s.startProcess("a", s.store)
			time.Sleep(settleTime)
			lastEpoch = s.ownerRow().Epoch
			a.stop()
		}
		s.c.Assert(lastEpoch > 1, qt.IsTrue)
		_, err := s.store.Commit(s.c.Context(), table.Tx{Part: part}.WithWrite(shard.TableShard, shard.OwnerKey, []byte("{")))
		s.c.Assert(err, qt.IsNil)
		s.startProcess("b", s.store)
		time.Sleep(settleTime)
		s.submit()
		time.Sleep(time.Second)
		s.c.Check(s.ownerRow().Epoch > lastEpoch, qt.IsTrue, qt.Commentf("epoch %d after %d", s.ownerRow().Epoch, lastEpoch))
		s.c.Check(s.startsExcept(nil), qt.Equals, 1)
	})
}

// Guards against a target that stays known for good because its row was deleted while the
// store had lost its history, and against one that stays in the owner's row as silent.
func TestDeletedTargetIsRetired(t *testing.T) {
	tests := []struct {
		name        string
		historyLost bool
	}{
		{name: "with its history"},
		{name: "without its history", historyLost: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 3, func(s *testSite) {
				_, old := s.startOwnerWithRun()
				old.update(func(x *fakeAgent) { x.unreachable = true })
				time.Sleep(3 * time.Second)
				s.store.Delete(shard.TableTargets, part, old.name, tt.historyLost)
				time.Sleep(settleTime)
				s.c.Check(s.startsExcept(old), qt.Equals, 1, qt.Commentf("the task was not started elsewhere"))
				s.c.Check(s.ownerRow().Silent, qt.HasLen, 0)
				s.c.Check(s.ownerRow().Name, qt.Equals, "c")
			})
		})
	}
}

// Guards against a run that is never started again because its target left between two
// owners: the new owner finds no row of the target.
func TestRunOnTargetThatLeftBetweenOwners(t *testing.T) {
	runSite(t, 3, func(s *testSite) {
		a := s.startProcess("a", s.store)
		time.Sleep(settleTime)
		s.submit()
		time.Sleep(time.Second)
		old := s.targetRunningJob()
		s.c.Assert(old, qt.IsNotNil)
		a.stop()
		old.update(func(x *fakeAgent) { x.unreachable = true })
		s.store.Delete(shard.TableTargets, part, old.name, false)
		for name := range s.targets {
			if name != old.name {
				s.startProcess(name, s.store)
				break
			}
		}
		time.Sleep(2 * settleTime)
		s.c.Check(s.startsExcept(old), qt.Equals, 1)
	})
}

// Guards against work that was done and is started again, because a new owner takes the
// leases for lapsed before it has called a target that is slow to answer: there was no owner
// for longer than a lease lasts, but the worker still lists the end.
func TestEndListedAfterTimeWithoutOwner(t *testing.T) {
	runSite(t, 3, func(s *testSite) {
		a := s.startProcess("a", s.store)
		time.Sleep(settleTime)
		s.submit()
		time.Sleep(time.Second)
		x := s.targetRunningJob()
		s.c.Assert(x, qt.IsNotNil)
		a.stop()
		x.finish("j1.0.0.0")
		time.Sleep(time.Minute)
		for _, x := range s.targets {
			x.update(func(x *fakeAgent) { x.delay = 300 * time.Millisecond })
		}
		s.startProcess("b", s.store)
		time.Sleep(2 * settleTime)
		s.c.Check(s.startsExcept(nil), qt.Equals, 1)
	})
}

// Guards against a shard that stays without an owner after all processes have started again:
// if each of hundreds wrote its target's row, the part would be busy with them for seconds,
// and the take-over would wait.
func TestRestartOfAllProcesses(t *testing.T) {
	const targets = 20
	runSite(t, targets, func(s *testSite) {
		targetWrites := 0
		part := make(chan struct{}, 1) // carries out one transaction after the other
		s.store.OnCommit(func(tx table.Tx) tabletest.CommitResult {
			part <- struct{}{}
			defer func() { <-part }()
			time.Sleep(50 * time.Millisecond)
			for _, w := range tx.Writes {
				if w.Table == shard.TableTargets {
					targetWrites++
				}
			}
			return tabletest.Normal
		})
		ended := make(map[string]*process)
		for name := range s.targets {
			ended[name] = s.startProcess(name, s.store)
		}
		time.Sleep(2 * settleTime)
		s.c.Check(targetWrites, qt.Equals, 0)
		before := s.ownerRow()
		for name, p := range ended {
			if name != before.Name {
				p.stop()
			}
		}
		ended[before.Name].stop()
		s.c.Check(s.ownerRow().Name, qt.Equals, "")
		for name := range s.targets {
			s.startProcess(name, s.store)
		}
		time.Sleep(500 * time.Millisecond)
		s.c.Check(s.ownerRow().Epoch, qt.Equals, before.Epoch+1)
		s.c.Check(s.ownerRow().Name, qt.Not(qt.Equals), "")
		s.c.Check(targetWrites, qt.Equals, 0)
	})
}

// Guards against a target whose row names a former address.
func TestTargetRowIsRenewed(t *testing.T) {
	runSite(t, 1, func(s *testSite) {
		old := table.Tx{Part: part}.WithWrite(shard.TableTargets, "a", []byte(`{"Address":"elsewhere"}`))
		_, err := s.store.Commit(s.c.Context(), old)
		s.c.Assert(err, qt.IsNil)
		s.startProcess("a", s.store)
		time.Sleep(settleTime)
		p, err := s.store.Read(s.c.Context(), table.Range{Table: shard.TableTargets, Part: part})
		s.c.Assert(err, qt.IsNil)
		row, err := shard.DecodeTarget(p.Rows[0].Value)
		s.c.Assert(err, qt.IsNil)
		s.c.Check(row.Address, qt.Equals, "a")
	})
}

// Guards against a target that is never used again, because the deletion of its row by the
// former process takes effect after the present one has found the row.
func TestDeletedRowOfLivingTarget(t *testing.T) {
	runSite(t, 2, func(s *testSite) {
		s.startProcess("a", s.store)
		s.startProcess("b", s.store)
		time.Sleep(settleTime)
		s.store.Delete(shard.TableTargets, part, "b", false)
		time.Sleep(2 * settleTime)
		p, err := s.store.Read(s.c.Context(), table.Range{Table: shard.TableTargets, Part: part})
		s.c.Assert(err, qt.IsNil)
		s.c.Check(p.Rows, qt.HasLen, 2)
	})
}

// Guards against a panic in the planner that ends the process, and with it the agent that
// renews the leases of a worker, and against a process that takes over again at once.
func TestPanicEndsOwnership(t *testing.T) {
	runSite(t, 2, func(s *testSite) {
		a := s.startProcess("a", s.store)
		time.Sleep(settleTime)
		s.startProcess("b", s.store)
		s.submit()
		time.Sleep(time.Second)
		s.c.Assert(a.State(), qt.IsNotNil)
		s.targets["b"].update(func(x *fakeAgent) { x.panicsFor = "a" })
		time.Sleep(settleTime)
		s.c.Check(a.State(), qt.IsNil)
		s.c.Check(s.ownerRow().Name, qt.Equals, "b")
		s.c.Check(s.ownerRow().Epoch, qt.Equals, uint64(2))
		s.c.Check(s.startsExcept(nil), qt.Equals, 1)
	})
}

// Guards against work that is started again elsewhere while its worker is only silent: its
// leases may not have lapsed. Also against work that is never started again.
func TestSilentWorker(t *testing.T) {
	tests := []struct {
		name    string
		silence time.Duration // of the worker, as its agent reports it
		restart bool          // the agent has started again and knows no worker
		want    int           // starts elsewhere
	}{
		{"for a few seconds", 5 * time.Second, false, 0},
		{"for as long as a lease", leaseMax, false, 0},
		{"for longer than a lease", lapseBound, false, 1},
		{"since its agent was restarted", leaseMax, true, 0},
		{"for longer than a lease since its agent was restarted", lapseBound, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 3, func(s *testSite) {
				_, old := s.startOwnerWithRun()
				old.update(func(x *fakeAgent) {
					x.workerSilence, x.noWorker = tt.silence, tt.restart
					if tt.restart {
						x.boot++
					}
				})
				time.Sleep(settleTime)
				s.c.Check(s.startsExcept(old), qt.Equals, tt.want)
			})
		})
	}
}

// Guards against an order from before the restart of an agent that arrives late and is still
// carried out: the fencing token must rise with each restart.
func TestFenceRisesWithRestart(t *testing.T) {
	runSite(t, 1, func(s *testSite) {
		s.startProcess("a", s.store)
		time.Sleep(settleTime)
		var before, after int64
		x := s.targets["a"]
		x.view(func(x *fakeAgent) { before = x.fence })
		x.update(func(x *fakeAgent) { x.boot++ })
		time.Sleep(settleTime)
		x.view(func(x *fakeAgent) { after = x.fence })
		s.c.Check(after > before, qt.IsTrue, qt.Commentf("token %d after %d", after, before))
	})
}

// Guards against an agent that starts again and accepts orders of a former owner, because no
// planner has called it yet: its process has read the owner's row.
func TestRestartedAgentKnowsEpoch(t *testing.T) {
	runSite(t, 2, func(s *testSite) {
		for range 2 {
			a := s.startProcess("a", s.store)
			time.Sleep(settleTime)
			a.stop()
		}
		s.startProcess("a", s.store)
		time.Sleep(settleTime)
		s.targets["b"].update(func(x *fakeAgent) { x.unreachable = true })
		time.Sleep(settleTime)
		b := s.startProcess("b", s.store)
		time.Sleep(time.Second)
		s.c.Check(b.agent.Contact().Epoch, qt.Equals, s.ownerRow().Epoch)
		s.c.Check(s.ownerRow().Epoch > 1, qt.IsTrue)
	})
}

// Guards against dozens of transactions of processes that all take over at the same time: the
// part carries them out one after the other, and the new owner's next one waits for them.
func TestTakeOversAreSpread(t *testing.T) {
	const targets = 24
	runSite(t, targets, func(s *testSite) {
		takeOvers := 0
		part := make(chan struct{}, 1) // carries out one transaction after the other
		s.store.OnCommit(func(tx table.Tx) tabletest.CommitResult {
			part <- struct{}{}
			defer func() { <-part }()
			time.Sleep(5 * time.Millisecond)
			if len(tx.Writes) > 0 && tx.Writes[0].Table == shard.TableShard {
				takeOvers++
			}
			return tabletest.Normal
		})
		for name := range s.targets {
			s.startProcess(name, s.store)
		}
		time.Sleep(300 * time.Millisecond)
		s.c.Check(s.ownerRow().Epoch, qt.Equals, uint64(1))
		// The transactions of 5 ms and the ones that are sent before the first is answered.
		s.c.Check(takeOvers < targets/3, qt.IsTrue, qt.Commentf("%d transactions", takeOvers))
	})
}

// Guards against a start order that is carried out after its run was given up: it was delayed, and
// reaches the agent after the next lease cap. The fencing token must rise with the runs given up,
// and only then.
func TestFenceRisesWithGivenUpRuns(t *testing.T) {
	tests := []struct {
		name   string
		fault  func(s *testSite, x *fakeAgent)
		raised bool
	}{
		{"short silence of the target", func(_ *testSite, x *fakeAgent) {
			x.update(func(x *fakeAgent) { x.unreachable = true })
			time.Sleep(5 * time.Second)
			x.update(func(x *fakeAgent) { x.unreachable = false })
		}, false},
		{"lapse", func(_ *testSite, x *fakeAgent) {
			x.update(func(x *fakeAgent) { x.unreachable = true })
			time.Sleep(lapseBound + settleTime)
			x.update(func(x *fakeAgent) { x.unreachable = false })
		}, true},
		{"short silence of the worker", func(_ *testSite, x *fakeAgent) {
			x.update(func(x *fakeAgent) { x.workerSilence = 5 * time.Second })
		}, false},
		{"silence of the worker", func(_ *testSite, x *fakeAgent) {
			x.update(func(x *fakeAgent) { x.workerSilence = lapseBound })
		}, true},
		{"deleted row", func(s *testSite, x *fakeAgent) {
			x.update(func(x *fakeAgent) { x.unreachable = true })
			s.store.Delete(shard.TableTargets, part, x.name, false)
			time.Sleep(settleTime)
			x.update(func(x *fakeAgent) { x.unreachable = false })
			_, err := s.store.Commit(s.c.Context(), table.Tx{Part: part}.WithWrite(shard.TableTargets, x.name, []byte(`{"Address":"`+x.name+`"}`)))
			s.c.Assert(err, qt.IsNil)
		}, true},
		{"deleted row of a target that answers", func(s *testSite, x *fakeAgent) {
			s.store.Delete(shard.TableTargets, part, x.name, false)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 3, func(s *testSite) {
				_, x := s.startOwnerWithRun()
				var before, after int64
				x.view(func(x *fakeAgent) { before = x.fence })
				tt.fault(s, x)
				time.Sleep(2 * settleTime)
				x.view(func(x *fakeAgent) { after = x.fence })
				s.c.Check(after > before, qt.Equals, tt.raised, qt.Commentf("token %d after %d", after, before))
				s.c.Check(after-before <= 1, qt.IsTrue, qt.Commentf("token %d after %d", after, before))
			})
		})
	}
}

// Guards against a row that the store never accepts and that is written again for ever: nothing
// else of the site would be recorded, started or ended, by this owner or the next one.
func TestRejectedRowHoldsUpNothingElse(t *testing.T) {
	rejectProgressOf := func(id string) func(table.Tx) tabletest.CommitResult {
		return func(tx table.Tx) tabletest.CommitResult {
			for _, w := range tx.Writes {
				if pr, err := job.DecodeProgress(w.Value); w.Table == job.TableProgress && err == nil && pr.Job == id && pr.State != job.Failed {
					return tabletest.Invalid
				}
			}
			return tabletest.Normal
		}
	}
	runSite(t, 2, func(s *testSite) {
		s.startProcess("a", s.store)
		time.Sleep(settleTime)
		s.store.OnCommit(rejectProgressOf("j0"))
		s.submitAs("j0")
		s.submit()
		time.Sleep(2 * time.Second)
		x := s.targetRunningJob()
		s.c.Assert(x, qt.IsNotNil, qt.Commentf("the other job does not run"))
		x.finish("j1.0.0.0")
		time.Sleep(2 * time.Second)
		s.c.Check(s.stateOf("j1"), qt.Equals, job.Completed)
		s.c.Check(s.stateOf("j0"), qt.Equals, job.Failed)
		for _, x := range s.targets {
			x.view(func(x *fakeAgent) {
				s.c.Check(x.running, qt.HasLen, 0, qt.Commentf("a run goes on that no row names"))
				s.c.Check(x.ended, qt.HasLen, 0, qt.Commentf("an end is not acknowledged"))
			})
		}
		s.c.Check(s.ownerRow().Epoch, qt.Equals, uint64(1))
	})
}

// Guards against an owner that repeats a transaction that the store rejects as invalid and does not
// notice that another process owns the shard.
func TestRejectedTransactionShowsNewOwner(t *testing.T) {
	runSite(t, 2, func(s *testSite) {
		a := s.startProcess("a", s.store)
		time.Sleep(settleTime)
		row := s.ownerRow()
		row.Epoch, row.Name, row.Address, row.Token = row.Epoch+1, "b", "b", "other"
		s.store.OnCommit(func(tx table.Tx) tabletest.CommitResult {
			for _, w := range tx.Writes {
				if w.Table == job.TableProgress {
					return tabletest.Invalid
				}
			}
			return tabletest.Normal
		})
		_, err := s.store.Commit(t.Context(), table.Tx{Part: part}.WithWrite(shard.TableShard, shard.OwnerKey, table.EncodeValue(row)))
		s.c.Assert(err, qt.IsNil)
		s.submit()
		time.Sleep(time.Second)
		s.c.Check(s.startsExcept(nil), qt.Equals, 0)
		s.c.Check(a.State(), qt.IsNil, qt.Commentf("it still plans"))
	})
}

// Guards against an owner's row that becomes too long for the store because many targets are
// silent: no transaction of the shard would be accepted any more.
func TestOwnerRowFitsWithManySilentTargets(t *testing.T) {
	runSite(t, 1, func(s *testSite) {
		const n = 2000
		tx := table.Tx{Part: part}
		for i := range n {
			name := fmt.Sprintf("side-long-name-of-a-machine-%04d", i)
			x := newFakeAgent(name)
			x.unreachable = true
			s.targets[name] = x
			tx = tx.WithWrite(shard.TableTargets, name, []byte(`{"Address":"`+name+`"}`))
			if len(tx.Writes) == table.MaxEntries || i == n-1 {
				_, err := s.store.Commit(t.Context(), tx)
				s.c.Assert(err, qt.IsNil)
				tx = table.Tx{Part: part}
			}
		}
		s.startProcess("a", s.store)
		time.Sleep(3 * settleTime)
		s.submit()
		time.Sleep(time.Second)
		s.c.Check(s.targetRunningJob(), qt.IsNotNil)
		s.c.Check(len(s.ownerRow().Silent) > 200, qt.IsTrue, qt.Commentf("%d silent targets are recorded", len(s.ownerRow().Silent)))
	})
}
