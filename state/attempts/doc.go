// Package attempts holds the attempts, reservations, sessions and fences of one
// target process.
//
// A Table keeps the attempts in shards, each under its own lock. Every decision
// on an attempt (admit, fence, release, lapse, end) is taken under the lock of
// its shard, so that no other decision falls between the check and the effect.
// The slot count and the sessions have locks of their own, which are taken
// after the lock of a shard and never before it.
//
// An attempt in phase NotRun stays there: it is the fence that refuses every
// later copy of the attempt. Ended and fenced attempts are kept for the
// retention and dropped by Sweep; when there are very many, Sweep keeps only a
// marker of the older ones, which still refuses late copies.
//
// # Usage
//
//	t := attempts.NewTable(attempts.Limits{Slots: 8})
//	session := t.OpenSession("entry-1", incarnation)
//	st, admitted := t.Admit(spec, session, 10*time.Second)
//	if !admitted {
//		return st // Refused, or a copy of an attempt that is already known.
//	}
//	defer t.Free(spec.ID)
package attempts
