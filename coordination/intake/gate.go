package intake

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// patience is how long a read may take before the store counts as silent. It
	// usually answers within 10 ms, and within half a second while it is 60 to 90
	// times slower.
	patience = 500 * time.Millisecond
	// patienceFactor times the usual duration of a read is the patience with a store
	// that is slow.
	patienceFactor = 4
	// probeTimeout bounds a read that finds out whether the store answers again, and
	// thereby the patience.
	probeTimeout = 1200 * time.Millisecond
	// probePause is the pause between two such reads.
	probePause = 100 * time.Millisecond
	// latencyWeight is the weight of the latest duration in the usual one.
	latencyWeight = 0.3
)

// gate knows whether the store answers. While it does not, callers are refused at
// once, before anything of their job has been sent: a write without an answer
// would leave open whether the job was accepted.
type gate struct {
	store table.Store
	probe table.Range
	log   zerolog.Logger

	ctx     context.Context //nolint:containedctx // of the probes, which outlive calls
	cancel  context.CancelFunc
	probing sync.WaitGroup

	mu      sync.Mutex
	down    bool
	since   time.Time // of down: when the read was sent that got no answer
	latency time.Duration
}

func newGate(store table.Store, probe table.Range, log zerolog.Logger) *gate {
	ctx, cancel := context.WithCancel(context.Background())
	return &gate{store: store, probe: probe, log: log, ctx: ctx, cancel: cancel}
}

func (g *gate) close() {
	g.cancel()
	g.probing.Wait()
}

// isDown reports whether the store is known not to answer.
func (g *gate) isDown() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.down
}

// downFor returns how long the store has not answered.
func (g *gate) downFor() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.down {
		return 0
	}
	return time.Since(g.since)
}

// read reads a range. If the store does not answer in time, it counts as down
// until a probe has been answered.
func (g *gate) read(ctx context.Context, r table.Range) (table.Page, error) {
	g.mu.Lock()
	limit := min(max(patience, patienceFactor*g.latency), probeTimeout)
	g.mu.Unlock()
	tctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	sent := time.Now()
	p, err := table.ReadAll(tctx, g.store, r)
	if err == nil {
		g.answered(time.Since(sent))
		return p, nil
	}
	if ctx.Err() == nil {
		g.failed(sent, err)
	}
	return table.Page{}, err
}

func (g *gate) answered(took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.latency += time.Duration(latencyWeight * float64(took-g.latency))
	if g.down {
		g.down = false
		g.log.Info().Int("Event", EventStoreBack).Dur("Gap", time.Since(g.since)).Msg("callers are served again")
	}
}

// failed takes that a read which was sent at a time has got no answer.
func (g *gate) failed(sent time.Time, err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.down || g.ctx.Err() != nil {
		return
	}
	g.down, g.since = true, sent
	g.log.Warn().Int("Event", EventStoreSilent).Err(err).Msg("callers are refused until the store answers")
	g.probing.Go(g.watch)
}

// watch probes the store until it answers.
func (g *gate) watch() {
	for g.isDown() && g.ctx.Err() == nil {
		tctx, cancel := context.WithTimeout(g.ctx, probeTimeout)
		sent := time.Now()
		_, err := g.store.Read(tctx, g.probe)
		cancel()
		if err == nil {
			g.answered(time.Since(sent))
			return
		}
		pause.For(g.ctx, probePause)
	}
}
