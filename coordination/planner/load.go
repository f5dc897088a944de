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
	for _, u := range p.units(now) {
		in.Waiting = append(in.Waiting, admission.Work{
			Kind: admissionKind(u.kind), OnTime: u.tier == tierOnTime, Tasks: len(u.tasks), Accelerators: u.resources.accelerators,
			Time: p.runTime(u.step.occ.job.job.Kind, u.step.spec),
		})
	}
	for _, t := range p.sortedTargets {
		for r := range t.runs {
			if r.stopReason == "" {
				in.Running = append(in.Running, admission.Work{
					Kind: admissionKind(p.kindOf(r.task.step.occ.job)), Tasks: 1, Accelerators: r.resources.accelerators, Time: p.remainingTimeAlone(r, now),
				})
			}
		}
		if !t.connected {
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

func admissionKind(k *operator.Kind) admission.Kind {
	return admission.Kind{Queue: k.Queue(), Pool: k.Pool(), Priority: k.Priority()}
}
