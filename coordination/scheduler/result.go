package scheduler

import (
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

// result is the end of one attempt: ranResult, notRunResult, lostResult or
// supersededResult.
type result interface {
	isResult()
}

// ranResult is an attempt that ended with a whole answer.
type ranResult struct {
	answer  outcome.Answer
	elapsed time.Duration
}

// notRunResult is an attempt that is proven not to have run on any worker.
type notRunResult struct {
	code   targetrpc.RefusalCode
	detail string
	target string // that refused; empty if none did
	retry  time.Duration
}

// lostResult is an attempt that may have run in part or as a whole.
type lostResult struct {
	detail    string
	preempted bool
}

// supersededResult is an attempt that another entry has taken over.
type supersededResult struct{}

func (ranResult) isResult()        {}
func (notRunResult) isResult()     {}
func (lostResult) isResult()       {}
func (supersededResult) isResult() {}

// resultOf converts what a target said of an attempt. It returns nil if the
// attempt has not ended.
func resultOf(reply *targetrpc.AttemptReply, target string) result {
	switch reply.GetState() {
	case targetrpc.AttemptState_ATTEMPT_RAN:
		return ranResult{answer: answerOf(reply.GetAnswer()), elapsed: millis(reply.GetRunMillis())}
	case targetrpc.AttemptState_ATTEMPT_NOT_RUN:
		r := reply.GetRefusal()
		return notRunResult{code: r.GetCode(), detail: r.GetReason(), target: target, retry: millis(r.GetRetryMillis())}
	case targetrpc.AttemptState_ATTEMPT_STOPPED:
		return lostResult{detail: "stopped after it was released: " + reply.GetReason(), preempted: reply.GetPreempted()}
	case targetrpc.AttemptState_ATTEMPT_OTHER:
		return lostResult{detail: "target process " + target + " was restarted"}
	case targetrpc.AttemptState_ATTEMPT_NONE, targetrpc.AttemptState_ATTEMPT_HELD, targetrpc.AttemptState_ATTEMPT_RUNNING:
		return nil
	}
	return nil
}

func answerOf(a *targetrpc.Answer) outcome.Answer {
	out := outcome.Answer{Failed: a.GetFailed(), Error: a.GetError()}
	for _, p := range a.GetParts() {
		out.Parts = append(out.Parts, bodiesOf(p)...)
	}
	return out
}

// bodiesOf returns the results of a member's tasks.
func bodiesOf(p *targetrpc.Part) [][]byte {
	bodies := &targetrpc.Bodies{}
	if p.GetTasks() <= 1 || p.GetFailed() || proto.Unmarshal(p.GetBody(), bodies) != nil {
		return [][]byte{p.GetBody()}
	}
	return bodies.GetBodies()
}

func millis(n uint64) time.Duration { return time.Duration(n) * time.Millisecond }

func toMillis(d time.Duration) uint64 { return uint64(max(d, 0) / time.Millisecond) }
