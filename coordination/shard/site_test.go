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
	"google.golang.org/protobuf/proto"
	"storj.io/drpc"

	"github.com/medlargrade/medlargrade/coordination/agent"
	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/evacuation"
	"github.com/medlargrade/medlargrade/coordination/follow"
	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

const (
	part     = "0"
	leaseMax = 10 * time.Second
)

var errUnreachable = errors.New("the target can't be reached")

// fakeAgent is the agent of a target, with its worker.
type fakeAgent struct {
	name string

	mu             sync.Mutex
	unreachable    bool            // for all planners
	unreachableFor map[string]bool // by planner; only their Watch calls do not arrive
	// unreachableFrom is the lowest epoch whose Watch calls do not arrive; 0 for none.
	unreachableFrom uint64
	panicsFor       string        // planner whose Watch calls panic
	workerSilence   time.Duration // time since the worker's last answer to the agent
	noWorker        bool          // no worker has registered with the agent
	gone            bool          // the worker has deregistered and no longer answers
	delay           time.Duration // of Watch calls, before they arrive
	boot            uint64        // of the agent
	epoch           uint64
	fence           int64
	leaseCap        int64
	incarnation     *agentrpc.Life
	startedAt       time.Time // of the incarnation
	running         map[string]int64
	ended           []*agentrpc.RunEnd
	lastEnd         int64    // number of the last end
	starts          []string // "task run"
	startTimes      []time.Time
	dataCentre      string
	revision        uint64
	changed         chan struct{}
	process         *process // beside the worker; nil if none has been started
}

func newFakeAgent(name string) *fakeAgent {
	return &fakeAgent{
		name: name, boot: 1, incarnation: &agentrpc.Life{Worker: name + "-1", Born: 1}, startedAt: time.Now(),
		running: make(map[string]int64), revision: 1, changed: make(chan struct{}),
	}
}

func (a *fakeAgent) update(f func(a *fakeAgent)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a)
	a.revision++
	close(a.changed)
	a.changed = make(chan struct{})
}

func (a *fakeAgent) view(f func(a *fakeAgent)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	f(a)
}

// finish ends the run of a task as done.
func (a *fakeAgent) finish(task string) {
	a.update(func(a *fakeAgent) {
		a.lastEnd++
		a.ended = append(a.ended, &agentrpc.RunEnd{Number: a.lastEnd, Task: task, Run: a.running[task], How: "done"})
		delete(a.running, task)
	})
}

// DRPCConn implements agentrpc.DRPCAgentClient.
func (a *fakeAgent) DRPCConn() drpc.Conn { return nil }

func (a *fakeAgent) isUnreachable(planner string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unreachable || a.unreachableFor[planner]
}

func (a *fakeAgent) isUnreachableFrom(epoch uint64) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.unreachableFrom > 0 && epoch >= a.unreachableFrom
}

func (a *fakeAgent) watchDelay() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.delay
}

// Watch implements agentrpc.DRPCAgentClient.
func (a *fakeAgent) Watch(ctx context.Context, in *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
	if a.isUnreachable(in.GetPlanner()) || a.isUnreachableFrom(in.GetEpoch()) {
		<-ctx.Done()
		return nil, errUnreachable
	}
	a.view(func(a *fakeAgent) {
		if a.panicsFor == in.GetPlanner() {
			panic("unexpected reply")
		}
	})
	if d := a.watchDelay(); d > 0 {
		time.Sleep(d)
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if in.GetEpoch() < a.epoch {
		return &agentrpc.WatchReply{Refused: true, Epoch: a.epoch}, nil
	}
	a.epoch, a.fence = in.GetEpoch(), max(a.fence, in.GetFence())
	if a.process != nil {
		// The agent of the real process learns the epoch.
		a.process.agent.RaiseEpoch(in.GetEpoch())
	}
	if in.GetLife().GetWorker() == a.incarnation.GetWorker() {
		a.leaseCap = max(a.leaseCap, in.GetLeaseCapMillis())
		for len(a.ended) > 0 && a.ended[0].GetNumber() <= in.GetSeenEnd() {
			a.ended = a.ended[1:]
		}
	}
	wait := time.NewTimer(time.Duration(in.GetWaitMillis()) * time.Millisecond)
	defer wait.Stop()
	for done := false; !done && in.GetRevision() == a.revision; {
		changed := a.changed
		a.mu.Unlock()
		select {
		case <-changed:
		case <-wait.C:
			done = true
		case <-ctx.Done():
			done = true
		}
		a.mu.Lock()
	}
	if a.unreachable {
		a.mu.Unlock()
		<-ctx.Done()
		a.mu.Lock()
		return nil, errUnreachable
	}
	out := &agentrpc.WatchReply{
		Epoch: a.epoch, Boot: a.boot, Revision: a.revision, Listed: true, Ended: a.ended, Look: int64(a.revision), //nolint:gosec // small
		Worker: &agentrpc.Worker{
			Life: a.incarnation, Pool: "pool", Cpu: 64_000, MemoryMb: 1 << 18, Accelerators: 8, Rack: "r1", DataCentre: a.dataCentre,
			ClockMillis: time.Since(a.startedAt).Milliseconds() + 1,
		},
		SilentMillis: a.workerSilence.Milliseconds(), UngrantedMillis: a.workerSilence.Milliseconds(),
	}
	out.Worker.Gone = a.gone
	if a.noWorker {
		out.Worker, out.Listed = nil, false
		return out, nil
	}
	for task, run := range a.running {
		out.Running = append(out.Running, &agentrpc.RunStatus{Task: task, Run: run})
	}
	return out, nil
}

// Order implements agentrpc.DRPCAgentClient.
func (a *fakeAgent) Order(ctx context.Context, in *agentrpc.OrderRequest) (*agentrpc.OrderReply, error) {
	if a.isUnreachable("") {
		<-ctx.Done()
		return nil, errUnreachable
	}
	if n := proto.Size(in); n > agentrpc.MaxMessageBytes {
		return nil, fmt.Errorf("message of %d bytes exceeds the limit", n)
	}
	out := &agentrpc.OrderReply{Epoch: in.GetEpoch()}
	a.update(func(a *fakeAgent) {
		if in.GetEpoch() < a.epoch || in.GetFence() < a.fence {
			out.Refused = true
			return
		}
		for _, o := range in.GetOrders() {
			if s := o.GetStart(); s != nil {
				a.starts = append(a.starts, fmt.Sprintf("%s %d", s.GetTask(), s.GetRun()))
				a.startTimes = append(a.startTimes, time.Now())
				a.running[s.GetTask()] = s.GetRun()
			}
			if s := o.GetStop(); s != nil {
				delete(a.running, s.GetTask())
			}
			out.Results = append(out.Results, &agentrpc.OrderResult{Outcome: agentrpc.Outcome_DONE, Look: int64(a.revision) + 1}) //nolint:gosec // small
		}
	})
	return out, nil
}

// TakeOver implements agentrpc.DRPCAgentClient.
func (a *fakeAgent) TakeOver(ctx context.Context, in *agentrpc.TakeOverRequest) (*agentrpc.TakeOverReply, error) {
	var p *process
	a.view(func(a *fakeAgent) { p = a.process })
	if a.isUnreachable("") || p == nil {
		<-ctx.Done()
		return nil, errUnreachable
	}
	return p.agent.TakeOver(ctx, in)
}

// testSite is a store with the agents of targets and the candidates of processes.
type testSite struct {
	c        *qt.C
	store    *tabletest.Store
	targets  map[string]*fakeAgent // by address
	refusing map[string]bool       // addresses of processes that have ended
	// evacuation is the bound on evacuations, which processes follow in evacuationTable if it is
	// set.
	evacuation time.Duration
	retention  time.Duration      // of the rows of ended jobs
	clock      *table.Clock       // of the next process that is started; nil for one without an estimate
	worker     agent.WorkerClient // of the agents in processes that are started; nil for none
	mu         sync.Mutex         // guards refusing, and targets while processes run
}

// Agent implements shard.Agents.
func (s *testSite) Agent(address string) agentrpc.DRPCAgentClient {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[address]
}

// addTarget adds the agent of a further target, without a row.
func (s *testSite) addTarget(address string) *fakeAgent {
	a := newFakeAgent(address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets[address] = a
	return a
}

// RefusesConnections implements shard.Agents.
func (s *testSite) RefusesConnections(_ context.Context, address string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refusing[address]
}

func (s *testSite) setRefusing(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusing[address] = true
}

// runSite runs f in a synctest bubble with a testSite of the given number of targets,
// named a, b, ...
func runSite(t *testing.T, targets int, f func(s *testSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := &testSite{c: qt.New(t), store: tabletest.New(), targets: make(map[string]*fakeAgent), refusing: make(map[string]bool)}
		for i := range targets {
			name := string(rune('a' + i))
			s.targets[name] = newFakeAgent(name)
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
	stop  func() // ends it gracefully
}

func snapshot() *configuration.Snapshot {
	cfg := operator.NewConfig(operator.NewSite("test")).
		WithPool(operator.NewPool("pool")).
		WithWorkspace(operator.NewWorkspace("w1").WithExtraGuaranteedAccelerators(16)).
		WithKinds([]operator.Kind{operator.NewKind("", "long", operator.ClassLong).WithPool("pool").WithPriority(1).WithAttempts(3)})
	return configuration.NewSnapshot(1, cfg)
}

// startProcess starts a process. Planners call the fake agent of its target instead of
// its own, which gets only epochs and requests to take over. Its candidate therefore
// reads the owner's row at each check.
func (s *testSite) startProcess(name string, store table.Store) *process {
	return s.startProcessAt(name, name, store)
}

// startProcessAt is startProcess for a process at an address of its own.
func (s *testSite) startProcessAt(name, address string, store table.Store) *process {
	clock := s.clock
	if clock == nil {
		clock = &table.Clock{}
	}
	ctx, cancel := context.WithCancel(s.c.Context())
	a := agent.New(agent.Settings{Name: name, LeaseMax: leaseMax}, s.worker, s.store, zerolog.Nop())
	cand := shard.NewCandidate(shard.Settings{
		Part: part, Name: name, Address: address, LeaseMax: leaseMax,
		Planner: planner.Settings{StopTime: 400 * time.Millisecond, GangWait: 3 * time.Second, FarFactor: 3, Evacuation: s.evacuation, Retention: s.retention},
	}, shard.Deps{
		Store: store, Clock: clock, Agents: s, Agent: a, Log: zerolog.Nop(),
		NewConfig: func() (*configuration.Holder, func(context.Context)) {
			h := configuration.NewHolder("c", func([]byte) (uint64, operator.Config, error) { return 1, snapshot().Config, nil }, zerolog.Nop()).WithEvacuations(evacuationPrefix)
			if s.evacuation > 0 {
				f := follow.New(store, follow.Settings{Table: evacuationTable, Wait: evacuation.WatchWait(s.evacuation, time.Minute)}, h, zerolog.Nop())
				return h.WithAge(f.MaxAge), f.Run
			}
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
	p.stop = func() {
		cancel()
		<-done
	}
	s.c.Cleanup(p.stop)
	s.targets[address].update(func(x *fakeAgent) { x.process = p })
	return p
}

// ownerRow returns the owner's row.
func (s *testSite) ownerRow() shard.OwnerRow {
	p, err := s.store.Read(s.c.Context(), table.Range{Table: shard.TableShard, Part: part})
	s.c.Assert(err, qt.IsNil)
	s.c.Assert(p.Rows, qt.HasLen, 1)
	row, err := shard.DecodeOwner(p.Rows[0].Value)
	s.c.Assert(err, qt.IsNil)
	return row
}

// targetRunningJob returns the target that runs the task of the job of submit, or nil.
func (s *testSite) targetRunningJob() *fakeAgent {
	for _, a := range s.targets {
		found := false
		a.view(func(a *fakeAgent) { _, found = a.running["j1.0.0.0"] })
		if found {
			return a
		}
	}
	return nil
}

// processStore is the store of one process, whose calls can be made to fail.
type processStore struct {
	table.Store
	mu sync.Mutex
	// clockLag is how far the times in answers are behind the store's clock. It stands for a
	// suspension of the machine, in which the process's own clock stands still: all the answers from
	// before it appear to be that much earlier.
	clockLag    time.Duration
	cutAfter    bool          // the next commit is answered without clockLag, and is the last call that is
	unreachable bool          // calls fail after unreachableTimeout
	refusing    bool          // calls fail at once
	commitDelay time.Duration // of the next commit
}

// delayNextCommit delays the next commit, but none after it.
func (p *processStore) delayNextCommit(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.commitDelay = d
}

func (p *processStore) takeCommitDelay() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.commitDelay
	p.commitDelay = 0
	return d
}

func (p *processStore) setRefusing(refusing bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusing = refusing
}

func (p *processStore) isRefusing() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusing
}

func (p *processStore) setUnreachable(unreachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unreachable = unreachable
}

func (p *processStore) isUnreachable() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unreachable
}

// unreachableTimeout is how long a call to an unreachable store takes to fail.
const unreachableTimeout = time.Second

var errStoreUnreachable = errors.New("the store can't be reached")

func (p *processStore) injectFault(ctx context.Context) error {
	if p.isRefusing() {
		return &table.UnavailableError{Err: errStoreUnreachable}
	}
	if !p.isUnreachable() {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(unreachableTimeout):
	}
	return &table.UnavailableError{Err: errStoreUnreachable}
}

func (p *processStore) Commit(ctx context.Context, tx table.Tx) (table.Commit, error) {
	if err := p.injectFault(ctx); err != nil {
		return table.Commit{}, err
	}
	if d := p.takeCommitDelay(); d > 0 {
		time.Sleep(d)
	}
	c, err := p.Store.Commit(ctx, tx)
	if err == nil {
		p.cutIfDue()
	}
	c.Now -= p.lag()
	return c, err
}

// cutIfDue makes the store unreachable after the commit that ends the suspension.
func (p *processStore) cutIfDue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cutAfter {
		p.clockLag, p.unreachable = 0, true
	}
}

func (p *processStore) lag() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.clockLag
}

// resumeAndCut ends the suspension just before the next commit, after which the store can't be
// reached any more.
func (p *processStore) resumeAndCut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cutAfter = true
}

func (p *processStore) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	c, err := p.Store.Watch(ctx, name, after, wait)
	c.Now -= p.lag()
	return c, err
}

func (p *processStore) Read(ctx context.Context, r table.Range) (table.Page, error) {
	if err := p.injectFault(ctx); err != nil {
		return table.Page{}, err
	}
	page, err := p.Store.Read(ctx, r)
	page.Now -= p.lag()
	return page, err
}

// refuseProgress makes the store refuse commits that write the progress of jobs.
func refuseProgress(tx table.Tx) tabletest.CommitResult {
	for _, w := range tx.Writes {
		if w.Table == job.TableProgress {
			return tabletest.Rejected
		}
	}
	return tabletest.Normal
}

// everySecondCommit gives every second commit the result. It counts commits in n.
func everySecondCommit(n *int, result tabletest.CommitResult) func(table.Tx) tabletest.CommitResult {
	return func(table.Tx) tabletest.CommitResult {
		*n++
		if *n%2 == 0 {
			return result
		}
		return tabletest.Normal
	}
}

func progressRange() table.Range { return table.Range{Table: job.TableProgress, Part: part} }

// submit stores the job j1 of one task. It repeats the write if the answer is lost.
func (s *testSite) submit() { s.submitAs("j1") }

// submitAs is submit with another ID of the job.
func (s *testSite) submitAs(id string) {
	j := job.Job{ID: id, Kind: "long", Workspace: "w1", Pool: "pool", Steps: []job.Step{{Tasks: 1, Accelerators: 4, EstimateMillis: 60_000}}}
	for range 10 {
		if _, err := s.store.Commit(s.c.Context(), table.Tx{Part: part}.WithWrite(job.TableJobs, j.ID, j.Encode())); err == nil {
			return
		}
	}
	s.c.Fatal("the job is not accepted")
}

// stateOf returns the recorded state of the first occurrence of a job, or "".
func (s *testSite) stateOf(id string) job.State {
	p, err := s.store.Read(s.c.Context(), progressRange())
	s.c.Assert(err, qt.IsNil)
	for _, r := range p.Rows {
		if r.Key == job.ProgressKey(id, 0) {
			pr, err := job.DecodeProgress(r.Value)
			s.c.Assert(err, qt.IsNil)
			return pr.State
		}
	}
	return ""
}
