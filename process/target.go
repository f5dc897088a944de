package process

import (
	"cmp"
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	coordagent "github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/transport/agent"
	"github.com/medlargrade/medlargrade/transport/operator"
)

// target holds the components of a target process.
type target struct {
	dig.In

	Settings  TargetSettings
	Network   Network
	Clients   *clients
	Log       zerolog.Logger
	Agent     *coordagent.Agent
	Agents    *agent.Clients
	Candidate *shard.Candidate
	Metrics   *metrics.Set
}

func targetProviders(settings TargetSettings, n Network, log zerolog.Logger) []any {
	return []any{
		func() TargetSettings { return settings },
		func() Network { return n },
		func() zerolog.Logger { return log },
		func() *table.Clock { return new(table.Clock) },
		metrics.NewSet,
		func() *clients { return &clients{network: n} },
		func(c *clients) *platform.Store { return platform.NewStore(c.newClient(), settings.Platform) },
		func(s *platform.Store, m *metrics.Set) table.Store { return table.Instrumented(s, m) },
		func() *agent.Clients { return agent.NewClients(n.Dial) },
		func(s *platform.Store, c *clients, m *metrics.Set, log zerolog.Logger) *coordagent.Agent {
			w := platform.NewWorkerClient(c.newWorkerClient(), settings.Worker)
			return coordagent.New(coordagent.Settings{
				Name: settings.Name, LeaseMax: time.Duration(settings.Bounds.LeaseMax), Metrics: m,
			}, w, s, log)
		},
		func(s table.Store, c *table.Clock, agents *agent.Clients, a *coordagent.Agent, m *metrics.Set, log zerolog.Logger) *shard.Candidate {
			return shard.NewCandidate(shard.Settings{
				Part: ShardPart, Name: settings.Name, Address: cmp.Or(settings.ReachedAt, settings.Address), LeaseMax: time.Duration(settings.Bounds.LeaseMax),
				OperatorAddress: settings.OperatorAddress, Planner: settings.Bounds.plannerSettings(settings.Policy),
			}, shard.Deps{
				Store: s, Clock: c, Agents: agents, Agent: a, Log: log, Metrics: m,
				NewConfig: func() (*configuration.Holder, func(context.Context)) {
					h := newConfigHolder(settings.Config, log)
					return h, newConfigFollower(settings.Config, settings.Bounds, s, h, c, log).Run
				},
			})
		},
	}
}

// RunTarget runs a target process until ctx ends or an operator requests a drain, which
// stops the process at once. Runs on the worker continue while their leases last, and
// the worker's next target process finds them there.
func RunTarget(ctx context.Context, settings TargetSettings, n Network, log zerolog.Logger) error {
	var err error
	if assembleErr := assemble("target", targetProviders(settings, n, log), func(t target) { err = t.run(ctx) }); assembleErr != nil {
		return assembleErr
	}
	return err
}

func (t target) run(ctx context.Context) error {
	defer t.Clients.close()
	s := t.Settings
	// lis has the listeners for the worker's heartbeats, planners and operators, in this
	// order.
	lis, err := t.Network.listenAll(ctx, s.ReportAddress, s.Address, s.OperatorAddress)
	if err != nil {
		return errors.Join(err, t.Agents.Close())
	}
	t.Metrics.NewGauge(`medlargrade_planner`, func() float64 {
		if t.Candidate.Owns() {
			return 1
		}
		return 0
	})
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return ServeHTTP(gctx, lis[0], platform.RegistryHandler(t.Agent)) })
	g.Go(func() error { return agent.Serve(t.Log.WithContext(gctx), lis[1], t.Agent) })
	g.Go(func() error {
		return ServeHTTP(gctx, lis[2], operator.Handler(operator.Settings{
			Dump: func() any { return t.dump() }, Drain: stop, Place: t.place, Metrics: t.Metrics, Log: t.Log,
		}))
	})
	g.Go(func() error {
		t.Agent.Run(gctx)
		return nil
	})
	g.Go(func() error {
		t.Candidate.Run(gctx)
		return nil
	})
	t.Log.Info().Int("Event", EventStarted).Str("Address", s.Address).Str("OperatorAddress", s.OperatorAddress).Msg("target process serving")
	err = errors.Join(g.Wait(), t.Agents.Close())
	t.Log.Info().Int("Event", EventStopped).Err(err).Msg("target process stopped")
	return err
}

// TargetState is the content of a target process's dump.
type TargetState struct {
	Name  string
	Agent coordagent.State
	Owner *shard.State // nil unless this process plans the shard
}

func (t target) dump() TargetState {
	return TargetState{Name: t.Settings.Name, Agent: t.Agent.State(), Owner: t.Candidate.State()}
}
