// Package planner decides when and where tasks run. It implements the whole
// scheduling policy of one shard, without network access, goroutines or a clock
// of its own.
//
// A Planner holds the jobs of the shard and the state that the agents of the
// targets report. Its owner passes events to it and calls Plan, which returns a
// Batch: rows to write and delete, orders to send once the rows are committed, and
// run ends that may then be acknowledged. A run is therefore recorded before any
// worker is ordered to start it, and a planner that takes over the shard knows
// from the rows every run that may exist.
//
// A run is over only if its worker has listed its end, has been replaced by a new
// incarnation, has left or let its lease lapse, or has certainly refused the start,
// or if the run was stopped before the start reached the worker. Until then the
// capacity of the run is in use and its task is not started elsewhere.
//
// In the messages of agentrpc, an incarnation of a worker is called a Life and the number
// of a poll Look; Listed says that the runs of the worker are known.
//
// # Usage
//
//	p := planner.New(settings, log)
//	p.SetConfig(snapshot)
//	p.AddJob(j, recorded, acceptedAt) // for each recorded job
//	p.SetLoaded()
//	p.Report("target-1", reply, now)
//	batch := p.Plan(now)
//	// Commit batch.Writes and batch.Deletions, then send batch.Orders and
//	// acknowledge batch.EndAcks.
//
// A Query tells where a job would be placed, without an effect on the planner:
//
//	placement, err := p.NewQuery().Place(j, now)
package planner
