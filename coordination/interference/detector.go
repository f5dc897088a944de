package interference

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// updateInterval is the time between two updates, whose time BenchmarkUpdate measures at the
	// bounds below.
	updateInterval = 2 * time.Second
	// halfLife is the time in which an observation loses half of its weight. It is long against
	// the run times of tasks and short against the life of a deployment of callers' software.
	halfLife = 2 * time.Minute
	// retention is how long an observation is kept; after 4 half-lives it has a sixteenth of its
	// weight.
	retention = 4 * halfLife
	// maxObservations bounds the observations in memory: about 200 bytes each.
	maxObservations = 2000
	// maxClasses bounds the classes that are judged, and with their pairs the time of an update.
	// The classes with the most observations count.
	maxClasses = 12
)

// Parameters of the model. All deviations are of natural logarithms.
const (
	// minWorkers is the number of workers on which the pair must be slow.
	minWorkers = 3
	// minRuns is the number of runs with the neighbour below which there is no verdict.
	minRuns = 8
	// verdictScore is the difference in standard deviations that a verdict requires, and
	// classScore what is added to it as far as runs are compared with their class instead of their
	// step, whose work has longer tails than a normal distribution. With 4.2 alone, 3 of 1,000
	// histories without interference had a verdict.
	verdictScore, classScore = 4.2, 2.0
	// withdrawScore is the difference below which a verdict is withdrawn. The distance to
	// verdictScore prevents verdicts that come and go.
	withdrawScore = 2.5
	// minFactor is the least slowdown that is worth a verdict, and withdrawFactor the one below
	// which it is withdrawn.
	minFactor, withdrawFactor = 1.15, 1.08
	// slowWorkerFactor is the slowdown at which a worker counts for minWorkers.
	slowWorkerFactor = 1.1
	// effectDeviation is the expected deviation of the logarithms of the factors.
	effectDeviation = 0.4
	// workerDeviation is the expected deviation of the log speeds of workers. A worker that takes
	// three times as long deviates by 1.1.
	workerDeviation = 0.5
	// priorTaskDeviation and priorStepDeviation are the assumed deviations of the work within a
	// step and of the declared run times of steps. They count as priorCount observations.
	priorTaskDeviation, priorStepDeviation = 0.25, 0.8
	priorCount                             = 8
	// maxDeviation limits the influence of one run with a multiple of the usual work.
	maxDeviation = 1.2
)

// Class is a class of tasks.
type Class struct {
	Kind         string
	Image        string `json:",omitempty"`
	Accelerators int    `json:",omitempty"` // of a task
}

func (c Class) compare(o Class) int {
	return cmp.Or(cmp.Compare(c.Kind, o.Kind), cmp.Compare(c.Image, o.Image), cmp.Compare(c.Accelerators, o.Accelerators))
}

// Observation is the pace of a run while the classes beside it were the same.
type Observation struct {
	Run    string // with Beside, identifies the observation; a later one replaces it
	Step   string // whose tasks have similar work
	Class  Class
	Worker string
	Log    float64 // natural logarithm of the pace relative to the predicted one; negative if slow
	Beside []Class // sorted, without duplicates
}

// Verdict is the finding that a class is slow beside another.
type Verdict struct {
	Class, Beside Class
	Factor        float64 // of the run time, shrunk towards 1
	Score         float64 // difference in standard deviations, the confidence
	Runs, Workers int     // with the neighbour
}

// Change is a verdict that is new or withdrawn.
type Change struct {
	Verdict   Verdict
	Withdrawn bool
}

type pair struct{ class, beside Class }

type observationKey struct {
	run    string
	beside string
}

type observation struct {
	Observation
	key    observationKey
	at     time.Time
	weight float64 // by age, at the last update
}

func (o *observation) hasBeside(c Class) bool { return slices.Contains(o.Beside, c) }

// Detector finds classes that slow each other down. It is not safe for concurrent use.
type Detector struct {
	observations []*observation // the oldest first, except for replaced ones
	byKey        map[observationKey]*observation
	verdicts     map[pair]Verdict
	updatedAt    time.Time
	changed      bool
}

// New returns a detector without observations.
func New() *Detector {
	return &Detector{byKey: make(map[observationKey]*observation), verdicts: make(map[pair]Verdict)}
}

// Snapshot returns a copy of the detector with the present verdicts and without observations.
func (d *Detector) Snapshot() *Detector {
	out := New()
	out.verdicts, out.updatedAt = maps.Clone(d.verdicts), d.updatedAt
	return out
}

// SortClasses sorts classes as Observation.Beside needs them and removes duplicates.
func SortClasses(classes []Class) []Class {
	slices.SortFunc(classes, Class.compare)
	return slices.Compact(classes)
}

// Observe records an observation. Values that are not finite are ignored.
func (d *Detector) Observe(o Observation, now time.Time) {
	if math.IsNaN(o.Log) || math.IsInf(o.Log, 0) {
		return
	}
	key := observationKey{run: o.Run}
	for _, c := range o.Beside {
		key.beside += c.Kind + "\x00" + c.Image + "\x00" + strconv.Itoa(c.Accelerators) + "\x00"
	}
	d.changed = true
	if r := d.byKey[key]; r != nil {
		r.Observation, r.at = o, now
		return
	}
	if len(d.observations) >= maxObservations {
		delete(d.byKey, d.observations[0].key)
		d.observations = d.observations[1:]
	}
	r := &observation{Observation: o, key: key, at: now}
	d.observations = append(d.observations, r)
	d.byKey[key] = r
}

// Harmful reports whether one of two classes is known to slow the other down.
func (d *Detector) Harmful(a, b Class) bool {
	if len(d.verdicts) == 0 {
		return false
	}
	_, ok := d.verdicts[pair{a, b}]
	if !ok {
		_, ok = d.verdicts[pair{b, a}]
	}
	return ok
}

// Any reports whether any verdict is in force.
func (d *Detector) Any() bool { return len(d.verdicts) > 0 }

// Verdicts returns the verdicts in force, sorted by class and neighbour.
func (d *Detector) Verdicts() []Verdict {
	return slices.SortedFunc(maps.Values(d.verdicts), func(x, y Verdict) int {
		return cmp.Or(x.Class.compare(y.Class), x.Beside.compare(y.Beside))
	})
}

// Due reports whether Update should be called.
func (d *Detector) Due(now time.Time) bool {
	return now.Sub(d.updatedAt) >= updateInterval && (d.changed || len(d.verdicts) > 0)
}

// Update derives the verdicts from the observations and returns what has changed.
func (d *Detector) Update(now time.Time) []Change {
	d.updatedAt, d.changed = now, false
	d.observations = slices.DeleteFunc(d.observations, func(o *observation) bool {
		if now.Sub(o.at) <= retention {
			return false
		}
		delete(d.byKey, o.key)
		return true
	})
	for _, o := range d.observations {
		o.weight = math.Exp2(-float64(now.Sub(o.at)) / float64(halfLife))
	}
	var found []Verdict
	baselines := make(map[Class]*baseline)
	for _, q := range d.pairs() {
		b := baselines[q.beside]
		if b == nil {
			b = d.baselineWithout(q.beside, nil)
			baselines[q.beside] = b
		}
		if v, ok := d.judge(q, b, nil); ok {
			found = append(found, v)
		}
	}
	slices.SortStableFunc(found, func(x, y Verdict) int { return cmp.Compare(y.Score, x.Score) })
	verdicts := make(map[pair]Verdict)
	for _, v := range found {
		// What a stronger verdict explains is no evidence against another neighbour.
		q := pair{v.Class, v.Beside}
		if v, ok := d.judge(q, d.baselineWithout(q.beside, verdicts), verdicts); ok {
			verdicts[q] = v
		}
	}
	var changes []Change
	for q, v := range verdicts {
		if _, ok := d.verdicts[q]; !ok {
			changes = append(changes, Change{Verdict: v})
		}
	}
	for q, v := range d.verdicts {
		if _, ok := verdicts[q]; !ok {
			changes = append(changes, Change{Verdict: v, Withdrawn: true})
		}
	}
	slices.SortFunc(changes, func(x, y Change) int {
		return cmp.Or(x.Verdict.Class.compare(y.Verdict.Class), x.Verdict.Beside.compare(y.Verdict.Beside))
	})
	d.verdicts = verdicts
	return changes
}

// pairs returns the pairs with enough runs, sorted, of at most maxClasses classes.
func (d *Detector) pairs() []pair {
	runs := make(map[pair]int)
	byClass := make(map[Class]int)
	for _, o := range d.observations {
		byClass[o.Class]++
		for _, b := range o.Beside {
			byClass[b]++
			if b != o.Class {
				runs[pair{o.Class, b}]++
			}
		}
	}
	classes := slices.SortedFunc(maps.Keys(byClass), func(x, y Class) int {
		return cmp.Or(cmp.Compare(byClass[y], byClass[x]), x.compare(y))
	})
	classes = classes[:min(len(classes), maxClasses)]
	out := slices.DeleteFunc(slices.Collect(maps.Keys(runs)), func(q pair) bool {
		return runs[q] < minRuns || !slices.Contains(classes, q.class) || !slices.Contains(classes, q.beside)
	})
	slices.SortFunc(out, func(x, y pair) int {
		return cmp.Or(x.class.compare(y.class), x.beside.compare(y.beside))
	})
	return out
}
