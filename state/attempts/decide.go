package attempts

import (
	"fmt"
	"time"
)

// Admit takes slots for an attempt and reports whether it did. A job with a
// single task is released at once; a gang member is held until ttl. If the
// attempt is already known, its state is returned unchanged. A refused attempt
// is recorded, so that a later copy is refused too.
func (t *Table) Admit(spec Spec, session uint64, ttl time.Duration) (Status, bool) {
	s := t.shard(spec.ID)
	s.mu.Lock()
	defer s.mu.Unlock()
	if st, ok := s.knownLocked(spec.ID); ok {
		return st, false
	}
	switch {
	case !t.sessions.valid(session):
		return t.refuseLocked(s, spec.ID, CodeSession, "the session is unknown or has expired"), false
	case t.leaving.Load():
		return t.refuseLocked(s, spec.ID, CodeLeaving, "the target is leaving"), false
	}
	keepFree := spec.KeepFree
	if spec.Class == ClassShort {
		keepFree = 0
	}
	if !t.slots.take(spec.ID, spec.Slots, keepFree) {
		return t.refuseLocked(s, spec.ID, CodeBusy, "not enough free slots"), false
	}
	now := time.Now()
	r := &record{changed: make(chan struct{}), owned: true}
	r.st = Status{Spec: spec, Phase: Held, Admitted: now, Slots: spec.Slots}
	if spec.IsGang() {
		r.st.Deadline = now.Add(min(ttl, t.limits.ReservationTTL))
		if spec.IsHub() {
			r.gang = &gang{members: make([]MemberStatus, len(spec.Members))}
		}
	} else {
		r.st.Phase, r.st.Released, r.st.Local = Running, now, LocalReleased
	}
	s.records[spec.ID] = r
	return r.copyLocked(), true
}

// Refuse records a refusal of an attempt that is not known yet. A known attempt
// is returned unchanged.
func (t *Table) Refuse(id ID, code Code, reason string) Status {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if st, ok := s.knownLocked(id); ok {
		return st
	}
	return t.refuseLocked(s, id, code, reason)
}

// Fence refuses an attempt from now on unless it has been released. The state
// that it returns shows which of the two holds.
func (t *Table) Fence(id ID, code Code, reason string) Status {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	st, ok := s.knownLocked(id)
	if !ok {
		return t.refuseLocked(s, id, code, reason)
	}
	if st.Phase == Held {
		s.records[id].refuseHeldLocked(code, reason)
	}
	return s.statusLocked(id)
}

// Shown notes that the hub may count this member as attached. It reports false
// if the attempt is no longer held. From then on only the hub can say that the
// attempt did not run.
func (t *Table) Shown(id ID) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok || r.st.Phase != Held && !r.st.Spec.IsHub() {
		return false
	}
	r.shown = true
	return true
}

// ReleaseLocal releases this target's own member of a gang. It reports false if
// the gang lease, the reservation or the attempt has ended, and then the task
// must not be released on the worker.
func (t *Table) ReleaseLocal(id ID, lease time.Time) bool {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	now := time.Now()
	if !ok || r.st.Stopping != nil || r.st.Local != LocalHeld || !now.Before(lease) {
		return false
	}
	if r.gang != nil {
		if r.st.Phase != Running || r.gang.verdict != Run {
			return false
		}
	} else {
		if r.st.Phase != Held || !now.Before(r.st.Deadline) {
			return false
		}
		r.st.Phase, r.st.Released = Running, now
	}
	r.st.Local = LocalReleased
	r.signalLocked()
	return true
}

// Lapse ends a reservation that was not released in time.
func (t *Table) Lapse(id ID) Status {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok {
		return s.statusLocked(id)
	}
	if r.st.Phase == Held && !time.Now().Before(r.st.Deadline) {
		r.refuseHeldLocked(CodeLapsed, "the reservation lapsed before the release")
	}
	return r.copyLocked()
}

// Stop asks for the stop of an attempt. One that was not released is refused
// from now on. For a gang the hub's verdict becomes Stop. The first stop wins.
func (t *Table) Stop(id ID, stop Stop) Status {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok {
		return s.statusLocked(id)
	}
	switch r.st.Phase {
	case Held:
		r.refuseHeldLocked(stop.Code, stop.Reason)
	case Running:
		r.stopLocked(stop)
	}
	return r.copyLocked()
}

// Claim holds the slots of an attempt for another attempt when they come free.
func (t *Table) Claim(id, claim ID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok && r.st.Slots > 0 {
		r.claim = claim
	}
}

// End is the end of a task on this target.
type End struct {
	Phase  Phase // Ran, NotRun or Stopped
	Code   Code
	Reason string
	Part   Part
}

// Finish ends an attempt that has not ended. It has no effect on the phase of a
// gang at its hub, which ends with the parts of its members.
func (t *Table) Finish(id ID, end End) Status {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok {
		return s.statusLocked(id)
	}
	if !r.st.Phase.IsEnded() && r.gang == nil {
		if end.Phase == NotRun && r.shown {
			end.Phase, end.Reason = Stopped, end.Reason+"; the hub decides whether the gang ran"
		}
		if end.Phase == Ran {
			r.st.Parts = []Part{end.Part}
		}
		r.endLocked(end.Phase, end.Code, end.Reason)
	}
	return r.copyLocked()
}

// Free returns the slots of an attempt whose task is no longer on the worker.
func (t *Table) Free(id ID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[id]
	if !ok || r.st.Slots == 0 && r.st.Local == LocalGone {
		return
	}
	n := r.st.Slots
	r.st.Slots, r.st.Local = 0, LocalGone
	t.slots.give(n, r.claim, t.limits.HoldTTL)
	r.signalLocked()
}

// Disown notes that no task of the process works on the attempt any more.
func (t *Table) Disown(id ID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok {
		r.owned = false
		r.signalLocked()
	}
}

// Checkpointed notes a checkpoint of the task on this target.
func (t *Table) Checkpointed(id ID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok {
		r.st.Checkpoint = time.Now()
	}
}

// refuseLocked records a refusal of an unknown attempt and ends the hold for it.
func (t *Table) refuseLocked(s *shard, id ID, code Code, reason string) Status {
	t.slots.drop(id)
	now := time.Now()
	r := &record{changed: make(chan struct{})}
	r.st = Status{Spec: Spec{ID: id}, Phase: NotRun, Code: code, Reason: reason, Admitted: now, Ended: now, Local: LocalGone}
	s.records[id] = r
	return r.copyLocked()
}

// refuseHeldLocked ends a held attempt. A member that the hub may count as
// attached can't say that the gang did not run, since the hub may have released
// the other members.
func (r *record) refuseHeldLocked(code Code, reason string) {
	if r.gang != nil {
		r.gang.verdict = StopGang
	}
	if r.gang == nil && r.shown {
		r.endLocked(Stopped, code, fmt.Sprintf("%s; the hub decides whether the gang ran", reason))
		return
	}
	r.endLocked(NotRun, code, reason)
}

func (r *record) stopLocked(stop Stop) {
	if r.st.Stopping != nil {
		return
	}
	r.st.Stopping, r.st.Preempted, r.st.Reason = &stop, stop.Preempted, stop.Reason
	if r.gang != nil {
		r.gang.verdict = StopGang
		r.settleGangLocked()
	}
	r.signalLocked()
}

func (r *record) endLocked(phase Phase, code Code, reason string) {
	r.st.Phase, r.st.Code, r.st.Ended = phase, code, time.Now()
	if phase != Ran {
		r.st.Reason = reason
	}
	r.signalLocked()
}
