package executor

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

// runSite runs a subtest in a bubble.
func runSite(t *testing.T, name string, n int, f func(s *site)) {
	t.Helper()
	t.Run(name, func(t *testing.T) { inBubble(t, n, f) })
}

// inBubble runs f on a site of n targets in a synctest bubble, which also fails
// if Close leaves a goroutine behind.
func inBubble(t *testing.T, n int, f func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, n)
		defer s.close()
		f(s)
	})
}

// Guards against answers that are lost, given to the wrong state or without a
// valid digest, for tasks with and without the launch that waits.
func TestStart(t *testing.T) {
	tests := []struct {
		name   string
		class  string
		limit  time.Duration
		run    time.Duration
		fail   bool
		failed bool
	}{
		{name: "short within the launch", class: "short", run: 100 * time.Millisecond},
		{name: "short beyond the launch", class: "short", run: 5 * time.Second},
		{name: "long over many leases", class: "long", run: time.Minute},
		{name: "failed", class: "long", run: time.Second, fail: true, failed: true},
		{name: "over its limit", class: "long", limit: 3 * time.Second, run: time.Minute, failed: true},
	}
	for _, tt := range tests {
		runSite(t, tt.name, 1, func(s *site) {
			s.workers[0].runTime, s.workers[0].fail = tt.run, tt.fail
			s.start("j", &targetrpc.Task{Class: tt.class, Slots: 8, LimitMillis: uint64(tt.limit / time.Millisecond)})
			r := s.await(0, "j", 2*time.Minute)
			s.Assert(r.State, qt.Equals, targetrpc.AttemptState_ATTEMPT_RAN)
			s.Assert(r.Answer.Failed, qt.Equals, tt.failed)
			s.Assert(r.Answer.Parts, qt.HasLen, 1)
			s.Assert(s.targets[0].table.FreeSlots(), qt.Equals, 8)
		})
	}
}

// Guards against user code of an attempt that a caller was told did not run.
func TestStartRefused(t *testing.T) {
	type request = targetrpc.StartRequest
	tests := []struct {
		name    string
		prepare func(s *site, r *request)
		state   targetrpc.AttemptState
		code    targetrpc.RefusalCode
	}{
		{"fenced", func(s *site, _ *request) { s.fence(0) }, targetrpc.AttemptState_ATTEMPT_NOT_RUN, targetrpc.RefusalCode_REFUSAL_FENCED},
		{"canceled", func(s *site, _ *request) { s.cancel(0) }, targetrpc.AttemptState_ATTEMPT_NOT_RUN, targetrpc.RefusalCode_REFUSAL_CANCELED},
		{"late", func(*site, *request) { time.Sleep(SessionExpiry) }, targetrpc.AttemptState_ATTEMPT_NOT_RUN, targetrpc.RefusalCode_REFUSAL_SESSION},
		{"unknown session", func(_ *site, r *request) { r.Session++ }, targetrpc.AttemptState_ATTEMPT_NOT_RUN, targetrpc.RefusalCode_REFUSAL_SESSION},
		{"incarnation", func(_ *site, r *request) { r.Incarnation++ }, targetrpc.AttemptState_ATTEMPT_OTHER, targetrpc.RefusalCode_REFUSAL_NONE},
		{"busy", func(s *site, _ *request) { s.start("other", longTask(5)) }, targetrpc.AttemptState_ATTEMPT_NOT_RUN, targetrpc.RefusalCode_REFUSAL_BUSY},
		{"lane", func(_ *site, r *request) { r.Task.KeepFree = 5 }, targetrpc.AttemptState_ATTEMPT_NOT_RUN, targetrpc.RefusalCode_REFUSAL_BUSY},
		{"old generation", func(_ *site, r *request) { r.Generation = 4 }, targetrpc.AttemptState_ATTEMPT_NOT_RUN, targetrpc.RefusalCode_REFUSAL_GENERATION},
		{"older than a ping", func(s *site, _ *request) {
			_, _ = s.targets[0].Ping(s.ctx, &targetrpc.PingRequest{Session: s.sessions[0], Generation: 6})
		}, targetrpc.AttemptState_ATTEMPT_NOT_RUN, targetrpc.RefusalCode_REFUSAL_GENERATION},
		{"not ready", func(s *site, _ *request) { s.ready.Store(false) }, targetrpc.AttemptState_ATTEMPT_NOT_RUN, targetrpc.RefusalCode_REFUSAL_NOT_READY},
		{"worker", func(s *site, _ *request) { s.workers[0].refuse = true }, targetrpc.AttemptState_ATTEMPT_NOT_RUN, targetrpc.RefusalCode_REFUSAL_WORKER},
		{"no task", func(_ *site, r *request) { r.Task = nil }, targetrpc.AttemptState_ATTEMPT_NOT_RUN, targetrpc.RefusalCode_REFUSAL_INVALID},
		{"leaving", func(s *site, _ *request) { s.targets[0].Drain(s.ctx) }, targetrpc.AttemptState_ATTEMPT_NOT_RUN, targetrpc.RefusalCode_REFUSAL_LEAVING},
	}
	for _, tt := range tests {
		runSite(t, tt.name, 1, func(s *site) {
			r := s.startRequest("j", longTask(4))
			r.WaitMillis = 100
			tt.prepare(s, r)
			for range 2 { // The second is a late copy, which must be refused too.
				got, err := s.targets[0].Start(s.ctx, r)
				s.Assert(err, qt.IsNil)
				s.Assert(got.State, qt.Equals, tt.state)
				s.Assert(got.GetRefusal().GetCode(), qt.Equals, tt.code)
			}
			s.ready.Store(true)
			s.workers[0].set(func(w *fakeWorker) { w.refuse = false })
			s.pass(time.Minute)
			if tt.state == targetrpc.AttemptState_ATTEMPT_NOT_RUN {
				r = s.startRequest("j", longTask(4))
				got, err := s.targets[0].Start(s.ctx, r)
				s.Assert(err, qt.IsNil)
				s.Assert(got.State, qt.Equals, tt.state, qt.Commentf("a later copy under a valid session"))
			}
			s.neverRan("j")
		})
	}
}

// Guards against a fence that is granted for an attempt that runs, when both
// arrive at once, and against two launches of one attempt.
func TestFenceRacesStart(t *testing.T) {
	ran := 0
	for range 200 {
		inBubble(t, 1, func(s *site) {
			var wg sync.WaitGroup
			var start, fence *targetrpc.AttemptReply
			wg.Go(func() { start = s.start("j", longTask(1)) })
			wg.Go(func() { s.start("j", longTask(1)) })
			wg.Go(func() { fence = s.fence(0) })
			wg.Wait()
			s.pass(time.Minute)
			if fence.State == targetrpc.AttemptState_ATTEMPT_NOT_RUN {
				s.Assert(start.State, qt.Equals, targetrpc.AttemptState_ATTEMPT_NOT_RUN)
				s.neverRan("j")
				return
			}
			ran++
			s.Assert(s.workers[0].launches, qt.Equals, 1)
			s.Assert(s.await(0, "j", 0).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_RAN)
		})
	}
	t.Logf("%d of 200 started before the fence", ran)
}

// Guards against an attempt reported as not run, or slots given away, while the
// worker may run it because the answer to its launch was lost.
func TestLaunchAnswerLost(t *testing.T) {
	for _, stop := range []error{nil, errCut} {
		runSite(t, fmt.Sprintf("stop: %v", stop), 1, func(s *site) {
			gone := time.Second // after the launch
			s.workers[0].loseReply, s.workers[0].stopErr = true, stop
			s.workers[0].runTime = time.Minute
			began := time.Now()
			s.Assert(s.start("j", longTask(8)).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_RUNNING)
			if stop != nil {
				gone += WorkerLease
				s.pass(WorkerLease - time.Second)
				s.Assert(s.targets[0].table.FreeSlots(), qt.Equals, 0)
				s.Assert(s.fence(0).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_RUNNING)
			}
			s.Assert(s.await(0, "j", time.Minute).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_STOPPED)
			s.Assert(time.Since(began) <= gone, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			s.stoppedBy("j", time.Now())
			s.Assert(s.targets[0].table.FreeSlots(), qt.Equals, 8)
		})
	}
}

// Guards against a held member whose launch answer was lost being run, or the
// whole gang being taken for running.
func TestHeldLaunchAnswerLost(t *testing.T) {
	inBubble(t, 2, func(s *site) {
		s.workers[1].loseReply = true
		s.Assert(s.reserve("j", longTask(1))[1].GetRefusal().GetCode(), qt.Equals, targetrpc.RefusalCode_REFUSAL_WORKER)
		s.Assert(s.release("j").State, qt.Equals, targetrpc.AttemptState_ATTEMPT_NOT_RUN)
		s.pass(time.Minute)
		s.neverRan("j")
	})
}

// Guards against a canceled task that runs on or is reported as not run.
func TestCancel(t *testing.T) {
	inBubble(t, 1, func(s *site) {
		s.start("j", longTask(8))
		s.pass(time.Second)
		s.cancel(0)
		s.Assert(s.await(0, "j", 3*time.Second).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_STOPPED)
		s.stoppedBy("j", time.Now())
	})
}
