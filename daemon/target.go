package daemon

import (
	"context"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/dig"
	"golang.org/x/sync/errgroup"

	coordagent "github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/transport/agent"
)

// target are the parts of a target process.
type target struct {
	dig.In

	Settings  TargetSettings
	Network   Network
	Log       zerolog.Logger
	Agent     *coordagent.Agent
	Agents    *agent.Agents
	Candidate *shard.Candidate
}

func targetProviders(set TargetSettings, n Network, log zerolog.Logger) []any {
	return []any{
		func() TargetSettings { return set },
		func() Network { return n },
		func() zerolog.Logger { return log },
		func() *table.Clock { return new(table.Clock) },
		func() table.Store { return platform.NewStore(n.client(), set.Store) },
		func() *agent.Agents { return agent.NewAgents(n.Dial) },
		func(log zerolog.Logger) *coordagent.Agent {
			w := platform.NewWorker(n.client(), set.Worker)
			return coordagent.New(coordagent.Settings{Name: set.Name, HoldMax: time.Duration(set.Bounds.LeaseMax)}, w, log)
		},
		func(s table.Store, c *table.Clock, as *agent.Agents, a *coordagent.Agent, log zerolog.Logger) *shard.Candidate {
			return shard.NewCandidate(shard.Settings{
				Part: part, Name: set.Name, Address: set.AgentAddress, HoldMax: time.Duration(set.Bounds.LeaseMax),
				Planner: set.Bounds.planner(),
			}, shard.Deps{
				Store: s, Clock: c, Agents: as, Agent: a, Log: log,
				NewConfig: func() (*configuration.Holder, func(context.Context)) {
					h := configuration.NewHolder(platform.ConfigKey, platform.DecodeConfig, log)
					return h, configFollower(s, h, c, set.Bounds, log).Run
				},
			})
		},
	}
}

func (b Bounds) planner() planner.Settings {
	return planner.Settings{
		StopTime: time.Duration(b.StopTime), GangWait: time.Duration(b.GangWait), FarFactor: b.FarFactor,
		Restore: time.Duration(b.Restore), Checkpoint: time.Duration(b.Checkpoint),
	}
}

// RunTarget runs a target process until ctx ends. What runs on the worker goes on,
// and the next process beside it finds it there.
func RunTarget(ctx context.Context, set TargetSettings, n Network, log zerolog.Logger) error {
	var err error
	if assembleErr := invoke("target", targetProviders(set, n, log), func(t target) { err = t.run(ctx) }); assembleErr != nil {
		return assembleErr
	}
	return err
}

func (t target) run(ctx context.Context) error {
	reports, err := t.Network.Listen(ctx, t.Settings.ReportAddress)
	if err != nil {
		return fmt.Errorf("listen for the worker: %w", err)
	}
	planners, err := t.Network.Listen(ctx, t.Settings.AgentAddress)
	if err != nil {
		return fmt.Errorf("listen for planners: %w", err)
	}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error { return process.ServeHTTP(gctx, reports, platform.RegistryHandler(t.Agent)) })
	g.Go(func() error { return agent.Serve(t.Log.WithContext(gctx), planners, t.Agent) })
	g.Go(func() error {
		t.Agent.Run(gctx)
		return nil
	})
	g.Go(func() error {
		t.Candidate.Run(gctx)
		return nil
	})
	t.Log.Info().Int("Event", EventStarted).Str("AgentAddress", t.Settings.AgentAddress).Msg("the target process serves")
	err = g.Wait()
	t.Log.Info().Int("Event", EventStopped).Err(err).Msg("the target process has ended")
	return err
}
