package shard

import (
	"time"

	"github.com/medlargrade/medlargrade/coordination/planner"
)

// State is the state of the owner of a shard for a dump.
type State struct {
	Epoch       uint64
	Owned       string // how long this process has owned the shard
	Unconfirmed string // time since the last confirmed transaction was sent
	// Silent maps each target that has not answered for longer than recordSilenceAfter
	// to the time of its last answer on the store's monotonic clock, in milliseconds.
	Silent map[string]int64
	Plan   planner.State
}

// Owns reports whether this process owns the shard as far as it knows.
func (c *Candidate) Owns() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owner != nil
}

// State returns the state of the shard if this process owns it, or nil.
func (c *Candidate) State() *State {
	c.mu.Lock()
	o := c.owner
	c.mu.Unlock()
	if o == nil {
		return nil
	}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	return &State{
		Epoch: o.row.Epoch, Owned: now.Sub(o.acquiredAt).String(), Unconfirmed: now.Sub(o.confirmedSentAt).String(),
		Silent: o.silentTargetsLocked(), Plan: o.plan.State(now),
	}
}
