package admission

import (
	"sync"
	"time"
)

const (
	// maxReturns is the number of refused callers that a desk remembers: at most 1 MB.
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

// visit is what a desk remembers about a refused caller.
type visit struct {
	queue queueKey
	first time.Time // first attempt
	from  time.Time // begin of the window of its return
	until time.Time // end of the window
}

type queueKey struct{ workspace, queue string }

// Desk decides on submissions at one entry. It remembers the callers that it has refused: their
// objectives count from the first attempt, and those that return in their windows are accepted
// ahead of new ones, as long as their jobs can be of value.
// Its methods are safe for concurrent use.
type Desk struct {
	holder *Holder

	mu      sync.Mutex
	visits  map[string]visit // by job ID
	byQueue map[queueKey]int // number of visits
	// nextReturn is when a further return would be accepted if none could be used at once.
	nextReturn map[queueKey]time.Time
	expiredAt  time.Time // last search for ended windows
}

// NewDesk returns a desk that decides by the row of a holder.
func NewDesk(h *Holder) *Desk {
	return &Desk{holder: h, visits: make(map[string]visit), byQueue: make(map[queueKey]int), nextReturn: make(map[queueKey]time.Time)}
}

// Row returns the newest row, or nil if there is none.
func (k *Desk) Row() *Row { return k.holder.Row() }

// Returns returns the number of callers that the desk remembers.
func (k *Desk) Returns() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.visits)
}

// Check decides on a submission. storeNow is the time of the store's clock and now that of this
// process.
func (k *Desk) Check(d Demand, storeNow time.Duration, now time.Time) Verdict {
	k.mu.Lock()
	defer k.mu.Unlock()
	q := queueKey{d.Workspace, d.Queue}
	x, known := k.visits[d.ID]
	if known && (x.queue != q || now.After(x.until)) {
		k.forgetLocked(d.ID, x)
		known = false
	}
	elapsed := time.Duration(0)
	if known {
		elapsed = now.Sub(x.first)
	}
	v := decide(d, k.holder.Row(), storeNow, elapsed)
	if v.Refused && known && v.Limit > 0 && !now.Before(x.from) && k.takeReturnLocked(q, now) {
		v.Refused, v.Reason = false, ReasonReturning
	}
	if !v.Refused {
		if known {
			k.forgetLocked(d.ID, x)
		}
		return v
	}
	v.RetryAfter = retryAfterLoad(d, v)
	if !known {
		x = visit{queue: q, first: now}
	}
	x.from, x.until = now.Add(v.RetryAfter), now.Add(v.RetryAfter+returnMargin)
	k.rememberLocked(d.ID, x, known, now)
	return v
}

// takeReturnLocked reports whether a caller that returns may be accepted now.
func (k *Desk) takeReturnLocked(q queueKey, now time.Time) bool {
	next := k.nextReturn[q]
	if next.Before(now) {
		next = now
	}
	if next.Sub(now) >= returnBurst {
		return false
	}
	k.nextReturn[q] = next.Add(returnInterval)
	return true
}

// rememberLocked records a visit, unless the places of its workspace and kind, or all, are
// taken.
func (k *Desk) rememberLocked(id string, x visit, known bool, now time.Time) {
	if !known && (k.byQueue[x.queue] >= maxReturnsShare || len(k.visits) >= maxReturns) {
		k.expireLocked(now)
		if k.byQueue[x.queue] >= maxReturnsShare || len(k.visits) >= maxReturns {
			return
		}
	}
	if !known {
		k.byQueue[x.queue]++
	}
	k.visits[id] = x
}

func (k *Desk) forgetLocked(id string, x visit) {
	delete(k.visits, id)
	if k.byQueue[x.queue]--; k.byQueue[x.queue] <= 0 {
		delete(k.byQueue, x.queue)
	}
}

func (k *Desk) expireLocked(now time.Time) {
	if now.Sub(k.expiredAt) < expireInterval {
		return
	}
	k.expiredAt = now
	for q, next := range k.nextReturn {
		if now.After(next) {
			delete(k.nextReturn, q)
		}
	}
	for id, x := range k.visits {
		if now.After(x.until) {
			k.forgetLocked(id, x)
		}
	}
}
