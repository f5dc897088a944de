package executor

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

// gangStopBound is the time from the loss of a member to the stop of all others.
const gangStopBound = 15 * time.Second

// Guards against a gang that runs in part, an answer without all parts or in the
// wrong order, and slots that are not given back.
func TestGangRunsWhole(t *testing.T) {
	for _, fail := range []bool{false, true} {
		runSite(t, fmt.Sprintf("one task fails: %v", fail), 3, func(s *site) {
			s.workers[1].fail = fail
			s.workers[1].runTime = 10 * time.Second
			s.startGang("j", longTask(8))
			for i, w := range s.workers {
				s.pass(100 * time.Millisecond)
				began, _ := w.ran("j/1")
				s.Assert(began.IsZero(), qt.IsFalse, qt.Commentf("member %d", i))
			}
			r := s.await(0, "j", time.Minute)
			s.Assert(r.State, qt.Equals, targetrpc.AttemptState_ATTEMPT_RAN)
			s.Assert(r.Answer.Parts, qt.HasLen, 3)
			s.Assert(r.Answer.Failed, qt.Equals, fail)
			s.Assert(r.Answer.Parts[1].Failed, qt.Equals, fail)
			s.stoppedBy("j", time.Now())
			s.pass(3 * time.Second)
			for i, e := range s.targets {
				s.Assert(e.table.FreeSlots(), qt.Equals, 8)
				s.Assert(e.table.List(isHeld), qt.HasLen, 0, qt.Commentf("target %d", i))
			}
		})
	}
}

// Guards against members that run on after a part of their gang was lost, and
// against an answer of a gang that did not run whole.
func TestGangLoss(t *testing.T) {
	tests := []struct {
		name string
		lose func(s *site)
		kept int // a target whose process goes on, as the one to ask
	}{
		{name: "member killed", lose: func(s *site) { s.targets[2].Close() }},
		{name: "hub killed", lose: func(s *site) { s.targets[0].Close() }, kept: 1},
		{name: "member cut off", lose: func(s *site) { s.net.setCut("target-1", true) }},
		{name: "hub cut off", lose: func(s *site) { s.net.setCut("target-0", true) }},
		{name: "canceled at the hub", lose: func(s *site) { s.cancel(0) }},
		{name: "canceled at a member", lose: func(s *site) { s.cancel(2) }},
		{name: "worker of a member restarts", lose: func(s *site) {
			s.workers[1].set(func(w *fakeWorker) { clear(w.tasks) })
		}},
	}
	for _, tt := range tests {
		runSite(t, tt.name, 3, func(s *site) {
			for _, w := range s.workers {
				w.runTime = time.Hour
			}
			s.startGang("j", longTask(8))
			s.pass(7 * time.Second)
			tt.lose(s)
			lost := time.Now()
			r := s.await(tt.kept, "j", time.Minute)
			s.Assert(r.State, qt.Equals, targetrpc.AttemptState_ATTEMPT_STOPPED, qt.Commentf("%v", r))
			s.stoppedBy("j", lost.Add(gangStopBound))
			s.Assert(time.Since(lost) <= gangStopBound, qt.IsTrue, qt.Commentf("%v", time.Since(lost)))
		})
	}
}

// Guards against a member that runs without the verdict, or runs on alone, when
// the reply that carries the verdict Run is lost or the connection is cut then.
func TestCutAtRelease(t *testing.T) {
	tests := []struct {
		name string
		skip int32         // replies with Run that arrive before
		late time.Duration // until the member sees that the reply is lost
		cut  bool          // the connection stays cut from then on
		end  targetrpc.AttemptState
	}{
		{name: "one reply lost", end: targetrpc.AttemptState_ATTEMPT_RAN},
		{name: "one reply lost in silence", late: pulseTimeout, end: targetrpc.AttemptState_ATTEMPT_RAN},
		{name: "silence while running", skip: 2, late: pulseTimeout, end: targetrpc.AttemptState_ATTEMPT_RAN},
		{name: "cut", cut: true, end: targetrpc.AttemptState_ATTEMPT_STOPPED},
	}
	for _, tt := range tests {
		runSite(t, tt.name, 3, func(s *site) {
			var seen atomic.Int32
			s.net.onPulse = func(ctx context.Context, from string, r *targetrpc.PulseReply) error {
				if from != "target-1" || r.Verdict != targetrpc.Verdict_VERDICT_RUN || seen.Add(1) != tt.skip+1 {
					return nil
				}
				s.net.setCut("target-1", tt.cut)
				sleep(ctx, tt.late)
				return errCut
			}
			released := time.Now()
			s.startGang("j", longTask(4))
			r := s.await(0, "j", time.Minute)
			s.Assert(r.State, qt.Equals, tt.end, qt.Commentf("%v", r))
			if tt.cut {
				s.stoppedBy("j", released.Add(gangStopBound))
				began, _ := s.workers[1].ran("j/1")
				s.Assert(began.IsZero(), qt.IsTrue)
			}
		})
	}
}

// Guards against a release of a gang that is not whole or no longer held, and
// against members that run after such a release was refused.
func TestReleaseRefused(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(s *site)
		code    targetrpc.RefusalCode
	}{
		{"lapsed", func(s *site) { s.pass(ReservationTTL + time.Second) }, targetrpc.RefusalCode_REFUSAL_LAPSED},
		{"fenced", func(s *site) { s.fence(0) }, targetrpc.RefusalCode_REFUSAL_FENCED},
		{"canceled", func(s *site) { s.cancel(0) }, targetrpc.RefusalCode_REFUSAL_CANCELED},
		{"member aborted", func(s *site) { s.fence(2); s.pass(time.Second) }, targetrpc.RefusalCode_REFUSAL_MEMBER},
		{"member killed", func(s *site) { s.targets[1].Close(); s.pass(GangLease) }, targetrpc.RefusalCode_REFUSAL_MEMBER},
		{"leaving", func(s *site) { s.targets[0].Drain(s.ctx) }, targetrpc.RefusalCode_REFUSAL_LEAVING},
		{"old generation", func(s *site) { s.generation.Store(6) }, targetrpc.RefusalCode_REFUSAL_GENERATION},
	}
	for _, tt := range tests {
		runSite(t, tt.name, 3, func(s *site) {
			for _, r := range s.reserve("j", longTask(8)) {
				s.Assert(r.Reserved, qt.IsTrue)
			}
			tt.prepare(s)
			for range 2 {
				r := s.release("j")
				s.Assert(r.State, qt.Equals, targetrpc.AttemptState_ATTEMPT_NOT_RUN)
				s.Assert(r.Refusal.Code, qt.Equals, tt.code)
			}
			s.pass(time.Minute)
			s.neverRan("j")
			for _, e := range s.targets {
				s.Assert(e.table.FreeSlots() == 8 || e.ctx.Err() != nil, qt.IsTrue)
			}
		})
	}
}

// Guards against a gang that fails because a member pulses before the hub has
// its reservation.
func TestMemberBeforeHub(t *testing.T) {
	inBubble(t, 2, func(s *site) {
		s.reserveAt("j", longTask(1), 1)
		s.pass(3 * time.Second)
		s.reserveAt("j", longTask(1), 0)
		s.Assert(s.release("j").State, qt.Equals, targetrpc.AttemptState_ATTEMPT_RUNNING)
	})
}

// Guards against a member that claims for the whole gang that it did not run.
func TestMemberProvesNothing(t *testing.T) {
	inBubble(t, 2, func(s *site) {
		s.startGang("j", longTask(1))
		s.Assert(s.fence(1).State, qt.Not(qt.Equals), targetrpc.AttemptState_ATTEMPT_NOT_RUN)
		s.Assert(s.await(1, "j", time.Minute).State, qt.Not(qt.Equals), targetrpc.AttemptState_ATTEMPT_NOT_RUN)
	})
	inBubble(t, 2, func(s *site) {
		s.reserve("j", longTask(1))
		s.pass(time.Second)
		s.Assert(s.fence(1).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_STOPPED)
	})
}

// Guards against combinations of faults after which a gang that was refused has
// run, an answer lacks a part, or members run on more than 15 s after a loss.
func TestGangRandomFaults(t *testing.T) {
	const members = 3
	ends := make(map[targetrpc.AttemptState]int)
	for seed := range uint64(150) {
		runSite(t, fmt.Sprint(seed), members, func(s *site) {
			rnd := rand.New(rand.NewPCG(seed, 0))
			pick := func() int { return rnd.IntN(members) }
			for _, w := range s.workers {
				w.runTime = time.Duration(1+rnd.IntN(20)) * time.Second
			}
			faults := []func(){
				func() { s.net.setCut(s.targets[pick()].cfg.Address, true) },
				func() { s.net.setCut(s.targets[pick()].cfg.Address, false) },
				func() { s.net.setCut("entry", rnd.IntN(2) == 0) },
				func() { s.workers[pick()].set(func(w *fakeWorker) { w.loseReply = !w.loseReply }) },
				func() { s.workers[pick()].set(func(w *fakeWorker) { w.stopErr = errCut }) },
				func() { s.workers[pick()].set(func(w *fakeWorker) { w.fail = !w.fail }) },
				func() { s.cancel(pick()) },
				func() { s.fence(pick()) },
				func() { s.targets[pick()].Close() },
				func() { go s.preempt(0, "j") },
			}
			s.net.onPulse = func(context.Context, string, *targetrpc.PulseReply) error {
				late := time.Duration(rand.IntN(500)) * time.Millisecond
				if rand.IntN(20) == 0 {
					late *= 20 // Beyond the time of a pulse, often beyond the gang lease.
				}
				time.Sleep(late)
				return nil
			}
			fault := func() {
				if rnd.IntN(3) == 0 {
					faults[rnd.IntN(len(faults))]()
				}
				s.pass(time.Duration(rnd.IntN(3000)) * time.Millisecond)
			}
			task := longTask(8)
			task.Lent = rnd.IntN(2) == 0
			fault()
			s.reserve("j", task)
			fault()
			s.release("j")
			for range 6 {
				fault()
			}
			s.pass(time.Minute)
			r := s.await(0, "j", 0)
			ends[r.State]++
			s.checkGang(r)
		})
	}
	t.Logf("ends: %v", ends)
}

// checkGang asserts the promises on the gang "j" once all is over.
func (s *site) checkGang(r *targetrpc.AttemptReply) {
	var first, lost time.Time
	began := 0
	for _, w := range s.workers {
		b, e := w.ran("j/1")
		if b.IsZero() {
			continue
		}
		began++
		if first.IsZero() || b.Before(first) {
			first = b
		}
		if w.tasks["j/1"].result.Stopped && (lost.IsZero() || e.Before(lost)) {
			lost = e
		}
	}
	if began > 0 && began < len(s.workers) {
		lost = first
	}
	if !lost.IsZero() {
		s.stoppedBy("j", lost.Add(gangStopBound))
	}
	switch r.State {
	case targetrpc.AttemptState_ATTEMPT_NOT_RUN:
		s.Assert(began, qt.Equals, 0)
	case targetrpc.AttemptState_ATTEMPT_RAN:
		s.Assert(r.Answer.Parts, qt.HasLen, len(s.workers))
		s.Assert(lost.IsZero() || r.Answer.Failed, qt.IsTrue, qt.Commentf("%v", r))
	}
}
