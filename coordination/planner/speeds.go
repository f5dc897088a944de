package planner

import (
	"math"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/speed"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// TableSpeeds holds the learned speeds of the workers under SpeedsKey.
	TableSpeeds = "Speeds"
	// SpeedsKey is the key of the only row in TableSpeeds.
	SpeedsKey = "Current"
	// speedsRowInterval is the shortest time between two writes of the learned speeds.
	speedsRowInterval = 5 * time.Second
	// speedMargin is the factor by which a worker must be faster than a unit needs to meet
	// its objective. It covers errors of the predicted run time and the time to start.
	speedMargin = 1.15
	// maxFastWait bounds how long an urgent unit waits for workers that are fast enough while
	// slower ones are free. It is below the 3 s for which a job may wait while there is free
	// capacity for it.
	maxFastWait = 1500 * time.Millisecond
	// maxGuaranteedFastWait is the same for a unit within a guarantee. A stop and an order must
	// still be possible within 2.7 s of its acceptance, if others take the free workers.
	maxGuaranteedFastWait = 500 * time.Millisecond
)

// usesSpeeds reports whether the workers are known to differ in speed.
func (p *Planner) usesSpeeds() bool { return p.speeds != nil && p.speeds.Uneven() }

// speedWorker returns the learned speed of a target's worker, or nil if speeds are not learned.
func (p *Planner) speedWorker(name string) *speed.Worker {
	if p.speeds == nil {
		return nil
	}
	return p.speeds.Worker(name)
}

// RestoreSpeeds restores the learned speeds from a row. A row that can't be decoded is ignored.
func (p *Planner) RestoreSpeeds(value []byte, now time.Time) {
	if p.speeds == nil {
		return
	}
	if err := p.speeds.Restore(value, now); err != nil {
		p.log.Error().Int("Event", EventSpeedsIgnored).Err(err).Msg("learned speeds are ignored")
		return
	}
	p.speedsRow = value
}

// observePace passes the progress of a run to the learner of speeds.
func (p *Planner) observePace(r *run, percent int64, now time.Time) {
	s := r.task.step
	if p.speeds == nil || s.spec.LongRunning || s.spec.Filler || s.spec.EstimateMillis <= 0 {
		return
	}
	changedAt := r.pace.LastChange()
	r.pace.Observe(percent, now)
	if r.pace.LastChange().Equal(changedAt) || p.isFar(r) {
		return
	}
	d, measured, ok := r.pace.TaskTime(time.Time{})
	if !ok {
		d, measured, ok = r.pace.TaskTime(p.beganWork(r))
	}
	if ok {
		p.speedStep(s).Observe(r.task.index, p.targetNamed(r.incarnation.Target).speed, d, measured, now)
	}
}

// observeEnd passes the run time of a run that has done its task to the learner of speeds. The
// members of a gang end together, so their end says something only if no progress was reported.
func (p *Planner) observeEnd(r *run, now time.Time) {
	s := r.task.step
	if p.speeds == nil || s.spec.LongRunning || s.spec.Filler || s.spec.EstimateMillis <= 0 || p.isFar(r) {
		return
	}
	began := p.beganWork(r)
	if began.IsZero() {
		return
	}
	if !s.spec.Gang {
		p.speedStep(s).Observe(r.task.index, p.targetNamed(r.incarnation.Target).speed, now.Sub(began), 100, now)
		return
	}
	// Once a member has ended, the placement of the gang is no longer known.
	if p.speedStep(s).Observed() || slices.ContainsFunc(s.tasks, func(t *task) bool { return len(t.runs) == 0 }) {
		return
	}
	for _, t := range s.tasks {
		for _, o := range t.runs {
			p.speedStep(s).Observe(t.index, p.targetNamed(o.incarnation.Target).speed, now.Sub(began), 100, now)
		}
	}
}

// speedStep returns the learner's record of a step.
func (p *Planner) speedStep(s *step) *speed.Step {
	if s.speedStep == nil {
		s.speedStep = p.speeds.NewStep(s.occ.job.job.Kind, s.spec.Estimate(), s.spec.Gang && len(s.tasks) > 1)
	}
	return s.speedStep
}

// beganWork returns when a run began its task from the beginning, or zero if it may have resumed
// a checkpoint, an earlier planner started it, or not all members of its gang run. The members
// of a gang begin when the last of them has started.
func (p *Planner) beganWork(r *run) time.Time {
	if r.startQueuedAt.IsZero() || r.number > 1 && r.task.step.spec.Checkpointable {
		return time.Time{}
	}
	began := r.confirmedAt
	if !r.task.step.spec.Gang {
		return began
	}
	for _, t := range r.task.step.tasks {
		if len(t.runs) == 0 && !t.done {
			return time.Time{}
		}
		for _, o := range t.runs {
			if o.confirmedAt.IsZero() {
				return time.Time{}
			}
			if o.confirmedAt.After(began) {
				began = o.confirmedAt
			}
		}
	}
	return began
}

// isFar reports whether a run may be slow because it is in another rack than its data, or its
// gang is in several although it needs one.
func (p *Planner) isFar(r *run) bool {
	spec := r.task.step.spec
	rack := p.targetNamed(r.incarnation.Target).worker.GetRack()
	if spec.DataRack != "" && spec.DataRack != rack {
		return true
	}
	if !spec.SameRack {
		return false
	}
	for _, t := range r.task.step.tasks {
		for _, o := range t.runs {
			if p.targetNamed(o.incarnation.Target).worker.GetRack() != rack {
				return true
			}
		}
	}
	return false
}

// learnSpeeds updates the learned speeds if an update is due.
func (p *Planner) learnSpeeds(now time.Time) {
	if p.speeds == nil || !p.speeds.Due(now) {
		return
	}
	before := p.speeds.Uneven()
	p.speeds.Update(now)
	if p.speeds.Uneven() != before {
		p.log.Info().Int("Event", EventSpeedsDiffer).Bool("Uneven", !before).Float64("Spread", p.speeds.Spread()).
			Msg("whether the workers differ in speed has changed")
	}
	p.logSpeedChanges()
}

// logSpeedChanges logs the workers whose class of speed has changed since it was last logged.
func (p *Planner) logSpeedChanges() {
	slow := 0
	for _, t := range p.sortedTargets {
		c := t.speed.Class()
		if c < 0 {
			slow++
		}
		// A change by one class may be a matter of rounding.
		if d := c - t.loggedClass; d < -1 || d > 1 {
			t.loggedClass = c
			p.log.Info().Int("Event", EventSpeedChanged).Str("Target", t.name).Float64("Speed", t.speed.Speed()).
				Float64("Deviation", t.speed.Deviation()).Int("Samples", t.speed.Samples()).Msg("learned speed of a worker has changed")
		}
	}
	p.settings.Metrics.GetOrCreateGauge(`medlargrade_slow_workers`, nil).Set(float64(slow))
}

// batchSpeeds adds the row of the learned speeds to a batch that has other writes.
func (p *Planner) batchSpeeds(b *Batch, now time.Time) {
	if p.speeds == nil || len(b.Writes) == 0 || now.Sub(p.speedsWrittenAt) < speedsRowInterval {
		return
	}
	value := p.speeds.Encode()
	if value == nil || slices.Equal(value, p.speedsRow) {
		return
	}
	p.speedsRow, p.speedsWrittenAt = value, now
	b.Writes = append(b.Writes, table.Write{Table: TableSpeeds, Key: SpeedsKey, Value: value})
}

// nominalTime converts the run time of a run that has just ended to that on a worker of speed 1. A
// gang is as slow as its slowest member, which is found when the first member ends.
func (p *Planner) nominalTime(r *run, d time.Duration) time.Duration {
	if !p.usesSpeeds() {
		return d
	}
	s := r.task.step
	if !s.spec.Gang {
		return time.Duration(float64(d) * p.targetNamed(r.incarnation.Target).speed.Speed())
	}
	if s.gangSpeedRun != r.number {
		s.gangSpeedRun, s.gangSpeed = r.number, speed.Max
		for _, t := range s.tasks {
			for _, o := range t.runs {
				s.gangSpeed = min(s.gangSpeed, p.targetNamed(o.incarnation.Target).speed.Speed())
			}
		}
	}
	return time.Duration(float64(d) * s.gangSpeed)
}

// bestRunTime predicts the run time of a task of a step on a fast worker.
func (p *Planner) bestRunTime(kind string, s *job.Step) time.Duration {
	d := p.runTime(kind, s)
	if p.usesSpeeds() {
		d = time.Duration(float64(d) / p.speeds.FastSpeed())
	}
	return d
}

// runTimeOn predicts the run time of a run on its worker.
func (p *Planner) runTimeOn(r *run) time.Duration {
	d := p.runTime(r.task.step.occ.job.job.Kind, r.task.step.spec)
	if p.usesSpeeds() {
		d = time.Duration(float64(d) / p.targetNamed(r.incarnation.Target).speed.Speed())
	}
	return d
}

// neededClass returns the lowest class of speeds with which a unit that starts now meets its
// objective, or ends before it is worth nothing if it is late.
func (p *Planner) neededClass(u unit, delay time.Duration) int {
	now := p.lastPass
	end := u.objectiveEnd
	if u.tier == tierLate {
		start := u.step.occ.releaseTime()
		end = start.Add(lateFactor * u.objectiveEnd.Sub(start))
	}
	left := end.Sub(now) - delay
	if u.tier == tierWorthless {
		return -speed.MaxClass
	}
	if left <= 0 {
		return speed.MaxClass
	}
	return speed.Class(speedMargin * float64(p.runTime(u.step.occ.job.job.Kind, u.step.spec)) / float64(left))
}

// prefersFast reports whether a unit should get the fastest workers: urgent work, and other
// work that is too slow for its objective on all but these.
func (p *Planner) prefersFast(u unit) bool { return isUrgent(u.kind) }

// preferredBySpeed returns those targets that a unit should use because of their speeds. The
// unit fits on them if it fits on all targets. Urgent units get the fastest class in which, with
// the faster ones, they fit. Others get the slowest workers with which they meet their objective.
func (p *Planner) preferredBySpeed(u unit, targets []*target) []*target {
	if !p.usesSpeeds() || len(targets) < 2 {
		return targets
	}
	var fits [2*speed.MaxClass + 1]int // tasks by class
	for _, t := range targets {
		fits[t.speed.Class()+speed.MaxClass] += t.available().maxCount(u.resources, p.remainingPerWorker(u, t))
	}
	lowest, highest := -speed.MaxClass, speed.MaxClass
	fitsUpward := func(from int) int {
		n := 0
		for c := from; c <= speed.MaxClass; c++ {
			if n += fits[c+speed.MaxClass]; n >= len(u.tasks) {
				return c
			}
		}
		return speed.MaxClass + 1
	}
	if c := fitsUpward(p.neededClass(u, 0)); !p.prefersFast(u) && c <= speed.MaxClass {
		lowest, highest = p.neededClass(u, 0), c
	} else {
		n := 0
		for lowest = speed.MaxClass; lowest > -speed.MaxClass; lowest-- {
			if n += fits[lowest+speed.MaxClass]; n >= len(u.tasks) {
				break
			}
		}
	}
	return slices.DeleteFunc(slices.Clone(targets), func(t *target) bool {
		c := t.speed.Class()
		return c < lowest || c > highest
	})
}

// slowestClass returns the lowest class of speeds among targets.
func slowestClass(targets []*target) int {
	lowest := speed.MaxClass
	for _, t := range targets {
		lowest = min(lowest, t.speed.Class())
	}
	return lowest
}

// speedRank ranks a placement of a unit by the speed of its slowest target; lower is better.
func (p *Planner) speedRank(u unit, targets []*target) int {
	if !p.usesSpeeds() {
		return 0
	}
	c := slowestClass(targets)
	if need := p.neededClass(u, 0); !p.prefersFast(u) && c >= need {
		return c - 2*speed.MaxClass - 1
	}
	return -c
}

// isTooSlow reports whether an urgent unit would miss its objective on its targets only because
// these are slow.
func (p *Planner) isTooSlow(u unit, targets []*target) bool {
	if !p.usesSpeeds() || !isUrgent(u.kind) || u.tier != tierOnTime || targets == nil {
		return false
	}
	need := p.neededClass(u, 0)
	return slowestClass(targets) < need && need <= speed.Class(p.speeds.FastSpeed())
}

// fastEnough returns the eligible targets on which a unit that starts after the delay of a stop
// meets its objective, or nil if all or none of them are fast enough.
func (p *Planner) fastEnough(u unit, s *eligibleTargets) *eligibleTargets {
	if !p.usesSpeeds() || !isUrgent(u.kind) || u.tier != tierOnTime {
		return nil
	}
	need := min(p.neededClass(u, p.settings.StopTime), speed.Class(p.speeds.FastSpeed()))
	fast := slices.DeleteFunc(slices.Clone(s.targets), func(t *target) bool { return t.speed.Class() < need })
	if len(fast) == 0 || len(fast) == len(s.targets) {
		return nil
	}
	return newEligibleTargets(fast)
}

// waitsForFast reports whether an urgent unit should wait for workers that are fast enough for its
// objective. They must be able to hold it when they are empty.
func (p *Planner) waitsForFast(u unit, s *eligibleTargets, now time.Time) bool {
	limit := maxFastWait
	if p.isGuaranteed(u) {
		limit = maxGuaranteedFastWait
	}
	if now.Sub(u.waitingSince) >= limit {
		return false
	}
	fast := p.fastEnough(u, s)
	if fast == nil {
		return false
	}
	if !u.step.spec.SameRack || len(u.tasks) == 1 {
		return couldHold(u, fast.targets)
	}
	return slices.ContainsFunc(fast.racks, func(r rack) bool { return couldHold(u, r.targets) })
}

// couldHold reports whether targets could hold a unit if they were empty.
func couldHold(u unit, targets []*target) bool {
	n := 0
	for _, t := range targets {
		n += t.capacity.maxCount(u.resources, u.maxPerWorker())
	}
	return n >= len(u.tasks)
}

// preemptFast stops other work so that an urgent unit fits on workers that are fast enough for its
// objective. The unit has no claim to fast workers, so it counts as not guaranteed here. It
// reports whether the unit has a claim now.
func (p *Planner) preemptFast(u unit, s *eligibleTargets, now time.Time) bool {
	fast := p.fastEnough(u, s)
	return fast != nil && p.preemptFor(&preemptor{unit: u, bounded: p.isGuaranteed(u)}, fast, now) == ""
}

// dumpSpeed returns the learned speed of a target for a dump, or 0 if speeds are not learned.
func (p *Planner) dumpSpeed(t *target) float64 {
	if p.speeds == nil {
		return 0
	}
	return math.Round(100*t.speed.Speed()) / 100
}
