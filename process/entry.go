package process

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	"github.com/medlargrade/medlargrade/coordination/configsync"
	"github.com/medlargrade/medlargrade/coordination/membership"
	"github.com/medlargrade/medlargrade/coordination/scheduler"
	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/state/rows"
	"github.com/medlargrade/medlargrade/transport/caller"
	"github.com/medlargrade/medlargrade/transport/entry"
	"github.com/medlargrade/medlargrade/transport/operator"
	"github.com/medlargrade/medlargrade/transport/platform"
	"github.com/medlargrade/medlargrade/transport/target"
)

// entryProcess are the parts of an entry process.
type entryProcess struct {
	dig.In

	Settings EntrySettings
	Network  Network
	Log      zerolog.Logger
	Holder   *configsync.Holder
	Sync     *configsync.EntrySync
	Beater   *membership.Beater
	Observer *membership.Observer
	Pool     *target.Pool
	Sched    *scheduler.Scheduler
	Metrics  *metrics.Set
}

// entryConfig combines the two halves of scheduler.Config.
type entryConfig struct {
	*configsync.Holder
	*configsync.EntrySync
}

// entryServer combines the two halves of the Entry service.
type entryServer struct {
	sched *scheduler.Scheduler
	sync  *configsync.EntrySync
}

// Heartbeat implements entryrpc.DRPCEntryServer.
func (s entryServer) Heartbeat(ctx context.Context, in *entryrpc.HeartbeatRequest) (*entryrpc.HeartbeatReply, error) {
	return s.sched.Heartbeat(ctx, in)
}

// FetchConfig implements entryrpc.DRPCEntryServer.
func (s entryServer) FetchConfig(ctx context.Context, in *entryrpc.FetchConfigRequest) (*entryrpc.FetchConfigReply, error) {
	return s.sync.FetchConfig(ctx, in)
}

// incarnation is a random ID of this process.
type incarnation uint64

func entryContainer(set EntrySettings, network Network, log zerolog.Logger) (*dig.Container, error) {
	providers := []any{
		func() EntrySettings { return set },
		func() Network { return network },
		func() zerolog.Logger { return log },
		func() incarnation { return incarnation(newIncarnation()) },
		metrics.NewSet,
		func(s EntrySettings, n Network) rows.Store {
			return platform.New(n.HTTP, platform.Settings{Address: s.Platform})
		},
		func() *configsync.Holder { return new(configsync.Holder) },
		configsync.NewEntrySync,
		func(store rows.Store, s EntrySettings, i incarnation, log zerolog.Logger) *membership.Beater {
			return membership.NewBeater(store, s.Name, s.TargetAddress, uint64(i), log)
		},
		membership.NewObserver,
		func(s EntrySettings, n Network, i incarnation, h *configsync.Holder, sync *configsync.EntrySync, log zerolog.Logger) *target.Pool {
			return target.NewPool(target.Settings{
				Entry: s.Name, Incarnation: uint64(i), Dial: n.Dial, Generation: h.Generation,
				Learn: func(g uint64, _ string) { sync.Learn(g) }, Log: log,
			})
		},
		func(s EntrySettings, i incarnation, store rows.Store, pool *target.Pool, h *configsync.Holder, sync *configsync.EntrySync,
			o *membership.Observer, log zerolog.Logger, reg *metrics.Set,
		) *scheduler.Scheduler {
			return scheduler.New(scheduler.Settings{
				Entry: s.Name, Incarnation: uint64(i),
			}, scheduler.Peers{
				Store: store, Targets: targetsOf{pool}, Config: entryConfig{h, sync}, Members: scheduler.NewOwners(o),
			}, log, reg)
		},
	}
	return newContainer("entry", providers)
}

// RunEntry runs an entry process until ctx ends, and then stops it gracefully.
func RunEntry(ctx context.Context, set EntrySettings, network Network, log zerolog.Logger) error {
	c, err := entryContainer(set, network, log)
	if err != nil {
		return err
	}
	var result error
	if err := c.Invoke(func(p entryProcess) { result = p.run(ctx) }); err != nil {
		return fmt.Errorf("assemble entry: %w", err)
	}
	return result
}

// run serves until ctx ends, then stops in an order that cuts no request short:
// readiness goes first, then requests in progress end, then what they need.
func (p entryProcess) run(ctx context.Context) error {
	lis, err := p.Network.listenAll(ctx, p.Settings.CallerAddress, p.Settings.TargetAddress, p.Settings.OperatorAddress)
	if err != nil {
		return errors.Join(err, p.Pool.Close())
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	draining, drain := context.WithCancel(ctx)
	defer drain()

	callers := caller.NewServer(caller.Handler(caller.NewService(p.Sched), p.Log), p.Log)
	ready := func() error { return p.ready(draining) }
	g, gctx := errgroup.WithContext(life)
	g.Go(func() error { return callers.Serve(lis[0]) })
	g.Go(func() error { return entry.Serve(gctx, lis[1], entryServer{p.Sched, p.Sync}) })
	g.Go(func() error {
		return ServeHTTP(gctx, lis[2], operator.Handler(operator.Settings{
			Ready: ready, Status: func() any { return p.Sched.Summary() }, Dump: func() any { return p.Sched.Dump() },
			Drain: drain, Metrics: p.Metrics, Log: p.Log,
		}))
	})
	g.Go(func() error { return p.Beater.Run(gctx) })
	loops := p.loops(gctx)
	p.Log.Info().Int("Event", EventProcessStarted).Str("CallerAddress", p.Settings.CallerAddress).
		Str("TargetAddress", p.Settings.TargetAddress).Str("OperatorAddress", p.Settings.OperatorAddress).Send()

	select {
	case <-draining.Done():
	case <-gctx.Done():
	}
	p.Log.Info().Int("Event", EventProcessStopping).Send()
	p.stop(life, callers)
	end()
	err = g.Wait()
	loops.Wait()
	return logStopped(p.Log, errors.Join(err, p.Pool.Close()))
}

func (p entryProcess) loops(ctx context.Context) *sync.WaitGroup {
	var wg sync.WaitGroup
	wg.Go(func() { p.Sync.Run(ctx) })
	wg.Go(func() { p.Observer.Run(ctx) })
	wg.Go(func() { p.Sched.Run(ctx) })
	return &wg
}

// ready tells the platform's load balancer whether to send callers here.
func (p entryProcess) ready(draining context.Context) error {
	if draining.Err() != nil {
		return errors.New("the entry is leaving")
	}
	if !p.Sync.IsReady() {
		return configsync.ErrNotReady
	}
	return nil
}

// stop waits for the requests in progress, up to the drain time.
func (p entryProcess) stop(ctx context.Context, callers *caller.Server) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(p.Settings.DrainTime))
	defer cancel()
	err := errors.Join(p.Sched.Drain(ctx), callers.Shutdown(ctx))
	if err != nil {
		p.Log.Warn().Int("Event", EventDrainIncomplete).Err(err).Send()
	}
}
