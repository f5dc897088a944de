package planner

import (
	"maps"
	"slices"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
)

// copier copies the state of a planner. Its maps hold the copies made so far, so that each part
// is copied once.
type copier struct {
	occurrences map[*occurrence]*occurrence
	steps       map[*step]*step
	tasks       map[*task]*task
	runs        map[*run]*run
	targets     map[*target]*target
	jobs        map[*jobState]*jobState
}

// clone returns a copy of the planner on which passes can be made without an effect on p. It
// shares only what is never changed: jobs and their steps, workers, configurations and results.
// The copy logs nothing, has its own metrics and has no pending decisions.
func (p *Planner) clone() *Planner {
	c := &copier{
		make(map[*occurrence]*occurrence), make(map[*step]*step), make(map[*task]*task), make(map[*run]*run),
		make(map[*target]*target), make(map[*jobState]*jobState),
	}
	q := New(p.settings, zerolog.Nop())
	q.settings.Metrics = metrics.NewSet()
	q.config, q.centres, q.jobsLoaded, q.percentReported, q.lastPass = p.config, p.centres, p.jobsLoaded, p.percentReported, p.lastPass
	q.latest, q.reservationsHold = p.latest, p.reservationsHold
	q.tombstones = maps.Clone(p.tombstones)
	if p.speeds != nil {
		q.speeds = p.speeds.Snapshot()
	}
	if p.arrivals != nil {
		q.arrivals = p.arrivals.Clone()
	}
	if p.interference != nil {
		q.interference = p.interference.Snapshot()
	}
	if p.fair != nil {
		q.fair = &shareState{shares: p.fair.shares.Clone(), steps: maps.Clone(p.fair.steps), now: p.fair.now}
	}
	for kind, m := range p.runTimeRatios {
		ratio := *m
		q.runTimeRatios[kind] = &ratio
	}
	for id, js := range p.jobs {
		q.jobs[id] = c.copyJob(js)
	}
	for _, t := range p.sortedTargets {
		x := c.copyTarget(t)
		x.speed = q.speedWorker(x.name)
		q.targets[x.name] = x
		q.sortedTargets = append(q.sortedTargets, x)
	}
	for k := range p.suspects {
		q.suspects[c.tasks[k]] = struct{}{}
	}
	for t, js := range p.isolated {
		q.isolated[c.targets[t]] = c.jobs[js]
	}
	for _, cl := range p.claims {
		q.claims = append(q.claims, c.copyClaim(cl))
	}
	for _, r := range p.reservations {
		q.reservations = append(q.reservations, c.copyReservation(r))
	}
	return q
}

func (c *copier) copyJob(js *jobState) *jobState {
	x := *js
	x.occurrences = nil
	c.jobs[js] = &x
	for _, o := range js.occurrences {
		y := *o
		y.job, y.steps = &x, nil
		c.occurrences[o] = &y
		for _, s := range o.steps {
			y.steps = append(y.steps, c.copyStep(s, &y))
		}
		x.occurrences = append(x.occurrences, &y)
	}
	return &x
}

func (c *copier) copyStep(s *step, o *occurrence) *step {
	x := *s
	x.occ, x.tasks, x.speedStep = o, nil, nil
	c.steps[s] = &x
	for _, t := range s.tasks {
		y := *t
		y.step, y.runs = &x, nil
		y.avoidedTargets, y.crashes = maps.Clone(t.avoidedTargets), slices.Clone(t.crashes)
		for _, r := range t.runs {
			z := *r
			z.task = &y
			c.runs[r] = &z
			y.runs = append(y.runs, &z)
		}
		c.tasks[t] = &y
		x.tasks = append(x.tasks, &y)
	}
	return &x
}

func (c *copier) copyTarget(t *target) *target {
	x := *t
	x.runs, x.unrecordedEnds = make(map[*run]struct{}, len(t.runs)), nil
	x.foreign, x.crashes = maps.Clone(t.foreign), slices.Clone(t.crashes)
	for r := range t.runs {
		if y := c.runs[r]; y != nil {
			x.runs[y] = struct{}{}
		}
	}
	c.targets[t] = &x
	return &x
}

func (c *copier) copyUnit(u unit) unit {
	tasks := make([]*task, len(u.tasks))
	for i, t := range u.tasks {
		tasks[i] = c.tasks[t]
	}
	u.step, u.tasks = c.steps[u.step], tasks
	return u
}

func (c *copier) copyReservation(r *reservation) *reservation {
	x := *r
	x.unit, x.tasks = c.copyUnit(r.unit), make(map[*target]int, len(r.tasks))
	for t, n := range r.tasks {
		x.tasks[c.targets[t]] = n
	}
	return &x
}

func (c *copier) copyClaim(cl *claim) *claim {
	x := *cl
	x.unit, x.targets = c.copyUnit(cl.unit), nil
	for _, t := range cl.targets {
		x.targets = append(x.targets, c.targets[t])
	}
	return &x
}
