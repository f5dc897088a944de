package guarantee

import (
	"slices"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/targets"
)

// Use is the account of one workspace, in slots.
type Use struct {
	Slots      int // held or running
	Guarantee  int
	Guaranteed int // part of Slots within the guarantee
	Lent       int // part of Slots beyond the guarantee
	Unused     int // part of the guarantee that is not in use
}

// Ledger is the account of all workspaces at one time. It is not safe for
// concurrent use.
type Ledger struct {
	cfg        operator.Config
	kinds      map[[2]string]operator.Kind
	guarantees map[string]int
	use        map[string]int
	tasks      []targets.Task
	idempotent func(targets.Task) bool
}

// NewLedger returns the account of the given tasks. The tasks must include the
// entry's own recent effects, as targets.View.Tasks does.
func NewLedger(cfg operator.Config, tasks []targets.Task) *Ledger {
	use := make(map[string]int)
	for _, t := range tasks {
		use[t.Workspace] += t.Slots
	}
	l := NewUseLedger(cfg, use)
	l.tasks = slices.Clip(tasks)
	return l
}

// NewUseLedger returns an account that knows how many slots each workspace uses,
// but not the tasks, so that it has no victims to offer. It takes over the map.
func NewUseLedger(cfg operator.Config, use map[string]int) *Ledger {
	l := &Ledger{
		cfg:        cfg,
		kinds:      make(map[[2]string]operator.Kind),
		guarantees: make(map[string]int),
		use:        use,
	}
	for _, k := range cfg.Kinds() {
		l.kinds[[2]string{k.Workspace(), k.Name()}] = k
	}
	for _, w := range cfg.Workspaces() {
		l.guarantees[w.Name()] = w.GuaranteedSlots()
	}
	l.idempotent = func(t targets.Task) bool { return l.kinds[[2]string{t.Workspace, t.Kind}].Idempotent() }
	return l
}

// SetIdempotent replaces the test whether a task may run more than once. By
// default the kind decides; a caller that knows the requests can be more precise.
func (l *Ledger) SetIdempotent(f func(targets.Task) bool) { l.idempotent = f }

// Add counts a task that has been dispatched since the ledger was made.
func (l *Ledger) Add(t targets.Task) {
	// The first append moves the tasks to an array of the ledger's own.
	l.tasks = append(l.tasks, t)
	l.use[t.Workspace] += t.Slots
}

// Remove takes out the tasks of an attempt that has ended since the ledger was made.
func (l *Ledger) Remove(job string, number uint32) {
	l.tasks = slices.DeleteFunc(slices.Clone(l.tasks), func(t targets.Task) bool {
		gone := t.Job == job && t.Number == number
		if gone {
			l.use[t.Workspace] -= t.Slots
		}
		return gone
	})
}

// Use returns the account of a workspace.
func (l *Ledger) Use(workspace string) Use {
	u := Use{Slots: l.use[workspace], Guarantee: l.guarantees[workspace]}
	u.Guaranteed = min(u.Slots, u.Guarantee)
	u.Lent = u.Slots - u.Guaranteed
	u.Unused = u.Guarantee - u.Guaranteed
	return u
}

// Lends reports whether a job of the shape, started now, would run on lent
// capacity.
func (l *Ledger) Lends(workspace string, shape operator.Shape) bool {
	return l.use[workspace]+shape.Slots() > l.guarantees[workspace]
}

// IsClaim reports whether a job may reclaim lent capacity: it is not fill work,
// fits into the unused guarantee, and one of the guaranteed shapes includes its
// shape.
func (l *Ledger) IsClaim(workspace string, class operator.Class, shape operator.Shape) bool {
	if class == operator.ClassFill || shape.Slots() <= 0 || l.Lends(workspace, shape) {
		return false
	}
	w, ok := l.cfg.Workspace(workspace)
	return ok && includes(w.Guarantees(), shape)
}

// includes reports whether capacity of the guaranteed shapes can hold the shape.
func includes(guarantees []operator.Shape, shape operator.Shape) bool {
	w, a := shape.Workers(), shape.Accelerators()
	sum := 0
	for _, g := range guarantees {
		onWorker, all := g.Accelerators()/a, g.Workers()*(g.Accelerators()/a)
		if g.Adjacency() == operator.AdjacentWorker {
			onWorker = g.Slots() / a
			all = onWorker
		}
		adjacent := onWorker // members that are in one rack for certain
		if g.Adjacency() == operator.AdjacentRack {
			adjacent = all
		}
		switch shape.Adjacency() {
		case operator.AdjacentWorker:
			if onWorker >= w {
				return true
			}
		case operator.AdjacentRack:
			if adjacent >= w {
				return true
			}
		default:
			sum += all
		}
	}
	return sum >= w
}
