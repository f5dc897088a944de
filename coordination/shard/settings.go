package shard

import (
	"context"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// beatPeriod is the longest time between two writes of the owner's row: two
	// passes.
	beatPeriod = 2 * planPeriod
	// beatStale is the age from which on the row is out of date: three periods.
	// Together with contactSilence it bounds how long a shard is without a planner: a
	// claim on a guarantee has 2.9 s in all.
	beatStale = 3 * beatPeriod
	// stuckLimit is how long a transaction of the owner may take, beyond a slow store's
	// time, before it asks other processes to take over. They do so if they find the
	// row to be askedStale old, half a period more than it gets otherwise.
	stuckLimit = 300 * time.Millisecond
	askedStale = 3 * beatPeriod / 2
	// stuckCheck is how often the owner checks for that, and askPause is the pause
	// before it asks the next process.
	stuckCheck = 100 * time.Millisecond
	askPause   = 200 * time.Millisecond
	// slowStoreFactor times the duration of a read is added to beatStale. A store
	// that is slow delays the owner's writes by more than a read: transactions of a
	// part take their turn.
	slowStoreFactor = 10
	// slowBeatFactor times the duration of the last transaction is the least time
	// between two writes of the owner's row, so that a slow part has room for
	// others.
	slowBeatFactor = 4
	// contactSilence is how long the planner may not have called an agent before
	// its process looks at the row.
	contactSilence = 500 * time.Millisecond
	// unconfirmedLimit is how long the store may not have confirmed the planner
	// before other processes look at the row themselves.
	unconfirmedLimit = 800 * time.Millisecond
	// backGrace is how long a process leaves the owner time to write after the store
	// answers it again: after an outage the owner need not change.
	backGrace = 300 * time.Millisecond
	// lookPause is the pause between two looks at the row; a random part is added,
	// so that candidates don't act in step.
	lookPause = 250 * time.Millisecond
	// planPeriod is the longest time between two passes.
	planPeriod = 200 * time.Millisecond
	// retryPause is the pause before a transaction is repeated.
	retryPause = 50 * time.Millisecond
	// watchWait is how long an agent may wait for news before it answers.
	watchWait = 400 * time.Millisecond
	// watchTimeout is how much longer the answer may take.
	watchTimeout = 600 * time.Millisecond
	// pausedLimit is by how much a call may outlast its bound before it is taken that
	// this process was paused.
	pausedLimit = time.Second
	// watchPause is the pause after a failed call to an agent; it doubles up to
	// maxWatchPause.
	watchPause    = 50 * time.Millisecond
	maxWatchPause = 500 * time.Millisecond
	// orderTimeout bounds a call that carries orders: two tries at the worker.
	orderTimeout = 1600 * time.Millisecond
	// leaseSpan is how far beyond the worker's clock in the agent's last answer the cap
	// of its leases lies, whatever the worker would grant: the time that runs survive
	// without a planner. In a store that is 90 times slower than usual, a change of the
	// owner takes 7 s.
	leaseSpan = 10 * time.Second
	// grantLimit is how long an owner that the store does not confirm goes on to
	// extend leases. With leaseSpan, work outlasts an outage of the store of 14 s. A
	// longer time would keep work of a lost worker waiting for as long.
	grantLimit = 4 * time.Second
	// clockError is by how much a worker's clock may be slow, and lapseMargin is
	// added to every time after which a lease counts as lapsed.
	clockError  = 0.02
	lapseMargin = 500 * time.Millisecond
	// silentRecorded is how long a target has not answered when the time of its last
	// answer is recorded for the next owner.
	silentRecorded = 2 * time.Second
	// followWait is the wait of one watch of a table. A watch whose answer is lost in an
	// outage hangs for this time and the time limit of a call, in which the planner
	// does not learn of new jobs.
	followWait = 600 * time.Millisecond
	// fenceBits is the room for fencing tokens of one epoch.
	fenceBits = 20
)

// Settings of a candidate.
type Settings struct {
	Part    string // of the store
	Name    string // of the process
	Address string // at which the planner and the agent of this process are reached
	HoldMax time.Duration
	Planner planner.Settings
}

// Agents gives access to the agents of targets.
type Agents interface {
	// Agent returns a client for the agent at an address.
	Agent(address string) agentrpc.DRPCAgentClient
	// Refuses reports whether an address certainly has no listener.
	Refuses(ctx context.Context, address string) bool
}

// Deps are what a candidate works with.
type Deps struct {
	Store  table.Store
	Clock  *table.Clock
	Agents Agents
	Agent  *agent.Agent // of this process
	// NewConfig returns a holder of the configuration and a function that follows
	// it until its context ends.
	NewConfig func() (*configuration.Holder, func(ctx context.Context))
	Log       zerolog.Logger
	Metrics   *metrics.Set // nil for none
}
