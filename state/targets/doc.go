// Package targets holds an entry's view of the targets that report to it.
//
// The view is fed by heartbeats (Apply) and by the entry's own effects
// (Dispatched, Freed, Preempted, Claimed). Reports lag behind the effects by up to a
// heartbeat, so the effects are laid over the reported state until a report
// agrees with them or EffectExpiry has passed. Without this overlay an entry
// would dispatch twice onto the same slots, or preempt a second victim for the
// same claim.
//
// The zero View is ready for use, and all methods may be called concurrently.
// Targets are sharded by rack, each rack under its own lock. Times are passed as
// arguments and must come from one monotonic clock.
//
// # Usage
//
//	var v targets.View
//	needFull := v.Apply(report, time.Now())
//	v.Dispatched("t1", task, time.Now())
//	for _, t := range v.Live(time.Now()) {
//		if t.Accepts() {
//			use(t.Name, t.Free)
//		}
//	}
package targets
