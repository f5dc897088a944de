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
	Name    string        // of the target
	HoldMax time.Duration // longest lease that the worker grants
	Metrics *metrics.Set  // nil for none
}

// Info is what a worker says of itself.
type Info struct {
	Life         *agentrpc.Life
	Pool         string
	DataCentre   string
	Machine      string
	CPU          int64 // thousandths of a core
	MemoryMB     int64
	Accelerators int64
	Labels       []string
	Rack         string
	Draining     bool
	Remaining    time.Duration // least time left while it drains
	Clock        Clock
	Sequence     uint64 // increases with each report of a life
}

// Agent is the agent of one worker. Its methods are safe for concurrent use.
type Agent struct {
	cfg    Settings
	worker Worker
	objs   table.Objects
	log    zerolog.Logger
	boot   uint64

	mu      sync.Mutex
	changed chan struct{} // closed and replaced when the revision changes
	lease   chan struct{} // closed and replaced when the hold loop has work

	info     Info      // Life is nil while no worker is known
	infoAt   time.Time // when info was taken
	left     bool      // the worker has said that it ends
	gone     bool      // and it no longer answers
	epoch    uint64    // highest seen
	planner  string
	contact  time.Time // last call of the planner of that epoch
	watching int       // calls of Watch in progress
	// unconfirmed is how long the store had not confirmed the planner at contact.
	unconfirmed time.Duration
	// asked is when a planner of askedEpoch last asked this process to take over.
	asked      time.Time
	askedEpoch uint64
	takeOver   chan struct{} // has room for one wake-up

	life life // what is known of the life in info
}

// life is what an agent knows of one life of a worker.
type life struct {
	fence     int64
	confirmed int64 // fencing token of the last answered hold
	cap       Clock
	clock     Clock
	answered  time.Time // when the call that was answered last was sent
	granted   time.Time // when the last call was sent that can extend the lease
	failing   bool      // the last hold was not answered
	seen      int64
	seenSent  int64 // that the worker has confirmed
	listed    bool
	running   []*agentrpc.RunStatus
	ended     []*agentrpc.RunEnd
	stored    map[string]struct{} // keys of objects with results
	unstored  bool                // an end waits until its result is stored
	revision  uint64
	look      int64 // number of the last hold that was sent
	listLook  int64 // number of the hold that running and ended are from
	announce  int64 // watchers are told when listLook reaches it
	// doubt has the starts whose outcome is unknown.
	doubt map[runKey]struct{}
}

type runKey struct {
	task string
	run  int64
}

// New returns an agent that knows no worker yet. Large payloads and results are kept
// as objects.
func New(cfg Settings, w Worker, objs table.Objects, log zerolog.Logger) *Agent {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &Agent{
		cfg: cfg, worker: w, objs: objs, log: log, boot: rand.Uint64() | 1,
		changed: make(chan struct{}), lease: make(chan struct{}), takeOver: make(chan struct{}, 1),
	}
}

// SetWorker takes a report of the worker about itself. It returns false if the
// report is older than what is known: reports can arrive late, even after the
// worker has been started again.
func (a *Agent) SetWorker(info Info) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	old := a.info
	if old.Life != nil {
		if info.Life.GetBorn() < old.Life.GetBorn() {
			return false
		}
		if agentrpc.SameLife(info.Life, old.Life) && info.Sequence <= old.Sequence {
			return false
		}
	}
	if !agentrpc.SameLife(info.Life, old.Life) {
		a.left, a.gone = false, false
		a.life = life{doubt: make(map[runKey]struct{}), revision: a.life.revision, clock: info.Clock, answered: time.Now(), granted: time.Now()}
		a.log.Info().Int("Event", EventWorkerLife).Str("Worker", info.Life.GetWorker()).Int64("Born", info.Life.GetBorn()).
			Str("Pool", info.Pool).Msg("a worker has registered")
	}
	if info.Draining && (old.Life == nil || !old.Draining) {
		a.log.Info().Int("Event", EventWorkerDraining).Str("Worker", info.Life.GetWorker()).
			Dur("Remaining", info.Remaining).Msg("the worker is leaving")
	}
	a.info, a.infoAt = info, time.Now()
	a.info.Draining = info.Draining || agentrpc.SameLife(info.Life, old.Life) && old.Draining
	if !agentrpc.SameLife(info.Life, old.Life) || a.info.Draining != old.Draining || a.info.Pool != old.Pool ||
		a.info.CPU != old.CPU || a.info.MemoryMB != old.MemoryMB || a.info.Accelerators != old.Accelerators {
		a.bumpLocked()
	}
	return true
}

// WorkerLeft takes the notice that a life of the worker has ended.
func (a *Agent) WorkerLeft(worker string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.info.Life.GetWorker() != worker {
		return
	}
	a.log.Info().Int("Event", EventWorkerLeft).Str("Worker", worker).Msg("the worker has left")
	a.info.Draining, a.left = true, true
	a.bumpLocked()
}

// Gone reports whether the last known life of the worker is over.
func (a *Agent) Gone() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gone
}

// Contact describes the last call of a planner.
type Contact struct {
	Epoch uint64
	// Silent is the time since the last call ended, or 0 while one is in progress.
	Silent time.Duration
	// Unconfirmed is how long the store had not confirmed the planner at that call.
	Unconfirmed time.Duration
	// Asked reports whether the planner has asked this process to take over lately.
	Asked bool
}

// askedFor is how long a request to take over holds.
const askedFor = 2 * time.Second

// TakeOver implements agentrpc.DRPCAgentServer.
func (a *Agent) TakeOver(_ context.Context, in *agentrpc.TakeOverRequest) (*agentrpc.TakeOverReply, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.GetEpoch() < a.epoch {
		return &agentrpc.TakeOverReply{}, nil
	}
	a.asked, a.askedEpoch = time.Now(), in.GetEpoch()
	select {
	case a.takeOver <- struct{}{}:
	default:
	}
	return &agentrpc.TakeOverReply{}, nil
}

// Asked returns a channel on which requests to take over arrive.
func (a *Agent) Asked() <-chan struct{} { return a.takeOver }

// Contact returns the state of the contact with the planner.
func (a *Agent) Contact() Contact {
	a.mu.Lock()
	defer a.mu.Unlock()
	c := Contact{Epoch: a.epoch, Unconfirmed: a.unconfirmed}
	c.Asked = a.askedEpoch == a.epoch && !a.asked.IsZero() && time.Since(a.asked) < askedFor
	if a.watching == 0 {
		c.Silent = time.Since(a.contact)
	}
	return c
}

// RaiseEpoch makes the agent refuse planners of a lower epoch.
func (a *Agent) RaiseEpoch(epoch uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.epoch = max(a.epoch, epoch)
}

// bumpLocked tells watchers that the state has changed.
func (a *Agent) bumpLocked() {
	a.life.revision++
	close(a.changed)
	a.changed = make(chan struct{})
	a.wakeLocked()
}

// wakeLocked tells the hold loop that there is something new to send.
func (a *Agent) wakeLocked() {
	close(a.lease)
	a.lease = make(chan struct{})
}

// Run renews leases and follows the runs of the worker until ctx ends.
func (a *Agent) Run(ctx context.Context) {
	for ctx.Err() == nil {
		a.holdOnce(ctx)
	}
}
