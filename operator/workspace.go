package operator

import (
	"slices"
	"time"
)

// Workspace is a tenant with guaranteed shapes of capacity.
type Workspace struct {
	name       string
	guarantees []Shape
	queueLimit int
}

// DefaultQueueLimit is the number of requests of a workspace that may wait at
// one entry.
const DefaultQueueLimit = 1000

// NewWorkspace returns a workspace without a guarantee.
func NewWorkspace(name string) Workspace {
	return Workspace{name: name, queueLimit: DefaultQueueLimit}
}

// WithGuarantee returns a copy of w with one more guaranteed shape.
func (w Workspace) WithGuarantee(s Shape) Workspace {
	w.guarantees = append(slices.Clone(w.guarantees), s)
	return w
}

// WithQueueLimit returns a copy of w of which at most n requests wait at one
// entry.
func (w Workspace) WithQueueLimit(n int) Workspace {
	w.queueLimit = n
	return w
}

// Name returns the name, unique in the configuration.
func (w Workspace) Name() string { return w.name }

// Guarantees returns the guaranteed shapes.
func (w Workspace) Guarantees() []Shape { return slices.Clone(w.guarantees) }

// GuaranteedSlots returns the slots of all guaranteed shapes.
func (w Workspace) GuaranteedSlots() int {
	n := 0
	for _, s := range w.guarantees {
		n += s.Slots()
	}
	return n
}

// QueueLimit returns the number of requests that may wait at one entry.
func (w Workspace) QueueLimit() int { return w.queueLimit }

// Class is the scheduling class of a kind.
type Class string

// Classes of work.
const (
	ClassShort Class = "short" // somebody waits for the answer
	ClassLong  Class = "long"  // runs for minutes to hours
	ClassFill  Class = "fill"  // takes what is left and gives way first
)

// Kind is a kind of work that a workspace submits.
type Kind struct {
	workspace  string
	name       string
	class      Class
	idempotent bool
	limit      time.Duration
}

// NewKind returns a non-idempotent kind without a limit on its run time.
func NewKind(workspace, name string, class Class) Kind {
	return Kind{workspace: workspace, name: name, class: class}
}

// WithIdempotent returns a copy of k whose requests may or may not be run more
// than once by default. A request can always ask to run at most once.
func (k Kind) WithIdempotent(idempotent bool) Kind {
	k.idempotent = idempotent
	return k
}

// WithLimit returns a copy of k whose tasks are stopped after d. 0 means no
// limit.
func (k Kind) WithLimit(d time.Duration) Kind {
	k.limit = d
	return k
}

// Workspace returns the name of the workspace.
func (k Kind) Workspace() string { return k.workspace }

// Name returns the name, unique within the workspace.
func (k Kind) Name() string { return k.name }

// Class returns the scheduling class.
func (k Kind) Class() Class { return k.class }

// Idempotent reports whether requests of the kind may run more than once.
func (k Kind) Idempotent() bool { return k.idempotent }

// Limit returns the time after which a task is stopped, or 0.
func (k Kind) Limit() time.Duration { return k.limit }
