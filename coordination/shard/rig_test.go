package shard_test

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"storj.io/drpc"

	"github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

const (
	part    = "0"
	holdMax = 10 * time.Second
)

var errCut = errors.New("the target can't be reached")

// target is a fake agent with its worker.
type target struct {
	name string

	mu      sync.Mutex
	cut     bool
	cutFor  map[string]bool // planners that do not reach it
	silent  time.Duration
	epoch   uint64
	fence   int64
	cap     int64
	life    *agentrpc.Life
	start   time.Time // of the life
	running map[string]int64
	ended   []*agentrpc.RunEnd
	starts  []string // "task run"
	rev     uint64
	changed chan struct{}
	process *process // beside the worker; nil if none has been started
}

func newTarget(name string) *target {
	return &target{
		name: name, life: &agentrpc.Life{Worker: name + "-1", Born: 1}, start: time.Now(),
		running: make(map[string]int64), rev: 1, changed: make(chan struct{}),
	}
}

func (t *target) set(f func(t *target)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t)
	t.rev++
	close(t.changed)
	t.changed = make(chan struct{})
}

func (t *target) get(f func(t *target)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(t)
}

// end lets a run be done.
func (t *target) end(task string) {
	t.set(func(t *target) {
		t.ended = append(t.ended, &agentrpc.RunEnd{Number: int64(len(t.ended) + 1), Task: task, Run: t.running[task], How: "done"})
		delete(t.running, task)
	})
}

// DRPCConn implements agentrpc.DRPCAgentClient.
func (t *target) DRPCConn() drpc.Conn { return nil }

func (t *target) isCut(planner string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cut || t.cutFor[planner]
}

// Watch implements agentrpc.DRPCAgentClient.
func (t *target) Watch(ctx context.Context, in *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
	if t.isCut(in.GetPlanner()) {
		<-ctx.Done()
		return nil, errCut
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if in.GetEpoch() < t.epoch {
		return &agentrpc.WatchReply{Refused: true, Epoch: t.epoch}, nil
	}
	t.epoch, t.fence = in.GetEpoch(), max(t.fence, in.GetFence())
	if t.process != nil {
		// The agent beside the target notes the contact with the planner.
		t.process.agent.RaiseEpoch(in.GetEpoch())
	}
	if in.GetLife().GetWorker() == t.life.GetWorker() {
		t.cap = max(t.cap, in.GetLeaseCapMillis())
		for len(t.ended) > 0 && t.ended[0].GetNumber() <= in.GetSeenEnd() {
			t.ended = t.ended[1:]
		}
	}
	wait := time.NewTimer(time.Duration(in.GetWaitMillis()) * time.Millisecond)
	defer wait.Stop()
	for over := false; !over && in.GetRevision() == t.rev; {
		changed := t.changed
		t.mu.Unlock()
		select {
		case <-changed:
		case <-wait.C:
			over = true
		case <-ctx.Done():
			over = true
		}
		t.mu.Lock()
	}
	if t.cut {
		t.mu.Unlock()
		<-ctx.Done()
		t.mu.Lock()
		return nil, errCut
	}
	out := &agentrpc.WatchReply{
		Epoch: t.epoch, Boot: 1, Revision: t.rev, Listed: true, Ended: t.ended, Look: int64(t.rev), //nolint:gosec // small
		Worker: &agentrpc.Worker{
			Life: t.life, Pool: "pool", Cpu: 64_000, MemoryMb: 1 << 18, Accelerators: 8, Rack: "r1",
			ClockMillis: time.Since(t.start).Milliseconds() + 1,
		},
		SilentMillis: t.silent.Milliseconds(), UngrantedMillis: t.silent.Milliseconds(),
	}
	for task, run := range t.running {
		out.Running = append(out.Running, &agentrpc.RunStatus{Task: task, Run: run})
	}
	return out, nil
}

// Order implements agentrpc.DRPCAgentClient.
func (t *target) Order(ctx context.Context, in *agentrpc.OrderRequest) (*agentrpc.OrderReply, error) {
	if t.isCut("") {
		<-ctx.Done()
		return nil, errCut
	}
	out := &agentrpc.OrderReply{Epoch: in.GetEpoch()}
	t.set(func(t *target) {
		if in.GetEpoch() < t.epoch || in.GetFence() < t.fence {
			out.Refused = true
			return
		}
		for _, o := range in.GetOrders() {
			if s := o.GetStart(); s != nil {
				t.starts = append(t.starts, fmt.Sprintf("%s %d", s.GetTask(), s.GetRun()))
				t.running[s.GetTask()] = s.GetRun()
			}
			if s := o.GetStop(); s != nil {
				delete(t.running, s.GetTask())
			}
			out.Results = append(out.Results, &agentrpc.OrderResult{Outcome: agentrpc.Outcome_DONE, Look: int64(t.rev) + 1}) //nolint:gosec // small
		}
	})
	return out, nil
}

// TakeOver implements agentrpc.DRPCAgentClient.
func (t *target) TakeOver(ctx context.Context, in *agentrpc.TakeOverRequest) (*agentrpc.TakeOverReply, error) {
	var p *process
	t.get(func(t *target) { p = t.process })
	if t.isCut("") || p == nil {
		<-ctx.Done()
		return nil, errCut
	}
	return p.agent.TakeOver(ctx, in)
}

// site is a store with targets and the candidates of processes.
type site struct {
	c       *qt.C
	store   *tabletest.Store
	targets map[string]*target // by address
	refuses map[string]bool    // addresses of processes that have ended
	mu      sync.Mutex         // guards refuses
}

// Agent implements shard.Agents.
func (s *site) Agent(address string) agentrpc.DRPCAgentClient { return s.targets[address] }

// Refuses implements shard.Agents.
func (s *site) Refuses(_ context.Context, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refuses[address]
}

func (s *site) setRefuses(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuses[address] = true
}

// run makes a site of targets a, b, ... and runs f in a bubble.
func run(t *testing.T, targets int, f func(s *site)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &site{c: qt.New(t), store: tabletest.New(), targets: make(map[string]*target), refuses: make(map[string]bool)}
		for i := range targets {
			name := string(rune('a' + i))
			s.targets[name] = newTarget(name)
			_, err := s.store.Commit(t.Context(), table.Tx{Part: part}.WithWrite(shard.TableTargets, name, []byte(`{"Address":"`+name+`"}`)))
			s.c.Assert(err, qt.IsNil)
		}
		f(s)
	})
}

// process is one process with a candidate.
type process struct {
	*shard.Candidate
	agent *agent.Agent
	end   func() // ends it gracefully
}

func snapshot() *configuration.Snapshot {
	cfg := operator.NewConfig(operator.NewSite("test")).
		WithPool(operator.NewPool("pool")).
		WithWorkspace(operator.NewWorkspace("w1").WithGuaranteedAccelerators(16)).
		WithKinds([]operator.Kind{operator.NewKind("", "long", operator.ClassLong).WithPool("pool").WithPriority(1).WithAttempts(3)})
	return configuration.NewSnapshot(1, cfg)
}

// start starts a process. Its agent hears of planners only through contact, so that
// it looks at the owner's row all the time.
func (s *site) start(name string, store table.Store) *process {
	ctx, cancel := context.WithCancel(s.c.Context())
	a := agent.New(agent.Settings{Name: name, HoldMax: holdMax}, nil, s.store, zerolog.Nop())
	cand := shard.NewCandidate(shard.Settings{
		Part: part, Name: name, Address: name, HoldMax: holdMax,
		Planner: planner.Settings{StopTime: 400 * time.Millisecond, GangWait: 3 * time.Second, FarFactor: 3},
	}, shard.Deps{
		Store: store, Clock: &table.Clock{}, Agents: s, Agent: a, Log: zerolog.Nop(),
		NewConfig: func() (*configuration.Holder, func(context.Context)) {
			h := configuration.NewHolder("c", func([]byte) (uint64, operator.Config, error) { return 1, snapshot().Config, nil }, zerolog.Nop())
			h.Apply([]table.Row{{Key: "c", Version: 1}})
			return h, func(ctx context.Context) { <-ctx.Done() }
		},
	})
	done := make(chan struct{})
	go func() {
		defer close(done)
		cand.Run(ctx)
	}()
	p := &process{Candidate: cand, agent: a}
	p.end = func() {
		cancel()
		<-done
	}
	s.c.Cleanup(p.end)
	s.targets[name].set(func(t *target) { t.process = p })
	return p
}

// owner returns the recorded owner.
func (s *site) owner() shard.OwnerRow {
	p, err := s.store.Read(s.c.Context(), table.Range{Table: shard.TableShard, Part: part})
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(p.Rows, qt.HasLen, 1)
	row, err := shard.DecodeOwner(p.Rows[0].Value)
	s.c.Assert(err, qt.IsNil)
	return row
}

// holder returns the target that runs a task.
func (s *site) holder(task string) *target {
	for _, t := range s.targets {
		found := false
		t.get(func(t *target) { _, found = t.running[task] })
		if found {
			return t
		}
	}
	return nil
}

// partial is the store as one process reaches it.
type partial struct {
	table.Store
	mu      sync.Mutex
	cut     bool
	refuses bool // calls fail at once
}

func (p *partial) setRefuses(refuses bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuses = refuses
}

func (p *partial) isRefusing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refuses
}

func (p *partial) set(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *partial) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// cutTimeout is after how long a call to the store that is cut off fails.
const cutTimeout = time.Second

var errStoreCut = errors.New("the store can't be reached")

func (p *partial) fail(ctx context.Context) error {
	if p.isRefusing() {
		return &table.UnavailableError{Err: errStoreCut}
	}
	if !p.isCut() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(cutTimeout):
	}
	return &table.UnavailableError{Err: errStoreCut}
}

func (p *partial) Commit(ctx context.Context, tx table.Tx) (table.Commit, error) {
	if err := p.fail(ctx); err != nil {
		return table.Commit{}, err
	}
	return p.Store.Commit(ctx, tx)
}

func (p *partial) Read(ctx context.Context, r table.Range) (table.Page, error) {
	if err := p.fail(ctx); err != nil {
		return table.Page{}, err
	}
	return p.Store.Read(ctx, r)
}

// refuseProgress is the fate of commits while the store takes no progress of jobs.
func refuseProgress(tx table.Tx) tabletest.CommitResult {
	for _, w := range tx.Writes {
		if w.Table == job.TableProgress {
			return tabletest.Refused
		}
	}
	return tabletest.Normal
}

// everySecond gives every second commit a fate.
func everySecond(n *int, fate tabletest.CommitResult) func(table.Tx) tabletest.CommitResult {
	return func(table.Tx) tabletest.CommitResult {
		*n++
		if *n%2 == 0 {
			return fate
		}
		return tabletest.Normal
	}
}

func progressRange() table.Range { return table.Range{Table: job.TableProgress, Part: part} }

// submit accepts the job j1 of one task, although answers of the store may be lost.
func (s *site) submit() {
	j := job.Job{ID: "j1", Kind: "long", Workspace: "w1", Pool: "pool", Steps: []job.Step{{Tasks: 1, Accelerators: 4, EstimateMillis: 60_000}}}
	for range 10 {
		if _, err := s.store.Commit(s.c.Context(), table.Tx{Part: part}.WithWrite(job.TableJobs, j.ID, j.Encode())); err == nil {
			return
		}
	}
	s.c.Fatal("the job is not accepted")
}
