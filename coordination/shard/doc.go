// Package shard runs the planner of one shard. It decides which process owns the
// shard, records the planner's decisions in the store and sends them to the agents
// of the targets.
//
// Any process with a [Candidate] can own the shard. One row of the store names the
// owner, with an epoch that increases with each change of the owner. Every
// transaction of the owner is conditional on the version of that row and rewrites
// it, so the transactions form a chain: a process that is no longer the owner can't
// write, a transaction whose answer was lost can't take effect after a later one,
// and each write is a heartbeat of the owner. The epoch is also the fencing token of
// all orders: it forms the high bits of the tokens that workers compare.
//
// The owner grants an extension of leases by sending a lease cap in a Watch call.
// OwnerRow.GrantsMillis records until when former owners may do so, so that the next
// owner knows when the leases on a target that it can't reach have lapsed.
//
// A candidate reads the row only when the planner has not called its agent for a
// while, when the planner calls although the store has not confirmed it lately, or
// when the planner asks it to take over. It takes over when there is no row, when the
// row can't be decoded or is out of date, when the owner has released the shard, when the
// owner's address refuses connections, or when the row already names this process.
//
// # Usage
//
//	c := shard.NewCandidate(settings, deps)
//	c.Run(ctx) // until ctx ends; owns the shard from time to time
package shard
