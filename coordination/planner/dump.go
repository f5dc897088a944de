package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/interference"
)

// State is a dump of the state of a planner.
type State struct {
	ConfigVersion uint64
	Evacuated     []string   // data centres
	Withheld      bool       `json:",omitempty"` // nothing is started, because Evacuated may be out of date
	Jobs          []JobState // occurrences that are not final or still have runs
	Ended         int        // number of other occurrences that are still kept
	Targets       []TargetState
	Claims        []ClaimState
	Rooms         []RoomState        `json:",omitempty"` // with Policy.AdaptiveRoom
	Reservations  []ReservationState `json:",omitempty"` // with Policy.Backfill
	Shares        []ShareState       `json:",omitempty"` // with Policy.FairShares
	// Interference holds the pairs of classes that are kept apart, with Policy.Interference.
	Interference []interference.Verdict `json:",omitempty"`
}

// JobState is the state of one occurrence of a job.
type JobState struct {
	Job        string
	Occurrence int
	Kind       string
	Workspace  string
	State      string
	Age        string // since the occurrence could first start
	Tasks      int
	Done       int // tasks that are done
	Runs       []RunState
}

// RunState is the state of a run that is not known to have ended.
type RunState struct {
	Task      string
	Run       int
	Target    string
	Confirmed bool // the worker has confirmed it
	Percent   int64
	Stop      string // why it is being stopped; empty if it is not
}

// TargetState is the state of one target.
type TargetState struct {
	Name         string
	Worker       string
	Pool         string
	Rack         string
	DataCentre   string
	Connected    bool
	Listed       bool // the runs of the worker's current incarnation are known
	Draining     bool
	Cold         string `json:",omitempty"` // how much longer the worker stays slow after its start
	Suspect      bool   // gets no new work because of failures or stalled runs
	Runs         int
	CPU          int     // in use, in thousandths of a core
	MemoryMB     int     // in use
	Accelerators int     // in use
	Foreign      int     // runs that the worker lists and no row names
	Speed        float64 `json:",omitempty"` // learned, relative to the other workers; 0 if speeds are not learned
}

// ClaimState is the state of a placement that waits until other runs have ended.
type ClaimState struct {
	Job     string
	Step    int
	Tasks   int
	Targets []string
	Age     string
}

// State returns a dump of the current state.
func (p *Planner) State(now time.Time) State {
	st := State{Rooms: p.roomStates(), Reservations: p.reservationStates(now), Shares: p.shareStates(), Interference: p.interferenceStates()}
	if p.config != nil {
		st.ConfigVersion, st.Withheld = p.config.Version, p.startsWithheld()
		for _, r := range p.centres.view.Set().Requests() {
			st.Evacuated = append(st.Evacuated, r.DataCentre)
		}
	}
	for _, js := range p.jobs {
		for _, o := range js.occurrences {
			if o.state.Final() && o.hasNoRuns() {
				st.Ended++
				continue
			}
			st.Jobs = append(st.Jobs, o.dump(now))
		}
	}
	slices.SortFunc(st.Jobs, func(x, y JobState) int {
		return cmp.Or(cmp.Compare(x.Job, y.Job), cmp.Compare(x.Occurrence, y.Occurrence))
	})
	for _, t := range p.sortedTargets {
		st.Targets = append(st.Targets, TargetState{
			Name: t.name, Worker: t.worker.GetLife().GetWorker(), Pool: t.worker.GetPool(), Rack: t.worker.GetRack(), DataCentre: t.worker.GetDataCentre(),
			Connected: t.connected, Listed: t.runsKnown, Draining: t.worker.GetDraining(), Suspect: t.health.isPaused(now),
			Runs: len(t.runs), CPU: t.used.cpu, MemoryMB: t.used.memory, Accelerators: t.used.accelerators, Foreign: len(t.foreign), Speed: p.dumpSpeed(t),
		})
		if t.coldUntil.After(now) {
			st.Targets[len(st.Targets)-1].Cold = t.coldUntil.Sub(now).String()
		}
	}
	for _, c := range p.claims {
		cs := ClaimState{
			Job: c.unit.step.occ.job.job.ID, Step: c.unit.step.index, Tasks: len(c.unit.tasks), Age: now.Sub(c.createdAt).String(),
		}
		for _, t := range c.targets {
			cs.Targets = append(cs.Targets, t.name)
		}
		st.Claims = append(st.Claims, cs)
	}
	return st
}

func (o *occurrence) dump(now time.Time) JobState {
	js := JobState{
		Job: o.job.job.ID, Occurrence: o.ordinal, Kind: o.job.job.Kind, Workspace: o.job.job.Workspace,
		State: string(o.state), Age: now.Sub(o.releaseTime()).String(),
	}
	for _, s := range o.steps {
		for _, t := range s.tasks {
			js.Tasks++
			if t.done {
				js.Done++
			}
			for _, r := range t.runs {
				js.Runs = append(js.Runs, RunState{
					Task: t.name, Run: r.number, Target: r.incarnation.Target, Confirmed: !r.confirmedAt.IsZero(), Percent: r.percent, Stop: r.stopReason,
				})
			}
		}
	}
	return js
}
