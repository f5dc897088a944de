package planner

import (
	"time"

	"github.com/medlargrade/medlargrade/coordination/evacuation"
)

// reasonEvacuated is the reason why a unit waits that fits only with the workers of data
// centres that are evacuated.
const reasonEvacuated = "its data centre is evacuated"

// dataCentres is what the planner knows of the evacuation of data centres.
type dataCentres struct {
	view    evacuation.View
	handled evacuation.Set // as of the last pass
	fresh   bool           // of the last pass
	checked bool           // a pass has set fresh
}

// SetConfigAge tells the planner how old its configuration may be; known is false if that is
// not known. It must be called after SetConfig and before orders are checked with OrderValid.
func (p *Planner) SetConfigAge(age time.Duration, known bool) {
	if p.config == nil {
		return
	}
	v := evacuation.NewView(p.config.Evacuations(), evacuation.IsFresh(p.settings.Evacuation, age, known))
	p.needsPass = p.needsPass || v.IsFresh() != p.centres.view.IsFresh()
	p.centres.view = v
}

// isEvacuated reports whether the data centre of a target is evacuated.
func (p *Planner) isEvacuated(t *target) bool {
	return p.centres.view.IsEvacuated(t.worker.GetDataCentre())
}

// mayStartOn reports whether runs may be started in the data centre of a target.
func (p *Planner) mayStartOn(t *target) bool {
	return p.centres.view.MayStart(t.worker.GetDataCentre())
}

// startsWithheld reports whether nothing may be started anywhere, because the planner's copy of
// the requests to evacuate is too old.
func (p *Planner) startsWithheld() bool { return !p.centres.view.IsFresh() }

// withdrawStarts stops the runs in evacuated data centres that are not known to run: a start on
// its way may still be carried out. It skips targets whose runs are not known, since their lists
// may show that such a run is active, and that are not connected, since they get no order.
func (p *Planner) withdrawStarts() {
	p.logEvacuations()
	if p.centres.view.Set().IsEmpty() {
		return
	}
	for _, t := range p.sortedTargets {
		if !t.connected || !t.runsKnown || !p.isEvacuated(t) {
			continue
		}
		current := t.incarnation()
		for r := range t.runs {
			if r.stopReason != "" || r.incarnation != current {
				continue
			}
			if p.centres.view.Decide(t.worker.GetDataCentre(), !r.confirmedAt.IsZero()) == evacuation.Withdraw {
				p.count(`medlargrade_starts_withdrawn_total`)
				p.stopGang(r, reasonEvacuated)
			}
		}
	}
}

// logEvacuations logs the data centres that are evacuated or used again since the last pass, and
// when starts are withheld and resumed.
func (p *Planner) logEvacuations() {
	c := &p.centres
	set := c.view.Set()
	for _, r := range set.Requests() {
		if !c.handled.Contains(r.DataCentre) {
			targets, runs := p.sizeOf(r.DataCentre)
			p.log.Warn().Int("Event", EventDataCentreEvacuated).Str("DataCentre", r.DataCentre).Int("Targets", targets).Int("Runs", runs).
				Str("Reason", r.Reason).Str("By", r.By).Msg("nothing is started in the data centre any more")
		}
	}
	for _, r := range c.handled.Requests() {
		if !set.Contains(r.DataCentre) {
			p.log.Warn().Int("Event", EventDataCentreReleased).Str("DataCentre", r.DataCentre).Msg("the data centre is used again")
		}
	}
	c.handled = set
	switch fresh := c.view.IsFresh(); {
	case c.checked && c.fresh && !fresh:
		p.log.Warn().Int("Event", EventStartsWithheld).Dur("MaxAge", evacuation.MaxAge(p.settings.Evacuation)).
			Msg("nothing is started: the requests to evacuate data centres may be out of date")
		p.count(`medlargrade_starts_withheld_total`)
	case c.checked && !c.fresh && fresh:
		p.log.Info().Int("Event", EventStartsResumed).Msg("work is started again: the requests to evacuate data centres are up to date")
	}
	c.fresh, c.checked = c.view.IsFresh(), true
}

// sizeOf returns how many targets a data centre has, and how many runs are on them.
func (p *Planner) sizeOf(dataCentre string) (targets, runs int) {
	for _, t := range p.sortedTargets {
		if t.worker.GetDataCentre() == dataCentre {
			targets++
			runs += len(t.runs)
		}
	}
	return targets, runs
}

// needsEvacuated reports whether a unit fits only with the workers of evacuated data centres, if
// all workers that may run it were empty.
func (p *Planner) needsEvacuated(u unit) bool {
	if p.centres.view.Set().IsEmpty() {
		return false
	}
	usable, evacuated := 0, 0
	for _, t := range p.sortedTargets {
		if t.worker == nil || t.worker.GetDraining() || !t.connected || !p.meetsRequirement(t, u) {
			continue
		}
		n := t.capacity.maxCount(u.resources, u.maxPerWorker())
		if u.step.spec.SameWorker && n < len(u.tasks) {
			continue
		}
		if p.isEvacuated(t) {
			evacuated += n
		} else {
			usable += n
		}
	}
	return usable < len(u.tasks) && usable+evacuated >= len(u.tasks)
}
