package planner

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/interference"
	"github.com/medlargrade/medlargrade/coordination/speed"
)

// neighbours is what is known of a run while the same classes are beside it.
type neighbours struct {
	beside []interference.Class
	pace   speed.Pace
}

// classOf returns the class of the tasks of a step.
func classOf(s *step) interference.Class {
	return interference.Class{Kind: s.occ.job.job.Kind, Image: s.spec.Image, Accelerators: s.spec.Accelerators}
}

// besideRun returns the classes of the other runs on a target, sorted.
func besideRun(t *target, r *run) []interference.Class {
	var out []interference.Class
	for o := range t.runs {
		if o != r {
			out = append(out, classOf(o.task.step))
		}
	}
	return interference.SortClasses(out)
}

// observeNeighbours passes the pace of a run to the detector of interference. A gang is as slow as
// its slowest member and may report as a whole, so its members say nothing about their workers.
// Runs that stand still report no pace.
func (p *Planner) observeNeighbours(r *run, percent int64, now time.Time) {
	s := r.task.step
	if p.interference == nil || s.spec.LongRunning || s.spec.Filler || s.spec.EstimateMillis <= 0 ||
		s.spec.Gang && len(s.tasks) > 1 || percent >= percentDone || r.stopReason != "" || p.isFar(r) {
		return
	}
	t := p.targetNamed(r.incarnation.Target)
	if beside := besideRun(t, r); !slices.Equal(beside, r.neighbours.beside) {
		r.neighbours = neighbours{beside: beside}
	}
	n := &r.neighbours
	changedAt := n.pace.LastChange()
	n.pace.Observe(percent, now)
	if n.pace.LastChange().Equal(changedAt) {
		return
	}
	d, _, ok := n.pace.TaskTime(time.Time{})
	if !ok {
		return
	}
	o := interference.Observation{
		Run: r.task.name + "/" + strconv.Itoa(r.number), Step: s.occ.key + "/" + strconv.Itoa(s.index), Class: classOf(s), Worker: t.name,
		Log: math.Log(float64(s.spec.Estimate()) / float64(d)), Beside: n.beside,
	}
	if p.usesSpeeds() {
		o.Log -= math.Log(t.speed.Speed())
	}
	p.interference.Observe(o, now)
}

// detectInterference updates the verdicts if an update is due.
func (p *Planner) detectInterference(now time.Time) {
	if p.interference == nil || !p.interference.Due(now) {
		return
	}
	for _, c := range p.interference.Update(now) {
		fields := verdictFields(c.Verdict)
		if c.Withdrawn {
			p.log.Info().Int("Event", EventInterferenceWithdrawn).Func(fields).Msg("tasks are no longer known to be slow beside those of another class")
			continue
		}
		p.log.Info().Int("Event", EventInterference).Func(fields).Msg("tasks are slow beside those of another class")
	}
	p.settings.Metrics.GetOrCreateGauge(`medlargrade_interfering_pairs`, nil).Set(float64(len(p.interference.Verdicts())))
}

// verdictFields returns a function that adds a verdict to a log line.
func verdictFields(v interference.Verdict) func(*zerolog.Event) {
	return func(e *zerolog.Event) {
		e.Str("Kind", v.Class.Kind).Str("Image", v.Class.Image).Int("Accelerators", v.Class.Accelerators).
			Str("BesideKind", v.Beside.Kind).Str("BesideImage", v.Beside.Image).Int("BesideAccelerators", v.Beside.Accelerators).
			Float64("Factor", v.Factor).Float64("Score", v.Score).Int("Runs", v.Runs).Int("Workers", v.Workers)
	}
}

// withoutInterference returns the targets that run nothing that is known to slow the unit's tasks
// down, or to be slowed down by them; nil if these are all or none.
func (p *Planner) withoutInterference(u unit, targets []*target) []*target {
	if p.interference == nil || !p.interference.Any() {
		return nil
	}
	class := classOf(u.step)
	var out []*target
	for _, t := range targets {
		harmful := false
		for r := range t.runs {
			harmful = harmful || r.stopReason == "" && p.interference.Harmful(class, classOf(r.task.step))
		}
		if !harmful {
			out = append(out, t)
		}
	}
	if len(out) == len(targets) {
		return nil
	}
	return out
}

// interferenceStates returns the verdicts for a dump.
func (p *Planner) interferenceStates() []interference.Verdict {
	if p.interference == nil {
		return nil
	}
	return p.interference.Verdicts()
}
