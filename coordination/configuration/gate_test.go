package configuration_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/table"
)

// gateHarness is a gate whose configuration was last followed at followedAt. A read takes
// readTime and gives the next version, or fails.
type gateHarness struct {
	*configuration.Gate
	followedAt time.Time
	readTime   time.Duration
	err        error
	mu         sync.Mutex // guards reads
	reads      int
}

const gateMaxAge = 3 * time.Second

func newGateHarness() *gateHarness {
	h := &gateHarness{followedAt: time.Now(), readTime: 10 * time.Millisecond}
	version := uint64(1)
	decode := func([]byte) (uint64, operator.Config, error) {
		return version, operator.NewConfig(operator.NewSite("")), nil
	}
	holder := configuration.NewHolder("c", decode, zerolog.Nop())
	holder.Apply([]table.Row{{Key: "c"}})
	age := func() (time.Duration, bool) { return time.Since(h.followedAt), true }
	read := func(ctx context.Context) error {
		h.mu.Lock()
		h.reads++
		h.mu.Unlock()
		select {
		case <-time.After(h.readTime):
		case <-ctx.Done():
			return ctx.Err()
		}
		if h.err != nil {
			return h.err
		}
		version++
		holder.Apply([]table.Row{{Key: "c"}})
		return nil
	}
	h.Gate = configuration.NewGate(holder, age, read, gateMaxAge, zerolog.Nop())
	return h
}

// Guards against a process that was paused for seconds and then answers calls by a
// configuration in which a key or route is still valid that was withdrawn meanwhile.
func TestGate(t *testing.T) {
	tests := []struct {
		name    string
		pause   time.Duration
		err     error // of reads
		version uint64
		reads   int
	}{
		{"fresh", time.Second, nil, 1, 0},
		{"paused", 10 * time.Second, nil, 2, 1},
		{"paused, store down", 10 * time.Second, errors.New("down"), 0, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newGateHarness()
				h.err = tt.err
				time.Sleep(tt.pause)
				s := h.Current(t.Context())
				qt.Assert(t, s != nil, qt.Equals, tt.version > 0)
				if s != nil {
					qt.Check(t, s.Version, qt.Equals, tt.version)
				}
				qt.Check(t, h.reads, qt.Equals, tt.reads)
			})
		})
	}
}

// Guards against a read for each of the calls that have waited while the process was paused.
func TestGateReadsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newGateHarness()
		time.Sleep(10 * time.Second)
		var wg sync.WaitGroup
		for range 50 {
			wg.Go(func() { qt.Check(t, h.Current(t.Context()).Version, qt.Equals, uint64(2)) })
		}
		wg.Wait()
		qt.Check(t, h.reads, qt.Equals, 1)
		// The result of the read is used until it is too old itself.
		time.Sleep(gateMaxAge / 2)
		qt.Check(t, h.Current(t.Context()).Version, qt.Equals, uint64(2))
		qt.Check(t, h.reads, qt.Equals, 1)
	})
}

// Guards against a call that waits for a read beyond its own time limit.
func TestGateHonoursDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newGateHarness()
		h.readTime = time.Hour
		time.Sleep(10 * time.Second)
		go h.Current(t.Context())
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		begin := time.Now()
		qt.Check(t, h.Current(ctx), qt.IsNil)
		qt.Check(t, time.Since(begin), qt.Equals, time.Second)
	})
}
