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
	faults     []faultInterval
	probes     []probe
	drains     []drainNotice
	callCount  int
}

// faultInterval is the time of a fault.
type faultInterval struct {
	fault    fault
	from, to time.Time // to is zero while the fault lasts
}

// drainNotice is a worker that has said that it leaves.
type drainNotice struct {
	worker string
	born   int64
	at     time.Time
}

// jobRecord is what a caller knows of one job.
type jobRecord struct {
	job            caller.Job
	isClaim        bool // claims the guarantee of its workspace
	submittedAt    time.Time
	acceptedAt     time.Time // when an answer said so; zero if none did
	outcomeUnknown bool      // a submission got no whole answer
	refusals       int       // answers that the job was not accepted
	cancelSentAt   time.Time // when the first cancellation was sent
	cancelAckedAt  time.Time
	state          string // as looked up last
	stateSeenAt    time.Time
	finalSeenAt    time.Time // when it was looked up in a final state first
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

// addViolation notes that a promise is broken.
func (h *history) addViolation(promise, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, promise+": "+detail)
}

// recordFault notes the recordFault of a fault and returns a function that notes its end.
func (h *history) recordFault(f fault) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.faults)
	h.faults = append(h.faults, faultInterval{fault: f, from: time.Now()})
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.faults[i].to = time.Now()
	}
}

// settleTime is how long no fault may have been at work for bounds in time to hold.
const settleTime = 3 * time.Second

// faultFree reports whether no fault was at work in a time or shortly before it. A change
// of the configuration is none.
func (h *history) faultFree(from, to time.Time) bool { return h.faultFreeExcept(from, to) }

// faultFreeExcept is like isCalm, but for faults of some kinds.
func (h *history) faultFreeExcept(from, to time.Time, kinds ...faultKind) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !slices.ContainsFunc(h.faults, func(w faultInterval) bool {
		settled := !w.to.IsZero() && w.to.Add(settleTime).Before(from)
		return w.fault.kind != faultConfig && !slices.Contains(kinds, w.fault.kind) && !settled && w.from.Before(to)
	})
}

func (h *history) addDrain(d drainNotice) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drains = append(h.drains, d)
}

// update changes the record of a job.
func (h *history) update(r *jobRecord, f func(r *jobRecord)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.callCount++
	f(r)
	h.jobs[r.job.ID] = r
}

func (h *history) addProbe(p probe) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.callCount++
	h.probes = append(h.probes, p)
}

// unfinishedJobs returns the accepted jobs that have not been seen in a final state.
func (h *history) unfinishedJobs() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var out []string
	for id, r := range h.jobs {
		if !r.acceptedAt.IsZero() && r.finalSeenAt.IsZero() {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}
