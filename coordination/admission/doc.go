// Package admission decides which requests wait, in which order they are tried,
// and how much is sent to a target.
//
// Queue holds the waiting requests in one bounded queue per workspace and offers
// them in a weighted fair order (start-time fair queueing; the weight is the
// guarantee in slots). Within a workspace's turn, short work comes before long
// work and long before fill work. A request that can't be served in time is
// refused early, with a retry time derived from the observed drain rate.
//
// RetryBudget limits retries to a share of the first attempts, so that a failing
// site is not overloaded by repetition. Limiter adapts the slots and connections
// in use at one target by additive increase and multiplicative decrease. Lane
// sizes the slots that only short work may take.
//
// All types may be used concurrently. Times are passed as arguments and must come
// from one monotonic clock.
//
// # Usage
//
//	q := admission.NewQueue(cfg)
//	if refusal, ok := q.Push(item, now); !ok {
//		return refusal
//	}
//	q.Scan(now, func(it admission.Item) admission.Decision {
//		if !start(it) {
//			return admission.Skip // the next one may fit
//		}
//		return admission.Take
//	})
package admission
