package process

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/follow"
	"github.com/medlargrade/medlargrade/coordination/intake"
	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/transport/caller"
	"github.com/medlargrade/medlargrade/transport/operator"
)

const (
	// storeSilence is how long the store may not have answered before an entry
	// sends callers elsewhere: its configuration may be out of date.
	storeSilence = 3 * time.Second
	// unansweredLimit is how long the store may have been found silent before an
	// entry sends callers elsewhere: others may still reach it.
	unansweredLimit = 500 * time.Millisecond
	// unreadyTime is how long an entry that stops goes on to serve while the load
	// balancer takes notice: two checks, one second apart, and a margin.
	unreadyTime = 2500 * time.Millisecond
	// stopMargin is kept of the drain time for the end of the process itself.
	stopMargin = time.Second
)

// entry are the parts of an entry process.
type entry struct {
	dig.In

	Settings EntrySettings
	Network  Network
	Clients  *clients
	Log      zerolog.Logger
	Config   *configuration.Holder
	Follower *follow.Follower
	Intake   *intake.Service
	Requests *intake.Requests
	Metrics  *metrics.Set
}

func entryProviders(set EntrySettings, n Network, log zerolog.Logger) []any {
	return []any{
		func() EntrySettings { return set },
		func() Network { return n },
		func() zerolog.Logger { return log },
		func() *table.Clock { return new(table.Clock) },
		metrics.NewSet,
		func() *clients { return &clients{network: n} },
		func(c *clients) *platform.Store { return platform.NewStore(c.add(), set.Platform) },
		func(s *platform.Store, m *metrics.Set) table.Store { return table.Measured(s, m) },
		func(log zerolog.Logger) *configuration.Holder { return newHolder(set.Config, log) },
		func(s table.Store, h *configuration.Holder, c *table.Clock, log zerolog.Logger) *follow.Follower {
			return newFollower(set.Config, set.Bounds, s, h, c, log)
		},
		func(s table.Store, c *table.Clock, m *metrics.Set, log zerolog.Logger) *intake.Service {
			return intake.New(s, Part, c, m, log)
		},
		func(i *intake.Service, h *configuration.Holder, s *platform.Store) *intake.Requests {
			return intake.NewRequests(i, h, s)
		},
	}
}

// RunEntry runs an entry until ctx ends, and then stops it gracefully.
func RunEntry(ctx context.Context, set EntrySettings, n Network, log zerolog.Logger) error {
	var err error
	if assembleErr := invoke("entry", entryProviders(set, n, log), func(e entry) { err = e.run(ctx) }); assembleErr != nil {
		return assembleErr
	}
	return err
}

// run serves until ctx ends. It then withdraws its readiness, goes on to serve until
// the load balancer has noticed, and ends when no request is in progress.
func (e entry) run(ctx context.Context) error {
	defer e.Clients.close()
	defer e.Intake.Close()
	defer e.Requests.Close()
	s := e.Settings
	lis, err := e.Network.listenAll(ctx, s.CallerAddress, s.OperatorAddress, s.RouteAddress, s.ReadyAddress)
	if err != nil {
		return err
	}
	e.measure()
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	draining, drain := context.WithCancel(ctx)
	defer drain()
	var leaving atomic.Bool
	ready := func() error { return e.ready(leaving.Load()) }

	g, gctx := errgroup.WithContext(life)
	servers := []*caller.Server{caller.NewServer(caller.Handler(caller.NewService(e.Requests), e.Log), e.Log)}
	listeners := []net.Listener{lis[0]}
	if lis[2] != nil {
		servers = append(servers, caller.NewServer(platform.CallerHandler(e.Intake, e.Config, e.Metrics, e.Log), e.Log))
		listeners = append(listeners, lis[2])
	}
	for i, srv := range servers {
		g.Go(func() error { return srv.Serve(listeners[i]) })
	}
	g.Go(func() error {
		return ServeHTTP(gctx, lis[1], operator.Handler(operator.Settings{
			Ready: ready, Dump: func() any { return e.dump(leaving.Load()) }, Drain: drain, Metrics: e.Metrics, Log: e.Log,
		}))
	})
	if lis[3] != nil {
		g.Go(func() error { return ServeHTTP(gctx, lis[3], platform.ReadyHandler(ready)) })
	}
	g.Go(func() error {
		e.Follower.Run(gctx)
		return nil
	})
	e.Log.Info().Int("Event", EventStarted).Str("CallerAddress", s.CallerAddress).Str("RouteAddress", s.RouteAddress).
		Str("OperatorAddress", s.OperatorAddress).Msg("the entry serves")
	select {
	case <-draining.Done():
	case <-gctx.Done():
	}
	leaving.Store(true)
	e.Log.Info().Int("Event", EventStopping).Msg("the entry is leaving")
	e.stop(life, servers)
	end()
	err = g.Wait()
	e.Log.Info().Int("Event", EventStopped).Err(err).Msg("the entry has ended")
	return err
}

// measure adds the gauges of the configuration.
func (e entry) measure() {
	e.Metrics.NewGauge(`medlargrade_configuration_age_seconds`, func() float64 {
		age, _ := e.Follower.Age()
		return age.Seconds()
	})
	e.Metrics.NewGauge(`medlargrade_configuration_version`, func() float64 {
		if s := e.Config.Snapshot(); s != nil {
			return float64(s.Version)
		}
		return 0
	})
	e.Metrics.NewGauge(`medlargrade_store_silent_seconds`, func() float64 { return e.Intake.StoreSilent().Seconds() })
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

// stop ends the servers. Callers that wait for the end of a job are told its state,
// because the job goes on without this entry.
func (e entry) stop(ctx context.Context, servers []*caller.Server) {
	grace := max(time.Duration(e.Settings.DrainTime)-stopMargin, 0)
	ctx, cancel := context.WithTimeout(ctx, grace)
	defer cancel()
	if e.Settings.ReadyAddress != "" {
		pause.For(ctx, min(unreadyTime, grace))
	}
	e.Requests.Leave()
	errs := make([]error, len(servers))
	var g errgroup.Group
	for i, srv := range servers {
		g.Go(func() error {
			errs[i] = srv.Shutdown(ctx)
			return nil
		})
	}
	_ = g.Wait() // The functions return no errors.
	if err := errors.Join(errs...); err != nil {
		e.Log.Warn().Int("Event", EventDrainIncomplete).Err(err).Msg("requests were in progress at the end of the drain time")
	}
}

// EntryState is the state of an entry as its dump shows it.
type EntryState struct {
	Name          string
	Ready         string // why callers should go elsewhere; empty if the entry is ready
	Leaving       bool
	ConfigVersion uint64
	ConfigAge     string // how old the configuration may be; empty if there is none
	StoreSilent   string // how long the store has not answered; empty if it does
}

func (e entry) dump(leaving bool) EntryState {
	st := EntryState{Name: e.Settings.Name, Leaving: leaving}
	if err := e.ready(leaving); err != nil {
		st.Ready = err.Error()
	}
	if s := e.Config.Snapshot(); s != nil {
		st.ConfigVersion = s.Version
	}
	if age, ok := e.Follower.Age(); ok {
		st.ConfigAge = age.String()
	}
	if d := e.Intake.StoreSilent(); d > 0 {
		st.StoreSilent = d.String()
	}
	return st
}
