package shard_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// Guards against a second run of a task whose first one goes on: the removal of a target's row, by a
// late call of a former process, was taken for the proof that the worker is gone.
func TestLateRemovalOfTargetRow(t *testing.T) {
	tests := []struct {
		name        string
		historyLost bool
		again       bool // the row is removed a second time
	}{
		{name: "once"},
		{name: "with the store's history", historyLost: true},
		{name: "twice", again: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 3, func(s *testSite) {
				_, x := s.startOwnerWithRun()
				s.store.Delete(shard.TableTargets, part, x.name, tt.historyLost)
				if tt.again {
					time.Sleep(time.Second)
					s.store.Delete(shard.TableTargets, part, x.name, false)
				}
				time.Sleep(lapseBound + settleTime)
				s.c.Check(s.startsExcept(nil), qt.Equals, 1)
				x.view(func(x *fakeAgent) { s.c.Check(x.running, qt.HasLen, 1) })
				p, err := s.store.Read(s.c.Context(), table.Range{Table: shard.TableTargets, Part: part})
				s.c.Assert(err, qt.IsNil)
				s.c.Check(p.Rows, qt.HasLen, 3, qt.Commentf("a new owner would not find the target"))
			})
		})
	}
}

// Guards against runs that wait for their lease to lapse although their worker has left: the owner
// still took the target for connected when its row was removed.
func TestRemovalOfTargetThatHasEnded(t *testing.T) {
	tests := []struct {
		name string
		end  func(x *fakeAgent)
	}{
		{"unreachable", func(x *fakeAgent) { x.unreachable = true }},
		{"its agent reports that the worker is gone", func(x *fakeAgent) { x.gone = true }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 3, func(s *testSite) {
				_, x := s.startOwnerWithRun()
				x.update(tt.end)
				s.store.Delete(shard.TableTargets, part, x.name, false)
				time.Sleep(settleTime)
				s.c.Check(s.startsExcept(x), qt.Equals, 1)
				p, err := s.store.Read(s.c.Context(), table.Range{Table: shard.TableTargets, Part: part})
				s.c.Assert(err, qt.IsNil)
				s.c.Check(p.Rows, qt.HasLen, 2, qt.Commentf("the row of a target that has left is written again"))
			})
		})
	}
}

// leavingWorker answers calls until it has left.
type leavingWorker struct {
	agent.WorkerClient
	mu   sync.Mutex
	left bool
}

func (w *leavingWorker) Hold(_ context.Context, r agent.HoldRequest) (agent.HoldReply, error) {
	time.Sleep(r.Wait)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.left {
		return agent.HoldReply{}, agent.ErrNotListening
	}
	return agent.HoldReply{Clock: 1, Born: 1}, nil
}

func (w *leavingWorker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.left = true
}

// Guards against a removal of a target's row that takes effect when the next process of the target
// relies on the row, and against a process that leaves its row behind although its worker is gone.
func TestRemovalIsVoidAfterNextStart(t *testing.T) {
	tests := []struct {
		name   string
		late   bool // the removal gets no answer and takes effect after the next start
		marked bool // whether the next process finds the mark of the former one
	}{
		{"removed at once", false, false},
		{"removed late", true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 2, func(s *testSite) {
				s.startProcess("a", s.store)
				time.Sleep(settleTime)
				w := &leavingWorker{}
				s.worker = w
				p := s.startProcess("b", s.store)
				ctx, cancel := context.WithCancel(s.c.Context())
				defer cancel()
				go p.agent.Run(ctx)
				p.agent.RecordHeartbeat(agent.WorkerHeartbeat{Incarnation: &agentrpc.Life{Worker: "w", Born: 1}, Clock: 1, Sequence: 1})
				synctest.Wait()
				// With a fencing token the agent asks the worker for its runs, of which there are none.
				_, err := p.agent.Watch(ctx, &agentrpc.WatchRequest{Epoch: 1, Fence: 1})
				s.c.Assert(err, qt.IsNil)
				time.Sleep(time.Second)
				p.agent.WorkerDeregistered("w")
				w.leave()
				// The call in progress takes up to a second, the next one shows that the worker is gone.
				time.Sleep(2 * time.Second)
				s.c.Assert(p.agent.WorkerGone(), qt.IsTrue)

				var removals []table.Tx
				s.store.OnCommit(func(tx table.Tx) tabletest.CommitResult {
					for _, d := range tx.Deletions {
						if d.Table == shard.TableTargets {
							removals = append(removals, tx)
							if tt.late {
								return tabletest.RequestLost
							}
						}
					}
					return tabletest.Normal
				})
				p.stop()
				s.store.OnCommit(nil)
				s.c.Assert(removals, qt.HasLen, 1)
				row, ok := s.targetRow("b")
				s.c.Check(ok, qt.Equals, tt.late)
				s.c.Check(row.Leaving, qt.Equals, tt.marked)

				s.worker = nil
				s.startProcess("b", s.store)
				time.Sleep(time.Second)
				_, err = s.store.Commit(s.c.Context(), removals[0])
				var conflict *table.ConflictError
				s.c.Check(err, qt.ErrorAs, &conflict)
				row, ok = s.targetRow("b")
				s.c.Check(ok, qt.IsTrue)
				s.c.Check(row, qt.Equals, shard.Target{Address: "b"})
			})
		})
	}
}

// targetRow returns the row of a target, if there is one.
func (s *testSite) targetRow(name string) (shard.Target, bool) {
	p, err := s.store.Read(s.c.Context(), table.Range{Table: shard.TableTargets, Part: part, From: name, To: name + "\x00"})
	s.c.Assert(err, qt.IsNil)
	if len(p.Rows) == 0 {
		return shard.Target{}, false
	}
	row, err := shard.DecodeTarget(p.Rows[0].Value)
	s.c.Assert(err, qt.IsNil)
	return row, true
}
