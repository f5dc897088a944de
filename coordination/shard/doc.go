// Package shard runs the planner of one shard: who owns it, how its decisions are
// recorded, and how they reach the agents of the targets.
//
// Any process with a Candidate can own the shard. The owner is named by one row of
// the store, with an epoch that grows with each change of the owner. Every
// transaction of the owner is conditional on the version of that row and writes it
// anew, so that the transactions form a chain: a process that is no longer the
// owner can't write, a transaction whose answer was lost can't take effect after a
// later one, and each write shows that the owner lives. The epoch is also the
// fencing token of all orders.
//
// A candidate looks at the row only when the planner has not called its agent for
// a while, or calls it although the store has not confirmed it lately. It takes
// over when the row is out of date, when the owner has left, or when the owner's
// address refuses connections.
//
// # Usage
//
//	c := shard.NewCandidate(settings, deps)
//	c.Run(ctx) // until ctx ends; owns the shard from time to time
package shard
