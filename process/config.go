package process

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/evacuation"
	"github.com/medlargrade/medlargrade/coordination/follow"
	"github.com/medlargrade/medlargrade/coordination/intake"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/state/table"
)

// ShardPart is the part of the store's tables that holds the rows of the shard. A part
// is a partition of a table and the scope of a transaction. There is one shard; its
// rows are in part 0.
const ShardPart = "0"

// configWatchFraction is how long one watch of the configuration may wait, as a
// fraction of Bounds.ConfigInForce, so that a dead connection is detected within
// that bound. The store client's timeout of 1.2 s is added to the wait: at the default
// bound of 2 s, a watch ends after at most 1.8 s.
const configWatchFraction = 0.3

// newConfigHolder returns a holder for the configuration from source.
func newConfigHolder(source string, log zerolog.Logger) *configuration.Holder {
	if source == SourcePlatform {
		return configuration.NewHolder(platform.ConfigKey, platform.DecodeConfig, log).WithEvacuations(platform.EvacuationPrefix)
	}
	return configuration.NewHolder(configuration.CurrentKey, configuration.DecodeStored, log).WithEvacuations(configuration.EvacuationPrefix)
}

// newConfigFollower returns a follower that keeps h up to date from source.
func newConfigFollower(source string, b Bounds, s table.Store, h *configuration.Holder, c *table.Clock, log zerolog.Logger) *follow.Follower {
	tableName := configuration.Table
	if source == SourcePlatform {
		tableName = platform.OperatorTable
	}
	wait := evacuation.WatchWait(time.Duration(b.Evacuation), configWatchWait(b))
	f := follow.New(s, follow.Settings{Table: tableName, Wait: wait, Clock: c}, h, log)
	h.WithAge(f.MaxAge)
	return f
}

// newConfigGate returns the source of the configuration from source for calls. Its reads fail
// at once while the store is known to be unavailable.
func newConfigGate(source string, b Bounds, i *intake.Service, h *configuration.Holder, f *follow.Follower, log zerolog.Logger) *configuration.Gate {
	r := configRange(source)
	read := func(ctx context.Context) error {
		p, err := i.Read(ctx, r)
		if err != nil {
			return fmt.Errorf("read the configuration: %w", err)
		}
		h.Apply(p.Rows)
		return nil
	}
	return configuration.NewGate(h, f.MaxAge, read, maxConfigAge(b), log)
}

// configRange returns the row of the configuration from source.
func configRange(source string) table.Range {
	if source == SourcePlatform {
		return table.Range{Table: platform.OperatorTable, From: platform.ConfigKey, To: platform.ConfigKey + "\x00"}
	}
	return table.Range{Table: configuration.Table, From: configuration.CurrentKey, To: configuration.CurrentKey + "\x00"}
}

// maxConfigDelay is how much older than twice the wait of a watch, which it reaches while the
// store is available, the configuration may be before it may be out of date.
const maxConfigDelay = 1800 * time.Millisecond

// maxConfigAge returns the age of the configuration above which an entry is not ready, and
// reads it again before it answers a call.
func maxConfigAge(b Bounds) time.Duration { return 2*configWatchWait(b) + maxConfigDelay }

// configWatchWait returns how long one watch of the configuration may wait.
func configWatchWait(b Bounds) time.Duration {
	return time.Duration(float64(b.ConfigInForce) * configWatchFraction)
}

// assemble builds the arguments of run from the providers and calls it.
func assemble(role string, providers []any, run any) error {
	c := dig.New()
	for _, p := range providers {
		if err := c.Provide(p); err != nil {
			return fmt.Errorf("assemble %s: %w", role, err)
		}
	}
	if err := c.Invoke(run); err != nil {
		return fmt.Errorf("assemble %s: %w", role, err)
	}
	return nil
}

// ReadConfig reads the configuration from source once. If there is none, it returns
// nil for SourcePlatform and a snapshot with version 0 for SourceApplied.
func ReadConfig(ctx context.Context, s table.Store, source string) (*configuration.Snapshot, error) {
	snapshot, err := readConfigRow(ctx, s, source)
	if err != nil || snapshot == nil {
		return nil, err
	}
	set, err := ReadEvacuations(ctx, s, source)
	if err != nil {
		return nil, err
	}
	return snapshot.WithEvacuations(set), nil
}

// ReadEvacuations reads the evacuated data centres from source once.
func ReadEvacuations(ctx context.Context, s table.Store, source string) (evacuation.Set, error) {
	if source == SourcePlatform {
		return configuration.ReadEvacuations(ctx, s, platform.OperatorTable, platform.EvacuationPrefix)
	}
	return configuration.ReadEvacuations(ctx, s, configuration.Table, configuration.EvacuationPrefix)
}

func readConfigRow(ctx context.Context, s table.Store, source string) (*configuration.Snapshot, error) {
	if source != SourcePlatform {
		return configuration.Read(ctx, s)
	}
	p, err := s.Read(ctx, configRange(source))
	if err != nil || len(p.Rows) == 0 {
		return nil, err
	}
	version, cfg, err := platform.DecodeConfig(p.Rows[0].Value)
	if err != nil {
		return nil, err
	}
	return configuration.NewSnapshot(version, cfg), nil
}

// requestLimits returns a function that returns the limits of the configuration in
// force on the requests of callers.
func requestLimits(h *configuration.Holder) func() operator.Limits {
	return func() operator.Limits {
		if s := h.Snapshot(); s != nil {
			return s.Config.Limits().WithDefaults()
		}
		return operator.DefaultLimits()
	}
}
