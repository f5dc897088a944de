package process

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/follow"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/state/table"
)

// Part is the part of the store that holds the shard.
const Part = "0"

// configWaitShare of the bound on the configuration is the wait of one watch, so
// that a connection that has gone silent is noticed in time.
const configWaitShare = 0.3

// newHolder returns a holder of the configuration of a source.
func newHolder(source string, log zerolog.Logger) *configuration.Holder {
	if source == SourcePlatform {
		return configuration.NewHolder(platform.ConfigKey, platform.DecodeConfig, log)
	}
	return configuration.NewHolder(configuration.CurrentKey, configuration.DecodeStored, log)
}

// newFollower returns a follower of the configuration of a source.
func newFollower(source string, b Bounds, s table.Store, h *configuration.Holder, c *table.Clock, log zerolog.Logger) *follow.Follower {
	name := configuration.Table
	if source == SourcePlatform {
		name = platform.OperatorTable
	}
	wait := time.Duration(float64(b.ConfigInForce) * configWaitShare)
	return follow.New(s, follow.Settings{Table: name, Wait: wait, Clock: c}, h, log)
}

// invoke builds the parts of a process and passes them to run.
func invoke(role string, providers []any, run any) error {
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

// ReadConfig reads the configuration of a source once. It returns nil if there is
// none.
func ReadConfig(ctx context.Context, s table.Store, source string) (*configuration.Snapshot, error) {
	if source != SourcePlatform {
		return configuration.Read(ctx, s)
	}
	p, err := s.Read(ctx, table.Range{Table: platform.OperatorTable, From: platform.ConfigKey, To: platform.ConfigKey + "\x00"})
	if err != nil || len(p.Rows) == 0 {
		return nil, err
	}
	version, cfg, err := platform.DecodeConfig(p.Rows[0].Value)
	if err != nil {
		return nil, err
	}
	return configuration.NewSnapshot(version, cfg), nil
}
