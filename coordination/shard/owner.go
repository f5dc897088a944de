package shard

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/follow"
	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// owner runs the planner while this process owns the shard.
type owner struct {
	cfg  Settings
	deps Deps

	taken     time.Time // when the shard was taken over
	inherited OwnerRow  // of the former owner
	wake      chan struct{}
	orders    sync.WaitGroup

	mu        sync.Mutex
	grants    int64    // OwnerRow.GrantsMillis
	row       OwnerRow // as written last; changed only by the goroutine of run
	version   uint64   // of the row
	plan      *planner.Planner
	confirmed time.Time     // when the last confirmed transaction was sent
	took      time.Duration // by that transaction
	since     time.Time     // when the transaction under way was sent first; zero for none
	progress  map[string][]job.Progress
	watches   map[string]*watch
	config    *configuration.Holder
}

func newOwner(cfg Settings, deps Deps, boot uint64, f former) *owner {
	row := OwnerRow{Epoch: f.row.Epoch + 1, Name: cfg.Name, Address: cfg.Address, Boot: boot}
	return &owner{
		cfg: cfg, deps: deps, inherited: f.row, grants: f.row.grants(f.now, f.ended), row: row, version: f.version, wake: make(chan struct{}, 1),
		plan: planner.New(cfg.Planner, deps.Log), progress: make(map[string][]job.Progress), watches: make(map[string]*watch),
	}
}

// run plans until ctx ends or another process owns the shard.
func (o *owner) run(ctx context.Context) error {
	o.taken = time.Now()
	o.deps.Log.Info().Int("Event", EventOwned).Uint64("Epoch", o.row.Epoch).Msg("this process owns the shard")
	inner, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	defer wg.Wait()
	defer o.orders.Wait()
	defer cancel()
	if err := o.load(inner); err != nil {
		return err
	}
	config, followConfig := o.deps.NewConfig()
	o.config = config
	wg.Go(func() { followConfig(inner) })
	loaded := make(chan struct{})
	wg.Go(func() { o.follow(inner, job.TableJobs, &jobsSink{o: o, loaded: loaded}) })
	wg.Go(func() {
		// What targets report is about jobs that must be known before.
		select {
		case <-inner.Done():
		case <-loaded:
			o.follow(inner, TableTargets, targetsSink{o, inner, &wg})
		}
	})
	wg.Go(func() { o.askOthers(inner) })
	err := o.loop(inner)
	if ctx.Err() != nil {
		o.release(context.WithoutCancel(ctx))
	}
	return err
}

// follow passes the rows of a table on to a sink until ctx ends.
func (o *owner) follow(ctx context.Context, name string, sink follow.Sink) {
	set := follow.Settings{Table: name, Part: o.cfg.Part, Wait: followWait, Clock: o.deps.Clock}
	follow.New(o.deps.Store, set, sink, o.deps.Log).Run(ctx)
}

// load reads the recorded progress of all jobs.
func (o *owner) load(ctx context.Context) error {
	for {
		p, err := table.ReadAll(ctx, o.deps.Store, table.Range{Table: job.TableProgress, Part: o.cfg.Part})
		if err == nil {
			o.restore(p.Rows)
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("load the shard: %w", ctx.Err())
		}
		// A store that can't be read for long shows in the row's age, and another
		// process takes over.
		if err := o.commit(ctx, table.Tx{}); err != nil {
			return err
		}
		pause.For(ctx, retryPause)
	}
}

func (o *owner) restore(rows []table.Row) {
	for _, r := range rows {
		pr, err := job.DecodeProgress(r.Value)
		if err != nil {
			o.deps.Log.Error().Int("Event", EventRowMalformed).Str("Key", r.Key).Err(err).Send()
			continue
		}
		o.progress[pr.Job] = append(o.progress[pr.Job], pr)
	}
}

// jobsSink takes the rows of accepted jobs and cancellations.
type jobsSink struct {
	o      *owner
	loaded chan struct{} // closed by the first Reset
	reset  bool
}

// Reset implements follow.Sink.
func (s *jobsSink) Reset(rows []table.Row) {
	s.Apply(rows)
	if s.reset {
		return
	}
	s.reset = true
	s.o.mu.Lock()
	s.o.plan.Loaded()
	s.o.mu.Unlock()
	close(s.loaded)
}

// Apply implements follow.Sink.
func (s *jobsSink) Apply(rows []table.Row) {
	o := s.o
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, r := range rows {
		id, cancel := job.ParseJobsKey(r.Key)
		if cancel || r.Deleted || o.plan.Has(id) {
			continue
		}
		j, err := job.Decode(r.Value)
		if err != nil {
			o.deps.Log.Error().Int("Event", EventRowMalformed).Str("Key", r.Key).Err(err).Send()
			continue
		}
		o.plan.AddJob(j, o.progress[id], o.accepted(j, now))
		delete(o.progress, id)
	}
	for _, r := range rows {
		if id, cancel := job.ParseJobsKey(r.Key); cancel && !r.Deleted {
			o.plan.Cancel(id, now)
		}
	}
	o.signal()
}

// accepted returns when a job was accepted, on the clock of this process.
func (o *owner) accepted(j job.Job, now time.Time) time.Time {
	if store, ok := o.deps.Clock.Now(); ok && j.AcceptedMillis > 0 {
		if age := store - time.Duration(j.AcceptedMillis)*time.Millisecond; age > 0 {
			return now.Add(-age)
		}
	}
	return now
}

// signal asks for a pass.
func (o *owner) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// loop makes passes and carries them out.
func (o *owner) loop(ctx context.Context) error {
	timer := time.NewTimer(planPeriod)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		case <-timer.C:
		}
		timer.Reset(planPeriod)
		o.mu.Lock()
		if s := o.config.Snapshot(); s != nil {
			o.plan.SetConfig(s)
		}
		b := o.plan.Plan(time.Now())
		due := time.Since(o.confirmed) >= max(beatPeriod, slowBeatFactor*o.took)
		o.mu.Unlock()
		if len(b.Writes)+len(b.Deletions) > 0 || due {
			if err := o.commit(ctx, table.Tx{Writes: b.Writes, Deletions: b.Deletions}); err != nil {
				return err
			}
		}
		o.carryOut(ctx, b)
	}
}

// commit writes rows together with the owner's row. It returns when they are known
// to be written, ctx has ended or another process owns the shard.
func (o *owner) commit(ctx context.Context, tx table.Tx) error {
	o.mu.Lock()
	last, version := o.row, o.version
	o.mu.Unlock()
	tx.Part = o.cfg.Part
	tx = tx.WithCondition(TableShard, OwnerKey, version)
	tokens := make(map[string]struct{}) // of the tries whose outcome is unknown
	o.setSince(time.Now())
	defer o.setSince(time.Time{})
	for {
		row := last
		row.Token = newToken()
		o.mu.Lock()
		row.Silent, row.GrantsMillis = o.silentLocked(), o.grants
		o.mu.Unlock()
		if now, ok := o.deps.Clock.Now(); ok {
			row.BeatMillis = now.Milliseconds()
		}
		sent := time.Now()
		c, err := o.deps.Store.Commit(ctx, tx.WithWrite(TableShard, OwnerKey, row.encode()))
		var conflict *table.ConflictError
		var lost *table.LostError
		switch {
		case err == nil:
			o.deps.Clock.Observe(c.Now)
			o.written(row, c.Version, sent)
			return nil
		case errors.As(err, &conflict):
			now := conflict.Row(TableShard, OwnerKey)
			cur, decodeErr := DecodeOwner(now.Value)
			if _, mine := tokens[cur.Token]; decodeErr == nil && mine {
				// An earlier try took effect; its answer was lost.
				o.written(cur, now.Version, sent)
				return nil
			}
			return fmt.Errorf("%w: epoch %d, owner %s", errDeposed, cur.Epoch, cur.Name)
		case errors.As(err, &lost):
			tokens[row.Token] = struct{}{}
		}
		if ctx.Err() != nil {
			return fmt.Errorf("record the plan: %w", ctx.Err())
		}
		pause.For(ctx, retryPause)
	}
}

func (o *owner) setSince(t time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.since = t
}

// askOthers asks other processes to take over while the store does not take a
// transaction of this one: they may reach it.
func (o *owner) askOthers(ctx context.Context) {
	last := ""
	for ctx.Err() == nil {
		pause.For(ctx, stuckCheck)
		name, address, epoch := o.nextPeer(last)
		if name == "" {
			continue
		}
		last = name
		o.deps.Log.Warn().Int("Event", EventTakeOverAsked).Str("Of", name).Msg("the store does not take a transaction; another process is asked to take over")
		cctx, cancel := context.WithTimeout(ctx, askPause)
		if _, err := o.deps.Agents.Agent(address).TakeOver(cctx, &agentrpc.TakeOverRequest{Epoch: epoch}); err != nil {
			o.deps.Log.Info().Int("Event", EventTakeOverUnanswered).Str("Of", name).Err(err).Send()
		}
		cancel()
		pause.For(ctx, askPause)
	}
}

// nextPeer returns the target after the last one to ask, or "" while there is no
// reason to ask.
func (o *owner) nextPeer(last string) (name, address string, epoch uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since.IsZero() || time.Since(o.since) < stuckLimit+slowStoreFactor*o.took {
		return "", "", 0
	}
	names := make([]string, 0, len(o.watches))
	for n, w := range o.watches {
		if n != o.cfg.Name && !w.retired && w.connected {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return "", "", 0
	}
	slices.Sort(names)
	i, found := slices.BinarySearch(names, last)
	if found {
		i++
	}
	name = names[i%len(names)]
	return name, o.watches[name].address, o.row.Epoch
}

func (o *owner) written(row OwnerRow, version uint64, sent time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.row, o.version, o.confirmed, o.took = row, version, sent, time.Since(sent)
}

// releaseTimeout bounds the release of the shard at the end of the process.
const releaseTimeout = time.Second

// release lets another process own the shard at once.
func (o *owner) release(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	o.mu.Lock()
	o.row.Name = ""
	o.mu.Unlock()
	if err := o.commit(ctx, table.Tx{}); err != nil {
		o.deps.Log.Info().Int("Event", EventReleaseFailed).Err(err).Send()
	}
}
