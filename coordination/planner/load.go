package planner

import (
	"time"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/operator"
)

// Load returns what entries need to know of the queues, as of now, which is storeNow on the
// store's clock. It returns false before the planner knows the configuration and all jobs.
func (p *Planner) Load(now time.Time, storeNow time.Duration) (admission.Input, bool) {
	if p.config == nil || !p.jobsLoaded {
		return admission.Input{}, false
	}
	in := admission.Input{Now: storeNow, ConfigVersion: p.config.Version, Pools: make(map[string]admission.Capacity)}
	for _, k := range p.config.Config.Kinds() {
		in.Kinds = append(in.Kinds, admissionKind(&k))
	}
	var units []unit
	for _, js := range p.jobs {
		k := p.kindOf(js)
		ak := admissionKind(k)
		for _, o := range js.occurrences {
			if !o.state.Final() && !js.cancelled {
				units = p.appendUnits(units[:0], o, k, now)
				for _, u := range units {
					in.Waiting = append(in.Waiting, admission.Work{
						Kind: ak, OnTime: u.tier == tierOnTime, Tasks: len(u.tasks), Accelerators: u.resources.accelerators, Time: p.runTime(js.job.Kind, u.step.spec),
					})
				}
			}
			for _, st := range o.steps {
				if w := p.runningWork(st, now); w.Tasks > 0 {
					w.Kind = ak
					in.Running = append(in.Running, w)
				}
			}
		}
	}
	for _, t := range p.sortedTargets {
		if !t.connected && len(t.runs) == 0 {
			continue
		}
		c := admission.Capacity{Total: t.capacity.accelerators}
		if t.acceptsWork(now) {
			c.Free = max(t.unused().minus(t.reserved).accelerators, 0)
		}
		for _, pool := range []string{"", t.worker.GetPool()} {
			sum := in.Pools[pool]
			in.Pools[pool] = admission.Capacity{Total: sum.Total + c.Total, Free: sum.Free + c.Free}
			if t.worker.GetPool() == "" {
				break
			}
		}
	}
	return in, true
}

// runningWork returns the tasks of a step that run and are not being stopped. Time is the mean of
// their remaining times.
func (p *Planner) runningWork(s *step, now time.Time) admission.Work {
	w := admission.Work{Accelerators: s.spec.Accelerators}
	for _, t := range s.tasks {
		for _, r := range t.runs {
			if r.stopReason == "" {
				w.Tasks++
				w.Time += p.remainingTimeAlone(r, now)
			}
		}
	}
	w.Time /= time.Duration(max(w.Tasks, 1))
	return w
}

func admissionKind(k *operator.Kind) admission.Kind {
	return admission.Kind{Queue: k.Queue(), Pool: k.Pool(), Priority: k.Priority()}
}
