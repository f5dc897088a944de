package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/speed"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// jobState is a job of the shard.
type jobState struct {
	job       job.Job
	cancelled bool
	givenUp   bool // a task crashes its workers; no occurrence is started any more
	// hasWaitingRow is whether the job has a row in job.TableWaiting. The row is deleted
	// in the transaction that records the first start or the end of the job.
	hasWaitingRow bool
	acceptedAt    time.Time     // on the clock of this process
	startDeadline time.Time     // the job expires unless it starts by then; zero for none
	occurrences   []*occurrence // in order; later ones are added when they are due
	// kind is the job's kind in the configuration kindConfig.
	kind       operator.Kind
	kindConfig *configuration.Snapshot
}

// occurrence is one occurrence of a job.
type occurrence struct {
	job     *jobState
	ordinal int
	state   job.State
	begun   bool // a run has been planned, by this or an earlier planner
	// elapsed is the time from startedAt to the final state, as recorded in the row; 0
	// before, and if startedAt is zero.
	elapsed time.Duration
	// startedAt is when a run of the occurrence was first started, by this or an earlier
	// planner; zero before, and if an earlier planner has not recorded it.
	startedAt time.Time
	steps     []*step
	key       string
	// finalAt is when the state became final, or the time of acceptance if an earlier
	// planner has not recorded it. The occurrence is kept at least until its runs have ended.
	finalAt time.Time
	// unrecordable is why the progress can't be recorded; empty if it can. The row then has only
	// the state and this reason.
	unrecordable string
	omitted      int // tasks with a checkpoint or an error that the row lacks, as last written
}

// step is the state of one step of an occurrence.
type step struct {
	occ      *occurrence
	index    int
	spec     *job.Step
	tasks    []*task
	failures int // failed runs of the gang
	// waitingSince is the time of the first pass in which the steps that this one depends
	// on were done; zero before. A run that is listed as ended in any way but done resets it
	// to the next pass; a run that is lost or whose start is refused does not.
	waitingSince time.Time
	waitReason   string // why a unit could not be placed, as last logged
	// lastFailedRun is the last run of the gang that was counted as failed. The ends of
	// several members count as one failure.
	lastFailedRun int
	speedStep     *speed.Step // nil until the first observation
	// gangSpeed is the speed of the slowest worker of the gang's run gangSpeedRun, once a member
	// of it has ended.
	gangSpeed    float64
	gangSpeedRun int
}

// task is the state of one task.
type task struct {
	step         *step
	index        int
	name         string
	lastRun      int
	runs         []*run // those not known to have ended
	done         bool
	failures     int
	checkpoint   string
	checkpointAt time.Time // when checkpoint last changed; zero if it is restored
	result       []byte
	resultObject string // key of the object that holds a large result
	err          string // of the last run that failed
	// avoidedTargets holds the names of targets on which a run failed or stalled.
	avoidedTargets map[string]struct{}
	idleSince      time.Time // when its last run was found to be over; zero before
	// retryAt delays the next start after a refusal.
	retryAt    time.Time
	stallMoves int     // how often a run was moved because it stood still; not recorded
	preempted  int     // how often it was stopped for other work; not recorded
	claimed    bool    // part of a claim
	crashes    []crash // recent ones of workers that ran the task, or may have run it
}

// run is a run that is recorded and not known to have ended.
type run struct {
	task        *task
	number      int
	incarnation job.Incarnation
	resources   resources

	startQueuedAt time.Time // when the start order was last queued
	// startOrders is the number of start orders queued. It starts at 1 for a restored run,
	// because an earlier planner may have sent one.
	startOrders int
	confirmedAt time.Time // when it was first known to run; zero before
	percent     int64
	// progressedAt is when percent last changed, or before that when the run was confirmed,
	// and before that when it was planned. For a restored run it is zero until a worker
	// lists it.
	progressedAt time.Time
	// firstPercent is the value of percent when the run was first listed.
	firstPercent  int64
	firstListedAt time.Time
	lastListedAt  time.Time // when a new poll of the worker last listed the run
	load          int64     // as last listed; not used by the planner
	pace          speed.Pace
	neighbours    neighbours // as last listed

	disruption   bool      // a scheduling decision stops the run, which is one of a long-running task
	withheld     bool      // the disruption budget has withheld a stop; logged once
	stopReason   string    // why it is being stopped; empty if it is not
	stopQueuedAt time.Time // when the stop order was last queued; zero if it must be queued now
	stopPoll     int64     // first poll that is certain to reflect the stop; 0 if unknown
}

// releaseTime returns when the occurrence could first start: when its job was accepted, or
// when the occurrence was due if that is later.
func (o *occurrence) releaseTime() time.Time {
	if due, timed := o.job.job.Due(o.ordinal); timed && due.After(o.job.acceptedAt) {
		return due
	}
	return o.job.acceptedAt
}

func (o *occurrence) hasNoRuns() bool {
	for _, s := range o.steps {
		for _, t := range s.tasks {
			if len(t.runs) > 0 {
				return false
			}
		}
	}
	return true
}

func (s *step) done() bool {
	for _, t := range s.tasks {
		if !t.done {
			return false
		}
	}
	return true
}

// AddJob adds a job with its recorded progress, in any order. acceptedAt is when the job was accepted, on the clock of this process. AddJob
// does nothing if the job is known or was removed recently.
func (p *Planner) AddJob(j job.Job, recorded []job.Progress, acceptedAt time.Time) {
	if r, ok := p.tombstones[j.ID]; ok && r.token == j.Token {
		return
	}
	if p.HasJob(j.ID) {
		return
	}
	js := &jobState{job: j, hasWaitingRow: true, acceptedAt: acceptedAt}
	if j.DeadlineMillis > 0 {
		js.startDeadline = acceptedAt.Add(time.Duration(j.DeadlineMillis-j.AcceptedMillis) * time.Millisecond)
	}
	p.jobs[j.ID] = js
	p.needsPass = true
	byOccurrence := func(x, y job.Progress) int { return cmp.Compare(x.Occurrence, y.Occurrence) }
	for _, r := range slices.SortedFunc(slices.Values(recorded), byOccurrence) {
		if r.Occurrence < len(js.occurrences) || r.Occurrence >= j.Occurrences() {
			p.log.Error().Int("Event", EventProgressIgnored).Str("Job", j.ID).Int("Occurrence", r.Occurrence).
				Msg("the job has no such occurrence, or it is recorded twice; ignoring its progress")
			continue
		}
		p.restore(js, r, acceptedAt)
	}
	p.log.Info().Int("Event", EventJobAdded).Str("Job", j.ID).Str("Kind", j.Kind).Str("Workspace", j.Workspace).
		Int("Tasks", j.Tasks()).Int("LargestGang", j.LargestGang()).Int("Recorded", len(recorded)).Msg("job added")
	p.count(`medlargrade_jobs_planned_total`)
}

// Cancel cancels a job. It does nothing if the job is not known.
func (p *Planner) Cancel(id string, now time.Time) {
	if js := p.jobs[id]; js != nil && !js.cancelled {
		p.cancel(js, now)
	}
}

// HasJob reports whether a job is known.
func (p *Planner) HasJob(id string) bool { return p.jobs[id] != nil }

func (p *Planner) cancel(js *jobState, now time.Time) {
	js.cancelled, p.needsPass = true, true
	p.log.Info().Int("Event", EventJobCancelled).Str("Job", js.job.ID).Msg("job cancelled")
	if len(js.occurrences) == 0 {
		// There must be an occurrence whose row records the final state.
		p.addOccurrence(js, now)
	}
	for _, o := range js.occurrences {
		if !o.state.Final() {
			p.finishOccurrence(o, job.Cancelled, now)
		}
	}
}

// addOccurrence adds the next occurrence of a job.
func (p *Planner) addOccurrence(js *jobState, now time.Time) *occurrence {
	o := newOccurrence(js, job.NewProgress(js.job, len(js.occurrences)))
	js.occurrences = append(js.occurrences, o)
	if o.state.Final() {
		o.finalAt = now
	}
	return o
}

func newOccurrence(js *jobState, r job.Progress) *occurrence {
	o := &occurrence{
		job: js, ordinal: r.Occurrence, state: r.State, begun: r.Begun, elapsed: time.Duration(r.ElapsedMillis) * time.Millisecond,
		key: job.ProgressKey(js.job.ID, r.Occurrence),
	}
	for i := range js.job.Steps {
		s := &step{occ: o, index: i, spec: &js.job.Steps[i]}
		for k := range s.spec.Tasks {
			name := job.TaskName{Job: js.job.ID, Occurrence: o.ordinal, Step: i, Index: k}
			s.tasks = append(s.tasks, &task{step: s, index: k, name: name.String()})
		}
		o.steps = append(o.steps, s)
	}
	return o
}

// restore adds an occurrence with its recorded progress.
func (p *Planner) restore(js *jobState, r job.Progress, acceptedAt time.Time) {
	for len(js.occurrences) < r.Occurrence {
		// Fills a gap before the occurrence with new ones.
		p.addOccurrence(js, acceptedAt)
	}
	o := newOccurrence(js, r)
	js.occurrences = append(js.occurrences, o)
	if o.begun || o.state.Final() {
		js.hasWaitingRow = false
	}
	if r.StartedAfterMillis > 0 {
		o.startedAt = acceptedAt.Add(time.Duration(r.StartedAfterMillis) * time.Millisecond)
	}
	if o.state.Final() {
		o.finalAt = acceptedAt.Add(time.Duration(r.EndedAfterMillis) * time.Millisecond)
	}
	for i, rs := range r.Steps[:min(len(r.Steps), len(o.steps))] {
		s := o.steps[i]
		s.failures = rs.Failures
		for k, rt := range rs.Tasks[:min(len(rs.Tasks), len(s.tasks))] {
			t := s.tasks[k]
			t.lastRun, t.done, t.failures, t.checkpoint = rt.LastRun, rt.Done, rt.Failures, rt.Checkpoint
			t.result, t.resultObject, t.err = rt.Result, rt.ResultObject, rt.Error
			p.restoreCrashes(t, rt.Crashes)
			for _, a := range rt.Active {
				restored := &run{task: t, number: a.Number, incarnation: a.Place, resources: taskResources(s.spec), startOrders: 1}
				if a.ConfirmedAfterMillis > 0 {
					restored.confirmedAt = acceptedAt.Add(time.Duration(a.ConfirmedAfterMillis) * time.Millisecond)
				}
				t.runs = append(t.runs, restored)
				p.addRunToTarget(p.targetNamed(a.Place.Target), restored)
			}
		}
	}
}

// record returns the write of the occurrence's row, and how many tasks have a checkpoint or an
// error for which the row has no space.
func (o *occurrence) record() (w table.Write, omitted int) {
	r := job.Progress{
		Job: o.job.job.ID, Occurrence: o.ordinal, State: o.state, Begun: o.begun, ElapsedMillis: o.elapsed.Milliseconds(),
	}
	r.StartedAfterMillis = o.sinceAcceptance(o.startedAt)
	r.EndedAfterMillis = o.sinceAcceptance(o.finalAt)
	for _, s := range o.steps {
		rs := job.StepProgress{Failures: s.failures, Tasks: make([]job.Task, len(s.tasks))}
		for i, t := range s.tasks {
			rs.Tasks[i] = t.record()
		}
		r.Steps = append(r.Steps, rs)
	}
	if o.unrecordable != "" {
		r.Steps = []job.StepProgress{{Tasks: []job.Task{{Error: o.unrecordable}}}}
	}
	value, omitted := r.EncodeRow(o.job.job.Steps)
	return table.Write{Table: job.TableProgress, Key: o.key, Value: value}, omitted
}

// record returns the task's part of the row.
func (t *task) record() job.Task {
	o := t.step.occ
	out := job.Task{
		LastRun: t.lastRun, Done: t.done, Failures: t.failures, Checkpoint: t.checkpoint,
		Result: t.result, ResultObject: t.resultObject, Error: t.err, Crashes: t.recordedCrashes(),
	}
	for _, r := range t.runs {
		active := job.Run{Number: r.number, Place: r.incarnation}
		if o.job.job.LimitMillis > 0 {
			active.ConfirmedAfterMillis = o.sinceAcceptance(r.confirmedAt)
		}
		out.Active = append(out.Active, active)
	}
	return out
}

// sinceAcceptance returns the time from the acceptance of the job to t in milliseconds, at
// least 1, or 0 if t is zero.
func (o *occurrence) sinceAcceptance(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return max(t.Sub(o.job.acceptedAt).Milliseconds(), 1)
}

// finishOccurrence sets the final state of an occurrence. Its runs are stopped, unless
// the occurrence has completed.
func (p *Planner) finishOccurrence(o *occurrence, state job.State, now time.Time) {
	o.state, o.finalAt = state, now
	if !o.startedAt.IsZero() {
		o.elapsed = now.Sub(o.startedAt)
	}
	p.markDirty(o)
	p.log.Info().Int("Event", EventJobEnded).Str("Job", o.job.job.ID).Int("Occurrence", o.ordinal).Str("State", string(state)).
		Dur("Since", now.Sub(o.releaseTime())).Dur("Objective", p.objective(o.job, p.kindOf(o.job))).Msg("occurrence ended")
	p.measureEnd(o, now)
	if state == job.Completed {
		// The other members of a gang are about to end on their own.
		return
	}
	for _, s := range o.steps {
		for _, t := range s.tasks {
			for _, r := range t.runs {
				p.stopRun(r, "job "+string(state))
			}
		}
	}
}

// expireJobs ends the jobs that have not begun by their deadline.
func (p *Planner) expireJobs(now time.Time) {
	for _, js := range p.jobs {
		if js.startDeadline.IsZero() || now.Before(js.startDeadline) {
			continue
		}
		for _, o := range js.occurrences {
			if !o.begun && !o.state.Final() {
				p.finishOccurrence(o, job.Expired, now)
			}
		}
	}
}

// kindOf returns the configuration of a job's kind, or a default with removedKindPriority if
// the kind has been removed since the job was accepted, with the attempts of that time.
func (p *Planner) kindOf(js *jobState) *operator.Kind {
	if p.config != nil && js.kindConfig == p.config {
		return &js.kind
	}
	js.kind, js.kindConfig = operator.NewKind("", js.job.Kind, operator.ClassLong).WithPool(js.job.Pool).WithPriority(removedKindPriority).WithAttempts(js.job.Attempts), p.config
	if p.config != nil {
		if k, ok := p.config.Kind(js.job.Workspace, js.job.Kind); ok {
			js.kind = k
		}
	}
	return &js.kind
}

const (
	// removedKindPriority is the priority of jobs whose kind has been removed.
	removedKindPriority = 100
	// defaultMaxAttempts bounds the failures of a task whose kind sets no bound.
	defaultMaxAttempts = 3
)

func maxAttempts(k *operator.Kind) int {
	if k.Attempts() > 0 {
		return k.Attempts()
	}
	return defaultMaxAttempts
}
