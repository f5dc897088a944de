package agent

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/table"
)

// Settings of an Agent.
type Settings struct {
	Name     string        // of the target; not read by this package
	LeaseMax time.Duration // maximum lease that the worker grants
	Metrics  *metrics.Set  // nil for none
}

// WorkerHeartbeat is a heartbeat of the worker: what it reports about itself.
type WorkerHeartbeat struct {
	Incarnation  *agentrpc.Life
	Pool         string
	DataCentre   string
	Machine      string
	CPU          int64 // thousandths of a core
	MemoryMB     int64
	Accelerators int64
	Labels       []string
	Rack         string
	Draining     bool
	Remaining    time.Duration // minimum time left while it drains
	ColdLeft     time.Duration // how much longer it stays slow after its start
	Clock        WorkerTime
	Sequence     uint64 // increases with each heartbeat of an incarnation
}

// Agent is the agent of one worker. Its methods are safe for concurrent use.
type Agent struct {
	cfg       Settings
	worker    WorkerClient
	objs      table.Objects
	log       zerolog.Logger
	startedAt time.Time
	boot      uint64 // random, never 0, which means none; revisions of agents with another boot are not comparable

	mu       sync.Mutex
	changed  chan struct{} // closed and replaced when the revision changes
	holdWake chan struct{} // closed and replaced when Run has a reason for another hold
	// tokenWake receives when a new fencing token has arrived; buffered, so that none is lost.
	tokenWake chan struct{}

	heartbeat           WorkerHeartbeat // the last one of the registered incarnation; Incarnation is nil while none is
	heartbeatReceivedAt time.Time       // when heartbeat was received
	candidates          []candidate     // incarnations that may be the worker, in the order of their first heartbeats
	candidateWake       chan struct{}   // receives when there is a new candidate; buffered, so that none is lost
	reportedDraining    bool            // a heartbeat of the incarnation has said that it drains
	deregistered        bool            // the worker has deregistered
	gone                bool            // deregistered and no longer answers
	epoch               uint64          // highest seen, also by RaiseEpoch
	planner             string          // of the last accepted Watch
	lastContact         time.Time       // start of the last accepted call, or end of the last Watch
	activeWatches       int             // calls of Watch in progress
	// unconfirmed is for how long, at its last Watch, the planner had not been
	// confirmed by the store.
	unconfirmed time.Duration
	// answerSeenAt is when the last Watch arrived that shows that its planner has received the
	// answer of this agent to the one before.
	answerSeenAt time.Time
	// takeOverAskedAt is when a planner with epoch takeOverEpoch last asked this
	// process to take over.
	takeOverAskedAt time.Time
	takeOverEpoch   uint64
	takeOverWake    chan struct{} // buffered, so that a request is not lost while nobody receives

	state   workerState // of the incarnation in heartbeat
	crashes []crash     // in order of time
}

// workerState is what an agent knows about one incarnation of a worker.
type workerState struct {
	fence              int64      // highest fencing token received
	confirmedFence     int64      // fencing token of the last answered hold
	leaseCap           WorkerTime // set by the planner
	clock              WorkerTime // of the worker, in its last answer or in the heartbeat that registered it
	clockAt            time.Time  // when clock was received
	answeredHoldSentAt time.Time  // when the last answered hold was sent; until the first answer, when the incarnation registered or its first fencing token arrived
	lastGrantSentAt    time.Time  // when the last call that can extend a lease was sent; initially as answeredHoldSentAt
	holdFailed         bool       // the last hold got no answer from this incarnation
	recordedEnd        int64      // number of the last end that the planner has recorded
	runsKnown          bool       // running and ended are known
	running            []*agentrpc.RunStatus
	ended              []*agentrpc.RunEnd
	storedResults      map[string]struct{} // keys of the objects that hold results
	endsMissing        bool                // ended lacks ends: a result could not be stored, or the worker may have more than it lists at a time
	revision           uint64
	answeredHoldSeq    int64 // number of the last hold whose answer was recorded
	holdSeq            int64 // number of the last hold sent; the planner gets hold numbers as WatchReply.look and OrderResult.look
	listHoldSeq        int64 // number of the last hold that returned running and all ends
	notifyAtHoldSeq    int64 // watchers are notified when listHoldSeq reaches it, even if the lists are unchanged
	// unknownStarts holds the starts whose outcome is unknown.
	unknownStarts map[runKey]struct{}
	// ownStops holds the runs for which the agent itself sends stops.
	ownStops map[runKey]*ownStop
	// runStarts holds the runs that the worker is known to run, and since when.
	runStarts map[runKey]time.Time
	// unansweredGrantAt is when a call that can extend a lease was last sent that got no answer
	// under the fencing token confirmedFence; zero if all were answered.
	unansweredGrantAt time.Time
	// capPassed is set while a higher fencing token is not confirmed yet, if the worker's clock has
	// passed the lease cap and such a call may have extended a lease beyond it.
	capPassed bool
	lapseBy   time.Time // when the leases that must lapse have lapsed; zero if none must
	// uncertainEnds is set if the worker lists ends since which such a call, or one of a former
	// process, may have kept the lease alive.
	uncertainEnds bool
	failingSince  time.Time // when the first hold since the last answer failed; zero if none has
	silent        bool      // that hold got no answer in time, so that it doesn't show when the worker ended, if it has
	failedAgain   bool      // so did a later one, with a broken connection and not because another incarnation answered
	notListening  bool      // the worker's address has refused connections since the last answer
	// refusedAt is the worker's clock when notListening was set, at the latest.
	refusedAt    WorkerTime
	otherAnswers bool // the last answer to a hold was that of another incarnation
	// crashedRuns is what the worker may have run, as of when notListening was set.
	crashedRuns []*agentrpc.CrashedRun
}

type runKey struct {
	task string
	run  int64
}

// New returns an agent that knows no worker yet. Large payloads are read from objs,
// and large results are stored there.
func New(cfg Settings, w WorkerClient, objs table.Objects, log zerolog.Logger) *Agent {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &Agent{
		cfg: cfg, worker: w, objs: objs, log: log, startedAt: time.Now(), boot: rand.Uint64() | 1,
		changed: make(chan struct{}), holdWake: make(chan struct{}), tokenWake: make(chan struct{}, 1), takeOverWake: make(chan struct{}, 1),
		candidateWake: make(chan struct{}, 1),
	}
}

// WorkerDeregistered records that a worker has deregistered.
func (a *Agent) WorkerDeregistered(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.heartbeat.Incarnation.GetWorker() != worker {
		a.dropCandidatesLocked(worker)
		return
	}
	a.log.Info().Int("Event", EventWorkerLeft).Str("Worker", worker).Msg("worker deregistered")
	a.heartbeat.Draining, a.deregistered = true, true
	a.bumpRevisionLocked()
}

// WorkerGone reports whether the last known incarnation of the worker is gone: it has
// deregistered and no longer answers.
func (a *Agent) WorkerGone() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gone
}

// Contact describes the contact of an agent with the planner.
type Contact struct {
	Epoch uint64 // highest seen, also by RaiseEpoch
	// Silent is the time since the planner's last call, or 0 while a Watch is in
	// progress. Before the first call it is the longest Duration.
	Silent time.Duration
	// Unconfirmed is for how long, at its last Watch, the planner had not been
	// confirmed by the store.
	Unconfirmed time.Duration
	// TakeOverRequested reports whether the planner with this epoch has asked this
	// process to take over within takeOverRequestTTL.
	TakeOverRequested bool
}

// takeOverRequestTTL is how long a request to take over is valid.
const takeOverRequestTTL = 2 * time.Second

// TakeOver implements agentrpc.DRPCAgentServer.
func (a *Agent) TakeOver(_ context.Context, in *agentrpc.TakeOverRequest) (*agentrpc.TakeOverReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.GetEpoch() < a.epoch {
		return &agentrpc.TakeOverReply{}, nil
	}
	a.takeOverAskedAt, a.takeOverEpoch = time.Now(), in.GetEpoch()
	select {
	case a.takeOverWake <- struct{}{}:
	default:
	}
	return &agentrpc.TakeOverReply{}, nil
}

// TakeOverRequests returns a channel that receives a value after a request to take
// over.
func (a *Agent) TakeOverRequests() <-chan struct{} { return a.takeOverWake }

// Contact returns the state of the contact with the planner.
func (a *Agent) Contact() Contact {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := Contact{Epoch: a.epoch, Unconfirmed: a.unconfirmed}
	c.TakeOverRequested = a.takeOverEpoch == a.epoch && !a.takeOverAskedAt.IsZero() && time.Since(a.takeOverAskedAt) < takeOverRequestTTL
	if a.activeWatches == 0 {
		c.Silent = time.Since(a.lastContact)
	}
	return c
}

// RaiseEpoch makes the agent refuse planners with a lower epoch.
func (a *Agent) RaiseEpoch(epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch = max(a.epoch, epoch)
}

// bumpRevisionLocked increments the revision and notifies watchers and the hold loop.
func (a *Agent) bumpRevisionLocked() {
	a.state.revision++
	close(a.changed)
	a.changed = make(chan struct{})
	a.wakeHoldLocked()
}

// wakeHoldLocked notifies the hold loop that there is something new to send.
func (a *Agent) wakeHoldLocked() {
	close(a.holdWake)
	a.holdWake = make(chan struct{})
}

// Run renews the leases of the worker's runs and updates their state until ctx is
// done. While no planner is in contact it stops what may outlive the leases.
func (a *Agent) Run(ctx context.Context) {
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { a.stopUnattendedRuns(ctx) })
	wg.Go(func() { a.confirmTokens(ctx) })
	wg.Go(func() { a.registerWorkers(ctx) })
	for ctx.Err() == nil {
		a.holdOnce(ctx)
	}
}
