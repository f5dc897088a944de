package executor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/attempts"
)

// Times of the target process.
const (
	HeartbeatPeriod = 2 * time.Second
	SessionExpiry   = 10 * time.Second
	ReservationTTL  = 10 * time.Second
	GangLease       = 6 * time.Second
	PulsePoll       = 2 * time.Second
	WorkerLease     = 6 * time.Second
	RenewPeriod     = 2 * time.Second
	ContactLease    = 6 * time.Second
	CheckpointGrace = 3 * time.Second
	Retention       = 10 * time.Minute

	// watchPeriod bounds how late a lapse of a lease is noticed. Effects check
	// their lease themselves, so it decides only when a task is stopped.
	watchPeriod = 250 * time.Millisecond
	sweepPeriod = 5 * time.Second
	callTimeout = 2 * time.Second // of a call to the worker
	// maxBatch is the limit of attempts in a Cancel or Preempt.
	maxBatch = 256
	// DefaultReportTo is the number of entries that get heartbeats.
	DefaultReportTo = 4
)

// Config holds the settings of an Executor and its surroundings. All functions
// and interfaces but Learn and Ready must be set.
type Config struct {
	Name        string
	Address     string // IP:port where the Target service listens
	DataCentre  string
	Rack        string
	Slots       int
	Connections int
	EntryList   []string // addresses of entries to start with
	ReportTo    int      // number of entries that get heartbeats; 0 means DefaultReportTo
	Incarnation uint64   // 0 draws one

	Worker  Worker
	Hubs    Hubs
	Entries Entries
	// Generation returns the configuration generation that the process holds.
	Generation func() uint64
	// Learn is called for each message of a peer whose generation is higher than
	// Generation. From is the address of the peer, or the name of an entry, or
	// empty. It must not block.
	Learn func(generation uint64, from string)
	// Ready reports whether the process has learned its configuration.
	Ready  func() bool
	Logger zerolog.Logger
}

// Executor runs attempts on one worker. It implements
// targetrpc.DRPCTargetServer and is safe for concurrent use.
type Executor struct {
	cfg         Config
	log         zerolog.Logger
	incarnation uint64
	started     time.Time
	table       *attempts.Table
	leases      leaseSet
	contact     contact
	reporter    *reporter
	results     kindResults
	highest     atomic.Uint64 // generation, over all senders
	load        atomic.Uint32

	ctx    context.Context
	cancel context.CancelFunc
	mu     sync.Mutex // guards closed and the start of goroutines against Close
	closed bool
	wg     sync.WaitGroup
}

var _ targetrpc.DRPCTargetServer = (*Executor)(nil)

// New starts an Executor. Close ends it.
func New(cfg Config) (*Executor, error) {
	if cfg.Worker == nil || cfg.Hubs == nil || cfg.Entries == nil || cfg.Generation == nil {
		return nil, errors.New("executor: Worker, Hubs, Entries and Generation must be set")
	}
	if cfg.Slots <= 0 {
		return nil, errors.New("executor: Slots must be positive")
	}
	if cfg.ReportTo <= 0 {
		cfg.ReportTo = DefaultReportTo
	}
	if cfg.Incarnation == 0 {
		cfg.Incarnation = attempts.RandomID()
	}
	if cfg.Learn == nil {
		cfg.Learn = func(uint64, string) {}
	}
	if cfg.Ready == nil {
		cfg.Ready = func() bool { return true }
	}
	e := &Executor{
		cfg:         cfg,
		log:         cfg.Logger,
		incarnation: cfg.Incarnation,
		started:     time.Now(),
		table: attempts.NewTable(attempts.Limits{
			Slots:          cfg.Slots,
			SessionExpiry:  SessionExpiry,
			ReservationTTL: ReservationTTL,
			GangLease:      GangLease,
			Retention:      Retention,
		}),
		leases:  leaseSet{byName: make(map[string]*lease)},
		results: kindResults{counts: make(map[kindKey]kindCount)},
	}
	e.contact.renew(time.Now())
	e.reporter = newReporter(e)
	// The context ends with Close, so it is not derived from a caller's.
	e.ctx, e.cancel = context.WithCancel(context.Background())
	e.spawn(e.renewLoop)
	e.spawn(e.watchLoop)
	e.spawn(e.reporter.loop)
	e.log.Info().Int(eventField, EventStarted).Str("Target", cfg.Name).Uint64("Incarnation", e.incarnation).Msg("target started")
	return e, nil
}

// Incarnation returns the random ID of this process.
func (e *Executor) Incarnation() uint64 { return e.incarnation }

// Close ends all loops and waits for them. Tasks that still run are left to
// their leases on the worker; use Drain first for a graceful end.
func (e *Executor) Close() {
	e.mu.Lock()
	e.closed = true
	e.mu.Unlock()
	e.cancel()
	e.wg.Wait()
}

// spawn runs f in a goroutine that Close waits for. It reports false if the
// Executor is closed.
func (e *Executor) spawn(f func(context.Context)) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.wg.Go(func() { f(e.ctx) })
	return true
}

// watchLoop looks for leases and reservations that ended without a message.
func (e *Executor) watchLoop(ctx context.Context) {
	tick := time.NewTicker(watchPeriod)
	defer tick.Stop()
	swept := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		e.leases.lapse(now)
		for _, id := range e.table.Silence() {
			e.log.Warn().Int(eventField, EventMemberSilent).Stringer("Attempt", id).Msg("member silent, gang stops")
		}
		e.stopLentWithoutContact(now)
		if now.Sub(swept) >= sweepPeriod {
			e.table.Sweep()
			swept = now
		}
	}
}

// sleep waits for d and reports false if ctx ended first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
