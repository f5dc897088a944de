// Package overview reads the current state of a site from the store: the owner of
// the shard, its targets, the jobs that have not ended, and how much of its
// guarantee each workspace uses. It writes nothing.
//
// # Usage
//
//	o, err := overview.Read(ctx, store, "0", snapshot)
package overview
