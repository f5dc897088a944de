// Package intake is the part of an entry that callers reach: it accepts jobs,
// looks them up, cancels them and counts what waits in a queue.
//
// A job is accepted once its row is known to be written, and refused only if it is
// certain that no row is or will be written. In between the outcome is undecided;
// the caller may send the same job again under its ID, to any entry, and it stays
// one job. Nothing is kept in memory that must last.
//
// # Usage
//
//	s := intake.New(store, "0", clock, set, log)
//	switch r := s.Submit(ctx, j).(type) {
//	case intake.Accepted:
//	case intake.Refused:
//		// Not run, and never will be. Come back after r.RetryAfter.
//	case intake.Undecided:
//		// Send it again under the same ID.
//	}
package intake
