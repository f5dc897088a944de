package planner

import "time"

// Summary counts what a planner has to do and what it has to do it with.
type Summary struct {
	// Waiting and Late count the tasks that wait to be placed, and those of them whose
	// occurrence has missed its objective, by priority. The last element also counts all
	// lower priorities.
	Waiting [summaryPriorities]int
	Late    [summaryPriorities]int
	Running int // tasks with a run that is not being stopped
	Stops   int // runs that are being stopped
	Claims  int // placements that wait until other runs have ended

	// Accelerators of the workers that accept work: all of them, those that are neither in
	// use nor claimed, those of runs that are being stopped, and those claimed.
	Accelerators int
	Free         int
	Stopping     int
	Claimed      int

	Targets      int // all known targets
	Accepting    int // targets that get new work
	Disconnected int // targets whose agent can't be reached
	Evacuated    int // connected targets in evacuated data centres
	Paused       int // targets that get no new work for a while because of failures or refusals
}

// summaryPriorities is the number of priorities that a Summary tells apart.
const summaryPriorities = 3

// Summarize returns a summary of the current state.
func (p *Planner) Summarize(now time.Time) Summary {
	var s Summary
	if p.config == nil {
		return s
	}
	for _, js := range p.jobs {
		k := p.kindOf(js)
		priority := min(max(k.Priority(), 0), summaryPriorities-1)
		for _, o := range js.occurrences {
			if o.state.Final() || js.cancelled {
				continue
			}
			late := now.After(o.releaseTime().Add(p.objective(js, k)))
			for _, st := range o.steps {
				if !st.isReady() {
					continue
				}
				n := len(st.waitingTasks(now))
				s.Waiting[priority] += n
				if late {
					s.Late[priority] += n
				}
			}
		}
	}
	s.Claims = len(p.claims)
	for _, t := range p.sortedTargets {
		s.Targets++
		for r := range t.runs {
			if r.stopReason != "" {
				s.Stops++
			} else {
				s.Running++
			}
		}
		switch {
		case !t.connected:
			s.Disconnected++
		case p.isEvacuated(t):
			s.Evacuated++
		case t.acceptsWork(now):
			s.Accepting++
			s.Accelerators += t.capacity.accelerators
			s.Free += max(t.unused().minus(t.reserved).accelerators, 0)
			s.Stopping += t.stopping.accelerators
			s.Claimed += t.reserved.accelerators
		case t.health.isPaused(now) || now.Before(t.refusalPauseUntil):
			s.Paused++
		}
	}
	return s
}
