package intake

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// minReadTimeout is the lower bound of the timeout of a read. The store usually
	// answers within 10 ms, and within 500 ms while it is 60 to 90 times slower.
	minReadTimeout = 500 * time.Millisecond
	// latencyFactor is the timeout of a read in multiples of the mean latency, so that
	// a slow store does not count as unavailable.
	latencyFactor = 4
	// probeTimeout is the timeout of a probe, and the upper bound of the timeout of a
	// read. It is equal to the timeout of the store client in package platform.
	probeTimeout = 1200 * time.Millisecond
	// probePause is the mean delay between the starts of two probes. It is uniform between
	// half and one and a half of it, so that entries do not probe in step. A probe does not
	// wait for the answer to the former one, which is lost if it was sent in the outage: of
	// the probes of an entry, at most 24 are without an answer at a time.
	probePause = 100 * time.Millisecond
	// latencyWeight is the weight of the newest sample in the mean latency.
	latencyWeight = 0.3
)

// breaker is a circuit breaker for the store. A read that fails or times out opens
// it; the next successful read or probe closes it. While it is open, calls are
// refused at once, before anything of their job is written, because a write without
// an answer would leave the outcome of the submission unknown.
type breaker struct {
	store      table.Store
	probeRange table.Range
	log        zerolog.Logger

	ctx    context.Context //nolint:containedctx // of the probes, which outlive calls
	cancel context.CancelFunc
	probes sync.WaitGroup

	mu          sync.Mutex
	down        bool
	downSince   time.Time     // when the read was sent that opened the breaker
	meanLatency time.Duration // exponentially weighted mean over successful reads
}

func newBreaker(store table.Store, probeRange table.Range, log zerolog.Logger) *breaker {
	ctx, cancel := context.WithCancel(context.Background())
	return &breaker{store: store, probeRange: probeRange, log: log, ctx: ctx, cancel: cancel}
}

func (b *breaker) close() {
	b.cancel()
	b.probes.Wait()
}

// isDown reports whether the breaker is open.
func (b *breaker) isDown() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.down
}

// downFor returns how long the store has been unavailable, or 0 if the breaker is
// closed.
func (b *breaker) downFor() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.down {
		return 0
	}
	return time.Since(b.downSince)
}

// readPage reads one page. If the read fails or times out, the breaker opens, unless ctx
// has ended.
func (b *breaker) readPage(ctx context.Context, r table.Range) (table.Page, error) {
	b.mu.Lock()
	timeout := min(max(minReadTimeout, latencyFactor*b.meanLatency), probeTimeout)
	b.mu.Unlock()
	tctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := time.Now()
	p, err := b.store.Read(tctx, r)
	if err == nil {
		b.recordSuccess(time.Since(sent))
		return p, nil
	}
	if ctx.Err() == nil {
		b.recordFailure(sent, err)
	}
	return table.Page{}, err
}

func (b *breaker) recordSuccess(latency time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.meanLatency += time.Duration(latencyWeight * float64(latency-b.meanLatency))
	if b.down {
		b.down = false
		b.log.Info().Int("Event", EventStoreBack).Dur("Gap", time.Since(b.downSince)).Msg("store is available again; accepting calls")
	}
}

// recordFailure opens the breaker and starts the probes after the failure of a read
// that was sent at the given time.
func (b *breaker) recordFailure(sent time.Time, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.down || b.ctx.Err() != nil {
		return
	}
	b.down, b.downSince = true, sent
	b.log.Warn().Int("Event", EventStoreSilent).Err(err).Msg("store is unavailable; refusing calls until it is available again")
	b.probes.Go(b.probeUntilUp)
}

// probeUntilUp starts probes of the store until it is available or close is called.
func (b *breaker) probeUntilUp() {
	ctx, cancel := context.WithCancel(b.ctx)
	defer cancel()
	for b.isDown() && ctx.Err() == nil {
		b.probes.Go(func() { b.probe(ctx, cancel) })
		pause.For(ctx, probePause/2+rand.N(probePause))
	}
}

// probe probes the store once. It calls stop, which ends the other probes, if the store
// answers.
func (b *breaker) probe(ctx context.Context, stop func()) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sent := time.Now()
	if _, err := b.store.Read(ctx, b.probeRange); err == nil {
		b.recordSuccess(time.Since(sent))
		stop()
	}
}
