package planner

import (
	"time"

	"github.com/medlargrade/medlargrade/operator"
)

// countsAgainstGuarantee reports whether work of a kind counts against the guarantee of its
// workspace and may claim it. Kinds that are open to all workspaces are covered if
// they have priority 0, others unless they only fill what is left.
func countsAgainstGuarantee(k *operator.Kind) bool {
	if k.Workspace() == "" {
		return k.Priority() == 0
	}
	return k.Class() != operator.ClassFill
}

// isUrgent reports whether work of a kind may take the place of work of lower
// priority beyond the guarantee of its workspace, too.
func isUrgent(k *operator.Kind) bool { return k.Workspace() == "" && k.Priority() == 0 }

// guaranteedAccelerators returns the accelerators that a workspace is guaranteed.
func (p *Planner) guaranteedAccelerators(workspace string) int {
	w, ok := p.snapshot.Workspace(workspace)
	if !ok {
		return 0
	}
	return w.GuaranteedSlots()
}

// guaranteeUsage returns the accelerators that covered work of a workspace has or has
// claimed.
func (p *Planner) guaranteeUsage(workspace string) int {
	if p.usageByWorkspace != nil {
		return p.usageByWorkspace[workspace]
	}
	p.usageByWorkspace = make(map[string]int)
	for _, t := range p.sortedTargets {
		for r := range t.runs {
			if js := r.task.step.occ.job; r.stopCause == "" && countsAgainstGuarantee(p.kind(js)) {
				p.usageByWorkspace[js.job.Workspace] += r.resources.accelerators
			}
		}
	}
	for _, c := range p.claims {
		if js := c.unit.step.occ.job; countsAgainstGuarantee(p.kind(js)) {
			p.usageByWorkspace[js.job.Workspace] += len(c.unit.tasks) * c.unit.resources.accelerators
		}
	}
	return p.usageByWorkspace[workspace]
}

// isGuaranteed reports whether a unit fits into what its workspace has left of its
// guarantee.
func (p *Planner) isGuaranteed(u unit) bool {
	if !countsAgainstGuarantee(u.kind) {
		return false
	}
	w := u.step.occ.job.job.Workspace
	return p.guaranteeUsage(w)+len(u.tasks)*u.resources.accelerators <= p.guaranteedAccelerators(w)
}

// preemptor is a unit that looks for victims, with what decides who they may be.
type preemptor struct {
	unit
	guaranteed bool
}

// mayPreempt reports whether a run may give way to a unit, and whether it is within
// the guarantee of its own workspace in part.
func (p *Planner) mayPreempt(c *preemptor, v *run) (ok, straddles bool) {
	s := v.task.step
	if s.spec.LongRunning {
		return false, false
	}
	k := p.kind(s.occ.job)
	if isUrgent(c.kind) && k.Priority() > c.kind.Priority() {
		return true, false
	}
	if !c.guaranteed {
		return false, false
	}
	if !countsAgainstGuarantee(k) {
		return true, false
	}
	w := s.occ.job.job.Workspace
	if w == c.step.occ.job.job.Workspace {
		return false, false
	}
	beyond := p.guaranteeUsage(w) - p.guaranteedAccelerators(w)
	return beyond > 0, beyond < v.gangSize()*v.resources.accelerators
}

// gangSize returns the number of runs that end with a run.
func (r *run) gangSize() int {
	if r.task.step.spec.Gang {
		return len(r.task.step.tasks)
	}
	return 1
}

const (
	// partlyGuaranteedLoss is added to the loss of work that is partly within the guarantee
	// of its workspace, so that it gives way only if nothing else suffices.
	partlyGuaranteedLoss = 1e6
	// maxLossFactor bounds the work that may be lost for a claim beyond the guarantee,
	// as a multiple of the claim's own work. Urgent work is worth several times as
	// much as the same amount of other work, which has to be done again.
	maxLossFactor = 2
)

// justifiesLoss reports whether a claim may cost the loss, in core-seconds.
func (p *Planner) justifiesLoss(c *preemptor, loss float64) bool {
	if c.guaranteed {
		return true
	}
	cores := float64(c.resources.cpu)/1000 + coresPerAccelerator*float64(c.resources.accelerators)
	run := p.runTime(c.step.occ.job.job.Kind, c.step.spec)
	return loss <= maxLossFactor*float64(len(c.tasks))*cores*max(run, time.Second).Seconds()
}
