package follow

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/state/table"
)

// Sink takes the rows of a table. Its methods are called from one goroutine.
type Sink interface {
	// Reset replaces everything by the rows of a whole table.
	Reset(rows []table.Row)
	// Apply takes rows that changed.
	Apply(rows []table.Row)
}

// Settings of a Follower.
type Settings struct {
	Table string
	Part  string        // of the whole reads
	Wait  time.Duration // of one watch
	Clock *table.Clock  // is set from the replies; may be nil
}

const (
	retryPause    = 100 * time.Millisecond // after the first failed call
	maxRetryPause = 400 * time.Millisecond
)

// Follower follows one table. Its methods are safe for concurrent use.
type Follower struct {
	store table.Store
	cfg   Settings
	sink  Sink
	log   zerolog.Logger

	mu      sync.Mutex
	current time.Time // when the last successful call was sent; zero before the first
	lost    bool
}

// New returns a follower that has read nothing.
func New(store table.Store, cfg Settings, sink Sink, log zerolog.Logger) *Follower {
	return &Follower{store: store, cfg: cfg, sink: sink, log: log.With().Str("Table", cfg.Table).Logger()}
}

// Age returns how old what the sink has may be, and false if it has nothing.
func (f *Follower) Age() (time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.current.IsZero() {
		return 0, false
	}
	return time.Since(f.current), true
}

// Run follows the table until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	var version uint64
	read := false
	wait := retryPause
	for ctx.Err() == nil {
		sent := time.Now()
		var err error
		if read {
			version, err = f.watch(ctx, version)
		} else {
			version, err = f.reset(ctx)
			read = err == nil
		}
		if errors.Is(err, table.ErrHistoryLost) {
			f.log.Info().Int("Event", EventHistoryLost).Uint64("Version", version).Msg("the table is read again")
			read = false
			continue
		}
		f.note(ctx, sent, err)
		if err == nil {
			wait = retryPause
			continue
		}
		pause.For(ctx, wait)
		wait = min(2*wait, maxRetryPause)
	}
}

func (f *Follower) reset(ctx context.Context) (uint64, error) {
	p, err := table.ReadAll(ctx, f.store, table.Range{Table: f.cfg.Table, Part: f.cfg.Part})
	if err != nil {
		return 0, err
	}
	f.observe(p.Now)
	f.sink.Reset(p.Rows)
	return p.Version, nil
}

func (f *Follower) watch(ctx context.Context, version uint64) (uint64, error) {
	c, err := f.store.Watch(ctx, f.cfg.Table, version, f.wait())
	if err != nil {
		return version, err
	}
	f.observe(c.Now)
	if len(c.Rows) > 0 {
		f.sink.Apply(c.Rows)
	}
	return c.Version, nil
}

// wait returns how long the store may wait before it answers. After a failed call it
// must answer at once: a call that is sent shortly before the store returns may get
// no answer, and then hangs for its time limit, which is longer by the wait.
func (f *Follower) wait() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lost {
		return 0
	}
	return f.cfg.Wait
}

func (f *Follower) observe(now time.Duration) {
	if f.cfg.Clock != nil {
		f.cfg.Clock.Observe(now)
	}
}

// note records the result of a call and logs a lost or regained store.
func (f *Follower) note(ctx context.Context, sent time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case err == nil:
		if f.lost {
			f.log.Info().Int("Event", EventStoreRegained).Dur("Gap", time.Since(f.current)).Msg("the store answers again")
		}
		f.lost = false
		f.current = sent
	case ctx.Err() == nil && !f.lost:
		f.lost = true
		f.log.Warn().Int("Event", EventStoreLost).Err(err).Msg("the store does not answer")
	}
}
