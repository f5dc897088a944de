// Package jobs holds the jobs that one entry works on, in shards by job, each
// under its own lock.
//
// A Job is found by its workspace and idempotency key. It ends exactly once,
// with a final rows.Job, and stays in the table for a retention time after its
// end so that late look-ups still find it.
//
// # Usage
//
//	t := jobs.NewTable(10 * time.Minute)
//	j, added := t.Add(jobs.New(id, workspace, key, record))
//	...
//	j.End(final)
//	<-j.Done()
//	final := j.Record()
package jobs
