// Package admission decides whether a job that arrives now would certainly be of no value,
// and when its caller should try again. It has no sockets, goroutines or clock of its own.
//
// The planner's process summarizes its queues once a second (Summarize) and publishes the Row
// together with a transaction that it makes anyway. Entries follow the row in a Holder and ask
// their Controller about each submission that is not recorded yet.
//
// A job is refused only if all of this holds, and nothing is written for it:
//
//   - the row is at most MaxRowAge old on the store's clock, and complete for the kind;
//   - the kind has an objective, and the job does not fit into a guarantee of its workspace;
//   - the capacity that the job needs first is not free;
//   - the work that is certainly served before it takes so long that the job ends after
//     lostAfter times its objective, even if the wait is overestimated by waitMargin and the
//     job's own declared times are wrong by timeMargin.
//
// The predicted wait counts only what precedes the job by the planner's order: running work
// that it can't preempt, waiting work of higher priority, and waiting work of its own priority
// that can still meet its objective. Work that arrives later can only lengthen the wait.
//
// # Usage
//
// In the planner's process:
//
//	row := admission.Summarize(input)
//	if publisher.Due(row) {
//		tx = tx.WithWrite(admission.Table, admission.CurrentKey, row.Encode())
//		publisher.Published(row)
//	}
//
// In an entry:
//
//	holder := admission.NewHolder(log)           // a follow.Sink of admission.Table
//	controller := admission.NewController(holder)
//	v := controller.Check(admission.NewDemand(j, kind, guaranteed), storeNow, time.Now())
//	if v.Refused {
//		respond(v.Reason, v.RetryAfter)
//	}
package admission
