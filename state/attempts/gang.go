package attempts

import (
	"fmt"
	"time"
)

// Verdict is the decision of a hub on its gang.
type Verdict uint8

// Verdicts, with the values of the protocol of the target.
const (
	Wait Verdict = iota
	Run
	StopGang
)

// MemberState is what a member last reported.
type MemberState uint8

// States of a member, with the values of the protocol of the target.
const (
	MemberHeld MemberState = iota
	MemberRunning
	MemberDone
	MemberLost
)

// MemberStatus is what a hub knows of a member.
type MemberStatus struct {
	State MemberState
	Seen  time.Time // arrival of the last pulse; zero if none arrived
	Part  Part
}

func (m *MemberStatus) isEnded() bool { return m.State == MemberDone || m.State == MemberLost }

// gang is the part of a hub's record that concerns all members.
type gang struct {
	verdict Verdict
	members []MemberStatus
	failed  bool // a task ended with an error of its own before any other stop
}

// Pulse is the report of a member.
type Pulse struct {
	ID          ID
	Index       int
	Incarnation uint64 // of the member's target process
	State       MemberState
	Part        Part
	Reason      string // why the member was lost
}

// PulseResult is the decision of the hub on a pulse.
type PulseResult struct {
	Verdict Verdict
	Ended   bool // the gang has ended
	Known   bool // the hub holds or held the gang
	Changed <-chan struct{}
}

// Pulse records the report of a member and returns the verdict.
func (t *Table) Pulse(p Pulse) PulseResult {
	s := t.shard(p.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[p.ID]
	if !ok {
		return s.unknownGangLocked(p.ID)
	}
	if r.gang == nil || p.Index < 0 || p.Index >= len(r.gang.members) ||
		r.st.Spec.Members[p.Index].Incarnation != p.Incarnation {
		return PulseResult{Verdict: StopGang, Ended: true, Known: true}
	}
	m := &r.gang.members[p.Index]
	first := m.Seen.IsZero()
	m.Seen = time.Now()
	r.reportLocked(p)
	if first {
		r.signalLocked()
	}
	return r.pulseResultLocked()
}

// Verdict returns the current verdict of a gang.
func (t *Table) Verdict(id ID) PulseResult {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok {
		return s.unknownGangLocked(id)
	}
	if r.gang == nil {
		return PulseResult{Verdict: StopGang, Ended: true, Known: true}
	}
	return r.pulseResultLocked()
}

// unknownGangLocked is the result for a gang without a record, which has ended
// if there is a marker for it.
func (s *shard) unknownGangLocked(id ID) PulseResult {
	if _, ok := s.knownLocked(id); ok {
		return PulseResult{Verdict: StopGang, Ended: true, Known: true}
	}
	return PulseResult{}
}

func (r *record) pulseResultLocked() PulseResult {
	return PulseResult{Verdict: r.gang.verdict, Ended: r.st.Phase.IsEnded(), Known: true, Changed: r.changed}
}

func (r *record) reportLocked(p Pulse) {
	m := &r.gang.members[p.Index]
	// Done and Lost are final, and a report that was overtaken by a later one
	// must not take a member back to an earlier state.
	if m.isEnded() || p.State < m.State || r.st.Phase.IsEnded() {
		return
	}
	changed := m.State != p.State
	switch p.State {
	case MemberDone:
		if r.st.Phase != Running {
			r.loseLocked(p.Index, "ended before the release")
			return
		}
		m.State, m.Part = MemberDone, p.Part
		if p.Part.Failed && r.st.Stopping == nil {
			r.gang.failed = true
			r.stopLocked(Stop{Reason: fmt.Sprintf("the task of member %d failed", p.Index)})
		}
	case MemberLost:
		r.loseLocked(p.Index, p.Reason)
		return
	default:
		m.State = p.State
	}
	r.settleGangLocked()
	if changed {
		r.signalLocked()
	}
}

// loseLocked records the loss of a member and stops the gang.
func (r *record) loseLocked(index int, reason string) {
	r.gang.members[index].State = MemberLost
	reason = fmt.Sprintf("member %d (%s) was lost: %s", index, r.st.Spec.Members[index].Target, reason)
	switch r.st.Phase {
	case Held:
		code := CodeMember
		if !time.Now().Before(r.st.Deadline) {
			code = CodeLapsed
		}
		r.refuseHeldLocked(code, reason)
	case Running:
		r.stopLocked(Stop{Code: CodeMember, Reason: reason})
		r.settleGangLocked()
	}
}

// settleGangLocked ends a released gang once every member has ended.
func (r *record) settleGangLocked() {
	if r.st.Phase != Running {
		return
	}
	whole := true
	for i := range r.gang.members {
		if !r.gang.members[i].isEnded() {
			return
		}
		whole = whole && r.gang.members[i].State == MemberDone
	}
	if !whole && !r.gang.failed {
		r.endLocked(Stopped, CodeNone, r.st.Reason)
		return
	}
	r.st.Parts = make([]Part, len(r.gang.members))
	for i, m := range r.gang.members {
		r.st.Parts[i] = m.Part
		if m.State != MemberDone {
			r.st.Parts[i] = Part{Failed: true, Error: "stopped: " + r.st.Reason}
		}
	}
	r.endLocked(Ran, CodeNone, "")
}

// Attached reports whether every member of a held gang is attached within the
// gang lease.
func (s *Status) Attached(lease time.Duration) bool {
	now := time.Now()
	for _, m := range s.Members {
		if m.State != MemberHeld || m.Seen.IsZero() || now.Sub(m.Seen) >= lease {
			return false
		}
	}
	return len(s.Members) > 0
}

// Release decides on the release of a gang at its hub. Unless every member is
// attached within the gang lease, the session is valid and the reservation has
// not lapsed, the attempt is refused for good.
func (t *Table) Release(id ID, session uint64) Status {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.knownLocked(id)
	if !ok {
		return t.refuseLocked(s, id, CodeLapsed, "the attempt is not reserved here")
	}
	if st.Phase != Held {
		return st
	}
	r := s.records[id]
	now := time.Now()
	switch {
	case r.gang == nil:
		r.refuseHeldLocked(CodeInvalid, "this target is not the hub")
	case !t.sessions.valid(session):
		r.refuseHeldLocked(CodeSession, "the session is unknown or has expired")
	case t.leaving.Load():
		r.refuseHeldLocked(CodeLeaving, "the hub is leaving")
	case !now.Before(r.st.Deadline):
		r.refuseHeldLocked(CodeLapsed, "the reservation lapsed before the release")
	case !st.Attached(t.limits.GangLease):
		r.refuseHeldLocked(CodeMember, "not every member is attached")
	default:
		r.st.Phase, r.st.Released, r.gang.verdict = Running, now, Run
		r.signalLocked()
	}
	return r.copyLocked()
}

// Silence stops each released gang of which a member has been silent for the
// gang lease, and returns the gangs that it stopped.
func (t *Table) Silence() []ID {
	var out []ID
	now := time.Now()
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, r := range s.records {
			if r.gang == nil || r.st.Phase != Running {
				continue
			}
			for j := range r.gang.members {
				m := &r.gang.members[j]
				if !m.isEnded() && now.Sub(m.Seen) >= t.limits.GangLease {
					r.loseLocked(j, fmt.Sprintf("silent for %v", t.limits.GangLease))
					out = append(out, id)
				}
			}
		}
		s.mu.Unlock()
	}
	return out
}
