package executor

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

// Guards against an attempt that ran and was forgotten after the retention being
// reported as not run, which would let a non-idempotent job run twice.
func TestFenceOfForgottenAttempt(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration // between the last contact before the sending and the fence
		job  string        // that ran at the start; "j" is the one that is fenced
		want targetrpc.AttemptState
	}{
		{name: "ran and kept", age: Retention / 2, job: "j", want: targetrpc.AttemptState_ATTEMPT_RAN},
		{name: "ran and forgotten", age: 2 * Retention, job: "j", want: targetrpc.AttemptState_ATTEMPT_OTHER},
		{name: "never received, too long ago to tell", age: 2 * Retention, job: "x", want: targetrpc.AttemptState_ATTEMPT_OTHER},
		{name: "never received", age: Retention / 2, job: "x", want: targetrpc.AttemptState_ATTEMPT_NOT_RUN},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, 1, func(s *site) {
				s.pass(time.Minute)
				ping, err := s.targets[0].Ping(s.ctx, &targetrpc.PingRequest{Session: s.sessions[0], Generation: 5})
				s.Assert(err, qt.IsNil)
				s.Assert(ping.GetUptimeMillis(), qt.Equals, uint64(60_000))
				s.workers[0].runTime = time.Second
				s.start(tt.job, longTask(1))
				s.pass(tt.age)
				r, err := s.targets[0].Fence(s.ctx, &targetrpc.FenceRequest{
					Attempt: attemptID("j"), Incarnation: s.targets[0].Incarnation(), Generation: 5,
					SentAfterMillis: ping.GetUptimeMillis(),
				})
				s.Assert(err, qt.IsNil)
				s.Assert(r.GetState(), qt.Equals, tt.want)
			})
		})
	}
}
