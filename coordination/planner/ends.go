package planner

import (
	"time"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// How a run ended, as workers say it.
const (
	endDone    = "done"
	endFailed  = "failed"  // by its own fault or the worker's
	endStopped = "stopped" // as ordered
	endLapsed  = "lapsed"  // the lease was over
	endBroken  = "broken"  // another member of the gang ended
	endAlone   = "alone"   // the other members of the gang did not come
)

// end takes the end of a run that a worker lists.
func (p *Planner) end(t *target, e *agentrpc.RunEnd, now time.Time) {
	r := p.find(t, e.GetTask(), int(e.GetRun()))
	lost := p.lostWork(r, e.GetHow(), now)
	p.measureLoss(lost)
	p.count(`medlargrade_runs_ended_total{how="` + e.GetHow() + `"}`)
	p.log.Info().Int("Event", EventRunEnded).Str("Task", e.GetTask()).Int64("Run", e.GetRun()).Str("Target", t.name).
		Str("How", e.GetHow()).Int64("End", e.GetNumber()).Bool("Known", r != nil).
		Float64("LostCoreSeconds", lost).Str("Stop", r.stopReason()).Send()
	if r == nil {
		// The run was given up before, for example because its lease had lapsed.
		return
	}
	if c := e.GetCheckpoint(); c != "" {
		r.task.setCheckpoint(c)
	}
	p.observe(t, r, e.GetHow(), now)
	p.remove(r)
	switch e.GetHow() {
	case endDone:
		r.task.result, r.task.resultObj = e.GetResult(), e.GetResultObject()
		p.done(r, now)
	case endFailed:
		r.task.err = string(e.GetResult())
		p.failed(t, r, now)
	default:
		r.task.step.ready = time.Time{}
		r.task.step.reopen()
		p.mayHaveRun(r, now)
		p.stopGang(r, "another member of the gang has ended")
	}
}

// lostWork returns the core-seconds of a run that ended without a use.
func (p *Planner) lostWork(r *run, how string, now time.Time) float64 {
	if r == nil || how == endDone {
		return 0
	}
	return p.loss(r, now)
}

// stopReason returns why the run was stopped, or "".
func (r *run) stopReason() string {
	if r == nil {
		return ""
	}
	return r.stop
}

// find returns the run of a task on the present life of a target's worker.
func (p *Planner) find(t *target, name string, number int) *run {
	here := t.place()
	for r := range t.runs {
		if r.number == number && r.place == here && r.task.name == name {
			return r
		}
	}
	return nil
}

// done takes that a run has done its task.
func (p *Planner) done(r *run, now time.Time) {
	s := r.task.step
	if s.spec.LongRunning {
		return
	}
	if s.spec.Gang && !s.needsResults() {
		// One end stands for the whole gang.
		for _, t := range s.tasks {
			t.done = true
		}
	}
	r.task.done = true
	s.reopen()
	for _, other := range r.task.runs {
		if !s.spec.Gang {
			p.stopRun(other, "another copy is done")
		}
	}
	p.settle(s.occ, now)
}

// needsResults reports whether the caller of the job gets the results of its tasks.
func (s *step) needsResults() bool { return s.occ.job.job.Key != "" }

// reopen lets a gang run again of which one member's result was lost after others
// were done.
func (s *step) reopen() {
	if !s.spec.Gang || s.done() {
		return
	}
	for _, t := range s.tasks {
		if len(t.runs) > 0 {
			return
		}
	}
	for _, t := range s.tasks {
		t.done, t.result, t.resultObj = false, nil, ""
	}
}

// settle completes an occurrence whose tasks are all done.
func (p *Planner) settle(o *occurrence, now time.Time) {
	if o.state.Final() {
		return
	}
	for _, s := range o.steps {
		if !s.done() {
			return
		}
	}
	p.finish(o, job.Completed, now)
}

// mayHaveRun ends an at-most-once job of which a run may have had effects.
func (p *Planner) mayHaveRun(r *run, now time.Time) {
	if o := r.task.step.occ; o.job.job.AtMostOnce && !o.state.Final() {
		p.finish(o, job.Lost, now)
	}
}

// failed takes that a run has failed. A task, or a gang as a whole, may fail as
// often as its kind allows; long-running tasks may fail always.
func (p *Planner) failed(t *target, r *run, now time.Time) {
	s := r.task.step
	r.task.avoidTarget(t.name)
	n := 0
	if s.spec.Gang {
		if s.failedRun != r.number {
			s.failedRun = r.number
			s.failures++
		}
		n = s.failures
	} else {
		r.task.failures++
		n = r.task.failures
	}
	s.ready = time.Time{}
	p.stopGang(r, "another member of the gang has failed")
	if s.occ.state.Final() || s.spec.LongRunning {
		return
	}
	if n >= attempts(p.kind(s.occ.job)) || s.occ.job.job.AtMostOnce {
		p.finish(s.occ, job.Failed, now)
	}
}

// avoidTarget keeps a task away from a target, if others may run it.
func (t *task) avoidTarget(name string) {
	if t.avoid == nil {
		t.avoid = make(map[string]struct{})
	}
	t.avoid[name] = struct{}{}
}

// observe learns from an end.
func (p *Planner) observe(t *target, r *run, how string, now time.Time) {
	switch how {
	case endDone:
		t.health.succeeded()
		if !r.confirmed.IsZero() && r.task.lastRun == 1 && r.task.checkpoint == "" {
			p.book.observe(r.task.step.occ.job.job.Kind, r.task.step.spec.Estimate(), now.Sub(r.confirmed))
		}
	case endFailed:
		t.health.failed(r.task.name, now)
		p.log.Info().Int("Event", EventRunFailed).Str("Task", r.task.name).Int("Run", r.number).Str("Target", t.name).
			Int("TargetFailures", t.health.streak).Send()
	}
}

// estimates has the ratio of observed to declared run times by kind.
type estimates map[string]*ratio

type ratio struct {
	mean    float64
	samples int
}

// estimateWeight is the weight of the latest ratio in the mean.
const estimateWeight = 0.1

func (e estimates) observe(kind string, declared, run time.Duration) {
	if declared <= 0 {
		return
	}
	r := e[kind]
	if r == nil {
		r = &ratio{}
		e[kind] = r
	}
	x := float64(run) / float64(declared)
	r.samples++
	r.mean += max(estimateWeight, 1/float64(r.samples)) * (x - r.mean)
}

// defaultRunTime is assumed for tasks that declare none.
const defaultRunTime = 5 * time.Second

// runTime predicts the run time of a task of a step on a sound worker.
func (p *Planner) runTime(kind string, s *job.Step) time.Duration {
	d := s.Estimate()
	if d <= 0 {
		return defaultRunTime
	}
	if r := p.book[kind]; r != nil {
		// Mix in the declaration while there are few samples.
		const prior = 3
		m := (r.mean*float64(r.samples) + prior) / (float64(r.samples) + prior)
		return time.Duration(float64(d) * m)
	}
	return d
}

// objective returns when a job should end: its kind's stretch times its longest
// chain of work, and the constant part more.
func (p *Planner) objective(js *jobState, k *operator.Kind) time.Duration {
	chain := make([]time.Duration, len(js.job.Steps))
	longest := time.Duration(0)
	for i := range js.job.Steps {
		s := &js.job.Steps[i]
		for _, a := range s.After {
			chain[i] = max(chain[i], chain[a])
		}
		chain[i] += p.runTime(js.job.Kind, s)
		longest = max(longest, chain[i])
	}
	return time.Duration(k.Stretch()*float64(longest)) + k.Objective()
}
