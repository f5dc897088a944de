package planner

import (
	"maps"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/contention"
)

// shareState is the state of fair shares: the use of the workspaces, and the step of each, as
// of the current pass.
type shareState struct {
	shares *contention.Shares
	steps  map[string]int
	now    time.Time
}

// updateShares computes the steps of the workspaces with work or use. Runs that are being stopped
// do not count.
func (p *Planner) updateShares(now time.Time) {
	if !p.settings.Policy.FairShares {
		return
	}
	if p.fair == nil {
		p.fair = &shareState{shares: contention.NewShares(now)}
	}
	p.guaranteeUsage("") // computes allUseByWorkspace
	total := 0
	for _, t := range p.sortedTargets {
		total += t.capacity.accelerators
	}
	active := make(map[string]struct{})
	for _, js := range p.jobs {
		for _, o := range js.occurrences {
			if !o.state.Final() {
				active[js.job.Workspace] = struct{}{}
			}
		}
	}
	p.fair.shares.Update(p.allUseByWorkspace, now)
	p.fair.now, p.fair.steps = now, make(map[string]int, len(active))
	for w := range active {
		p.fair.steps[w] = p.fair.shares.Step(w, p.guaranteedAccelerators(w), total, len(active))
	}
}

// compareShares orders two units of one priority and tier by the use of their workspaces.
func (p *Planner) compareShares(x, y unit) int {
	if p.fair == nil {
		return 0
	}
	return p.shareStep(x) - p.shareStep(y)
}

// shareStep returns the step by which a unit is ordered. Units that should have ended by now come
// first, so that none is overtaken for longer than its own objective. The order of urgent ones
// is that of their objectives, since it decides which are in time.
func (p *Planner) shareStep(u unit) int {
	switch {
	case u.objectiveEnd.Before(p.fair.now):
		return -1
	case isUrgent(u.kind):
		return 0
	}
	return p.fair.steps[u.step.occ.job.job.Workspace]
}

// ShareState is the use of a workspace.
type ShareState struct {
	Workspace string
	Use       float64 // accelerators: the decayed mean, or those in use if they are more
	Step      int     // relative to its share; the lower are served first
}

func (p *Planner) shareStates() []ShareState {
	if p.fair == nil {
		return nil
	}
	var out []ShareState
	for _, w := range slices.Sorted(maps.Keys(p.fair.steps)) {
		out = append(out, ShareState{Workspace: w, Use: p.fair.shares.Use(w), Step: p.fair.steps[w]})
	}
	return out
}
