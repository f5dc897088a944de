package shard

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/admission"
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

	predecessor predecessor   // the owner directly before this one
	wake        chan struct{} // requests a planning pass
	orderCalls  sync.WaitGroup
	cancel      context.CancelCauseFunc // ends the ownership; set by run

	mu           sync.Mutex
	acquiredAt   time.Time // when the shard was taken over
	grantsMillis int64     // OwnerRow.GrantsMillis, in milliseconds; 0 if every former owner has released the shard
	grantsUntil  time.Time // by the clock of this process; earlier than grantsMillis if the predecessor was found to have stopped
	// predecessorStoppedAt is when it was found that the predecessor extends no more leases; zero
	// before that.
	predecessorStoppedAt time.Time
	row                  OwnerRow // as last confirmed, except before the first write and during release; changed only by the goroutine of run
	version              uint64   // of the row
	plan                 *planner.Planner
	confirmedSentAt      time.Time                 // when the last confirmed transaction was sent
	commitDuration       time.Duration             // of the last attempt that the store answered
	commitStart          time.Time                 // first attempt of the transaction in progress; zero for none
	endAttempt           context.CancelFunc        // of the last attempt of a transaction; nil before the first
	progress             map[string][]job.Progress // of recorded jobs that are not loaded yet, by job ID
	watches              map[string]*watch
	config               *configuration.Holder
	loadRow              admission.Publisher // of the row of the load
	missingRows          []table.Write       // rows of targets to write again
}

func newOwner(cfg Settings, deps Deps, boot uint64, prev predecessor) *owner {
	row := OwnerRow{Epoch: prev.row.Epoch + 1, Name: cfg.Name, Address: cfg.Address, OperatorAddress: cfg.OperatorAddress, Boot: boot}
	// A former process of this target has certainly ended. That connections to another are refused
	// shows nothing.
	processEnded := prev.row.names(cfg.Name, cfg.Address)
	grantsMillis := prev.row.nextGrantsMillis(prev.readAt, processEnded)
	return &owner{
		cfg: cfg, deps: deps, predecessor: prev, grantsMillis: grantsMillis, grantsUntil: prev.localTime(grantsMillis), row: row, version: prev.version, wake: make(chan struct{}, 1),
		plan: planner.New(cfg.Planner, deps.Log), progress: make(map[string][]job.Progress), watches: make(map[string]*watch),
	}
}

// run plans until ctx ends or another process owns the shard.
func (o *owner) run(ctx context.Context) error {
	o.setAcquired(time.Now())
	o.deps.Log.Info().Int("Event", EventOwned).Uint64("Epoch", o.row.Epoch).Msg("this process owns the shard")
	runCtx, cancel := context.WithCancelCause(ctx)
	o.cancel = cancel
	var wg sync.WaitGroup
	defer wg.Wait()
	defer o.orderCalls.Wait()
	defer cancel(nil)
	if err := o.loadProgress(runCtx); err != nil {
		return err
	}
	o.loadSpeeds(runCtx)
	config, followConfig := o.deps.NewConfig()
	o.setConfig(config)
	o.goProtected(&wg, "configuration", func() { followConfig(runCtx) })
	loaded := make(chan struct{})
	o.goProtected(&wg, "jobs", func() { o.followTable(runCtx, job.TableJobs, &jobsSink{o: o, loaded: loaded}) })
	o.goProtected(&wg, "targets", func() {
		// Reports of targets refer to jobs, which must be loaded first.
		select {
		case <-runCtx.Done():
		case <-loaded:
			o.followTable(runCtx, TableTargets, targetsSink{o, runCtx, &wg})
		}
	})
	o.goProtected(&wg, "requests to take over", func() { o.requestTakeOver(runCtx) })
	o.goProtected(&wg, "early cancellations", func() { o.removeEarlyCancellations(runCtx) })
	o.goProtected(&wg, "lapses", func() { o.checkLapses(runCtx) })
	var err error
	o.protect("passes", cancel, func() { err = o.planLoop(runCtx) })
	var panicked *panicError
	switch {
	case errors.As(context.Cause(runCtx), &panicked):
		return panicked
	case ctx.Err() != nil:
		o.release(context.WithoutCancel(ctx))
	}
	return err
}

func (o *owner) setConfig(h *configuration.Holder) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.config = h
}

func (o *owner) setAcquired(t time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acquiredAt = t
}

// followTable passes the rows of a table and their changes to a sink until ctx ends.
func (o *owner) followTable(ctx context.Context, name string, sink follow.Sink) {
	settings := follow.Settings{Table: name, Part: o.cfg.Part, Wait: followWait, Clock: o.deps.Clock}
	follow.New(o.deps.Store, settings, sink, o.deps.Log).Run(ctx)
}

// loadProgress reads the recorded progress of all jobs. It retries until it succeeds,
// ctx has ended or another process owns the shard.
func (o *owner) loadProgress(ctx context.Context) error {
	for {
		p, err := table.ReadAll(ctx, o.deps.Store, table.Range{Table: job.TableProgress, Part: o.cfg.Part})
		if err == nil {
			o.restoreProgress(p.Rows)
			return nil
		}
		if ctx.Err() != nil {
			return fmt.Errorf("load the progress of jobs: %w", ctx.Err())
		}
		// Keep the row up to date between attempts. If the store doesn't answer, the
		// row gets out of date and another process takes over.
		if err := o.commit(ctx, table.Tx{}); err != nil {
			return err
		}
		pause.For(ctx, retryPause)
	}
}

func (o *owner) restoreProgress(rows []table.Row) {
	for _, r := range rows {
		pr, err := job.DecodeProgress(r.Value)
		if err != nil {
			o.deps.Log.Error().Int("Event", EventRowMalformed).Str("Key", r.Key).Err(err).Send()
			continue
		}
		o.progress[pr.Job] = append(o.progress[pr.Job], pr)
	}
}

// jobsSink receives the rows of accepted jobs and cancellations.
type jobsSink struct {
	o        *owner
	loaded   chan struct{} // closed by the first Reset
	wasReset bool
}

// Reset implements follow.Sink.
func (s *jobsSink) Reset(rows []table.Row) {
	s.Apply(rows)
	if s.wasReset {
		return
	}
	s.wasReset = true
	s.o.mu.Lock()
	s.o.plan.SetLoaded()
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
		if cancel || r.Deleted || o.plan.HasJob(id) {
			continue
		}
		j, err := job.Decode(r.Value)
		if err != nil {
			o.deps.Log.Error().Int("Event", EventRowMalformed).Str("Key", r.Key).Err(err).Send()
			continue
		}
		o.plan.AddJob(j, o.progress[id], o.acceptedAt(j, now))
		delete(o.progress, id)
	}
	for _, r := range rows {
		if id, cancel := job.ParseJobsKey(r.Key); cancel && !r.Deleted {
			o.plan.Cancel(id, now)
		}
	}
	o.requestPass()
}

// acceptedAt returns when a job was accepted, on the clock of this process. It returns
// now if that is not known.
func (o *owner) acceptedAt(j job.Job, now time.Time) time.Time {
	if storeNow, ok := o.deps.Clock.Now(); ok && j.AcceptedMillis > 0 {
		if age := storeNow - time.Duration(j.AcceptedMillis)*time.Millisecond; age > 0 {
			return now.Add(-age)
		}
	}
	return now
}

// requestPass makes planLoop start a planning pass. It does not block.
func (o *owner) requestPass() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// planLoop makes planning passes, records their decisions and sends their orders.
func (o *owner) planLoop(ctx context.Context) error {
	timer := time.NewTimer(planPeriod)
	defer timer.Stop()
	load := newLoad()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-o.wake:
		case <-timer.C:
		}
		timer.Reset(planPeriod)
		begin := time.Now()
		b, heartbeatDue := o.planOnce()
		load.addPass(time.Since(begin))
		if len(b.Writes)+len(b.Deletions) > 0 || heartbeatDue {
			begin := time.Now()
			err := o.commit(ctx, table.Tx{Writes: b.Writes, Deletions: b.Deletions})
			if errors.Is(err, table.ErrRejected) {
				b, err = o.commitApart(ctx, b)
			}
			if err != nil {
				return err
			}
			load.addCommit(time.Since(begin))
		}
		o.dispatch(ctx, b)
		if load.due() {
			o.logState(load)
			load = newLoad()
		}
	}
}

// planOnce makes a planning pass, and reports whether the owner's row must be rewritten even
// if the pass has nothing to write.
func (o *owner) planOnce() (b planner.Batch, heartbeatDue bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.updateConfigLocked()
	b = o.plan.Plan(time.Now())
	b.Writes = o.appendMissingRowsLocked(b.Writes)
	period := min(max(heartbeatPeriod, slowHeartbeatFactor*o.commitDuration), maxHeartbeatPeriod)
	heartbeatDue = time.Since(o.confirmedSentAt) >= period
	if heartbeatDue || len(b.Writes)+len(b.Deletions) > 0 {
		b.Writes = o.appendLoadLocked(b.Writes, time.Now())
	}
	return b, heartbeatDue
}

// updateConfigLocked passes the configuration in force and its age to the planner.
func (o *owner) updateConfigLocked() {
	if s := o.config.Snapshot(); s != nil {
		o.plan.SetConfig(s)
	}
	o.plan.SetConfigAge(o.config.Age())
}

// commit writes rows together with the owner's row. It retries until they are known
// to be written, ctx has ended, another process owns the shard or the store rejects the
// transaction as invalid.
func (o *owner) commit(ctx context.Context, tx table.Tx) error {
	o.mu.Lock()
	lastRow, version := o.row, o.version
	o.mu.Unlock()
	tx.Part = o.cfg.Part
	tx = tx.WithCondition(TableShard, OwnerKey, version)
	sentAt := make(map[string]time.Time) // of the attempts whose outcome is unknown, by token
	failureLogged := false
	o.setCommitStart(time.Now())
	defer o.setCommitStart(time.Time{})
	for {
		row := lastRow
		row.Token = newToken()
		o.mu.Lock()
		row.Silent, row.GrantsMillis = o.silentTargetsLocked(), o.grantsMillis
		o.mu.Unlock()
		// A pause of the process between the two makes the time in the row later, so that a
		// successor waits for longer.
		sent := time.Now()
		if current, ok := o.deps.Clock.Now(); ok {
			row.BeatMillis = current.Milliseconds()
		}
		c, err := o.attempt(ctx, tx.WithWrite(TableShard, OwnerKey, row.encode()))
		var conflict *table.ConflictError
		var lost *table.OutcomeUnknownError
		switch {
		case err == nil:
			o.deps.Clock.Observe(c.Now, sent)
			o.recordCommit(row, c.Version, sent, time.Since(sent))
			o.lowerGrantsMillis(sent, c.Now)
			return nil
		case errors.As(err, &conflict):
			current := conflict.Row(TableShard, OwnerKey)
			stored, decodeErr := DecodeOwner(current.Value)
			if earlier, mine := sentAt[stored.Token]; decodeErr == nil && mine {
				// An earlier attempt took effect, but its answer was lost. The row has the time
				// of that attempt, so the next heartbeat may be due already.
				o.recordCommit(stored, current.Version, earlier, time.Since(sent))
				o.requestPass()
				return nil
			}
			return fmt.Errorf("%w: epoch %d, owner %s", errNotOwner, stored.Epoch, stored.Name)
		case errors.Is(err, table.ErrRejected):
			return fmt.Errorf("write rows of the shard: %w", err)
		case errors.As(err, &lost):
			sentAt[row.Token] = sent
		}
		if ctx.Err() != nil {
			return fmt.Errorf("write rows of the shard: %w", ctx.Err())
		}
		if !failureLogged {
			failureLogged = true
			o.deps.Log.Warn().Int("Event", EventCommitFailed).Int("Entries", tx.Entries()).Err(err).
				Msg("a transaction of the shard failed or got no answer; it is repeated until its outcome is known")
		}
		pause.For(ctx, retryPause)
	}
}

// attempt makes one attempt of a transaction, which repeatAttempt can end.
func (o *owner) attempt(ctx context.Context, tx table.Tx) (table.Commit, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	o.mu.Lock()
	o.endAttempt = cancel
	o.mu.Unlock()
	return o.deps.Store.Commit(ctx, tx)
}

// repeatAttempt ends the attempt of a transaction in progress, which commit then repeats: the
// store answers again after an outage, in which the answer to the attempt may have been lost.
func (o *owner) repeatAttempt() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.endAttempt != nil {
		o.endAttempt()
	}
}

func (o *owner) setCommitStart(t time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.commitStart = t
}

// requestTakeOver asks other processes to take over while the store neither confirms a
// transaction of this one nor answers a read, because they may still reach the store.
func (o *owner) requestTakeOver(ctx context.Context) {
	lastAsked := ""
	silent := false // whether the last read got no answer
	for ctx.Err() == nil {
		pause.For(ctx, stalledCommitCheck)
		if !o.commitStalled(storeProbeAfter) {
			silent = false
			continue
		}
		if o.storeAnswers(ctx) {
			if silent {
				silent = false
				o.repeatAttempt()
			}
			continue
		}
		silent = true
		name, address, epoch := o.nextPeer(lastAsked)
		if name == "" {
			continue
		}
		lastAsked = name
		o.deps.Log.Warn().Int("Event", EventTakeOverAsked).Str("Of", name).Msg("the store has not confirmed a transaction in time; asking another process to take over")
		cctx, cancel := context.WithTimeout(ctx, takeOverRequestPause)
		if _, err := o.deps.Agents.Agent(address).TakeOver(cctx, &agentrpc.TakeOverRequest{Epoch: epoch}); err != nil {
			o.deps.Log.Info().Int("Event", EventTakeOverUnanswered).Str("Of", name).Err(err).Send()
		}
		cancel()
		pause.For(ctx, takeOverRequestPause)
	}
}

// commitStalled reports whether the transaction in progress takes longer than limit, beyond
// what slowStoreFactor allows.
func (o *owner) commitStalled(limit time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.commitStalledLocked(limit)
}

func (o *owner) commitStalledLocked(limit time.Duration) bool {
	return !o.commitStart.IsZero() && time.Since(o.commitStart) >= limit+slowStoreFactor*o.commitDuration
}

// storeAnswers reports whether the store answers a read of this process in time. If it
// does, a transaction that takes long is only slow.
func (o *owner) storeAnswers(ctx context.Context) bool {
	o.mu.Lock()
	timeout := stalledCommitLimit - storeProbeAfter + o.commitDuration
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	_, err := o.deps.Store.Read(ctx, ownerRange(o.cfg.Part))
	return err == nil
}

// nextPeer returns the next target after lastAsked to ask to take over, or "" if no
// transaction is stalled or no other target is connected.
func (o *owner) nextPeer(lastAsked string) (name, address string, epoch uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.commitStalledLocked(stalledCommitLimit) {
		return "", "", 0
	}
	names := make([]string, 0, len(o.watches))
	for n, w := range o.watches {
		if n != o.cfg.Name && w.row != rowRetired && w.connected {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return "", "", 0
	}
	slices.Sort(names)
	i, found := slices.BinarySearch(names, lastAsked)
	if found {
		i++
	}
	name = names[i%len(names)]
	return name, o.watches[name].address, o.row.Epoch
}

// recordCommit records the owner's row as a confirmed transaction has written it. sent is
// when the attempt that took effect was sent, and duration that of the attempt whose answer
// confirmed it; these are different attempts if the first answer was lost.
func (o *owner) recordCommit(row OwnerRow, version uint64, sent time.Time, duration time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.row, o.version, o.confirmedSentAt, o.commitDuration = row, version, sent, duration
}

// lowerGrantsMillis lowers GrantsMillis after a transaction that was sent at the given time and
// answered at storeNow on the store's clock, if the predecessor had stopped before that.
func (o *owner) lowerGrantsMillis(sent time.Time, storeNow time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.predecessorStoppedAt.IsZero() && o.predecessorStoppedAt.Before(sent) {
		o.grantsMillis = min(o.grantsMillis, max(o.predecessor.row.GrantsMillis, storeNow.Milliseconds()))
	}
}

// release removes the name from the owner's row, so that another process can take over
// at once.
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
