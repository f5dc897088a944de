package planner

import (
	"time"

	"github.com/medlargrade/medlargrade/operator"
)

// countsAgainstGuarantee reports whether work of a kind counts against the guarantee of its
// workspace and may claim capacity under it. Kinds that are open to all workspaces do so
// if they have priority 0, kinds of one workspace unless they are of the fill class.
func countsAgainstGuarantee(k *operator.Kind) bool {
	if k.Workspace() == "" {
		return k.Priority() == 0
	}
	return k.Class() != operator.ClassFill
}

// isUrgent reports whether work of a kind may preempt work of lower priority even beyond
// the guarantee of its workspace.
func isUrgent(k *operator.Kind) bool { return k.Workspace() == "" && k.Priority() == 0 }

// guaranteedAccelerators returns the number of accelerators that a workspace is guaranteed.
func (p *Planner) guaranteedAccelerators(workspace string) int {
	w, ok := p.config.Workspace(workspace)
	if !ok {
		return 0
	}
	return w.GuaranteedSlots()
}

// guaranteeUsage returns the number of accelerators that are in use or claimed by work that
// counts against the guarantee of a workspace. Runs that are being stopped do not count.
func (p *Planner) guaranteeUsage(workspace string) int {
	if p.usageByWorkspace != nil {
		return p.usageByWorkspace[workspace]
	}
	p.usageByWorkspace, p.allUseByWorkspace = make(map[string]int), make(map[string]int)
	for _, t := range p.sortedTargets {
		for r := range t.runs {
			js := r.task.step.occ.job
			if r.stopReason == "" {
				p.allUseByWorkspace[js.job.Workspace] += r.resources.accelerators
			}
			if r.stopReason == "" && countsAgainstGuarantee(p.kindOf(js)) {
				p.usageByWorkspace[js.job.Workspace] += r.resources.accelerators
			}
		}
	}
	for _, c := range p.claims {
		if js := c.unit.step.occ.job; countsAgainstGuarantee(p.kindOf(js)) {
			p.usageByWorkspace[js.job.Workspace] += len(c.unit.tasks) * c.unit.resources.accelerators
		}
	}
	return p.usageByWorkspace[workspace]
}

// isGuaranteed reports whether a unit fits into the unused part of the guarantee of its
// workspace.
func (p *Planner) isGuaranteed(u unit) bool {
	if !countsAgainstGuarantee(u.kind) {
		return false
	}
	w := u.step.occ.job.job.Workspace
	return p.guaranteeUsage(w)+len(u.tasks)*u.resources.accelerators <= p.guaranteedAccelerators(w)
}

// preemptor is a unit for which other work may be stopped.
type preemptor struct {
	unit
	guaranteed bool // the unit is within the guarantee of its workspace, and may use it here
	// bounded is whether the start of the unit has a time bound, so that it does not wait for runs
	// that are predicted to end soon.
	bounded bool
}

// mayPreempt reports whether a unit may preempt a run, and whether the run, or its gang, is
// partly within the guarantee of its own workspace. The rules are:
//
//   - Long-running tasks are preempted only by units within a guarantee, by the last rule.
//   - An urgent unit may preempt work of lower priority.
//   - A unit within the guarantee of its workspace may also preempt work that does not count
//     against a guarantee, and work of other workspaces that use more than their guarantee.
func (p *Planner) mayPreempt(u *preemptor, r *run) (ok, partlyGuaranteed bool) {
	s := r.task.step
	k := p.kindOf(s.occ.job)
	if isUrgent(u.kind) && k.Priority() > u.kind.Priority() && !s.spec.LongRunning {
		return true, false
	}
	if !u.guaranteed {
		return false, false
	}
	if !countsAgainstGuarantee(k) {
		return true, false
	}
	w := s.occ.job.job.Workspace
	if w == u.step.occ.job.job.Workspace {
		return false, false
	}
	excess := p.guaranteeUsage(w) - p.guaranteedAccelerators(w)
	return excess > 0, excess < r.gangSize()*r.resources.accelerators
}

// gangSize returns the number of tasks in the gang of a run, or 1 if it has no gang.
func (r *run) gangSize() int {
	if r.task.step.spec.Gang {
		return len(r.task.step.tasks)
	}
	return 1
}

const (
	// partlyGuaranteedLoss is a penalty, in core-seconds, that is added to the loss of work
	// that is partly within the guarantee of its workspace. It outweighs most other victims,
	// so that such work is preempted only as a last resort.
	partlyGuaranteedLoss = 1e6
	// maxLossFactor bounds the work that may be lost for a unit beyond the guarantee, as
	// a multiple of the unit's own work. Urgent work is worth several times as much as
	// the same amount of other work, and preempted work has to be done again.
	maxLossFactor = 2
)

// justifiesLoss reports whether a unit is worth a loss, in core-seconds.
func (p *Planner) justifiesLoss(u *preemptor, loss float64) bool {
	if u.guaranteed {
		return true
	}
	cores := float64(u.resources.cpu)/1000 + coresPerAccelerator*float64(u.resources.accelerators)
	runTime := p.runTime(u.step.occ.job.job.Kind, u.step.spec)
	return loss <= p.lossFactor(u)*float64(len(u.tasks))*cores*max(runTime, time.Second).Seconds()
}
