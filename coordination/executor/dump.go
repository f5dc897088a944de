package executor

import (
	"slices"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/state/attempts"
)

// State is the whole state of an Executor for the state dump.
type State struct {
	Target      string
	Incarnation uint64
	Generation  uint64
	Highest     uint64 // highest generation seen
	Leaving     bool
	Ready       bool
	Slots       int
	FreeSlots   int
	WorkerLoad  uint32 // percent
	ContactLeft string // of the contact lease
	Sessions    []attempts.Session
	Holds       []attempts.Hold
	Attempts    []AttemptState
	Entries     []EntryState
}

// AttemptState is one attempt in a State.
type AttemptState struct {
	Attempt   string
	Workspace string
	Kind      string
	Class     string
	Slots     int // still taken
	Lent      bool
	Phase     string
	Reason    string
	Stopping  bool
	Admitted  time.Time
	Released  time.Time
	Ended     time.Time
	Index     int
	Hub       int
	Members   []MemberState
}

// MemberState is what a hub knows of a member.
type MemberState struct {
	Target string
	State  string
	Seen   time.Time
}

// EntryState is what a target knows of an entry that it reports to.
type EntryState struct {
	Address  string
	Silent   bool
	Sequence uint64 // of the last acknowledged report; 0 for none
}

// Dump returns the whole state.
func (e *Executor) Dump() State {
	now := time.Now()
	s := State{
		Target:      e.cfg.Name,
		Incarnation: e.incarnation,
		Generation:  e.cfg.Generation(),
		Highest:     e.highest.Load(),
		Leaving:     e.table.Leaving(),
		Ready:       e.cfg.Ready(),
		Slots:       e.cfg.Slots,
		FreeSlots:   e.table.FreeSlots(),
		WorkerLoad:  e.load.Load(),
		ContactLeft: e.contact.left(now).String(),
		Sessions:    e.table.Sessions(),
		Holds:       e.table.Holds(),
		Entries:     e.reporter.dump(now),
	}
	for _, st := range e.table.List(func(*attempts.Status) bool { return true }) {
		s.Attempts = append(s.Attempts, dumpAttempt(st))
	}
	slices.SortFunc(s.Attempts, func(a, b AttemptState) int { return strings.Compare(a.Attempt, b.Attempt) })
	return s
}

func dumpAttempt(st attempts.Status) AttemptState {
	a := AttemptState{
		Attempt:   st.Spec.ID.String(),
		Workspace: st.Spec.Workspace,
		Kind:      st.Spec.Kind,
		Class:     st.Spec.Class,
		Slots:     st.Slots,
		Lent:      st.Spec.Lent,
		Phase:     st.Phase.String(),
		Reason:    st.Reason,
		Stopping:  st.Stopping != nil,
		Admitted:  st.Admitted,
		Released:  st.Released,
		Ended:     st.Ended,
		Index:     st.Spec.Index,
		Hub:       st.Spec.Hub,
	}
	for i, m := range st.Spec.Members {
		ms := MemberState{Target: m.Target}
		if i < len(st.Members) {
			ms.State, ms.Seen = memberStates[st.Members[i].State].String(), st.Members[i].Seen
		}
		a.Members = append(a.Members, ms)
	}
	return a
}

func (c *contact) left(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return max(c.until.Sub(now), 0)
}

func (r *reporter) dump(now time.Time) []EntryState {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]EntryState, 0, len(r.known))
	for a, s := range r.known {
		es := EntryState{Address: a, Silent: now.Before(s.silentUntil)}
		if s.acked != nil {
			es.Sequence = s.acked.seq
		}
		out = append(out, es)
	}
	slices.SortFunc(out, func(a, b EntryState) int { return strings.Compare(a.Address, b.Address) })
	return out
}
