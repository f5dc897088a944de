package admission

import (
	"hash/fnv"
	"time"
)

const (
	// minRetry is the shortest time after which a caller is told to come back; Retry-After
	// is in whole seconds.
	minRetry = time.Second
	// maxRetry is the longest one. A caller tries at most five times, so that it may find a
	// place that becomes free for another reason, such as cancellations.
	maxRetry = 30 * time.Second
	// maxOutageRetry is the longest one while the store is down. Outages end within
	// seconds, and a caller that returns late has less of its objective left.
	maxOutageRetry = 3 * time.Second
)

// share returns a number below 1 that is derived from a job's ID.
func share(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // Never fails.
	// The low bits of FNV spread better over similar IDs than the high ones.
	return float64(h.Sum64()%10_007) / 10_007
}

// spread returns a time in whole seconds between least and least plus width, by the hash of a
// job's ID, so that callers which were refused together do not return together.
func spread(id string, least, width time.Duration) time.Duration {
	d := least + time.Duration(share(id)*float64(width))
	return max((d + time.Second - 1).Truncate(time.Second), minRetry)
}

// retryAfterLoad returns when the caller of a refused job should come back: when enough of the
// queue has been served, but before half of the time has passed in which the caller can still
// use it.
func retryAfterLoad(d Demand, v Verdict) time.Duration {
	latest := min(v.Limit/2, maxRetry)
	excess := max(time.Duration(float64(v.Wait)/waitMargin)-v.Limit, 0)
	least := min(excess, latest*2/3)
	return max(min(spread(d.ID, least, max(least/2, time.Second)), latest.Truncate(time.Second)), minRetry)
}

// RetryAfterOutage returns when a caller should come back whose job was refused because the
// store has been down for a time. Urgent work comes back first, after a second. Other callers
// wait as long as the outage has lasted: with a second each, those of its beginning would have
// used up their attempts before the end of an outage of 4 s. They are spread over another
// second, and over more the longer the outage, since more of them return.
func RetryAfterOutage(id string, urgent bool, down time.Duration) time.Duration {
	if urgent {
		return minRetry
	}
	return min(spread(id, min(down, maxOutageRetry)/2, max(down/2, time.Second)), maxOutageRetry)
}
