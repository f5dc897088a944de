package executor

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/attempts"
)

// preempt reclaims the slots of a job for the attempt "claim".
func (s *site) preempt(i int, job string) *targetrpc.PreemptReply {
	r, err := s.targets[i].Preempt(s.ctx, &targetrpc.PreemptRequest{
		Session: s.sessions[i], Incarnation: s.targets[i].Incarnation(), Generation: 5, GraceMillis: 3000,
		Attempts: []*targetrpc.AttemptID{attemptID(job)}, Claim: attemptID("claim"), Claimant: "owner",
	})
	s.check(err)
	return r
}

// Guards against reclaimed slots that go to someone else than the claimant or
// stay held for ever, and against a preemption without a checkpoint.
func TestPreempt(t *testing.T) {
	for _, members := range []int{0, 3} {
		inBubble(t, max(members, 1), func(s *site) {
			if members == 0 {
				s.start("victim", longTask(8))
			} else {
				s.startGang("victim", longTask(8))
			}
			s.pass(time.Second)
			began := time.Now()
			if members > 0 { // A member only holds its slots; the hub stops the gang.
				member := s.preempt(1, "victim").Attempts[0]
				s.Assert(member.State, qt.Equals, targetrpc.AttemptState_ATTEMPT_RUNNING)
				began = time.Now()
			}
			r := s.preempt(0, "victim").Attempts[0]
			s.Assert(r.State, qt.Equals, targetrpc.AttemptState_ATTEMPT_STOPPED)
			s.Assert(r.Preempted, qt.IsTrue)
			s.Assert(time.Since(began) < 5*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(began)))
			s.stoppedBy("victim", time.Now())
			for i, e := range s.targets {
				s.Assert(s.workers[i].saved, qt.Equals, 1)
				s.Assert(e.table.FreeSlots() == 0, qt.Equals, i < 2)
			}
			other := s.start("other", longTask(1))
			s.Assert(other.GetRefusal().GetCode(), qt.Equals, targetrpc.RefusalCode_REFUSAL_BUSY)
			s.Assert(s.start("claim", longTask(8)).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_RUNNING)
		})
	}
	inBubble(t, 1, func(s *site) {
		s.start("victim", longTask(8))
		s.preempt(0, "victim")
		s.pass(attempts.DefaultHoldTTL)
		s.Assert(s.start("other", longTask(8)).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_RUNNING)
	})
}

// Guards against lent work that keeps capacity from its guarantee holder on a
// target that no entry reaches, and against guaranteed work stopped there.
func TestContactLost(t *testing.T) {
	inBubble(t, 2, func(s *site) {
		lent := longTask(2)
		lent.Lent = true
		for _, w := range s.workers {
			w.runTime = time.Minute
		}
		s.start("lent", lent)
		s.startGang("gang", lent)
		s.start("own", longTask(2))
		s.pass(10 * time.Second)
		s.net.setCut("entry", true)
		cut := time.Now()
		s.Assert(s.await(0, "lent", time.Minute).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_STOPPED)
		s.Assert(s.await(0, "gang", time.Minute).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_STOPPED)
		s.stoppedBy("lent", cut.Add(ContactLease+time.Second))
		s.stoppedBy("gang", cut.Add(12*time.Second))
		s.Assert(s.await(0, "own", 2*time.Minute).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_RAN)
		s.pass(time.Second)
		s.Assert(s.start("late", lent).State, qt.Equals, targetrpc.AttemptState_ATTEMPT_NOT_RUN)
	})
}

// Guards against a graceful end that cuts requests short, loses their answers,
// takes new work or waits beyond the drain time.
func TestDrain(t *testing.T) {
	tests := []struct {
		name string
		run  time.Duration
		end  targetrpc.AttemptState
	}{
		{"work ends in time", 30 * time.Second, targetrpc.AttemptState_ATTEMPT_RAN},
		{"drain time over", time.Hour, targetrpc.AttemptState_ATTEMPT_STOPPED},
	}
	for _, tt := range tests {
		runSite(t, tt.name, 3, func(s *site) {
			for _, w := range s.workers {
				w.runTime = tt.run
			}
			s.start("j", longTask(1))
			s.startGang("gang", longTask(1))
			s.pass(time.Second)
			s.reserve("held", longTask(1))
			ctx, cancel := context.WithTimeout(s.ctx, time.Minute)
			defer cancel()
			began := time.Now()
			done := make(chan struct{})
			go func() {
				s.targets[0].Drain(ctx)
				close(done)
			}()
			time.Sleep(100 * time.Millisecond)
			beats := s.net.takeBeats("entry")
			s.Assert(beats[len(beats)-1].Leaving, qt.IsTrue)
			s.Assert(s.start("new", longTask(1)).Refusal.Code, qt.Equals, targetrpc.RefusalCode_REFUSAL_LEAVING)
			s.Assert(s.await(0, "j", 2*time.Minute).State, qt.Equals, tt.end)
			s.Assert(s.await(0, "gang", 2*time.Minute).State, qt.Equals, tt.end)
			<-done
			s.Assert(time.Since(began) < time.Minute+drainStop, qt.IsTrue)
			s.neverRan("held")
		})
	}
}

// Guards against heartbeats that miss a change, repeat what is known, or go on to
// an entry that is silent, and against too many receivers.
func TestHeartbeats(t *testing.T) {
	inBubble(t, 1, func(s *site) {
		beats := s.net.takeBeats
		time.Sleep(3 * time.Second)
		s.start("j", longTask(3))
		beats("entry")
		time.Sleep(4 * time.Second)
		got := beats("entry")
		s.Assert(got, qt.HasLen, 2)
		s.Assert(got[0].Tasks, qt.HasLen, 1)
		s.Assert(got[0].Base, qt.Not(qt.Equals), uint64(0))
		s.Assert(got[0].FreeSlots, qt.Equals, uint32(5))
		s.Assert(got[1].Tasks, qt.HasLen, 0)
		s.net.reply.Store(&entryrpc.HeartbeatReply{NeedFull: true})
		time.Sleep(4 * time.Second)
		got = beats("entry")
		s.Assert(got[len(got)-1].Base, qt.Equals, uint64(0))
		s.Assert(got[len(got)-1].Tasks, qt.HasLen, 1)
		s.net.reply.Store(&entryrpc.HeartbeatReply{Entries: []string{"a", "b", "c"}})
		time.Sleep(20 * time.Second)
		known := []string{"entry", "a", "b", "c"}
		chosen := rendezvous("r", known)[:2]
		time.Sleep(4 * time.Second)
		for _, a := range chosen {
			s.Assert(beats(a), qt.Not(qt.HasLen), 0)
		}
		s.net.setCut(chosen[0], true)
		beats(known[2])
		time.Sleep(5 * time.Second)
		s.Assert(beats(known[2]), qt.Not(qt.HasLen), 0, qt.Commentf("the next entry takes the place of a silent one"))
		s.Assert(s.targets[0].Dump().Attempts, qt.HasLen, 1)
	})
}

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
			s.renewed([]string{"t"}, nil, time.Now(), errCut)
		}, wait: WorkerLease - 1, ended: true},
		{name: "lost", valid: true, do: func(s *leaseSet, _ *lease) {
			s.renewed([]string{"t"}, []string{"t"}, time.Now(), nil)
		}, ended: true},
	}
	for _, tt := range tests {
		runSite(t, tt.name, 0, func(c *site) {
			s := &leaseSet{byName: make(map[string]*lease)}
			l := s.add("t", time.Now(), func(time.Time) bool { return tt.valid })
			if tt.do != nil {
				tt.do(s, l)
			}
			time.Sleep(tt.wait)
			s.lapse(time.Now())
			c.Assert(len(s.due(time.Now())) == 1, qt.Equals, tt.due)
			select {
			case <-l.ended:
				c.Assert(tt.ended, qt.IsTrue)
			default:
				c.Assert(tt.ended, qt.IsFalse)
			}
		})
	}
}
