package operator

import "time"

// Kind is a job type: its queue, scheduling class, retry policy and route. A kind
// without a workspace is open to all workspaces; only the configuration of the
// platform can define one, since Check rejects it.
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

// Route determines which HTTP requests to an entry belong to a kind.
type Route struct {
	Host    string
	Prefix  string        // of the path; the longest prefix wins
	Public  bool          // requests need no API key
	Timeout time.Duration // of one request
}

// Advice describes the advisor of a kind. An advisor is a service of the platform that
// names the workers on which a step may run; a ticket is its permission to start a run,
// which is passed to the worker with the start. The planner does not use advisors. The
// zero Advice means that the kind has no advisor.
type Advice struct {
	CallTime       time.Duration // duration of a call
	TimePerWorker  time.Duration // additional duration for each worker named in a call
	TicketLifetime time.Duration // lifetime of a ticket
}

// NewKind returns a non-idempotent kind without a limit on its run time.
func NewKind(workspace, name string, class Class) Kind {
	return Kind{workspace: workspace, name: name, class: class, priority: class.priority()}
}

// WithClass returns a copy of k with scheduling class c. It leaves the priority as
// it is.
func (k Kind) WithClass(c Class) Kind {
	k.class = c
	return k
}

// WithIdempotent returns a copy of k that sets whether requests may run more than
// once by default. A request can always ask to run at most once.
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

// WithRoute returns a copy of k to which the HTTP requests that match r belong.
func (k Kind) WithRoute(r Route) Kind {
	k.route = r
	return k
}

// WithPool returns a copy of k whose tasks run only on the workers of a pool.
// Without a pool, they may run on any worker.
func (k Kind) WithPool(pool string) Kind {
	k.pool = pool
	return k
}

// WithPriority returns a copy of k with another priority; 0 is the highest. A kind
// that is open to all workspaces may claim the guarantee of the submitting
// workspace only at priority 0.
func (k Kind) WithPriority(priority int) Kind {
	k.priority = priority
	return k
}

// WithAttempts returns a copy of k whose jobs fail when a task has failed n times.
func (k Kind) WithAttempts(n int) Kind {
	k.attempts = n
	return k
}

// WithObjective returns a copy of k whose jobs should end within stretch times the
// run time of their critical path, plus d.
func (k Kind) WithObjective(stretch float64, d time.Duration) Kind {
	k.stretch, k.objective = stretch, d
	return k
}

// WithAdvice returns a copy of k with the description a of its advisor, as decoded from
// the platform's configuration. The planner does not use it.
func (k Kind) WithAdvice(a Advice) Kind {
	k.advice = a
	return k
}

// Workspace returns the name of the workspace, or "" if the kind is open to all.
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

// Limit returns the run time after which a task is stopped, or 0 for no limit.
func (k Kind) Limit() time.Duration { return k.limit }

// Route returns which HTTP requests belong to the kind.
func (k Kind) Route() Route { return k.route }

// Pool returns the name of the pool, or "" for any worker.
func (k Kind) Pool() string { return k.pool }

// Priority returns the priority; 0 is the highest.
func (k Kind) Priority() int { return k.priority }

// Attempts returns the number of failures of a task at which its job fails, or 0
// for the default.
func (k Kind) Attempts() int { return k.attempts }

// Stretch returns the factor of the objective that applies to the critical path.
func (k Kind) Stretch() float64 { return k.stretch }

// Objective returns the constant part of the objective.
func (k Kind) Objective() time.Duration { return k.objective }

// Advice returns the description of the advisor.
func (k Kind) Advice() Advice { return k.advice }
