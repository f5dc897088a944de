package admission

import (
	"sync"
	"time"
)

// Parameters of Limiter.
const (
	decrease = 0.7 // factor on a refusal or a late reply
	// A reply is late if its overhead exceeds lateFactor times the least overhead
	// of recent replies by lateMargin. The margin covers scheduling noise.
	lateFactor = 2
	lateMargin = 5 * time.Millisecond
	// Replies to requests sent before a decrease say nothing about the new limit,
	// so decreases are at least cooldown apart.
	cooldown = 100 * time.Millisecond
	// The least overhead is taken over the last one to two baselineWindows, so that
	// a changed path is learned.
	baselineWindow = 30 * time.Second
)

// Reply is how a target answered a request.
type Reply struct {
	Busy     bool          // refused for lack of slots
	Overhead time.Duration // round trip without the run time of the task
}

// Limiter limits the slots and the connections that an entry uses at one target.
// Refusals lower the limit on slots: other entries use them. Late replies lower
// the limit on connections: the target process is overloaded. Both grow by one
// for each limit's worth of good replies while they are in use.
type Limiter struct {
	mu          sync.Mutex
	slots       aimd
	connections aimd
	least       [2]time.Duration // overhead in the current and the previous window
	since       time.Time        // of the current window
}

// aimd is one limit with its use.
type aimd struct {
	limit   float64
	ceiling float64
	used    int
	lowered time.Time
}

// NewLimiter returns a limiter that starts at its ceilings.
func NewLimiter(slots, connections int) *Limiter {
	return &Limiter{
		slots:       aimd{limit: float64(slots), ceiling: float64(slots)},
		connections: aimd{limit: float64(connections), ceiling: float64(connections)},
	}
}

// Acquire takes slots and one connection for a request. It returns false if that
// exceeds a limit. A request for more slots than the limit passes while nothing
// else is in use, because it could never start otherwise.
func (l *Limiter) Acquire(slots int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.slots.used > 0 && float64(l.slots.used+slots) > l.slots.limit {
		return false
	}
	if l.connections.used > 0 && float64(l.connections.used+1) > l.connections.limit {
		return false
	}
	l.slots.used += slots
	l.connections.used++
	return true
}

// Release gives back what Acquire took and learns from the reply.
func (l *Limiter) Release(slots int, r Reply, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.Busy {
		l.slots.lower(now)
	} else {
		l.slots.raise(slots)
	}
	if l.late(r.Overhead, now) {
		l.connections.lower(now)
	} else {
		l.connections.raise(1)
	}
	l.slots.used = max(l.slots.used-slots, 0)
	l.connections.used = max(l.connections.used-1, 0)
}

// Abandon gives back what Acquire took without learning, for a request that was
// never answered.
func (l *Limiter) Abandon(slots int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.slots.used = max(l.slots.used-slots, 0)
	l.connections.used = max(l.connections.used-1, 0)
}

// Limits returns the current limits.
func (l *Limiter) Limits() (slots, connections int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.slots.limit), int(l.connections.limit)
}

func (l *Limiter) late(overhead time.Duration, now time.Time) bool {
	if now.Sub(l.since) > baselineWindow {
		l.least, l.since = [2]time.Duration{0, l.least[0]}, now
	}
	if l.least[0] == 0 || overhead < l.least[0] {
		l.least[0] = overhead
	}
	base := l.least[0]
	if l.least[1] != 0 {
		base = min(base, l.least[1])
	}
	return overhead > lateFactor*base+lateMargin
}

func (a *aimd) lower(now time.Time) {
	if now.Sub(a.lowered) < cooldown {
		return
	}
	a.limit, a.lowered = max(a.limit*decrease, 1), now
}

// raise adds n/limit if at least half of the limit is in use: good replies of an
// idle target don't show that it could take more.
func (a *aimd) raise(n int) {
	if 2*float64(a.used) >= a.limit {
		a.limit = min(a.limit+float64(n)/a.limit, a.ceiling)
	}
}
