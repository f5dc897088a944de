package executor

import (
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/state/attempts"
)

// reasonNoContact is why lent work stops when no entry replies.
const reasonNoContact = "no entry has replied to a heartbeat for the contact lease"

// contact is the lease that the replies of any entry to heartbeats renew. Work
// beyond a guarantee runs only within it, so that the guarantee holder gets its
// capacity back even from a target that no entry can reach.
type contact struct {
	mu    sync.Mutex
	until time.Time
}

// renew extends the lease from the time at which a heartbeat was sent.
func (c *contact) renew(sent time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until := sent.Add(ContactLease); until.After(c.until) {
		c.until = until
	}
}

func (c *contact) isValid(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Before(c.until)
}

// stopLentWithoutContact stops lent work once the contact lease has lapsed.
func (e *Executor) stopLentWithoutContact(now time.Time) {
	if e.contact.isValid(now) {
		return
	}
	lent := e.table.List(func(st *attempts.Status) bool {
		return st.Spec.Lent && !st.Phase.IsEnded() && st.Stopping == nil
	})
	for _, st := range lent {
		e.log.Warn().Int(eventField, EventContactLost).Stringer("Attempt", st.Spec.ID).Msg("lent task stops without contact")
		e.table.Stop(st.Spec.ID, attempts.Stop{Code: attempts.CodeCanceled, Reason: reasonNoContact})
	}
}
