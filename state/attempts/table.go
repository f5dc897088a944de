package attempts

import (
	"sync"
	"sync/atomic"
	"time"
)

// Limits are the sizes and times of a Table. A zero means the default,
// except for Slots.
type Limits struct {
	Slots          int
	SessionExpiry  time.Duration // 10 s
	ReservationTTL time.Duration // 10 s
	HoldTTL        time.Duration // 7 s
	GangLease      time.Duration // 6 s
	Retention      time.Duration // 10 min
	KeptRecords    int           // 10,000
	KeptBytes      int           // 8 MiB, of answers
}

// Defaults of Limits.
const (
	DefaultSessionExpiry  = 10 * time.Second
	DefaultReservationTTL = 10 * time.Second
	// DefaultHoldTTL covers the stop of all victims of a claim (5 s) and the
	// reservation that follows (2 s). Slots that are held longer keep a claim
	// waiting whose entry died, and was repeated through another one.
	DefaultHoldTTL     = 7 * time.Second
	DefaultGangLease   = 6 * time.Second
	DefaultRetention   = 10 * time.Minute
	DefaultKeptRecords = 10_000
	DefaultKeptBytes   = 8 << 20
)

func (l Limits) withDefaults() Limits {
	setDefault(&l.SessionExpiry, DefaultSessionExpiry)
	setDefault(&l.ReservationTTL, DefaultReservationTTL)
	setDefault(&l.HoldTTL, DefaultHoldTTL)
	setDefault(&l.GangLease, DefaultGangLease)
	setDefault(&l.Retention, DefaultRetention)
	if l.KeptRecords == 0 {
		l.KeptRecords = DefaultKeptRecords
	}
	if l.KeptBytes == 0 {
		l.KeptBytes = DefaultKeptBytes
	}
	return l
}

func setDefault(d *time.Duration, v time.Duration) {
	if *d == 0 {
		*d = v
	}
}

// shardCount spreads the locks. A target serves few requests at once.
const shardCount = 16

// Table holds the state of one target process. It is safe for concurrent use.
type Table struct {
	limits   Limits
	started  time.Time
	shards   [shardCount]shard
	slots    slots
	sessions sessions
	leaving  atomic.Bool
}

type shard struct {
	mu      sync.Mutex
	records map[ID]*record
	markers map[uint64]marker // by hash of the ID
}

// record is one attempt. Its fields are guarded by the lock of its shard.
type record struct {
	st      Status
	changed chan struct{}
	claim   ID   // attempt for which the slots are held when they come free
	shown   bool // the hub may know this member as attached
	fetched bool // the end was sent to an entry
	owned   bool // a task of the process still works on it
	gang    *gang
}

// NewTable returns an empty Table.
func NewTable(limits Limits) *Table {
	limits = limits.withDefaults()
	t := &Table{limits: limits, started: time.Now()}
	t.slots = slots{total: limits.Slots, holds: make(map[ID]hold)}
	t.sessions = sessions{expiry: limits.SessionExpiry, byID: make(map[uint64]*session)}
	for i := range t.shards {
		t.shards[i].records = make(map[ID]*record)
		t.shards[i].markers = make(map[uint64]marker)
	}
	return t
}

func (t *Table) shard(id ID) *shard {
	return &t.shards[id.hash()%shardCount]
}

// OpenSession returns a new session for an entry.
func (t *Table) OpenSession(entry string, incarnation uint64) uint64 {
	return t.sessions.open(entry, incarnation)
}

// Ping renews a session. It reports false if the session is unknown or expired.
func (t *Table) Ping(session uint64) bool { return t.sessions.renew(session) }

// HasSession reports whether a session is valid now.
func (t *Table) HasSession(session uint64) bool { return t.sessions.valid(session) }

// SessionEntry returns the name of the entry of a session, or "".
func (t *Table) SessionEntry(session uint64) string { return t.sessions.entry(session) }

// Leave makes Admit and Release refuse from now on. Every attempt that was
// admitted before is visible to a List that follows.
func (t *Table) Leave() { t.leaving.Store(true) }

// Leaving reports whether Leave was called.
func (t *Table) Leaving() bool { return t.leaving.Load() }

// FreeSlots returns the number of free slots, without those that are held.
func (t *Table) FreeSlots() int { return t.slots.free() }

// Holds returns the holds after preemptions.
func (t *Table) Holds() []Hold { return t.slots.list() }

// Sessions returns the open sessions.
func (t *Table) Sessions() []Session { return t.sessions.list() }

// Get returns the state of an attempt, with phase None if it is not known.
func (t *Table) Get(id ID) Status {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.statusLocked(id)
}

// List returns the attempts for which keep returns true. Keep is called under a
// lock and must not call the Table.
func (t *Table) List(keep func(*Status) bool) []Status {
	var out []Status
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, r := range s.records {
			if keep(&r.st) {
				out = append(out, r.copyLocked())
			}
		}
		s.mu.Unlock()
	}
	return out
}

// Unfetched returns the number of attempts that ended at or after since, whose
// end is decided here and was not yet sent to an entry.
func (t *Table) Unfetched(since time.Time) int {
	n := 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, r := range s.records {
			mine := r.st.Phase == Ran || r.st.Phase == Stopped && r.st.Spec.IsHub()
			if mine && !r.fetched && !r.st.Ended.Before(since) {
				n++
			}
		}
		s.mu.Unlock()
	}
	return n
}

// Fetched notes that the end of an attempt was sent to an entry.
func (t *Table) Fetched(id ID) {
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if r, ok := s.records[id]; ok && r.st.Phase.IsEnded() {
		r.fetched = true
	}
}

func (r *record) copyLocked() Status {
	st := r.st
	st.Changed = r.changed
	if r.gang != nil {
		st.Verdict = r.gang.verdict
		st.Members = append([]MemberStatus(nil), r.gang.members...)
	}
	return st
}

// signalLocked wakes all who wait for a change of the attempt.
func (r *record) signalLocked() {
	close(r.changed)
	r.changed = make(chan struct{})
}
