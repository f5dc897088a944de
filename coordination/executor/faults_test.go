package executor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

// Guards against combinations of faults after which a gang that was refused has
// run, an answer lacks a part, or members run on more than 15 s after a loss.
func TestGangRandomFaults(t *testing.T) {
	const members = 3
	ends := make(map[targetrpc.AttemptState]int)
	for seed := range uint64(150) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			inBubble(t, members, func(s *site) {
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
					func() { go s.preempt("j", "claim") },
				}
				s.net.onPulse = func(string, string, *targetrpc.PulseReply) error {
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
