package admission

import "time"

// Bounds of the retry time of a refusal.
const (
	minRetry     = 100 * time.Millisecond
	maxRetry     = time.Minute
	defaultRetry = time.Second // while no drain rate is known
)

func (s *space) len() int {
	n := 0
	for _, l := range s.lists {
		n += l.Len()
	}
	return n
}

// room returns the queue length from which on a class is refused. A quarter of
// the limit is kept for short work, so that a queue full of long work doesn't
// refuse requests that somebody waits for.
func (s *space) room(class int) int {
	if class == 0 {
		return s.limit
	}
	return s.limit - s.limit/4
}

// minBacklog is how long a list must have held items before its drain rate says
// how fast it can be drained. Before, the rate is that of the arrivals.
const minBacklog = bucketWidth

// wait estimates the time until a new item of the class has its turn. It returns
// false if no drain rate is known.
func (s *space) wait(class int, now time.Time) (time.Duration, bool) {
	wait := time.Duration(0)
	for c := 0; c <= class; c++ {
		n := s.lists[c].Len()
		if n == 0 || now.Sub(s.drain[c].start) < minBacklog {
			continue
		}
		rate := s.drain[c].rate(now)
		if rate == 0 {
			return 0, false
		}
		wait = max(wait, time.Duration(float64(n)/rate*float64(time.Second)))
	}
	return wait, true
}

// retryAfter is the time in which a tenth of the class's queue drains: sooner,
// most of the refused callers would be refused again.
func (s *space) retryAfter(class int, now time.Time) time.Duration {
	rate := s.drain[class].rate(now)
	if rate == 0 {
		return defaultRetry
	}
	n := float64(s.lists[class].Len())/10 + 1
	return min(max(time.Duration(n/rate*float64(time.Second)), minRetry), maxRetry)
}
