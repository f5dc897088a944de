// Package intake implements an entry's services for callers. Service submits, looks up
// and cancels jobs by their ID, and counts the waiting jobs of a queue; it serves the
// platform's route API. Requests is built on it and serves the callers' API, in which a
// workspace and an idempotency key identify a job.
//
// A job is accepted once its row is known to be written, and refused only if it is
// certain that no row has been or will be written. Otherwise the outcome is
// unknown. The caller may then submit the job again under the same ID to any entry;
// it is recorded at most once. No durable state is kept in memory.
//
// A cancellation holds whether or not the job's row is written when it arrives: if it
// is not, the store carries out no write of it later on (job.EarlyCancellations).
//
// # Usage
//
//	s := intake.New(store, "0", clock, set, log)
//	switch r := s.Submit(ctx, j, demand).(type) {
//	case intake.Accepted:
//	case intake.Refused:
//		// Not recorded, and never will be by this call. Retry after r.RetryAfter.
//	case intake.OutcomeUnknown:
//		// Submit it again under the same ID.
//	}
package intake
