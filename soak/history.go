package soak

import (
	"slices"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/standin/caller"
)

// history records what callers observed and which faults were injected. Its methods
// are safe for concurrent use.
type history struct {
	mu          sync.Mutex
	violations  []string
	jobs        map[string]*jobRecord
	faults      []faultInterval
	probes      []probe
	drains      []drainNotice
	evacuations []evacuation
	callCount   int
}

// faultInterval is a fault with the time during which it was active.
type faultInterval struct {
	fault    fault
	from, to time.Time // to is zero while the fault lasts
}

// drainNotice records that a worker announced that it leaves.
type drainNotice struct {
	worker string
	born   int64
	at     time.Time
}

// evacuation is the time in which a data centre was evacuated.
type evacuation struct {
	dataCentre string
	workers    []string  // names of its workers
	from       time.Time // when the store acknowledged the request
	to         time.Time // when the withdrawal began; zero before
}

// jobRecord is what a caller knows about one job.
type jobRecord struct {
	job            caller.Job
	usesGuarantee  bool // uses the guarantee of its workspace
	submittedAt    time.Time
	acceptedAt     time.Time // when a response confirmed it; zero if none did
	outcomeUnknown bool      // a submission got no conclusive response
	refusals       int       // responses that the job was not accepted
	cancelSentAt   time.Time // when the first cancellation was sent
	cancelAckedAt  time.Time
	cancelledEarly bool   // the response to the cancellation was that there is no such job
	state          string // from the last lookup
	stateSeenAt    time.Time
	finalSeenAt    time.Time // when a lookup first returned a final state
}

// probe is a call whose response shows which configuration is in force.
type probe struct {
	entry  string
	boot   int
	sent   time.Time
	status int
	key    string
}

func newHistory() *history { return &history{jobs: make(map[string]*jobRecord)} }

// addViolation records that a promise was broken.
func (h *history) addViolation(promise, detail string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, promise+": "+detail)
}

// recordFault records the start of a fault and returns a function that records its end.
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

// settleTime is how long after the end of the last fault the bounds on times apply
// again.
const settleTime = 3 * time.Second

// faultFree reports whether no fault was active from settleTime before from until to.
// A configuration change does not count as a fault.
func (h *history) faultFree(from, to time.Time) bool { return h.faultFreeExcept(from, to) }

// faultFreeExcept is like faultFree, but ignores faults of the given kinds.
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

// recordEvacuation records the request to evacuate a data centre and returns a function that
// records its withdrawal.
func (h *history) recordEvacuation(e evacuation) (end func()) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := len(h.evacuations)
	h.evacuations = append(h.evacuations, e)
	return func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.evacuations[i].to = time.Now()
	}
}

// update changes the record of a job with f and counts a call.
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

// unfinishedJobs returns the IDs of the accepted jobs that no lookup has shown in a
// final state.
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
