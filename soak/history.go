package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/standin/caller"
)

// history is what callers have seen and what has been done to the site. Its methods
// are safe for concurrent use.
type history struct {
	mu         sync.Mutex
	violations []string
	jobs       map[string]*jobRecord
	faults     []window
	probes     []probe
	left       []leaving
	calls      int
}

// window is the time of a fault.
type window struct {
	fault    fault
	from, to time.Time // to is zero while the fault lasts
}

// leaving is a worker that has said that it leaves.
type leaving struct {
	worker string
	born   int64
	at     time.Time
}

// jobRecord is what a caller knows of one job.
type jobRecord struct {
	job       caller.Job
	claim     bool // claims the guarantee of its workspace
	sent      time.Time
	accepted  time.Time // when an answer said so; zero if none did
	undecided bool      // a submission got no whole answer
	refused   int       // answers that the job was not accepted
	cancelled time.Time // when the first cancellation was sent
	cancelAck time.Time
	state     string // as looked up last
	shown     time.Time
	ended     time.Time // when it was looked up in a final state first
}

// probe is a call that shows which configuration is in force.
type probe struct {
	entry  string
	boot   int
	sent   time.Time
	status int
	key    string
}

func newHistory() *history { return &history{jobs: make(map[string]*jobRecord)} }

// violate notes that a promise is broken.
func (h *history) violate(promise, what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, promise+": "+what)
}

// begin notes the begin of a fault and returns a function that notes its end.
func (h *history) begin(f fault) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.faults)
	h.faults = append(h.faults, window{fault: f, from: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.faults[i].to = time.Now()
	}
}

// stableTime is how long no fault may have been at work for bounds in time to hold.
const stableTime = 3 * time.Second

// isCalm reports whether no fault was at work in a time or shortly before it. A change
// of the configuration is none.
func (h *history) isCalm(from, to time.Time) bool { return h.isCalmBut(from, to) }

// isCalmBut is like isCalm, but for faults of some kinds.
func (h *history) isCalmBut(from, to time.Time, kinds ...faultKind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.ContainsFunc(h.faults, func(w window) bool {
		over := !w.to.IsZero() && w.to.Add(stableTime).Before(from)
		return w.fault.kind != faultConfig && !slices.Contains(kinds, w.fault.kind) && !over && w.from.Before(to)
	})
}

func (h *history) leaves(l leaving) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.left = append(h.left, l)
}

// update changes the record of a job.
func (h *history) update(r *jobRecord, f func(r *jobRecord)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	f(r)
	h.jobs[r.job.ID] = r
}

func (h *history) addProbe(p probe) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls++
	h.probes = append(h.probes, p)
}

// open returns the accepted jobs that have not been seen in a final state.
func (h *history) open() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for id, r := range h.jobs {
		if !r.accepted.IsZero() && r.ended.IsZero() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
