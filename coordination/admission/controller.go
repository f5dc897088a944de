package admission

import (
	"sync"
	"time"
)

const (
	// maxReturns is the number of refused callers that a controller remembers: at most 1 MB.
	maxReturns = 4096
	// maxReturnsShare is the number of those of one workspace and kind, so that a workspace
	// that floods has no advantage over others and does not displace them.
	maxReturnsShare = maxReturns / 16
	// returnMargin is how much later than its Retry-After a caller may return to its place:
	// a time limit of a call, which it may spend at an entry that is down.
	returnMargin = 3 * time.Second
	// returnInterval is the mean time between two callers of one workspace and kind that are
	// accepted because they return in their windows, and returnBurst how much of it may be
	// used at once. Others are judged as new callers, so that the callers of a workspace that
	// floods are not all accepted at their second attempt.
	returnInterval = 500 * time.Millisecond
	returnBurst    = 4 * returnInterval
	// expireInterval is the shortest time between two searches for ended windows.
	expireInterval = time.Second
)

// visit is what a controller remembers about a refused caller.
type visit struct {
	queue queueKey
	first time.Time // first attempt
	from  time.Time // begin of the window of its return
	until time.Time // end of the window
}

type queueKey struct{ workspace, queue string }

// Controller decides on submissions at one entry. It remembers the callers that it has refused: their
// objectives count from the first attempt, and those that return in their windows are accepted
// ahead of new ones, as long as their jobs can be of value.
// Its methods are safe for concurrent use.
type Controller struct {
	holder *Holder

	mu      sync.Mutex
	visits  map[string]visit // by job ID
	byQueue map[queueKey]int // number of visits
	// nextReturn is when a further return would be accepted if none could be used at once.
	nextReturn map[queueKey]time.Time
	expiredAt  time.Time // last search for ended windows
}

// NewController returns a controller that decides by the row of a holder.
func NewController(h *Holder) *Controller {
	return &Controller{holder: h, visits: make(map[string]visit), byQueue: make(map[queueKey]int), nextReturn: make(map[queueKey]time.Time)}
}

// Row returns the newest row, or nil if there is none.
func (c *Controller) Row() *Row { return c.holder.Row() }

// Returns returns the number of callers that the controller remembers.
func (c *Controller) Returns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.visits)
}

// Check decides on a submission. storeNow is the time of the store's clock and now that of this
// process.
func (c *Controller) Check(d Demand, storeNow time.Duration, now time.Time) Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := queueKey{d.Workspace, d.Queue}
	x, known := c.visits[d.ID]
	if known && (x.queue != q || now.After(x.until)) {
		c.forgetLocked(d.ID, x)
		known = false
	}
	elapsed := time.Duration(0)
	if known {
		elapsed = now.Sub(x.first)
	}
	v := decide(d, c.holder.Row(), storeNow, elapsed)
	if v.Refused && known && v.Limit > 0 && !now.Before(x.from) && c.takeReturnLocked(q, now) {
		v.Refused, v.Reason = false, ReasonReturning
	}
	if !v.Refused {
		if known {
			c.forgetLocked(d.ID, x)
		}
		return v
	}
	v.RetryAfter = retryAfterLoad(d, v)
	if !known {
		x = visit{queue: q, first: now}
	}
	x.from, x.until = now.Add(v.RetryAfter), now.Add(v.RetryAfter+returnMargin)
	c.rememberLocked(d.ID, x, known, now)
	return v
}

// takeReturnLocked reports whether a caller that returns may be accepted now.
func (c *Controller) takeReturnLocked(q queueKey, now time.Time) bool {
	next := c.nextReturn[q]
	if next.Before(now) {
		next = now
	}
	if next.Sub(now) >= returnBurst {
		return false
	}
	c.nextReturn[q] = next.Add(returnInterval)
	return true
}

// rememberLocked records a visit, unless the places of its workspace and kind, or all, are
// taken.
func (c *Controller) rememberLocked(id string, x visit, known bool, now time.Time) {
	if !known && (c.byQueue[x.queue] >= maxReturnsShare || len(c.visits) >= maxReturns) {
		c.expireLocked(now)
		if c.byQueue[x.queue] >= maxReturnsShare || len(c.visits) >= maxReturns {
			return
		}
	}
	if !known {
		c.byQueue[x.queue]++
	}
	c.visits[id] = x
}

func (c *Controller) forgetLocked(id string, x visit) {
	delete(c.visits, id)
	if c.byQueue[x.queue]--; c.byQueue[x.queue] <= 0 {
		delete(c.byQueue, x.queue)
	}
}

func (c *Controller) expireLocked(now time.Time) {
	if now.Sub(c.expiredAt) < expireInterval {
		return
	}
	c.expiredAt = now
	for q, next := range c.nextReturn {
		if now.After(next) {
			delete(c.nextReturn, q)
		}
	}
	for id, x := range c.visits {
		if now.After(x.until) {
			c.forgetLocked(id, x)
		}
	}
}
