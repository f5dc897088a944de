package speed

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// minUpdateInterval and maxUpdateInterval bound the time between two updates, which grows
	// by updateTimePerRun for each run observed, so that updates take a small part of a
	// process's time. A worker that turns slow must be known within 2 s.
	minUpdateInterval = 250 * time.Millisecond
	maxUpdateInterval = 1500 * time.Millisecond
	updateTimePerRun  = 100 * time.Microsecond
	// stepRetention is how long a step is kept after its last observation.
	stepRetention = time.Minute
	// maxObservations bounds the observations in memory: about 50 bytes each.
	maxObservations = 100_000
	// baseHalfLife is the time in which evidence from steps that are no longer kept loses half
	// of its weight.
	baseHalfLife = 2 * time.Minute
	// recentSpan is the age up to which observations are compared with older ones to find
	// workers whose speed has changed.
	recentSpan = 2 * time.Second
)

// Parameters of the model. All deviations are of natural logarithms.
const (
	// speedDeviation is the expected deviation of the speeds of a site whose workers differ.
	// A site with speeds of 0.55 and 1.2 times the nominal one has 0.34.
	speedDeviation = 0.35
	// priorDeclaredDeviation and priorTaskDeviation are the assumed deviations of the declared
	// run times of a kind and of the work within a step, and count as priorSteps and
	// priorTasks observations.
	priorDeclaredDeviation = 0.5
	priorSteps             = 4
	priorTaskDeviation     = 0.25
	priorTasks             = 8
	// minTaskDeviation covers the inaccuracy of the measurement.
	minTaskDeviation = 0.05
	// percentDeviation is the error of a difference of two percentages, in percent.
	percentDeviation = 0.6
	// maxDeviation is the largest deviation of a value from the mean of its group that counts
	// for the learned deviations. It limits the influence of tasks with a multiple of the usual
	// work.
	maxDeviation = 0.6
	// tailFreedoms is the number of degrees of freedom in addSample.
	tailFreedoms = 4
	// togetherSpan is the largest difference between the members of a gang with which they
	// may be reporting the progress of the gang instead of their own, and between the speeds
	// of workers that are equally likely to be the slowest.
	togetherSpan = 0.12
	// sharedDeviation is the error of attributing the pace of a gang to one of its workers.
	sharedDeviation = 0.2
	// maxLogSpeed is the largest deviation of the logarithm of a speed from 0.
	maxLogSpeed = 2.3
	// classWidth is the width of a class of speeds. It is about the difference below which a
	// speed matters less to a task than the place that it leaves free for others.
	classWidth = 0.2
)

// Max is the highest speed, and its inverse the lowest.
const Max = 10

// MaxClass is the highest class of speeds. The lowest is -MaxClass.
const MaxClass = 12

// Thresholds for the decision whether the workers of a site differ.
const (
	// unevenSigmas is by how many standard deviations the spread of the workers must exceed
	// that of equal ones, and evenSigmas where a site becomes even again. unevenWorkerSigmas
	// is the deviation of a single worker that is enough.
	unevenSigmas       = 7
	evenSigmas         = 2
	unevenWorkerSigmas = 8
	// minUnevenSpread is the least deviation of the speeds that is worth acting on.
	minUnevenSpread = 0.12
	// minUnevenWorkers is the least number of workers with evidence.
	minUnevenWorkers = 4
	// changeSigmas and minChange are the difference between the recent and the older samples
	// of a worker from which on the older ones are disregarded.
	changeSigmas = 5
	minChange    = 0.3
	// minChangeWeight is the least weight of the recent samples of a worker for that: more than a
	// single task has.
	minChangeWeight = 1 / (0.2 * 0.2)
)

// Learner learns the speeds of the workers of a site. It is not safe for concurrent use.
type Learner struct {
	byName    map[string]*Worker
	workers   []*Worker // in the order of their addition
	steps     []*Step   // in the order of their creation
	kinds     map[kindKey]*kind
	uneven    bool
	spread    float64 // deviation of the speeds
	centre    float64 // mean log speed of the workers
	updatedAt time.Time
	updates   int
	observed  int // observations in all steps
	quantile  float64
}

// Worker is the learned speed of a worker.
type Worker struct {
	learner *Learner
	name    string
	base    evidence // from steps that are no longer kept, and from a restored row
	baseAt  time.Time
	samples []sample // from the kept steps
	// changedAt is when the speed was last found to have changed. Samples from before are
	// disregarded.
	changedAt time.Time

	all      evidence // of base and samples
	log      float64  // estimated log speed, before centring
	variance float64  // of log
	speed    float64  // as published
	class    int      // as published

	// Sums over the runs of one step while that step is processed.
	stepMark int
	stepSum  groupSum
}

// evidence is a weighted mean: the weight is the inverse of the variance.
type evidence struct {
	mean, weight float64
}

func (e evidence) plus(o evidence) evidence {
	w := e.weight + o.weight
	if w <= 0 {
		return evidence{}
	}
	return evidence{(e.mean*e.weight + o.mean*o.weight) / w, w}
}

// sample is what one step says about the speed of a worker.
type sample struct {
	value, variance float64
	at              time.Time
	relative        bool    // to other workers, not only to the declared run time
	plainVariance   float64 // without regard to how far the value is from the worker's speed
}

type groupSum struct {
	n       int
	sum     float64
	squares float64
	percent float64 // sum of the variances from whole percents
	at      time.Time
}

type kindKey struct {
	name string
	gang bool
}

// kind describes the declared run times and the work of a kind.
type kind struct {
	bias              float64 // mean log ratio of run times to declared ones, at speed 1
	declaredDeviation float64
	taskDeviation     float64

	// Sums of an update.
	deviations   []float64
	taskSquares  float64
	taskFreedoms float64
}

// Step collects the observations of a step's tasks.
type Step struct {
	learner  *Learner
	kind     *kind
	declared float64 // logarithm of the declared run time
	gang     bool
	tasks    []observation // by task
	lastAt   time.Time
	dropped  bool
	groups   []group // of the current update
}

type observation struct {
	worker  *Worker
	log     float64 // of the task time divided by the declared one
	percent int64
	at      time.Time
}

// group holds the runs of a step on one worker.
type group struct {
	worker   *Worker
	mean     float64 // log of the task time divided by the declared one
	variance float64 // of the mean, apart from that of the worker's speed
	at       time.Time
}

// New returns a learner without evidence.
func New() *Learner {
	return &Learner{byName: make(map[string]*Worker), kinds: make(map[kindKey]*kind), quantile: 1}
}

// Worker returns the worker with a name, and adds it if it is not known.
func (l *Learner) Worker(name string) *Worker {
	w := l.byName[name]
	if w == nil {
		w = &Worker{learner: l, name: name, speed: 1, variance: speedDeviation * speedDeviation}
		l.byName[name] = w
		l.workers = append(l.workers, w)
	}
	return w
}

// Snapshot returns a copy of the learner with the present speeds and without observations.
func (l *Learner) Snapshot() *Learner {
	out := New()
	out.uneven, out.spread, out.centre, out.quantile, out.updatedAt = l.uneven, l.spread, l.centre, l.quantile, l.updatedAt
	for _, w := range l.workers {
		x := *w
		x.learner, x.samples, x.stepMark = out, nil, 0
		out.byName[x.name] = &x
		out.workers = append(out.workers, &x)
	}
	return out
}

// Speed returns the speed of the worker relative to the others, between 0.1 and 10. It is 1
// if nothing is known, if the site is even or if w is nil.
func (w *Worker) Speed() float64 {
	if w == nil {
		return 1
	}
	return w.speed
}

// Class returns the class of the worker's speed, between -MaxClass and MaxClass. The speeds of
// one class differ by at most a factor of exp(classWidth) and count as equal for placement.
func (w *Worker) Class() int {
	if w == nil {
		return 0
	}
	return w.class
}

// Class returns the class of a speed.
func Class(speed float64) int {
	return min(max(int(math.Round(math.Log(speed)/classWidth)), -MaxClass), MaxClass)
}

// Deviation returns the standard deviation of the logarithm of the worker's speed.
func (w *Worker) Deviation() float64 { return math.Sqrt(w.variance) }

// Samples returns the number of steps that the speed is derived from, apart from those that
// are no longer kept.
func (w *Worker) Samples() int { return len(w.samples) }

// Uneven reports whether the speeds of the workers differ by more than chance.
func (l *Learner) Uneven() bool { return l.uneven }

// Spread returns the standard deviation of the logarithms of the speeds, or 0 if the site is
// even.
func (l *Learner) Spread() float64 {
	if !l.uneven {
		return 0
	}
	return l.spread
}

// FastSpeed returns the speed that a tenth of the known workers exceed, or 1 if the site is
// even.
func (l *Learner) FastSpeed() float64 { return l.quantile }

// NewStep adds a step of a kind with the run time that was declared for its tasks. It returns
// nil if none was declared.
func (l *Learner) NewStep(kindName string, declared time.Duration, gang bool) *Step {
	if declared <= 0 {
		return nil
	}
	key := kindKey{kindName, gang}
	k := l.kinds[key]
	if k == nil {
		k = &kind{declaredDeviation: priorDeclaredDeviation, taskDeviation: priorTaskDeviation}
		l.kinds[key] = k
	}
	return &Step{learner: l, kind: k, declared: math.Log(declared.Seconds()), gang: gang, dropped: true}
}

// Observe records that a task of the step takes taskTime as a whole on a worker, measured over
// a progress of percent. It replaces earlier observations of the task.
func (s *Step) Observe(task int, w *Worker, taskTime time.Duration, percent int64, now time.Time) {
	if s == nil || taskTime <= 0 || percent <= 0 {
		return
	}
	if s.dropped {
		s.dropped, s.tasks = false, nil
		s.learner.steps = append(s.learner.steps, s)
	}
	for len(s.tasks) <= task {
		s.tasks = append(s.tasks, observation{})
		s.learner.observed++
	}
	s.tasks[task] = observation{w, math.Log(taskTime.Seconds()) - s.declared, percent, now}
	s.lastAt = now
}

// Due reports whether it is time for an update.
func (l *Learner) Due(now time.Time) bool {
	interval := min(minUpdateInterval+time.Duration(l.observed)*updateTimePerRun, maxUpdateInterval)
	return len(l.steps) > 0 && now.Sub(l.updatedAt) >= interval
}

// Update fits the speeds to the observations. Each update improves on the result of the one
// before.
func (l *Learner) Update(now time.Time) {
	l.updatedAt = now
	for _, s := range l.steps {
		s.group()
	}
	l.updateKinds()
	for _, w := range l.workers {
		w.samples = w.samples[:0]
	}
	for _, s := range l.steps {
		s.compare()
	}
	for _, w := range l.workers {
		w.estimate(now)
	}
	l.decideUneven()
	l.publish()
	l.dropSteps(now)
}

// group computes the groups of the step.
func (s *Step) group() {
	s.groups = s.groups[:0]
	s.learner.updates++
	mark := s.learner.updates
	for i := range s.tasks {
		o := &s.tasks[i]
		w := o.worker
		if w == nil || o.at.Before(w.changedAt) {
			continue
		}
		if w.stepMark != mark {
			w.stepMark, w.stepSum = mark, groupSum{}
			s.groups = append(s.groups, group{worker: w})
		}
		g := &w.stepSum
		g.n++
		g.sum += o.log
		g.squares += o.log * o.log
		quantum := percentDeviation / float64(o.percent)
		g.percent += quantum * quantum
		if o.at.After(g.at) {
			g.at = o.at
		}
	}
	k := s.kind
	for i := range s.groups {
		g := &s.groups[i]
		sum := g.worker.stepSum
		n := float64(sum.n)
		g.mean, g.at = sum.sum/n, sum.at
		if sum.n > 1 {
			k.taskSquares += min(max(sum.squares-n*g.mean*g.mean, 0), (n-1)*maxDeviation*maxDeviation)
			k.taskFreedoms += n - 1
		}
		g.variance = k.taskDeviation*k.taskDeviation/n + sum.percent/(n*n)
	}
}

// together reports whether the step is a gang whose members on several workers progress alike.
func (s *Step) together() bool {
	if !s.gang || len(s.groups) < 2 {
		return false
	}
	lowest, highest := s.groups[0].mean, s.groups[0].mean
	for _, g := range s.groups[1:] {
		lowest, highest = min(lowest, g.mean), max(highest, g.mean)
	}
	return highest-lowest <= togetherSpan
}

// deviation returns by how much the work of the step deviates from the declared run time, and
// the weight of that mean. It leaves out the group with index skip; -1 for none.
func (s *Step) deviation(skip int) evidence {
	var e evidence
	for i := range s.groups {
		if i != skip {
			g := &s.groups[i]
			e = e.plus(evidence{g.mean + g.worker.log, 1 / (g.variance + g.worker.variance)})
		}
	}
	return e
}

// updateKinds estimates how right the declared run times of each kind are, and how much the
// work within a step differs.
func (l *Learner) updateKinds() {
	for _, s := range l.steps {
		if len(s.groups) == 0 {
			continue
		}
		deviation := s.deviation(-1).mean
		if s.together() {
			deviation = s.groups[0].mean + s.slowest()
		}
		s.kind.deviations = append(s.kind.deviations, deviation)
	}
	for _, k := range l.kinds {
		n := float64(len(k.deviations))
		k.bias = 0
		if n > 0 {
			slices.Sort(k.deviations)
			// The prior counts as one step with a ratio of 1.
			k.bias = k.deviations[len(k.deviations)/2] * n / (n + 1)
		}
		squares := priorSteps * priorDeclaredDeviation * priorDeclaredDeviation
		for _, d := range k.deviations {
			squares += (d - k.bias) * (d - k.bias)
		}
		k.declaredDeviation = math.Sqrt(squares / (n + priorSteps))
		squares = priorTasks*priorTaskDeviation*priorTaskDeviation + k.taskSquares
		k.taskDeviation = max(math.Sqrt(squares/(k.taskFreedoms+priorTasks)), minTaskDeviation)
		k.deviations, k.taskSquares, k.taskFreedoms = k.deviations[:0], 0, 0
	}
}

// slowest returns the lowest estimated log speed among the workers of the step.
func (s *Step) slowest() float64 {
	lowest := math.Inf(1)
	for i := range s.groups {
		lowest = min(lowest, s.groups[i].worker.log)
	}
	return lowest
}

// compare adds a sample to the workers of the step.
func (s *Step) compare() {
	declared := evidence{s.kind.bias, 1 / (s.kind.declaredDeviation * s.kind.declaredDeviation)}
	if s.together() {
		s.compareTogether(declared)
		return
	}
	all := s.deviation(-1).plus(declared)
	for i := range s.groups {
		g := &s.groups[i]
		weight := 1 / (g.variance + g.worker.variance)
		others := evidence{weight: all.weight - weight}
		others.mean = (all.mean*all.weight - (g.mean+g.worker.log)*weight) / others.weight
		g.worker.addSample(sample{
			value: others.mean - g.mean, variance: g.variance + 1/others.weight, at: g.at,
			relative: others.weight > 2*declared.weight,
		})
	}
}

// addSample adds a sample. Samples that are far from the worker's speed have less weight, as if
// the errors had Student's distribution with tailFreedoms degrees of freedom: a few tasks have a
// multiple of the usual work.
func (w *Worker) addSample(s sample) {
	d := s.value - w.log
	z2 := d * d / (s.variance + w.variance)
	s.plainVariance = s.variance
	s.variance *= max((tailFreedoms+z2)/(tailFreedoms+1), 1)
	w.samples = append(w.samples, s)
}

// compareTogether adds samples for a gang whose members progress alike, as its slowest member
// does.
func (s *Step) compareTogether(declared evidence) {
	slowest := s.slowest()
	for i := range s.groups {
		g := &s.groups[i]
		if g.worker.log > slowest+togetherSpan {
			continue
		}
		variance := g.variance + 1/declared.weight + sharedDeviation*sharedDeviation
		g.worker.addSample(sample{value: declared.mean - g.mean, variance: variance, at: g.at})
	}
}

// estimate estimates the speed of the worker from its samples.
func (w *Worker) estimate(now time.Time) {
	base := w.decayedBase(now)
	w.all = combine(w.samples, base)
	if len(w.samples) > 0 {
		w.detectChange(now, base)
	}
	precision := w.all.weight + 1/(speedDeviation*speedDeviation)
	w.log = w.all.mean * w.all.weight / precision
	w.variance = 1 / precision
}

func (w *Worker) decayedBase(now time.Time) evidence {
	b := w.base
	if b.weight > 0 {
		b.weight *= math.Exp2(-now.Sub(w.baseAt).Seconds() / baseHalfLife.Seconds())
	}
	return b
}

// detectChange disregards the older samples if the recent ones certainly differ from them. Only
// comparisons with other workers count: a job with a multiple of the declared work would look like
// a change.
func (w *Worker) detectChange(now time.Time, base evidence) {
	var recent, older []sample
	for _, s := range w.samples {
		switch {
		case now.Sub(s.at) > recentSpan:
			older = append(older, s)
		case s.relative:
			s.variance = s.plainVariance
			recent = append(recent, s)
		}
	}
	r, o := combine(recent, evidence{}), combine(older, base)
	if r.weight < minChangeWeight || o.weight == 0 {
		return
	}
	difference := math.Abs(r.mean - o.mean)
	if difference > minChange && difference > changeSigmas*math.Sqrt(1/r.weight+1/o.weight) {
		w.changedAt = now.Add(-recentSpan)
		w.base, w.samples, w.all = evidence{}, recent, r
	}
}

// combine returns the weighted mean of samples and a base.
func combine(samples []sample, base evidence) evidence {
	for _, s := range samples {
		base = base.plus(evidence{s.value, 1 / s.variance})
	}
	return base
}

// decideUneven decides whether the workers differ by more than chance.
func (l *Learner) decideUneven() {
	var mean evidence
	n, squares, freedoms := 0.0, 0.0, 0.0
	for _, w := range l.workers {
		if w.all.weight == 0 {
			continue
		}
		n++
		// Each worker counts at most as much as its share of the true spread allows.
		mean = mean.plus(evidence{w.all.mean, 1 / (1/w.all.weight + speedDeviation*speedDeviation)})
		for _, s := range w.samples {
			d := min(math.Abs(s.value-w.all.mean), 2*maxDeviation)
			squares += d * d / s.variance
		}
		freedoms += max(float64(len(w.samples))-1, 0)
	}
	if n < minUnevenWorkers {
		l.centre = 0
		l.uneven = false
		return
	}
	l.centre = mean.mean
	// overdispersion is by how much the samples of a worker vary more than the model says.
	const priorFreedoms = 10
	overdispersion := max((squares+priorFreedoms)/(freedoms+priorFreedoms), 1)
	q, largest, weights, weightSquares := 0.0, 0.0, 0.0, 0.0
	for _, w := range l.workers {
		if w.all.weight == 0 {
			continue
		}
		weight := w.all.weight / overdispersion
		d := w.all.mean - l.centre
		q += d * d * weight
		if len(w.samples) > 1 {
			largest = max(largest, math.Abs(d)*math.Sqrt(weight))
		}
		weights += weight
		weightSquares += weight * weight
	}
	l.spread = math.Sqrt(max((q-(n-1))/max(weights-weightSquares/weights, 1e-9), 0))
	sigmas := (q - n) / math.Sqrt(2*n)
	limit := float64(unevenSigmas)
	if l.uneven {
		limit = evenSigmas
	}
	l.uneven = sigmas > limit && l.spread > minUnevenSpread || largest > unevenWorkerSigmas
}

// publish sets the speeds that callers see.
func (l *Learner) publish() {
	if !l.uneven {
		for _, w := range l.workers {
			w.speed, w.class = 1, 0
		}
		l.quantile = 1
		return
	}
	speeds := make([]float64, 0, len(l.workers))
	for _, w := range l.workers {
		w.speed = 1
		if w.all.weight > 0 {
			w.speed = math.Exp(min(max(w.log-l.centre, -maxLogSpeed), maxLogSpeed))
		}
		w.class = Class(w.speed)
		speeds = append(speeds, w.speed)
	}
	slices.Sort(speeds)
	l.quantile = speeds[len(speeds)*9/10]
}

// dropSteps drops the steps that have not been observed for stepRetention, and the oldest ones
// if there are too many observations. Their samples become part of the workers' base.
func (l *Learner) dropSteps(now time.Time) {
	l.observed = 0
	for _, s := range l.steps {
		l.observed += len(s.tasks)
	}
	drops := func(s *Step) bool {
		return now.Sub(s.lastAt) > stepRetention || l.observed > maxObservations
	}
	if !slices.ContainsFunc(l.steps, drops) {
		return
	}
	for _, w := range l.workers {
		w.samples = w.samples[:0]
	}
	slices.SortStableFunc(l.steps, func(x, y *Step) int { return cmp.Compare(x.lastAt.UnixNano(), y.lastAt.UnixNano()) })
	kept := l.steps[:0]
	for _, s := range l.steps {
		if !drops(s) {
			kept = append(kept, s)
			continue
		}
		l.observed -= len(s.tasks)
		s.dropped, s.tasks = true, nil
		s.compare()
		s.groups = nil
	}
	clear(l.steps[len(kept):])
	l.steps = kept
	for _, w := range l.workers {
		if len(w.samples) > 0 {
			w.base = combine(w.samples, w.decayedBase(now))
			w.baseAt = now
			w.samples = w.samples[:0]
		}
	}
}

// Observed reports whether any run of the step has been observed.
func (s *Step) Observed() bool { return s != nil && len(s.tasks) > 0 }
