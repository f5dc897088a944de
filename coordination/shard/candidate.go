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
	boot uint64

	// Of the loop of Run: whether the last read of the owner's row failed, and when one
	// was answered after a failure.
	unread bool
	back   time.Time

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

// Run announces the target of this process and owns the shard whenever nobody else
// does, until ctx ends.
func (c *Candidate) Run(ctx context.Context) {
	c.announce(ctx)
	for ctx.Err() == nil {
		if f, ok := c.look(ctx); ok {
			c.own(ctx, f)
		}
		pause.Until(ctx, c.deps.Agent.Asked(), lookPause/2+rand.N(lookPause))
	}
	if c.deps.Agent.Gone() {
		c.withdraw(context.WithoutCancel(ctx))
	}
}

// withdraw removes the row of a target whose worker is gone for good, so that no
// planner waits for it.
func (c *Candidate) withdraw(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	_, err := c.deps.Store.Commit(ctx, table.Tx{Part: c.cfg.Part}.WithDeletion(TableTargets, c.cfg.Name))
	c.deps.Log.Info().Int("Event", EventWithdrawn).Err(err).Msg("the target withdraws its row")
}

// former is the owner that a candidate takes over from.
type former struct {
	row     OwnerRow
	version uint64        // of the row
	ended   bool          // the process has certainly ended
	now     time.Duration // the store's steady clock when the row was read
}

// announce writes the row by which planners find the agent of this process.
func (c *Candidate) announce(ctx context.Context) {
	tx := table.Tx{Part: c.cfg.Part}.WithWrite(TableTargets, c.cfg.Name, Target{Address: c.cfg.Address}.encode())
	for ctx.Err() == nil {
		commit, err := c.deps.Store.Commit(ctx, tx)
		if err == nil {
			c.deps.Clock.Observe(commit.Now)
			c.deps.Log.Info().Int("Event", EventAnnounced).Str("Address", c.cfg.Address).Msg("the target is announced")
			return
		}
		pause.For(ctx, lookPause)
	}
}

// look decides whether this process should take over, and returns the row to
// replace.
func (c *Candidate) look(ctx context.Context) (former, bool) {
	contact := c.deps.Agent.Contact()
	if !contact.Asked && contact.Epoch > 0 && contact.Silent < contactSilence && contact.Unconfirmed < unconfirmedLimit {
		return former{}, false
	}
	sent := time.Now()
	page, err := c.deps.Store.Read(ctx, ownerRange(c.cfg.Part))
	if err != nil {
		c.unread = true
		return former{}, false
	}
	if c.unread {
		c.unread, c.back = false, time.Now()
	}
	stale := beatStale
	if contact.Asked {
		stale = askedStale
	}
	stale += slowStoreFactor * time.Since(sent)
	c.deps.Clock.Observe(page.Now)
	if len(page.Rows) == 0 {
		return former{now: page.Now}, true
	}
	row, err := DecodeOwner(page.Rows[0].Value)
	if err != nil {
		c.deps.Log.Error().Int("Event", EventRowMalformed).Err(err).Send()
		// Its owner is not known, and may be at work.
		row = OwnerRow{Epoch: contact.Epoch, Name: "unknown", BeatMillis: page.Now.Milliseconds()}
		return former{row: row, version: page.Rows[0].Version, now: page.Now}, true
	}
	c.deps.Agent.RaiseEpoch(row.Epoch)
	f := former{row: row, version: page.Rows[0].Version, ended: true, now: page.Now}
	why := ""
	switch {
	case row.Name == "":
		why = "the owner has left"
	case row.Name == c.cfg.Name:
		why = "this process was the owner before it started again"
	case c.deps.Agents.Refuses(ctx, row.Address):
		why = "the owner refuses connections"
	case row.age(page.Now) > stale && time.Since(c.back) > backGrace:
		f.ended = false
		why = "the row is out of date"
	default:
		return former{}, false
	}
	c.deps.Log.Info().Int("Event", EventTakeOver).Uint64("Epoch", row.Epoch).Str("Owner", row.Name).
		Dur("Age", row.age(page.Now)).Str("Reason", why).Msg("this process tries to own the shard")
	return f, true
}

// own takes over the row and runs the planner until ownership is lost.
func (c *Candidate) own(ctx context.Context, f former) {
	o := newOwner(c.cfg, c.deps, c.boot, f)
	if err := o.take(ctx); err != nil {
		c.deps.Log.Info().Int("Event", EventTakeOverFailed).Uint64("Epoch", f.row.Epoch+1).Err(err).Send()
		return
	}
	c.deps.Metrics.GetOrCreateCounter(`medlargrade_planner_changes_total`).Inc()
	c.setOwner(o)
	err := o.run(ctx)
	c.setOwner(nil)
	c.deps.Log.Info().Int("Event", EventOwnershipEnded).Uint64("Epoch", o.row.Epoch).Err(err).Msg("this process no longer owns the shard")
}

func (c *Candidate) setOwner(o *owner) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = o
}

// errDeposed reports that another process owns the shard.
var errDeposed = errors.New("another process owns the shard")

// take writes the row of the new owner.
func (o *owner) take(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, beatStale)
	defer cancel()
	if err := o.commit(ctx, table.Tx{}); err != nil {
		return fmt.Errorf("take over the shard: %w", err)
	}
	return nil
}
