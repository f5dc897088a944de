// Package planner decides which tasks run where and when. It is the whole
// scheduling policy of one shard, without sockets, goroutines or a clock of its
// own.
//
// A Planner holds the jobs of the shard and what the agents of the targets report.
// Its owner feeds it with events and calls Plan, which returns a Batch: rows to
// write, orders to send once the rows are written, and ends that may be forgotten
// once they are. A run is therefore recorded before any worker is told of it, and
// a planner that takes over knows from the rows every run that may exist.
//
// A run is over only if its worker has listed its end, has been replaced by
// another life, has let its lease lapse, or has refused the start for certain.
// Until then its capacity is in use and its task is not started elsewhere.
//
// # Usage
//
//	p := planner.New(settings, log)
//	p.SetConfig(snapshot)
//	p.AddJob(j, recorded, now) // for each recorded job
//	p.Loaded()
//	p.Report("side-1", reply, now)
//	batch := p.Plan(now)
//	// Commit batch.Rows, then send batch.Orders, then pass on batch.Seen.
package planner
