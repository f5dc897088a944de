package operator

import "time"

// Kind is a kind of work that a workspace submits, and its queue. A kind without a
// workspace is open to all workspaces.
type Kind struct {
	workspace  string
	name       string
	class      Class
	idempotent bool
	limit      time.Duration
	route      Route
	pool       string
	priority   int
	attempts   int
	stretch    float64
	objective  time.Duration
	advice     Advice
}

// Route says which calls on an entry's HTTP address belong to a kind.
type Route struct {
	Host    string
	Prefix  string        // of the path; the longest prefix wins
	Public  bool          // calls need no key
	Timeout time.Duration // of one call
}

// Advice says how long the advisor of a kind takes and how long its tickets are
// valid. The zero Advice stands for a kind without an advisor.
type Advice struct {
	Decide time.Duration // for each call
	Each   time.Duration // for each worker named in a call, besides
	Valid  time.Duration
}

// NewKind returns a non-idempotent kind without a limit on its run time.
func NewKind(workspace, name string, class Class) Kind {
	return Kind{workspace: workspace, name: name, class: class, priority: class.priority()}
}

// WithClass returns a copy of k of another scheduling class.
func (k Kind) WithClass(c Class) Kind {
	k.class = c
	return k
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

// WithRoute returns a copy of k that is called by r.
func (k Kind) WithRoute(r Route) Kind {
	k.route = r
	return k
}

// WithPool returns a copy of k whose tasks run on the workers of a pool. Without a
// pool, they run on all workers.
func (k Kind) WithPool(pool string) Kind {
	k.pool = pool
	return k
}

// WithPriority returns a copy of k with another priority: 0 comes first and may
// claim the guarantee of its workspace.
func (k Kind) WithPriority(priority int) Kind {
	k.priority = priority
	return k
}

// WithAttempts returns a copy of k whose tasks may fail n times before the job is
// given up.
func (k Kind) WithAttempts(n int) Kind {
	k.attempts = n
	return k
}

// WithObjective returns a copy of k whose jobs should end within stretch times
// their longest chain of work and d more.
func (k Kind) WithObjective(stretch float64, d time.Duration) Kind {
	k.stretch, k.objective = stretch, d
	return k
}

// WithAdvice returns a copy of k whose steps run only on workers that the advisor
// names.
func (k Kind) WithAdvice(a Advice) Kind {
	k.advice = a
	return k
}

// Workspace returns the name of the workspace, or "" for all.
func (k Kind) Workspace() string { return k.workspace }

// Name returns the name, unique within the workspace.
func (k Kind) Name() string { return k.name }

// Queue returns the name of the kind's queue, unique in the configuration.
func (k Kind) Queue() string {
	if k.workspace == "" {
		return k.name
	}
	return k.workspace + "/" + k.name
}

// Class returns the scheduling class.
func (k Kind) Class() Class { return k.class }

// Idempotent reports whether requests of the kind may run more than once.
func (k Kind) Idempotent() bool { return k.idempotent }

// Limit returns the time after which a task is stopped, or 0.
func (k Kind) Limit() time.Duration { return k.limit }

// Route returns how the kind is called over HTTP.
func (k Kind) Route() Route { return k.route }

// Pool returns the pool of workers, or "" for all.
func (k Kind) Pool() string { return k.pool }

// Priority returns the priority; 0 comes first.
func (k Kind) Priority() int { return k.priority }

// Attempts returns how often a task may fail before the job is given up.
func (k Kind) Attempts() int { return k.attempts }

// Stretch returns the factor of the objective.
func (k Kind) Stretch() float64 { return k.stretch }

// Objective returns the constant part of the objective.
func (k Kind) Objective() time.Duration { return k.objective }

// Advice returns the figures of the advisor.
func (k Kind) Advice() Advice { return k.advice }
