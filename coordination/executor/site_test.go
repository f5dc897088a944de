package executor

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

// site is a set of targets in one synctest bubble, driven like by an entry.
type site struct {
	*qt.C
	ctx        context.Context
	net        *fakeNet
	workers    []*fakeWorker
	targets    []*Executor
	sessions   []uint64
	generation atomic.Uint64 // of the targets
	ready      atomic.Bool
}

// newSite starts n targets of 8 slots. It must be called within a bubble, and
// the targets are closed at the end of the test function.
func newSite(t *testing.T, n int) *site {
	s := &site{C: qt.New(t), ctx: t.Context()}
	s.generation.Store(5)
	s.ready.Store(true)
	s.net = &fakeNet{beats: make(map[string][]*entryrpc.HeartbeatRequest)}
	for i := range n {
		w := &fakeWorker{runTime: 20 * time.Second, tasks: make(map[string]*fakeTask)}
		address := fmt.Sprintf("target-%d", i)
		e, err := New(Config{
			Name: address, Address: address, Rack: "r", Slots: 8, EntryList: []string{"entry"}, ReportTo: 2,
			Worker: w, Hubs: link{s.net, address}, Entries: link{s.net, address},
			Generation: s.generation.Load, Ready: s.ready.Load,
		})
		qt.Assert(t, err, qt.IsNil)
		s.net.targets.Store(address, e)
		s.workers, s.targets = append(s.workers, w), append(s.targets, e)
		o, err := e.OpenSession(s.ctx, &targetrpc.OpenSessionRequest{Entry: "entry", EntryIncarnation: 1, Generation: 5})
		qt.Assert(t, err, qt.IsNil)
		s.sessions = append(s.sessions, o.Session)
	}
	return s
}

// check allows only the error of a target that the test has closed.
func (s *site) check(err error) {
	s.Assert(err == nil || errors.Is(err, errClosed), qt.IsTrue, qt.Commentf("%v", err))
}

func (s *site) close() {
	for _, e := range s.targets {
		e.Close()
	}
}

// pass lets time pass and keeps the sessions open, like an entry.
func (s *site) pass(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		for i, e := range s.targets {
			_, _ = e.Ping(s.ctx, &targetrpc.PingRequest{Session: s.sessions[i], Generation: 5})
		}
		time.Sleep(min(time.Second, time.Until(end)))
	}
}

func attemptID(job string) *targetrpc.AttemptID { return &targetrpc.AttemptID{Job: job, Number: 1} }

func longTask(slots uint32) *targetrpc.Task {
	return &targetrpc.Task{Workspace: "w", Kind: "k", Class: "long", Slots: slots}
}

func (s *site) startRequest(job string, task *targetrpc.Task) *targetrpc.StartRequest {
	return &targetrpc.StartRequest{
		Session: s.sessions[0], Incarnation: s.targets[0].Incarnation(), Attempt: attemptID(job), Task: task, Generation: 5,
	}
}

func (s *site) start(job string, task *targetrpc.Task) *targetrpc.AttemptReply {
	r, err := s.targets[0].Start(s.ctx, s.startRequest(job, task))
	s.check(err)
	return r
}

func (s *site) await(i int, job string, wait time.Duration) *targetrpc.AttemptReply {
	r, err := s.targets[i].Await(s.ctx, &targetrpc.AwaitRequest{
		Attempt: attemptID(job), Incarnation: s.targets[i].Incarnation(), WaitMillis: uint64(wait / time.Millisecond), Generation: 5,
	})
	s.check(err)
	s.Assert(targetrpc.Verify(r), qt.IsNil)
	return r
}

// fence fences the attempt "j".
func (s *site) fence(i int) *targetrpc.AttemptReply {
	r, err := s.targets[i].Fence(s.ctx, &targetrpc.FenceRequest{Attempt: attemptID("j"), Incarnation: s.targets[i].Incarnation()})
	s.check(err)
	return r
}

// cancel cancels the attempt "j".
func (s *site) cancel(i int) {
	_, err := s.targets[i].Cancel(s.ctx, &targetrpc.CancelRequest{
		Attempts: []*targetrpc.AttemptID{attemptID("j")}, Incarnation: s.targets[i].Incarnation(), Generation: 5,
	})
	s.check(err)
}

// reserve reserves a gang over all targets, with target 0 as the hub.
func (s *site) reserve(job string, task *targetrpc.Task) []*targetrpc.ReserveReply {
	var out []*targetrpc.ReserveReply
	for i := range s.targets {
		out = append(out, s.reserveAt(job, task, i))
	}
	return out
}

func (s *site) reserveAt(job string, task *targetrpc.Task, i int) *targetrpc.ReserveReply {
	var members []*targetrpc.Member
	for _, e := range s.targets {
		members = append(members, &targetrpc.Member{Target: e.cfg.Name, Address: e.cfg.Address, Incarnation: e.Incarnation()})
	}
	r, err := s.targets[i].Reserve(s.ctx, &targetrpc.ReserveRequest{
		Session: s.sessions[i], Incarnation: s.targets[i].Incarnation(), Attempt: attemptID(job), Task: task,
		Index: uint32(i), Members: members, TtlMillis: 10_000, Generation: 5,
	})
	s.check(err)
	return r
}

func (s *site) release(job string) *targetrpc.AttemptReply {
	r, err := s.targets[0].Release(s.ctx, &targetrpc.ReleaseRequest{
		Session: s.sessions[0], Incarnation: s.targets[0].Incarnation(), Attempt: attemptID(job), Generation: 5,
	})
	s.check(err)
	return r
}

// startGang reserves and releases a gang over all targets.
func (s *site) startGang(job string, task *targetrpc.Task) {
	for _, r := range s.reserve(job, task) {
		s.Assert(r.Reserved, qt.IsTrue, qt.Commentf("%v", r))
	}
	s.Assert(s.release(job).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_RUNNING)
}

// neverRan asserts that no worker ran user code of the job.
func (s *site) neverRan(job string) {
	s.stoppedBy(job, time.Time{})
}

// stoppedBy asserts that no worker runs the job at or after the time.
func (s *site) stoppedBy(job string, t time.Time) {
	for i, w := range s.workers {
		began, ended := w.ran(job + "/1")
		s.Assert(began.IsZero() || !ended.IsZero() && !ended.After(t), qt.IsTrue,
			qt.Commentf("target %d: began %v, ended %v, bound %v", i, began, ended, t))
	}
}
