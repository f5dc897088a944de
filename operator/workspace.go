package operator

import "slices"

// Workspace is a tenant with guaranteed capacity, queues and API keys.
type Workspace struct {
	name       string
	guarantees []Shape
	queueLimit int
	keys       []string
	guaranteed int
}

// DefaultQueueLimit is the queue limit of a workspace that sets none. As described at
// WithQueueLimit, it has the effect of 500.
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

// WithQueueLimit returns a copy of w whose requests are refused while n jobs wait
// in the queue of their kind. An n above 500 has the effect of 500, the largest limit
// that package intake applies.
func (w Workspace) WithQueueLimit(n int) Workspace {
	w.queueLimit = n
	return w
}

// WithKey returns a copy of w with one more API key.
func (w Workspace) WithKey(key string) Workspace {
	w.keys = append(slices.Clone(w.keys), key)
	return w
}

// WithExtraGuaranteedAccelerators returns a copy of w that is guaranteed n
// accelerators beyond its guaranteed shapes, in any arrangement.
func (w Workspace) WithExtraGuaranteedAccelerators(n int) Workspace {
	w.guaranteed = n
	return w
}

// Name returns the name, unique in the configuration.
func (w Workspace) Name() string { return w.name }

// Keys returns the API keys.
func (w Workspace) Keys() []string { return slices.Clone(w.keys) }

// ExtraGuaranteedAccelerators returns the number of accelerators that are guaranteed
// beyond the guaranteed shapes.
func (w Workspace) ExtraGuaranteedAccelerators() int { return w.guaranteed }

// Guarantees returns the guaranteed shapes.
func (w Workspace) Guarantees() []Shape { return slices.Clone(w.guarantees) }

// GuaranteedSlots returns the total number of slots of all guarantees.
func (w Workspace) GuaranteedSlots() int {
	n := w.guaranteed
	for _, s := range w.guarantees {
		n += s.Slots()
	}
	return n
}

// QueueLimit returns the number of jobs that may wait in each queue, as configured.
func (w Workspace) QueueLimit() int { return w.queueLimit }

// Class is the scheduling class of a kind.
type Class string

// Scheduling classes.
const (
	ClassShort Class = "short" // a caller waits for the result
	ClassLong  Class = "long"  // runs for minutes to hours
	ClassFill  Class = "fill"  // uses capacity that is left over and is preempted first
)

// priority returns the default priority of a kind of the class.
func (c Class) priority() int {
	switch c {
	case ClassShort:
		return 0
	case ClassFill:
		return 2
	case ClassLong:
	}
	return 1
}
