package health

import (
	"math"
	"slices"
	"sync"
	"time"
)

// Parameters of Tracker.
const (
	halfLife = 5 * time.Minute
	// A target is suspect if its failures exceed the expected ones by
	// suspectMargin plus suspectDeviations standard deviations. With many targets
	// judged after every failure, chance alone must almost never suffice.
	suspectMargin     = 2
	suspectDeviations = 3
	// maxProbation is the share of targets that may be on probation, as 1/n: if
	// more of them fail, the cause is shared, and taking them out would not help.
	maxProbation = 2
	// probeSuccesses in a row end the probation.
	probeSuccesses = 3
	firstPause     = 5 * time.Second // before the first probe; doubled by each failed probe
	maxPause       = 5 * time.Minute
	// probeTimeout frees the place of a probe whose end was never observed.
	probeTimeout = 10 * time.Minute
	// maxJobFailures on different healthy targets show that the job is at fault.
	maxJobFailures = 3
	// kindFailing is the failure rate from which on a kind is said to fail
	// everywhere, given at least kindSamples ended tasks on kindTargets targets.
	kindFailing = 0.9
	kindSamples = 6
	kindTargets = 3
)

// Outcome is how a task ended.
type Outcome int

// Outcomes. Tasks that were stopped by a decision, such as a cancellation or a
// preemption, say nothing and must not be observed.
const (
	Succeeded Outcome = iota
	Failed
)

// State is what a target may be used for.
type State int

// States.
const (
	Healthy  State = iota
	Paused         // on probation, takes no work now
	ProbeDue       // on probation, takes one probe
)

// Tracker holds the counts of all targets. The zero Tracker is empty.
type Tracker struct {
	mu      sync.Mutex
	targets map[string]*target
	kinds   map[kindKey]*count // sums over the targets that are not on probation
	jobs    map[string][]string
	charges map[kindKey]*count
}

type kindKey struct{ workspace, kind string }

type target struct {
	kinds     map[kindKey]*count
	probation bool
	successes int
	pause     time.Duration
	next      time.Time // of the next probe
	probe     time.Time // start of the running probe; zero if none
}

// count is a pair of counts that decay.
type count struct {
	ok, failed float64
	at         time.Time
}

func (c *count) decay(now time.Time) *count {
	if d := now.Sub(c.at); d > 0 {
		f := math.Exp2(-float64(d) / float64(halfLife))
		c.ok, c.failed, c.at = c.ok*f, c.failed*f, now
	}
	return c
}

func (c *count) add(o Outcome, n float64, now time.Time) {
	c.decay(now)
	if o == Failed {
		c.failed = max(c.failed+n, 0)
	} else {
		c.ok = max(c.ok+n, 0)
	}
}

func (c *count) sum() float64 { return c.ok + c.failed }

func counter(m map[kindKey]*count, k kindKey, now time.Time) *count {
	c := m[k]
	if c == nil {
		c = &count{at: now}
		m[k] = c
	}
	return c
}

func (t *Tracker) targetLocked(name string) *target {
	if t.targets == nil {
		t.targets = make(map[string]*target)
		t.kinds = make(map[kindKey]*count)
		t.jobs = make(map[string][]string)
		t.charges = make(map[kindKey]*count)
	}
	x := t.targets[name]
	if x == nil {
		x = &target{kinds: make(map[kindKey]*count)}
		t.targets[name] = x
	}
	return x
}

// Observe records how a task ended on a target. A target that thereby becomes
// suspect goes on probation. During a probation only ProbeEnded counts: work that
// was started before can still end well on a worker that fails all new tasks.
func (t *Tracker) Observe(name, workspace, kind string, o Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x, k := t.targetLocked(name), kindKey{workspace, kind}
	if x.probation {
		return
	}
	counter(x.kinds, k, now).add(o, 1, now)
	counter(t.kinds, k, now).add(o, 1, now)
	if o == Failed && t.suspectLocked(x, now) && t.onProbation()+1 <= max(len(t.targets)/maxProbation, 1) {
		// The failures are the target's fault, so they must not count as the
		// kinds' failures elsewhere.
		for k, c := range x.kinds {
			sum := counter(t.kinds, k, now).decay(now)
			c.decay(now)
			sum.ok, sum.failed = max(sum.ok-c.ok, 0), max(sum.failed-c.failed, 0)
		}
		*x = target{kinds: make(map[kindKey]*count), probation: true, pause: firstPause, next: now.Add(firstPause)}
	}
}

// ProbeEnded records how a probe ended and frees its place.
func (t *Tracker) ProbeEnded(name, workspace, kind string, o Outcome, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.targets[name]
	if x == nil || !x.probation {
		return
	}
	x.probe = time.Time{}
	if o == Succeeded {
		if x.successes++; x.successes >= probeSuccesses {
			*x = target{kinds: make(map[kindKey]*count)}
		}
		return
	}
	// The failure of a kind that mostly fails elsewhere too says nothing.
	if rate(counter(t.kinds, kindKey{workspace, kind}, now).decay(now)) < 0.5 {
		x.successes = 0
		x.pause = min(2*x.pause, maxPause)
	}
	x.next = now.Add(x.pause)
}

// rate estimates a failure rate. One failure is assumed in advance, so that a kind
// that no other target has run convicts none.
func rate(c *count) float64 { return (c.failed + 1) / (c.sum() + 1) }

// suspectLocked compares the failures of x with those that its tasks would have
// had on the other targets.
func (t *Tracker) suspectLocked(x *target, now time.Time) bool {
	failed, expected := 0.0, 0.0
	for k, c := range x.kinds {
		c.decay(now)
		sum := counter(t.kinds, k, now).decay(now)
		others := count{ok: max(sum.ok-c.ok, 0), failed: max(sum.failed-c.failed, 0)}
		failed += c.failed
		expected += c.sum() * rate(&others)
	}
	return failed > expected+suspectMargin+suspectDeviations*math.Sqrt(expected)
}

func (t *Tracker) onProbation() int {
	n := 0
	for _, x := range t.targets {
		if x.probation {
			n++
		}
	}
	return n
}

// State returns what the target may be used for. An unknown target is healthy.
func (t *Tracker) State(name string, now time.Time) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.targets[name]
	switch {
	case x == nil || !x.probation:
		return Healthy
	case now.Before(x.next) || !x.probe.IsZero() && now.Sub(x.probe) < probeTimeout:
		return Paused
	}
	return ProbeDue
}

// StartProbe takes the place of the target's probe. It returns false if no probe
// is due. The place is free again after ProbeEnded or ProbeAbandoned.
func (t *Tracker) StartProbe(name string, now time.Time) bool {
	if t.State(name, now) != ProbeDue {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	x := t.targets[name]
	if x == nil || !x.probation || !x.probe.IsZero() && now.Sub(x.probe) < probeTimeout {
		return false // taken since the look at the state
	}
	x.probe = now
	return true
}

// ProbeAbandoned frees the place of a probe that was not started or said nothing.
func (t *Tracker) ProbeAbandoned(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if x := t.targets[name]; x != nil {
		x.probe = time.Time{}
	}
}

// Forget drops a target that is gone, or that was replaced by a new process.
func (t *Tracker) Forget(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.targets, name)
}

// Verdict is what to do with a failed job.
type Verdict struct {
	Retry   bool
	Exclude []string // targets on which it failed; must not be changed
}

// JobFailed decides on a job that failed on a target. Call it after Observe. The
// job is given up, and the failure is charged to its kind, once it has failed on
// three different targets that are healthy now.
func (t *Tracker) JobFailed(job, name, workspace, kind string, now time.Time) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.targetLocked(name)
	if !slices.Contains(t.jobs[job], name) {
		t.jobs[job] = append(slices.Clip(t.jobs[job]), name)
	}
	failedOn := t.jobs[job]
	var healthy []*target
	for _, n := range failedOn {
		if x := t.targets[n]; x == nil || !x.probation {
			healthy = append(healthy, x)
		}
	}
	if len(healthy) < maxJobFailures {
		return Verdict{Retry: true, Exclude: failedOn}
	}
	k := kindKey{workspace, kind}
	counter(t.charges, k, now).add(Failed, 1, now)
	for _, x := range healthy {
		if x != nil {
			counter(x.kinds, k, now).add(Failed, -1, now)
		}
	}
	delete(t.jobs, job)
	return Verdict{Exclude: failedOn}
}

// JobEnded drops what is known of a job that succeeded or was given up otherwise.
func (t *Tracker) JobEnded(job string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.jobs, job)
}

// Kind is the record of a workspace's kind.
type Kind struct {
	FailureRate float64 // on targets that are not on probation, recently
	Charges     float64 // jobs given up, recently
	// FailsEverywhere reports that nearly every task fails, on several targets.
	FailsEverywhere bool
}

// Kind returns the record of a kind.
func (t *Tracker) Kind(workspace, kind string, now time.Time) Kind {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := kindKey{workspace, kind}
	var out Kind
	if c := t.charges[k]; c != nil {
		out.Charges = c.decay(now).failed
	}
	c := t.kinds[k]
	if c == nil || c.decay(now).sum() == 0 {
		return out
	}
	out.FailureRate = c.failed / c.sum()
	on := 0
	for _, x := range t.targets {
		if x.kinds[k] != nil {
			on++
		}
	}
	out.FailsEverywhere = on >= kindTargets && c.sum() >= kindSamples && out.FailureRate >= kindFailing
	return out
}
