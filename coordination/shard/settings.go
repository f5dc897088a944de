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
	// heartbeatPeriod is the time after which an owner without other writes rewrites its
	// row: two planning passes. It is checked at each planning pass, and
	// slowHeartbeatFactor extends it while the store is slow.
	heartbeatPeriod = 2 * planPeriod
	// staleRowAge is the age from which on the owner's row is out of date: three
	// heartbeats of the owner. Together with contactTimeout it bounds how long a shard
	// is without a planner. Guaranteed accelerators must be reclaimed within 2.9 s,
	// including a change of owner.
	staleRowAge = 3 * heartbeatPeriod
	// stalledCommitLimit is how long a transaction of the owner may take, beyond what
	// slowStoreFactor allows, before the owner asks other processes to take over, if the
	// store does not answer its reads either. It reads from storeProbeAfter on. The others
	// take over if the row is older than requestedStaleRowAge: heartbeatPeriod, its usual
	// greatest age, and planPeriod.
	stalledCommitLimit   = 300 * time.Millisecond
	storeProbeAfter      = stalledCommitLimit / 2
	requestedStaleRowAge = 3 * heartbeatPeriod / 2
	// stalledCommitCheck is how often the owner checks for a stalled transaction.
	// takeOverRequestPause bounds a request to take over and is the pause after it.
	stalledCommitCheck   = 100 * time.Millisecond
	takeOverRequestPause = 200 * time.Millisecond
	// slowStoreFactor times the duration of a read is added to staleRowAge and
	// requestedStaleRowAge, and times that of the last transaction to
	// stalledCommitLimit. A slow store delays the owner's writes by more than a read,
	// because transactions of a part are carried out one after the other.
	slowStoreFactor = 10
	// slowHeartbeatFactor times the duration of the last transaction is the shortest
	// time between two heartbeats of the owner without other writes, so that a slow part
	// has capacity for other transactions. It is at most maxHeartbeatPeriod: after a
	// single slow transaction the row must not get out of date.
	slowHeartbeatFactor = 4
	maxHeartbeatPeriod  = 2 * heartbeatPeriod
	// contactTimeout is how long an agent may be without a call of the planner before
	// its process reads the owner's row.
	contactTimeout = 500 * time.Millisecond
	// unconfirmedLimit is how long the planner may be without confirmation by the store
	// before other processes read the owner's row.
	unconfirmedLimit = 800 * time.Millisecond
	// storeRecoveryGrace is how long a candidate accepts a row that is out of date
	// after the store answers it again. The owner gets this time to write, so that an
	// outage of the store need not change the owner.
	storeRecoveryGrace = 300 * time.Millisecond
	// takeOverSpread is the longest time that a process waits before it takes over from an
	// owner that is gone. Of 240 processes, about 20 then try within the 10 ms that a
	// transaction takes.
	takeOverSpread = 150 * time.Millisecond
	// ownerCheckPause is the mean pause between two checks of the owner's row. That
	// pause is randomised, so that candidates don't act in step. It is also the pause
	// before a failed write of the target's row is repeated.
	ownerCheckPause = 250 * time.Millisecond
	// announceCheckPause is how long no planner must have called the agent before its
	// process checks that the target's row exists, and the shortest time between two such
	// checks.
	announceCheckPause = 3 * time.Second
	// planPeriod is the longest time between two planning passes.
	planPeriod = 200 * time.Millisecond
	// retryPause is the pause before a failed call to the store is repeated.
	retryPause = 50 * time.Millisecond
	// watchWait is how long an agent may wait for a change before it answers a Watch
	// call.
	watchWait = 400 * time.Millisecond
	// watchMargin is how long a Watch call may take beyond watchWait.
	watchMargin = 600 * time.Millisecond
	// processPauseLimit is by how much a Watch call may exceed its timeout before this
	// process is assumed to have been paused.
	processPauseLimit = time.Second
	// watchRetryPause is the pause after a failed Watch call; it doubles up to
	// maxWatchRetryPause.
	watchRetryPause    = 50 * time.Millisecond
	maxWatchRetryPause = 500 * time.Millisecond
	// lapseCheckPeriod is how often the owner checks whether the leases on unreachable
	// targets have lapsed.
	lapseCheckPeriod = 100 * time.Millisecond
	// orderTimeout bounds an Order call. It is enough for the agent's two attempts at
	// the worker, each of 500 ms and a delay of 150 ms.
	orderTimeout = 1600 * time.Millisecond
	// leaseSpan is how far beyond the worker's clock in the agent's last answer the
	// lease cap is set, even if the worker would grant longer leases. Runs survive this
	// long without a planner. It must exceed the duration of a change of owner, which
	// takes 7 s with a store that is 90 times slower than usual.
	leaseSpan = 10 * time.Second
	// unconfirmedGrantLimit is how long an owner extends leases without confirmation by
	// the store. With leaseSpan, runs survive an outage of the store of 14 s. A longer
	// limit would delay the restart of a lost worker's runs by as much.
	unconfirmedGrantLimit = 4 * time.Second
	// maxClockDrift is the fraction by which a worker's clock may be slow. lapseMargin
	// is added to every time after which a lease is considered lapsed.
	maxClockDrift = 0.02
	lapseMargin   = 500 * time.Millisecond
	// recordSilenceAfter is how long a target has not answered when the time of its
	// last answer is recorded for the next owner.
	recordSilenceAfter = 2 * time.Second
	// followWait is the wait of one long poll of a table. A poll whose answer is lost
	// in an outage hangs for this time and the time limit of a call, and meanwhile the
	// planner does not learn of new jobs.
	followWait = 600 * time.Millisecond
	// fenceBits is the number of low bits of a fencing token that number the tokens of
	// one epoch.
	fenceBits = 20
)

// releaseTimeout bounds each of the two writes at the end of the process: the release of
// the shard and the deletion of the target's row.
const releaseTimeout = time.Second

// Settings configure a candidate.
type Settings struct {
	Part            string        // of the store
	Name            string        // of the process, and of its target
	Address         string        // at which other processes reach the agent of this process
	OperatorAddress string        // at which operators reach this process; empty if unknown
	LeaseMax        time.Duration // longest lease that a worker grants
	Planner         planner.Settings
}

// Agents gives access to the agents of targets.
type Agents interface {
	// Agent returns a client of the agent at an address.
	Agent(address string) agentrpc.DRPCAgentClient
	// RefusesConnections reports whether a connection to an address is refused. The process there
	// may go on all the same.
	RefusesConnections(ctx context.Context, address string) bool
}

// Deps are the dependencies of a candidate.
type Deps struct {
	Store  table.Store
	Clock  *table.Clock
	Agents Agents
	Agent  *agent.Agent // of this process
	// NewConfig returns a holder of the configuration and a function that keeps the
	// holder up to date until its context ends.
	NewConfig func() (*configuration.Holder, func(ctx context.Context))
	Log       zerolog.Logger
	Metrics   *metrics.Set // nil for none
}
