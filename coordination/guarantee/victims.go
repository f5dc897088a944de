package guarantee

import (
	"cmp"
	"slices"

	"github.com/medlargrade/medlargrade/coordination/placement"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/targets"
)

// Attempt names a victim.
type Attempt struct {
	Job    string
	Number uint32
}

// HubVictims are the victims that one hub decides on.
type HubVictims struct {
	Hub      targets.Hub
	Attempts []Attempt // sorted
}

// Victims is the work that must give way to a claim.
type Victims struct {
	ByHub     []HubVictims        // sorted by target
	Placement placement.Placement // of the claim once the victims are gone
	Slots     int                 // that the victims free, on all targets
	// Straddles reports that a victim was partly within its workspace's
	// guarantee.
	Straddles bool
}

// attempt is all that the tasks say of one attempt.
type attempt struct {
	Attempt
	hub        targets.Hub
	workspace  string
	idempotent bool
	candidate  placement.Candidate
	slots      int
	released   bool
}

// Victims chooses the work whose preemption makes the claim's shape placeable on
// the site. The claim may use the lane and the slots held for a waiting gang. It
// returns false if no choice was found.
func (l *Ledger) Victims(shape operator.Shape, site *placement.Site) (Victims, bool) {
	r := placement.Request{Shape: shape, UseLane: true, Holder: true}
	attempts := l.attempts()
	budget := placement.Budget{Slots: make(map[string]int)}
	for w := range l.use {
		if lent := l.Use(w).Lent; lent > 0 {
			budget.Slots[w] = lent
		}
	}
	// Work that has not been released may itself wait for slots of a victim, so its
	// preemption would free nothing.
	attempts = slices.DeleteFunc(attempts, func(a attempt) bool { return !a.released || budget.Slots[a.workspace] == 0 })
	idempotent := slices.DeleteFunc(slices.Clone(attempts), func(a attempt) bool { return !a.idempotent })
	// A gang that straddles its guarantee is eligible only if nothing else is, even
	// if the alternative is non-idempotent.
	for _, overdraw := range []bool{false, true} {
		budget.Overdraw = overdraw
		for _, from := range [][]attempt{idempotent, attempts} {
			candidates := make([]placement.Candidate, len(from))
			for i, a := range from {
				candidates[i] = a.candidate
			}
			if chosen, p, ok := site.Clear(r, candidates, &budget); ok {
				return l.victims(from, chosen, p), true
			}
		}
	}
	return Victims{}, false
}

func (l *Ledger) victims(from []attempt, chosen []int, p placement.Placement) Victims {
	v := Victims{Placement: p}
	byHub := make(map[targets.Hub][]Attempt)
	taken := make(map[string]int)
	for _, k := range chosen {
		a := from[k]
		byHub[a.hub] = append(byHub[a.hub], a.Attempt)
		taken[a.workspace] += a.slots
		v.Slots += a.slots
	}
	for w, n := range taken {
		v.Straddles = v.Straddles || n > l.Use(w).Lent
	}
	for hub, attempts := range byHub {
		slices.SortFunc(attempts, func(a, b Attempt) int {
			return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Number, b.Number))
		})
		v.ByHub = append(v.ByHub, HubVictims{Hub: hub, Attempts: attempts})
	}
	slices.SortFunc(v.ByHub, func(a, b HubVictims) int {
		return cmp.Or(cmp.Compare(a.Hub.Target, b.Hub.Target), cmp.Compare(a.Hub.Incarnation, b.Hub.Incarnation))
	})
	return v
}

// attempts groups the tasks, so that gangs are taken as a whole.
func (l *Ledger) attempts() []attempt {
	index := make(map[Attempt]int)
	var out []attempt
	for _, t := range l.tasks {
		id := Attempt{Job: t.Job, Number: t.Number}
		i, ok := index[id]
		if !ok {
			i = len(out)
			index[id] = i
			a := attempt{Attempt: id, hub: t.Hub, workspace: t.Workspace, idempotent: l.idempotent(t)}
			if a.hub.Target == "" {
				a.hub.Target = t.Target
			}
			a.candidate = placement.Candidate{Tier: tier(t.Class, a.idempotent), Owner: t.Workspace}
			out = append(out, a)
		}
		a := &out[i]
		a.slots += t.Slots
		a.released = a.released || t.Released
		a.candidate.Members = append(a.candidate.Members, placement.Member{Target: t.Target, Slots: t.Slots})
		a.candidate.Cost += t.SinceCheckpoint.Seconds() * float64(t.Slots)
	}
	return out
}

// tier orders victims by what their loss means to their owner.
func tier(class string, idempotent bool) int {
	n := 2
	switch operator.Class(class) {
	case operator.ClassFill:
		n = 0
	case operator.ClassLong:
		n = 1
	case operator.ClassShort:
	}
	if !idempotent {
		n += 3
	}
	return n
}
