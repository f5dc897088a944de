package executor

import (
	"time"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/attempts"
)

func idOf(id *targetrpc.AttemptID) attempts.ID {
	return attempts.ID{Job: id.GetJob(), Number: id.GetNumber()}
}

func idMessage(id attempts.ID) *targetrpc.AttemptID {
	return &targetrpc.AttemptID{Job: id.Job, Number: id.Number}
}

func millis(n uint64) time.Duration {
	// Larger values have no use and would overflow a Duration.
	const most = uint64(365 * 24 * time.Hour / time.Millisecond)
	return time.Duration(min(n, most)) * time.Millisecond
}

// specOf returns the spec of a task, or the reason why it is invalid.
func (e *Executor) specOf(id *targetrpc.AttemptID, t *targetrpc.Task) (attempts.Spec, string) {
	switch {
	case id.GetJob() == "":
		return attempts.Spec{}, "the attempt has no job"
	case t == nil:
		return attempts.Spec{}, "the request has no task"
	case t.GetSlots() == 0 || int(t.GetSlots()) > e.cfg.Slots:
		return attempts.Spec{}, "the slots of the task are zero or exceed those of the target"
	case t.GetSlots()%max(t.GetTasks(), 1) != 0:
		return attempts.Spec{}, "the tasks of the member can't share its slots equally"
	}
	return attempts.Spec{
		ID:        idOf(id),
		Workspace: t.GetWorkspace(),
		Kind:      t.GetKind(),
		Class:     t.GetClass(),
		Slots:     int(t.GetSlots()),
		Tasks:     max(int(t.GetTasks()), 1),
		KeepFree:  int(t.GetKeepFree()),
		Limit:     millis(t.GetLimitMillis()),
		Lent:      t.GetLent(),
	}, ""
}

func membersOf(ms []*targetrpc.Member) []attempts.Member {
	out := make([]attempts.Member, len(ms))
	for i, m := range ms {
		out[i] = attempts.Member{Target: m.GetTarget(), Address: m.GetAddress(), Incarnation: m.GetIncarnation()}
	}
	return out
}

func partMessage(p attempts.Part) *targetrpc.Part {
	return &targetrpc.Part{Body: p.Body, Failed: p.Failed, Error: p.Error, Tasks: uint32(p.Tasks)}
}

func partOf(p *targetrpc.Part) attempts.Part {
	return attempts.Part{Body: p.GetBody(), Failed: p.GetFailed(), Error: p.GetError(), Tasks: int(p.GetTasks())}
}

func refusal(code attempts.Code, reason string) *targetrpc.Refusal {
	r := &targetrpc.Refusal{Code: targetrpc.RefusalCode(code), Reason: reason}
	if code == attempts.CodeBusy || code == attempts.CodeNotReady {
		// A heartbeat later the entries have a fresh view of the slots.
		r.RetryMillis = uint64(HeartbeatPeriod / time.Millisecond)
	}
	return r
}

var stateOf = [...]targetrpc.AttemptState{
	attempts.None:    targetrpc.AttemptState_ATTEMPT_NONE,
	attempts.Held:    targetrpc.AttemptState_ATTEMPT_HELD,
	attempts.Running: targetrpc.AttemptState_ATTEMPT_RUNNING,
	attempts.Ran:     targetrpc.AttemptState_ATTEMPT_RAN,
	attempts.NotRun:  targetrpc.AttemptState_ATTEMPT_NOT_RUN,
	attempts.Stopped: targetrpc.AttemptState_ATTEMPT_STOPPED,
}

// reply returns the message for the state of an attempt.
func (e *Executor) reply(st attempts.Status) *targetrpc.AttemptReply {
	r := &targetrpc.AttemptReply{
		Attempt:    idMessage(st.Spec.ID),
		State:      stateOf[st.Phase],
		Generation: e.cfg.Generation(),
	}
	switch st.Phase {
	case attempts.Running:
		r.RunMillis = uint64(time.Since(st.Released) / time.Millisecond)
	case attempts.Ran:
		r.Answer = answerOf(r.Attempt, st.Parts)
	case attempts.NotRun:
		r.Refusal = refusal(st.Code, st.Reason)
	case attempts.Stopped:
		r.Reason, r.Preempted = st.Reason, st.Preempted
	}
	if st.Phase.IsEnded() && !st.Released.IsZero() {
		r.RunMillis = uint64(st.Ended.Sub(st.Released) / time.Millisecond)
	}
	return r
}

func answerOf(id *targetrpc.AttemptID, parts []attempts.Part) *targetrpc.Answer {
	a := &targetrpc.Answer{Parts: make([]*targetrpc.Part, len(parts))}
	for i, p := range parts {
		a.Parts[i] = partMessage(p)
		if p.Failed && !a.Failed {
			a.Failed, a.Error = true, p.Error
		}
	}
	a.Digest = targetrpc.Digest(id, a.Parts)
	return a
}

// other is the reply about an attempt of another incarnation, which proves
// nothing.
func (e *Executor) other(id *targetrpc.AttemptID) *targetrpc.AttemptReply {
	return &targetrpc.AttemptReply{
		Attempt:    id,
		State:      targetrpc.AttemptState_ATTEMPT_OTHER,
		Generation: e.cfg.Generation(),
	}
}

// notRun is a refusal that names no attempt to record.
func (e *Executor) notRun(id *targetrpc.AttemptID, code attempts.Code, reason string) *targetrpc.AttemptReply {
	return &targetrpc.AttemptReply{
		Attempt:    id,
		State:      targetrpc.AttemptState_ATTEMPT_NOT_RUN,
		Refusal:    refusal(code, reason),
		Generation: e.cfg.Generation(),
	}
}
