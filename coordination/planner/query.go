package planner

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

const (
	// maxQueryPasses bounds the passes that a query makes to predict a wait. A pass takes 4 to
	// 6 ms at 460 workers, so that a query takes up to about a second of one processor.
	maxQueryPasses = 200
	// minQueryStep is the shortest time between two of these passes: runs that end within it
	// are handled together, as in a real pass.
	minQueryStep = maxPassInterval
	// maxPrediction is the time after which a run counts as one that does not end.
	maxPrediction = 24 * time.Hour
)

// Placement is where a job would be placed now, and why.
type Placement struct {
	ConfigVersion uint64
	Job           string
	Kind          string
	Workspace     string
	// State is how the planner would handle the job: one of the Placement constants.
	State  string
	Reason string `json:",omitempty"` // why it waits
	// Wait is the predicted time until its first start; empty if it is not known.
	Wait    string         `json:",omitempty"`
	Tasks   []PlacedTask   `json:",omitempty"` // tasks that are placed or run
	Stopped []StoppedWork  `json:",omitempty"` // what would be stopped for it
	Loss    float64        // of Stopped, in core-seconds
	Targets []TargetReport // considered for the first step that waits, or else for the first one
	Racks   []RackReport   // of these targets
}

// States of a Placement.
const (
	PlacementStarts = "starts" // it would be started at once
	PlacementClaims = "claims" // it would be started when the runs on its targets have ended
	PlacementWaits  = "waits"
	PlacementRuns   = "runs" // it is a recorded job that runs already
	PlacementEnded  = "ended"
)

// PlacedTask is a task with its target.
type PlacedTask struct {
	Task   string
	Target string
}

// StoppedWork is a run that would be stopped for the job.
type StoppedWork struct {
	Task   string
	Target string
}

// TargetReport says whether a target could take tasks of the job.
type TargetReport struct {
	Name       string
	Rack       string
	DataCentre string
	Fits       int    // tasks that fit now
	Against    string `json:",omitempty"` // why none fits
}

// RackReport sums up the targets of a rack.
type RackReport struct {
	Name    string
	Fits    int    // tasks that fit now
	Against string `json:",omitempty"` // why not all tasks that wait fit
}

// Query predicts the placement of a job with a copy of a planner's state. It is not safe for
// concurrent use, and can be used once.
type Query struct {
	p      *Planner
	loaded bool
	stops  map[*run]time.Time // predicted ends of the runs that are being stopped
}

// NewQuery returns a query of the present state. The planner may be used while the query is.
func (p *Planner) NewQuery() *Query { return &Query{p.clone(), p.jobsLoaded, make(map[*run]time.Time)} }

// SetConfig replaces the configuration, unless it is nil, and sets its age as SetConfigAge does.
func (q *Query) SetConfig(s *configuration.Snapshot, age time.Duration, known bool) {
	if s != nil {
		q.p.SetConfig(s)
	}
	q.p.SetConfigAge(age, known)
}

// ErrNotKnown reports a job that the planner does not know.
var ErrNotKnown = errors.New("the planner does not know the job")

// ErrNotLoaded reports a planner that has not read the jobs or the configuration yet.
var ErrNotLoaded = errors.New("the planner has not read the jobs and the configuration yet")

// PlaceRecorded returns the placement of a job that is known to the planner.
func (q *Query) PlaceRecorded(id string, now time.Time) (Placement, error) {
	if q.p.config == nil || !q.loaded {
		return Placement{}, ErrNotLoaded
	}
	js := q.p.jobs[id]
	if js == nil {
		return Placement{}, fmt.Errorf("%w %s", ErrNotKnown, id)
	}
	return q.place(js, now), nil
}

// Place returns the placement of a job that would be accepted now.
func (q *Query) Place(j job.Job, now time.Time) (Placement, error) {
	if q.p.config == nil || !q.loaded {
		return Placement{}, ErrNotLoaded
	}
	// The ID of a recorded job would hide the new one.
	if q.p.HasJob(j.ID) {
		return Placement{}, fmt.Errorf("the job %s is recorded already", j.ID)
	}
	q.p.AddJob(j, nil, now)
	return q.place(q.p.jobs[j.ID], now), nil
}

// place makes passes on the copy and returns what they do with the job.
func (q *Query) place(js *jobState, now time.Time) Placement {
	p := q.p
	out := Placement{ConfigVersion: p.config.Version, Job: js.job.ID, Kind: js.job.Kind, Workspace: js.job.Workspace}
	if len(js.occurrences) > 0 && js.begun() {
		out.State, out.Tasks = PlacementRuns, js.placedTasks()
		if js.ended() {
			out.State = PlacementEnded
		}
		return out
	}
	p.addDueOccurrences(now)
	if u, ok := q.firstUnit(js, now); ok {
		out.Targets = q.reportTargets(u, now)
		out.Racks = reportRacks(out.Targets, u)
	}
	stoppedBefore := p.stoppedRuns()
	p.needsPass = true
	p.Plan(now)
	out.Tasks = js.placedTasks()
	for _, r := range p.runsStoppedFor(js, stoppedBefore) {
		out.Stopped = append(out.Stopped, StoppedWork{r.task.name, r.incarnation.Target})
		out.Loss += p.runLoss(r, now)
	}
	claimed := p.claimOf(js)
	switch {
	case js.begun():
		out.State, out.Wait = PlacementStarts, time.Duration(0).String()
		return out
	case claimed != nil:
		out.State = PlacementClaims
		for i, t := range claimed.unit.tasks {
			out.Tasks = append(out.Tasks, PlacedTask{t.name, claimed.targets[i].name})
		}
	default:
		out.State, out.Reason = PlacementWaits, q.reasonOf(js, now)
	}
	if wait, ok := q.predictWait(js, now); ok {
		out.Wait = wait.String()
	}
	return out
}

// firstUnit returns the first unit of the job that waits.
func (q *Query) firstUnit(js *jobState, now time.Time) (unit, bool) {
	k := q.p.kindOf(js)
	for _, o := range js.occurrences {
		if units := q.p.appendUnits(nil, o, k, now); len(units) > 0 && !o.state.Final() {
			return units[0], true
		}
	}
	return unit{}, false
}

// reasonOf returns why the job waits after a pass.
func (q *Query) reasonOf(js *jobState, now time.Time) string {
	switch {
	case js.cancelled || js.givenUp:
		return "it is cancelled or given up"
	case q.p.startsWithheld():
		return "nothing is started, because the requests to evacuate data centres may be out of date"
	}
	for _, o := range js.occurrences {
		for _, s := range o.steps {
			if s.waitReason != "" {
				return s.waitReason
			}
		}
	}
	if due, timed := js.job.Due(0); timed && due.After(now) {
		return "it is not due yet"
	}
	return "it waits for capacity near its data or its peers"
}

// reportTargets returns what each target says to the unit.
func (q *Query) reportTargets(u unit, now time.Time) []TargetReport {
	var out []TargetReport
	for _, t := range q.p.sortedTargets {
		r := TargetReport{Name: t.name, Rack: t.worker.GetRack(), DataCentre: t.worker.GetDataCentre()}
		if r.Against = q.against(u, t, now); r.Against == "" {
			if r.Fits = t.available().maxCount(u.resources, q.p.remainingPerWorker(u, t)); r.Fits == 0 {
				r.Against = capacityReason(u, t)
			}
		}
		out = append(out, r)
	}
	return out
}

// against returns why a target is not eligible for the unit, or "".
func (q *Query) against(u unit, t *target, now time.Time) string {
	switch {
	case t.worker == nil:
		return "no worker has registered"
	case !t.connected:
		return "it does not answer the planner"
	case !t.runsKnown:
		return "the runs of its worker are not known"
	case t.worker.GetDraining():
		return "its worker is leaving"
	case q.p.isEvacuated(t):
		return reasonEvacuated
	case !q.p.meetsRequirement(t, u):
		return "its worker is in another pool or lacks the label"
	case len(t.foreign) > 0:
		return "its worker has runs that no row names"
	case t.health.isPaused(now):
		return "it is paused after failed or stalled runs"
	case now.Before(t.refusalPauseUntil):
		return "it is paused after a refused start"
	case t.silentFor > maxSilence:
		return "its worker does not answer"
	case len(u.tasks) == 1 && u.avoids(t) && q.p.mayAvoid(u, now):
		return "a run of the task failed or stalled there"
	case q.p.isolated[t] != nil && q.p.isolated[t] != u.step.occ.job:
		return "it is kept free for a task that may crash its worker"
	}
	return ""
}

// capacityReason returns why no task of the unit fits on an eligible target.
func capacityReason(u unit, t *target) string {
	switch {
	case t.capacity.maxCount(u.resources, 1) == 0:
		return "its worker is too small"
	case t.available().maxCount(u.resources, 1) > 0:
		return "it has as many tasks of the step as one worker may run"
	case t.available().plus(t.reserved).maxCount(u.resources, 1) > 0:
		return "its free capacity is reserved for other work"
	}
	return "its capacity is in use"
}

// reportRacks sums up the targets by rack, sorted by name.
func reportRacks(targets []TargetReport, u unit) []RackReport {
	byName := make(map[string]int)
	for _, t := range targets {
		byName[t.Rack] += t.Fits
	}
	var out []RackReport
	for name, fits := range byName {
		r := RackReport{Name: name, Fits: fits}
		if fits < len(u.tasks) {
			r.Against = fmt.Sprintf("%d of %d tasks fit", fits, len(u.tasks))
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(x, y RackReport) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

// predictWait lets the runs on the copy end as predicted, makes passes, and returns the time until
// the job starts. It returns false if the job does not start within maxQueryPasses. Later
// arrivals, failures and changes of the site are not predicted.
func (q *Query) predictWait(js *jobState, now time.Time) (time.Duration, bool) {
	p := q.p
	at := now
	for range maxQueryPasses {
		next, ok := q.nextEnd(at)
		if !ok {
			return 0, false
		}
		at = next
		q.endRuns(at)
		p.needsPass = true
		p.Plan(at)
		if js.begun() {
			return at.Sub(now), true
		}
	}
	return 0, false
}

// endOf returns when a run on the copy ends, as predicted.
func (q *Query) endOf(r *run, now time.Time) time.Time {
	if r.stopReason != "" {
		if _, ok := q.stops[r]; !ok {
			q.stops[r] = now.Add(q.p.settings.StopTime)
		}
		return q.stops[r]
	}
	if r.task.step.spec.LongRunning {
		return now.Add(maxPrediction) // It does not end by itself.
	}
	return now.Add(q.p.remainingTime(r, now))
}

// nextEnd returns when the next run ends, at least minQueryStep later, and false if there are no
// runs that end.
func (q *Query) nextEnd(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, t := range q.p.sortedTargets {
		for r := range t.runs {
			if end := q.endOf(r, now); next.IsZero() || end.Before(next) {
				next = end
			}
		}
	}
	if earliest := now.Add(minQueryStep); !next.IsZero() && next.Before(earliest) {
		next = earliest
	}
	return next, !next.IsZero() && next.Sub(now) < maxPrediction
}

// endRuns ends the runs whose predicted end has come. The others count as confirmed and at work,
// so that none is repeated or counts as stalled.
func (q *Query) endRuns(now time.Time) {
	p := q.p
	type ended struct {
		t *target
		r *run
	}
	var list []ended
	for _, t := range p.sortedTargets {
		for r := range t.runs {
			p.confirm(r, now)
			if !q.endOf(r, now).After(now) {
				list = append(list, ended{t, r})
			}
		}
	}
	slices.SortFunc(list, func(x, y ended) int { return cmp.Compare(x.r.task.name, y.r.task.name) })
	for _, e := range list {
		if _, active := e.t.runs[e.r]; !active {
			continue // A member of its gang has ended.
		}
		how := endDone
		if e.r.stopReason != "" {
			how = endStopped
		}
		p.handleEnd(e.t, &agentrpc.RunEnd{Task: e.r.task.name, Run: int64(e.r.number), How: how}, now)
	}
}

// begun reports whether a run of the job has been planned.
func (js *jobState) begun() bool {
	return slices.ContainsFunc(js.occurrences, func(o *occurrence) bool { return o.begun })
}

// ended reports whether all occurrences of the job have a final state.
func (js *jobState) ended() bool {
	return !slices.ContainsFunc(js.occurrences, func(o *occurrence) bool { return !o.state.Final() })
}

// placedTasks returns the tasks of the job that have a run.
func (js *jobState) placedTasks() []PlacedTask {
	var out []PlacedTask
	for _, o := range js.occurrences {
		for _, s := range o.steps {
			for _, t := range s.tasks {
				for _, r := range t.runs {
					out = append(out, PlacedTask{t.name, r.incarnation.Target})
				}
			}
		}
	}
	return out
}

// claimOf returns the claim of the job, or nil.
func (p *Planner) claimOf(js *jobState) *claim {
	for _, c := range p.claims {
		if c.unit.step.occ.job == js {
			return c
		}
	}
	return nil
}

// stoppedRuns returns the runs that are being stopped.
func (p *Planner) stoppedRuns() map[*run]struct{} {
	out := make(map[*run]struct{})
	for _, t := range p.sortedTargets {
		for r := range t.runs {
			if r.stopReason != "" {
				out[r] = struct{}{}
			}
		}
	}
	return out
}

// runsStoppedFor returns the runs that have been reclaimed for the job and are not in before,
// sorted by task.
func (p *Planner) runsStoppedFor(js *jobState, before map[*run]struct{}) []*run {
	var out []*run
	for r := range p.stoppedRuns() {
		if _, ok := before[r]; !ok && r.stopReason == "reclaimed for "+js.job.ID {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(x, y *run) int { return cmp.Compare(x.task.name, y.task.name) })
	return out
}
