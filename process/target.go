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
	"github.com/medlargrade/medlargrade/coordination/executor"
	"github.com/medlargrade/medlargrade/transport/entry"
	"github.com/medlargrade/medlargrade/transport/operator"
	"github.com/medlargrade/medlargrade/transport/target"
	"github.com/medlargrade/medlargrade/transport/worker"
)

// targetProcess are the parts of a target process.
type targetProcess struct {
	dig.In

	Settings TargetSettings
	Network  Network
	Log      zerolog.Logger
	Sync     *configsync.TargetSync
	Hubs     *target.Pool
	Entries  *entry.Pool
	Exec     *executor.Executor
	Metrics  *metrics.Set
}

// learner passes the generations that peers have seen to the configuration's
// synchronization, which is made after the pools that call it.
type learner struct {
	mu   sync.Mutex
	sync *configsync.TargetSync
}

func (l *learner) set(s *configsync.TargetSync) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sync = s
}

func (l *learner) learn(generation uint64, from string) {
	l.mu.Lock()
	s := l.sync
	l.mu.Unlock()
	if s != nil {
		s.Learn(generation, from)
	}
}

func targetContainer(set TargetSettings, network Network, log zerolog.Logger) (*dig.Container, error) {
	providers := []any{
		func() TargetSettings { return set },
		func() Network { return network },
		func() zerolog.Logger { return log },
		metrics.NewSet,
		func() *configsync.Holder { return new(configsync.Holder) },
		func() *learner { return new(learner) },
		func(n Network, h *configsync.Holder, l *learner) *entry.Pool {
			return entry.NewPool(entry.Settings{Dial: n.Dial, Generation: h.Generation, Learn: l.learn})
		},
		func(n Network, h *configsync.Holder, log zerolog.Logger) *target.Pool {
			return target.NewPool(target.Settings{Dial: n.Dial, Generation: h.Generation, Log: log})
		},
		func(s TargetSettings, h *configsync.Holder, entries *entry.Pool, l *learner, log zerolog.Logger) *configsync.TargetSync {
			sync := configsync.NewTargetSync(h, entries.Client, log)
			sync.SetEntries(s.Entries)
			l.set(sync)
			return sync
		},
		newExecutor,
	}
	return newContainer("target", providers)
}

func newExecutor(s TargetSettings, n Network, h *configsync.Holder, sync *configsync.TargetSync, hubs *target.Pool, entries *entry.Pool, log zerolog.Logger) (*executor.Executor, error) {
	return executor.New(executor.Config{
		Name: s.Name, Address: s.Address, DataCentre: s.DataCentre, Rack: s.Rack,
		Slots: s.Slots, Connections: s.Connections, EntryList: s.Entries, ReportTo: s.ReportTo,
		Worker:     newTaskGroups(workerOf{worker.New(n.HTTP, worker.Settings{Address: s.Worker})}),
		Hubs:       hubsOf{hubs},
		Entries:    entriesOf{entries},
		Generation: h.Generation,
		Learn:      sync.Learn,
		Ready:      sync.IsReady,
		Logger:     log,
	})
}

// RunTarget runs a target process until ctx ends, and then stops it gracefully.
func RunTarget(ctx context.Context, set TargetSettings, network Network, log zerolog.Logger) error {
	c, err := targetContainer(set, network, log)
	if err != nil {
		return err
	}
	var result error
	if err := c.Invoke(func(p targetProcess) { result = p.run(ctx) }); err != nil {
		return fmt.Errorf("assemble target: %w", err)
	}
	return result
}

// run serves until ctx ends, then leaves: new work is refused at once, and what
// runs is waited for up to the drain time.
func (p targetProcess) run(ctx context.Context) error {
	lis, err := p.Network.listenAll(ctx, p.Settings.Address, p.Settings.OperatorAddress)
	if err != nil {
		p.Exec.Close()
		return errors.Join(err, p.Hubs.Close(), p.Entries.Close())
	}
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	draining, drain := context.WithCancel(ctx)
	defer drain()

	g, gctx := errgroup.WithContext(life)
	g.Go(func() error { return target.Serve(gctx, lis[0], p.Exec) })
	g.Go(func() error {
		return ServeHTTP(gctx, lis[1], operator.Handler(operator.Settings{
			Ready: p.ready, Status: func() any { return p.Exec.Dump() }, Dump: func() any { return p.Exec.Dump() },
			Drain: drain, Metrics: p.Metrics, Log: p.Log,
		}))
	})
	var loops sync.WaitGroup
	loops.Go(func() { p.Sync.Run(gctx) })
	p.Log.Info().Int("Event", EventProcessStarted).Str("Address", p.Settings.Address).
		Str("OperatorAddress", p.Settings.OperatorAddress).Send()

	select {
	case <-draining.Done():
	case <-gctx.Done():
	}
	p.Log.Info().Int("Event", EventProcessStopping).Send()
	stop, cancel := context.WithTimeout(life, time.Duration(p.Settings.DrainTime))
	defer cancel()
	p.Exec.Drain(stop)
	end()
	err = g.Wait()
	loops.Wait()
	p.Exec.Close()
	return logStopped(p.Log, errors.Join(err, p.Hubs.Close(), p.Entries.Close()))
}

func (p targetProcess) ready() error {
	if !p.Sync.IsReady() {
		return configsync.ErrNotReady
	}
	return nil
}
