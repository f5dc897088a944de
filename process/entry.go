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

	"github.com/medlargrade/medlargrade/coordination/admission"
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
	// maxStoreDowntime is how long the store may be unavailable before an entry is
	// not ready, so that callers use entries that may still reach it.
	maxStoreDowntime = 500 * time.Millisecond
	// readyTimeout limits a check whether an entry is ready, if it has to read the
	// configuration.
	readyTimeout = 500 * time.Millisecond
	// loadWatchWait is how long one watch of the row of the load may wait. The row is
	// published once a second while work waits; a watch that waits longer costs little.
	loadWatchWait = 2 * time.Second
	// shutdownDelay is how long an entry keeps serving after it stops being ready,
	// until the load balancer has noticed: two checks, one second apart, and a margin.
	shutdownDelay = 2500 * time.Millisecond
	// exitMargin is the part of the drain time reserved for the exit of the process.
	exitMargin = time.Second
)

// entry holds the components of an entry process.
type entry struct {
	dig.In

	Settings EntrySettings
	Network  Network
	Clients  *clients
	Log      zerolog.Logger
	Config   *configuration.Holder
	Gate     configuration.Source
	Follower *follow.Follower
	Intake   *intake.Service
	Store    table.Store
	Clock    *table.Clock
	Load     *admission.Holder
	Requests *intake.Requests
	Metrics  *metrics.Set
}

func entryProviders(settings EntrySettings, n Network, log zerolog.Logger) []any {
	return []any{
		func() EntrySettings { return settings },
		func() Network { return n },
		func() zerolog.Logger { return log },
		func() *table.Clock { return new(table.Clock) },
		metrics.NewSet,
		func() *clients { return &clients{network: n} },
		func(c *clients) *platform.Store { return platform.NewStore(c.newClient(), settings.Platform) },
		func(s *platform.Store, m *metrics.Set) table.Store { return table.Instrumented(s, m) },
		func(log zerolog.Logger) *configuration.Holder { return newConfigHolder(settings.Config, log) },
		func(s table.Store, h *configuration.Holder, c *table.Clock, log zerolog.Logger) *follow.Follower {
			return newConfigFollower(settings.Config, settings.Bounds, s, h, c, log)
		},
		func(s table.Store, c *table.Clock, m *metrics.Set, log zerolog.Logger) *intake.Service {
			return intake.New(s, ShardPart, c, m, log)
		},
		admission.NewHolder,
		func(i *intake.Service, h *configuration.Holder, f *follow.Follower, log zerolog.Logger) configuration.Source {
			return newConfigGate(settings.Config, settings.Bounds, i, h, f, log)
		},
		func(i *intake.Service, c configuration.Source, s *platform.Store) *intake.Requests {
			return intake.NewRequests(i, c, s)
		},
	}
}

// RunEntry runs an entry until ctx ends or an operator requests a drain, and then
// stops it gracefully.
func RunEntry(ctx context.Context, settings EntrySettings, n Network, log zerolog.Logger) error {
	var err error
	if assembleErr := assemble("entry", entryProviders(settings, n, log), func(e entry) { err = e.run(ctx) }); assembleErr != nil {
		return assembleErr
	}
	return err
}

// run serves until ctx ends or an operator requests a drain. It then stops being
// ready, keeps serving until the load balancer has noticed, and returns when no
// request is in progress or the drain time is over.
func (e entry) run(ctx context.Context) error {
	defer e.Clients.close()
	defer e.Intake.Close()
	defer e.Requests.Close()
	s := e.Settings
	// lis has the listeners for callers, operators, the route API and the readiness
	// check, in this order; the last two are nil if their address is empty.
	lis, err := e.Network.listenAll(ctx, s.CallerAddress, s.OperatorAddress, s.RouteAddress, s.ReadyAddress)
	if err != nil {
		return err
	}
	e.registerGauges()
	if s.Policy.Admission {
		e.Intake.WithAdmission(admission.NewController(e.Load))
	}
	serveCtx, stopServing := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServing()
	drainCtx, drain := context.WithCancel(ctx)
	defer drain()
	var draining atomic.Bool
	checkReady := func() error {
		cctx, cancel := context.WithTimeout(serveCtx, readyTimeout)
		defer cancel()
		return e.checkReady(cctx, draining.Load())
	}

	g, gctx := errgroup.WithContext(serveCtx)
	limits := requestLimits(e.Config)
	servers := []*caller.Server{caller.NewServer(caller.Handler(caller.NewService(e.Requests), e.Log), limits, e.Log)}
	listeners := []net.Listener{lis[0]}
	if lis[2] != nil {
		servers = append(servers, caller.NewServer(platform.CallerHandler(e.Intake, e.Gate, e.Metrics, e.Log), limits, e.Log))
		listeners = append(listeners, lis[2])
	}
	for i, srv := range servers {
		g.Go(func() error { return srv.Serve(listeners[i]) })
	}
	g.Go(func() error {
		return ServeHTTP(gctx, lis[1], operator.Handler(operator.Settings{
			Ready: checkReady, Dump: func() any { return e.dump(draining.Load(), checkReady()) }, Drain: drain, Metrics: e.Metrics, Log: e.Log,
		}))
	})
	if lis[3] != nil {
		g.Go(func() error { return ServeHTTP(gctx, lis[3], platform.ReadyHandler(checkReady)) })
	}
	g.Go(func() error {
		e.Follower.Run(gctx)
		return nil
	})
	if s.Policy.Admission {
		load := follow.Settings{Table: admission.Table, Part: ShardPart, Wait: loadWatchWait, Clock: e.Clock}
		g.Go(func() error {
			follow.New(e.Store, load, e.Load, e.Log).Run(gctx)
			return nil
		})
	}
	e.Log.Info().Int("Event", EventStarted).Str("CallerAddress", s.CallerAddress).Str("RouteAddress", s.RouteAddress).
		Str("OperatorAddress", s.OperatorAddress).Msg("entry serving")
	select {
	case <-drainCtx.Done():
	case <-gctx.Done():
	}
	draining.Store(true)
	e.Log.Info().Int("Event", EventStopping).Msg("entry draining")
	e.shutdown(serveCtx, servers)
	stopServing()
	err = g.Wait()
	e.Log.Info().Int("Event", EventStopped).Err(err).Msg("entry stopped")
	return err
}

// registerGauges registers the gauges of the configuration and the store.
func (e entry) registerGauges() {
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
	e.Metrics.NewGauge(`medlargrade_store_silent_seconds`, func() float64 { return e.Intake.StoreDowntime().Seconds() })
}

// checkReady returns the reason why the entry is not ready, or nil if it is. It reads the
// configuration if that may be out of date, as a call does: after an outage of the store, the
// follower may take longer than that.
func (e entry) checkReady(ctx context.Context, draining bool) error {
	_, ok := e.Follower.Age()
	switch {
	case draining:
		return errors.New("the entry is leaving")
	case !ok || e.Config.Snapshot() == nil:
		return errors.New("the configuration is not known yet")
	case e.Intake.StoreDowntime() > maxStoreDowntime, e.Gate.Current(ctx) == nil:
		return errors.New("the store does not answer")
	}
	return nil
}

// shutdown stops the servers gracefully within the drain time. Callers that wait for
// the end of a job get its current state, because the job continues without this
// entry.
func (e entry) shutdown(ctx context.Context, servers []*caller.Server) {
	timeout := max(time.Duration(e.Settings.DrainTime)-exitMargin, 0)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if e.Settings.ReadyAddress != "" {
		pause.For(ctx, min(shutdownDelay, timeout))
	}
	e.Requests.StartDrain()
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
		e.Log.Warn().Int("Event", EventDrainIncomplete).Err(err).Msg("drain time ended with requests in progress")
	}
}

// EntryState is the content of an entry's dump.
type EntryState struct {
	Name          string
	Ready         string // reason why the entry is not ready; empty if it is
	Leaving       bool   // whether the entry is draining
	ConfigVersion uint64
	ConfigAge     string // largest possible age of the configuration; empty if there is none
	StoreSilent   string // how long the store has been unavailable; empty if it is available
	// Load is the last load that the planner has published; nil if it is not followed or not
	// known.
	Load *admission.Row `json:",omitempty"`
}

func (e entry) dump(draining bool, notReady error) EntryState {
	st := EntryState{Name: e.Settings.Name, Leaving: draining, Load: e.Load.Row()}
	if notReady != nil {
		st.Ready = notReady.Error()
	}
	if s := e.Config.Snapshot(); s != nil {
		st.ConfigVersion = s.Version
	}
	if age, ok := e.Follower.Age(); ok {
		st.ConfigAge = age.String()
	}
	if d := e.Intake.StoreDowntime(); d > 0 {
		st.StoreSilent = d.String()
	}
	return st
}
