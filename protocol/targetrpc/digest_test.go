package targetrpc

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an answer that is taken for whole although a part is missing,
// changed, moved or of another attempt.
func TestVerify(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *AttemptReply)
		ok     bool
	}{
		{name: "whole", change: func(*AttemptReply) {}, ok: true},
		{name: "part lost", change: func(r *AttemptReply) { r.Answer.Parts = r.Answer.Parts[:1] }},
		{name: "order", change: func(r *AttemptReply) {
			p := r.Answer.Parts
			p[0], p[1] = p[1], p[0]
		}},
		{name: "bytes moved", change: func(r *AttemptReply) { r.Answer.Parts[0].Body, r.Answer.Parts[1].Body = []byte("ab"), []byte("c") }},
		{name: "error moved", change: func(r *AttemptReply) { r.Answer.Parts[0].Error = "e" }},
		{name: "failure", change: func(r *AttemptReply) { r.Answer.Parts[1].Failed = true }},
		{name: "other job", change: func(r *AttemptReply) { r.Attempt.Job = "k" }},
		{name: "other attempt", change: func(r *AttemptReply) { r.Attempt.Number = 2 }},
		{name: "ran without answer", change: func(r *AttemptReply) { r.Answer = nil }},
		{name: "running", change: func(r *AttemptReply) { r.Answer, r.State = nil, AttemptState_ATTEMPT_RUNNING }, ok: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			id := &AttemptID{Job: "j", Number: 1}
			parts := []*Part{{Body: []byte("a")}, {Body: []byte("bc")}}
			r := &AttemptReply{
				Attempt: id, State: AttemptState_ATTEMPT_RAN,
				Answer: &Answer{Parts: parts, Digest: Digest(id, parts)},
			}
			tt.change(r)
			qt.Assert(t, Verify(r) == nil, qt.Equals, tt.ok)
		})
	}
}
