package shard

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/state/table"
)

// Candidate is a process that may own the shard.
type Candidate struct {
	cfg  Settings
	deps Deps
	boot uint64 // random, never 0, identifies the start of this process

	// readFailed reports whether the last read of the owner's row failed, and
	// storeRecoveredAt is when a read last succeeded after a failure. Both are used by
	// the goroutine of Run only.
	readFailed       bool
	storeRecoveredAt time.Time
	panickedAt       time.Time // last panic in an owner of this process; zero for none; used by the same goroutine

	mu    sync.Mutex
	owner *owner // nil while this process does not own the shard
}

// NewCandidate returns a candidate. Run starts it.
func NewCandidate(cfg Settings, deps Deps) *Candidate {
	if deps.Metrics == nil {
		deps.Metrics = metrics.NewSet()
	}
	cfg.Planner.Metrics = deps.Metrics
	return &Candidate{cfg: cfg, deps: deps, boot: rand.Uint64() | 1}
}

// Run keeps the row of this process's target, and takes over the shard whenever it has
// no working owner, until ctx ends. If the worker is gone by then, Run deletes the
// target's row.
func (c *Candidate) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { c.keepAnnounced(ctx) })
	for ctx.Err() == nil {
		if prev, ok := c.shouldTakeOver(ctx); ok && c.standsAfterPause(ctx, prev) {
			c.ownShard(ctx, prev)
		}
		pause.ForOrWake(ctx, c.deps.Agent.TakeOverRequests(), ownerCheckPause/2+rand.N(ownerCheckPause))
	}
	wg.Wait()
	if c.deps.Agent.WorkerGone() {
		c.deleteTargetRow(context.WithoutCancel(ctx))
	}
}

// deleteTargetRow deletes the row of a target whose worker is gone, so that no planner
// waits for it. A deletion without an answer may take effect late, when the next process uses the
// row and runs go on beside it. The row is therefore marked first, and only the marked version is
// deleted.
func (c *Candidate) deleteTargetRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	tx := table.Tx{Part: c.cfg.Part}
	marked, err := c.deps.Store.Commit(ctx, tx.WithWrite(TableTargets, c.cfg.Name, Target{Address: c.cfg.Address, Leaving: true}.encode()))
	if err == nil {
		_, err = c.deps.Store.Commit(ctx, tx.WithCondition(TableTargets, c.cfg.Name, marked.Version).WithDeletion(TableTargets, c.cfg.Name))
	}
	c.deps.Log.Info().Int("Event", EventWithdrawn).Err(err).Msg("worker is gone; tried to delete the row of the target")
}

// predecessor is the owner that a candidate replaces. Former owners are the predecessor
// and all owners before it.
type predecessor struct {
	row     OwnerRow
	version uint64        // of the row
	readAt  time.Duration // the store's monotonic clock when the row was read
	// receivedAt is when the answer to that read arrived, at readAt or later.
	receivedAt time.Time
	reason     string // why it is replaced; empty if there is no row or it can't be decoded
}

// keepAnnounced makes sure that the row by which planners find the agent of this process
// exists, at the start and whenever no planner has called for a while: a deletion by the
// former process may take effect late. It writes the row only if it has to: a part carries
// out one transaction after the other, and after a loss of power all processes start at the
// same time.
func (c *Candidate) keepAnnounced(ctx context.Context) {
	for ctx.Err() == nil {
		for !c.isAnnounced(ctx) && !c.writeTargetRow(ctx) {
			if !pause.For(ctx, ownerCheckPause) {
				return
			}
		}
		for pause.For(ctx, announceCheckPause) && c.deps.Agent.Contact().Silent < announceCheckPause {
		}
	}
}

// isAnnounced reports whether the target's row names the address of this process and no former
// process is about to delete it.
func (c *Candidate) isAnnounced(ctx context.Context) bool {
	r := table.Range{Table: TableTargets, Part: c.cfg.Part, From: c.cfg.Name, To: c.cfg.Name + "\x00"}
	sent := time.Now()
	page, err := c.deps.Store.Read(ctx, r)
	if err != nil || len(page.Rows) == 0 {
		return false
	}
	c.deps.Clock.Observe(page.Now, sent)
	row, err := DecodeTarget(page.Rows[0].Value)
	return err == nil && row == Target{Address: c.cfg.Address}
}

// writeTargetRow writes the target's row and reports whether it is certainly written.
func (c *Candidate) writeTargetRow(ctx context.Context) bool {
	tx := table.Tx{Part: c.cfg.Part}.WithWrite(TableTargets, c.cfg.Name, Target{Address: c.cfg.Address}.encode())
	sent := time.Now()
	commit, err := c.deps.Store.Commit(ctx, tx)
	if err != nil {
		return false
	}
	c.deps.Clock.Observe(commit.Now, sent)
	c.deps.Log.Info().Int("Event", EventAnnounced).Str("Address", c.cfg.Address).Msg("row of the target written")
	return true
}

// shouldTakeOver reports whether this process should take over the shard, and returns
// the owner to replace. If it reads the owner's row, it makes the agent of this process
// refuse planners with a lower epoch. For a row that can't be decoded it logs
// EventRowMalformed.
func (c *Candidate) shouldTakeOver(ctx context.Context) (predecessor, bool) {
	if !c.panickedAt.IsZero() && time.Since(c.panickedAt) < panicPause {
		return predecessor{}, false
	}
	contact := c.deps.Agent.Contact()
	if !contact.TakeOverRequested && contact.Epoch > 0 && contact.Silent < contactTimeout && contact.Unconfirmed < unconfirmedLimit {
		return predecessor{}, false
	}
	sent := time.Now()
	page, err := c.deps.Store.Read(ctx, ownerRange(c.cfg.Part))
	if err != nil {
		c.readFailed = true
		return predecessor{}, false
	}
	if c.readFailed {
		c.readFailed, c.storeRecoveredAt = false, time.Now()
	}
	maxAge := staleRowAge
	if contact.TakeOverRequested {
		maxAge = requestedStaleRowAge
	}
	maxAge += slowStoreFactor * time.Since(sent)
	c.deps.Clock.Observe(page.Now, sent)
	prev := predecessor{readAt: page.Now, receivedAt: time.Now()}
	if len(page.Rows) == 0 {
		return prev, true
	}
	prev.version = page.Rows[0].Version
	row, err := DecodeOwner(page.Rows[0].Value)
	if err != nil {
		c.deps.Log.Error().Int("Event", EventRowMalformed).Err(err).Send()
		// The owner is unknown and may still be running. Its epoch is at most the version
		// of the row, since each change of the owner takes a transaction.
		prev.row = OwnerRow{Epoch: max(contact.Epoch, prev.version), Name: "unknown", BeatMillis: page.Now.Milliseconds()}
		return prev, true
	}
	c.deps.Agent.RaiseEpoch(row.Epoch)
	prev.row = row
	reason := ""
	switch {
	case row.Name == "":
		reason = "the owner has left"
	case row.names(c.cfg.Name, c.cfg.Address):
		reason = "this process was the owner before it started again"
	case c.deps.Agents.RefusesConnections(ctx, row.Address):
		// This does not show that the process has ended: whoever cuts the owner off may refuse
		// connections in its place, and the owner may go on extending leases.
		reason = "the owner refuses connections"
	case row.age(page.Now) > maxAge && time.Since(c.storeRecoveredAt) > storeRecoveryGrace:
		reason = "the row is out of date"
	default:
		return predecessor{}, false
	}
	prev.reason = reason
	return prev, true
}

// standsAfterPause waits for a random time and reports whether the owner's row is still the one
// of prev. Hundreds of processes may find at the same time that the owner is gone, and the part
// would carry out the transactions of all of them before the next one of the new owner. A
// process that only starts again, and one that was asked to take over, do not wait.
func (c *Candidate) standsAfterPause(ctx context.Context, prev predecessor) bool {
	if prev.row.names(c.cfg.Name, c.cfg.Address) || c.deps.Agent.Contact().TakeOverRequested {
		return true
	}
	if !pause.For(ctx, rand.N(takeOverSpread)) {
		return false
	}
	page, err := c.deps.Store.Read(ctx, ownerRange(c.cfg.Part))
	if err != nil {
		return false
	}
	version := uint64(0)
	if len(page.Rows) > 0 {
		version = page.Rows[0].Version
	}
	return version == prev.version
}

// ownShard takes over the shard from prev and runs the planner until ctx ends or
// ownership is lost.
func (c *Candidate) ownShard(ctx context.Context, prev predecessor) {
	if prev.reason != "" {
		c.deps.Log.Info().Int("Event", EventTakeOver).Uint64("Epoch", prev.row.Epoch).Str("Owner", prev.row.Name).
			Dur("Age", prev.row.age(prev.readAt)).Str("Reason", prev.reason).Msg("taking over the shard")
	}
	o := newOwner(c.cfg, c.deps, c.boot, prev)
	if err := o.acquire(ctx); err != nil {
		c.deps.Log.Info().Int("Event", EventTakeOverFailed).Uint64("Epoch", prev.row.Epoch+1).Err(err).Send()
		return
	}
	c.deps.Metrics.GetOrCreateCounter(`medlargrade_planner_changes_total`).Inc()
	c.setOwner(o)
	err := o.run(ctx)
	c.setOwner(nil)
	var panicked *panicError
	if errors.As(err, &panicked) {
		c.panickedAt = time.Now()
	}
	c.deps.Log.Info().Int("Event", EventOwnershipEnded).Uint64("Epoch", o.row.Epoch).Err(err).Msg("this process no longer owns the shard")
}

func (c *Candidate) setOwner(o *owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = o
}

// errNotOwner reports that another process owns the shard.
var errNotOwner = errors.New("another process owns the shard")

// acquire writes the owner's row in the name of this process.
func (o *owner) acquire(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, staleRowAge)
	defer cancel()
	if err := o.commit(ctx, table.Tx{}); err != nil {
		return fmt.Errorf("take over the shard: %w", err)
	}
	return nil
}
