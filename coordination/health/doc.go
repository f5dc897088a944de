// Package health tells bad workers from bad jobs.
//
// A Tracker counts the ended tasks of each target by workspace and kind. The
// failures of a target are compared with what the same kinds would have failed on
// the other targets. A target with clearly more failures goes on probation: it
// gets one probe task at a time, first after a pause, and returns after several
// successes in a row. A kind that fails everywhere raises the expectation for all
// targets alike, and so puts none of them on probation.
//
// A job that fails on three different healthy targets is not tried again. Its
// failures are charged to its workspace and kind and taken off the targets.
//
// Counts decay with a half-life, so that old failures are forgotten.
//
// A Tracker may be used concurrently. Times are passed as arguments and must come
// from one monotonic clock.
//
// # Usage
//
//	var t health.Tracker
//	switch t.State(target, now) {
//	case health.Healthy:
//		place(target)
//	case health.ProbeDue:
//		if t.StartProbe(target, now) {
//			place(target) // one small idempotent task, to be reported by ProbeEnded
//		}
//	}
//	t.Observe(target, workspace, kind, health.Failed, now)
//	if v := t.JobFailed(job, target, workspace, kind, now); !v.Retry {
//		giveUp(job)
//	}
package health
