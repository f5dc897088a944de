package planner

import (
	"time"

	"github.com/medlargrade/medlargrade/operator"
)

// isCovered reports whether work of a kind counts against the guarantee of its
// workspace and may claim it. Kinds that are open to all workspaces are covered if
// they have priority 0, others unless they only fill what is left.
func isCovered(k *operator.Kind) bool {
	if k.Workspace() == "" {
		return k.Priority() == 0
	}
	return k.Class() != operator.ClassFill
}

// isUrgent reports whether work of a kind may take the place of work of lower
// priority beyond the guarantee of its workspace, too.
func isUrgent(k *operator.Kind) bool { return k.Workspace() == "" && k.Priority() == 0 }

// guaranteed returns the accelerators that a workspace is guaranteed.
func (p *Planner) guaranteed(workspace string) int {
	w, ok := p.snap.Workspace(workspace)
	if !ok {
		return 0
	}
	return w.GuaranteedSlots()
}

// coveredUse returns the accelerators that covered work of a workspace has or has
// claimed.
func (p *Planner) coveredUse(workspace string) int {
	if p.covered != nil {
		return p.covered[workspace]
	}
	p.covered = make(map[string]int)
	for _, t := range p.byName {
		for r := range t.runs {
			if js := r.task.step.occ.job; r.stop == "" && isCovered(p.kind(js)) {
				p.covered[js.job.Workspace] += r.size.accelerators
			}
		}
	}
	for _, c := range p.claims {
		if js := c.unit.step.occ.job; isCovered(p.kind(js)) {
			p.covered[js.job.Workspace] += len(c.unit.tasks) * c.unit.size.accelerators
		}
	}
	return p.covered[workspace]
}

// isGuaranteed reports whether a unit fits into what its workspace has left of its
// guarantee.
func (p *Planner) isGuaranteed(u unit) bool {
	if !isCovered(u.kind) {
		return false
	}
	w := u.step.occ.job.job.Workspace
	return p.coveredUse(w)+len(u.tasks)*u.size.accelerators <= p.guaranteed(w)
}

// claimant is a unit that looks for victims, with what decides who they may be.
type claimant struct {
	unit
	guaranteed bool
}

// mayStop reports whether a run may give way to a unit, and whether it is within
// the guarantee of its own workspace in part.
func (p *Planner) mayStop(c *claimant, v *run) (ok, straddles bool) {
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
	if !isCovered(k) {
		return true, false
	}
	w := s.occ.job.job.Workspace
	if w == c.step.occ.job.job.Workspace {
		return false, false
	}
	beyond := p.coveredUse(w) - p.guaranteed(w)
	return beyond > 0, beyond < v.members()*v.size.accelerators
}

// members returns the number of runs that end with a run.
func (r *run) members() int {
	if r.task.step.spec.Gang {
		return len(r.task.step.tasks)
	}
	return 1
}

const (
	// straddleLoss is added to the loss of work that is partly within the guarantee
	// of its workspace, so that it gives way only if nothing else suffices.
	straddleLoss = 1e6
	// claimFactor bounds the work that may be lost for a claim beyond the guarantee,
	// as a multiple of the claim's own work. Urgent work is worth several times as
	// much as the same amount of other work, which has to be done again.
	claimFactor = 2
)

// isWorth reports whether a claim may cost the loss, in core-seconds.
func (p *Planner) isWorth(c *claimant, loss float64) bool {
	if c.guaranteed {
		return true
	}
	cores := float64(c.size.cpu)/1000 + coresPerAccelerator*float64(c.size.accelerators)
	run := p.runTime(c.step.occ.job.job.Kind, c.step.spec)
	return loss <= claimFactor*float64(len(c.tasks))*cores*max(run, time.Second).Seconds()
}
