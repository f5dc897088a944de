package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/follow"
	"github.com/medlargrade/medlargrade/coordination/intake"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// part is the part of the store that holds the shard.
	part = "0"
	// storeSilence is how long the store may not have answered before an entry
	// sends callers elsewhere: its configuration may be out of date.
	storeSilence = 3 * time.Second
	// unansweredLimit is how long the store may have been found silent before an
	// entry sends callers elsewhere: others may still reach it.
	unansweredLimit = 500 * time.Millisecond
	// configWaitShare of the bound on the configuration is the wait of one watch, so
	// that a connection that has gone silent is noticed in time.
	configWaitShare = 0.3
	// unreadyTime is how long an entry that stops goes on to serve while the load
	// balancer takes notice: two checks, one second apart, and a margin.
	unreadyTime = 2500 * time.Millisecond
	// stopMargin is kept of the grace time for the end of the process itself.
	stopMargin = time.Second
)

// entry are the parts of an entry process.
type entry struct {
	dig.In

	Settings EntrySettings
	Network  Network
	Log      zerolog.Logger
	Config   *configuration.Holder
	Follower *follow.Follower
	Intake   *intake.Service
}

func entryProviders(set EntrySettings, n Network, log zerolog.Logger) []any {
	return []any{
		func() EntrySettings { return set },
		func() Network { return n },
		func() zerolog.Logger { return log },
		func() *table.Clock { return new(table.Clock) },
		func() table.Store { return platform.NewStore(n.client(), set.Store) },
		func(log zerolog.Logger) *configuration.Holder {
			return configuration.NewHolder(platform.ConfigKey, platform.DecodeConfig, log)
		},
		func(s table.Store, h *configuration.Holder, c *table.Clock, log zerolog.Logger) *follow.Follower {
			return configFollower(s, h, c, set.Bounds, log)
		},
		func(s table.Store, c *table.Clock, log zerolog.Logger) *intake.Service {
			return intake.New(s, part, c, log)
		},
	}
}

// configFollower returns the follower of the operator's configuration.
func configFollower(s table.Store, h *configuration.Holder, c *table.Clock, b Bounds, log zerolog.Logger) *follow.Follower {
	wait := time.Duration(float64(b.ConfigInForce) * configWaitShare)
	return follow.New(s, follow.Settings{Table: platform.OperatorTable, Wait: wait, Clock: c}, h, log)
}

// RunEntry runs an entry until ctx ends, and then stops it gracefully.
func RunEntry(ctx context.Context, set EntrySettings, n Network, log zerolog.Logger) error {
	var err error
	if assembleErr := invoke("entry", entryProviders(set, n, log), func(e entry) { err = e.run(ctx) }); assembleErr != nil {
		return assembleErr
	}
	return err
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

// run serves until ctx ends. It then withdraws its readiness, goes on to serve until
// the load balancer has noticed, and ends when no request is in progress.
func (e entry) run(ctx context.Context) error {
	callers, err := e.Network.Listen(ctx, e.Settings.CallerAddress)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	ready, err := e.Network.Listen(ctx, e.Settings.ReadyAddress)
	if err != nil {
		return fmt.Errorf("listen for the readiness check: %w", err)
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var leaving atomic.Bool
	g, gctx := errgroup.WithContext(life)
	srv := &http.Server{Handler: platform.CallerHandler(e.Intake, e.Config, e.Log), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute}
	g.Go(func() error {
		if err := srv.Serve(callers); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve callers: %w", err)
		}
		return nil
	})
	g.Go(func() error {
		return process.ServeHTTP(gctx, ready, platform.ReadyHandler(func() error { return e.ready(leaving.Load()) }))
	})
	g.Go(func() error {
		e.Follower.Run(gctx)
		return nil
	})
	e.Log.Info().Int("Event", EventStarted).Str("CallerAddress", e.Settings.CallerAddress).Msg("the entry serves")
	select {
	case <-ctx.Done():
	case <-gctx.Done():
	}
	leaving.Store(true)
	e.Log.Info().Int("Event", EventStopping).Msg("the entry is leaving")
	e.stop(life, srv)
	end()
	err = g.Wait()
	e.Log.Info().Int("Event", EventStopped).Err(err).Msg("the entry has ended")
	return err
}

// ready returns why callers should go elsewhere, or nil.
func (e entry) ready(leaving bool) error {
	age, ok := e.Follower.Age()
	switch {
	case leaving:
		return errors.New("the entry is leaving")
	case !ok || e.Config.Snapshot() == nil:
		return errors.New("the configuration is not known yet")
	case age > storeSilence, e.Intake.StoreSilent() > unansweredLimit:
		return errors.New("the store does not answer")
	}
	return nil
}

func (e entry) stop(ctx context.Context, srv *http.Server) {
	grace := time.Duration(e.Settings.Bounds.Grace) - stopMargin
	ctx, cancel := context.WithTimeout(ctx, max(grace, 0))
	defer cancel()
	wait := time.NewTimer(min(unreadyTime, max(grace, 0)))
	defer wait.Stop()
	select {
	case <-ctx.Done():
	case <-wait.C:
	}
	if err := srv.Shutdown(ctx); err != nil {
		e.Log.Warn().Int("Event", EventRequestsCut).Err(err).Msg("requests were in progress at the end of the grace time")
	}
}
