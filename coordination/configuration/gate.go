package configuration

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Source provides the configuration for calls.
type Source interface {
	// Current returns the configuration in force, or nil if it is not known before ctx
	// ends.
	Current(ctx context.Context) *Snapshot
}

// Gate gives calls the configuration in force. A process that was paused or cut off may hold
// one that is out of date, and would act on keys and routes that were withdrawn meanwhile: Gate
// then reads the configuration first. Its methods are safe for concurrent use.
type Gate struct {
	holder *Holder
	age    func() (time.Duration, bool)
	read   func(ctx context.Context) error
	maxAge time.Duration
	log    zerolog.Logger

	mu      sync.Mutex
	readAt  time.Time     // when the last successful read was sent
	reading chan struct{} // closed when the read in progress ends; nil for none
}

// NewGate returns a gate to the configuration of a holder. age returns the age of the
// configuration, and false if it is not known. A configuration older than maxAge is read
// anew with read, which updates the holder.
func NewGate(holder *Holder, age func() (time.Duration, bool), read func(ctx context.Context) error, maxAge time.Duration, log zerolog.Logger) *Gate {
	return &Gate{holder: holder, age: age, read: read, maxAge: maxAge, log: log}
}

// Current implements Source. It returns nil, too, if the configuration may be out of date and
// can't be read before ctx ends.
func (g *Gate) Current(ctx context.Context) *Snapshot {
	for !g.isFresh() {
		done, mine := g.beginRead()
		if mine {
			g.readOnce(ctx)
			if !g.isFresh() {
				return nil
			}
			break
		}
		select {
		case <-done:
		case <-ctx.Done():
			return nil
		}
	}
	return g.holder.Snapshot()
}

// isFresh reports whether the configuration may be used.
func (g *Gate) isFresh() bool {
	if age, ok := g.age(); ok && age <= g.maxAge {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.readAt.IsZero() && sinceAnyClock(g.readAt) <= g.maxAge
}

// sinceAnyClock returns the time since t. The monotonic clock stops while a machine is
// suspended, and the wall clock may be set, so the larger difference counts.
func sinceAnyClock(t time.Time) time.Duration {
	return max(time.Since(t), time.Now().Round(0).Sub(t.Round(0)))
}

// beginRead returns a channel that is closed when the read in progress ends, and whether the
// caller has to make that read.
func (g *Gate) beginRead() (done <-chan struct{}, mine bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.reading != nil {
		return g.reading, false
	}
	g.reading = make(chan struct{})
	return g.reading, true
}

func (g *Gate) readOnce(ctx context.Context) {
	sent := time.Now()
	err := g.read(ctx)
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.reading)
	g.reading = nil
	if err == nil {
		g.readAt = sent
		return
	}
	g.log.Info().Int("Event", EventStale).Err(err).Msg("the configuration may be out of date and can't be read; refusing calls")
}
