package planner

import (
	"time"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// maxKnownCrashes is how many crashes of a target's worker are kept to recognise repetitions.
// It exceeds the number in a reply of an agent.
const maxKnownCrashes = 8

// recordCrashes records the crashes of a target's worker that a report has for the first time.
func (p *Planner) recordCrashes(t *target, in *agentrpc.WatchReply) {
	for _, c := range in.GetCrashes() {
		former := job.Incarnation{Target: t.name, Worker: c.GetLife().GetWorker(), Born: c.GetLife().GetBorn()}
		if t.knowsCrash(former) {
			continue
		}
		t.crashes = append(t.crashes, former)
		t.crashes = t.crashes[max(len(t.crashes)-maxKnownCrashes, 0):]
		ago := time.Duration(c.GetAgoMillis()) * time.Millisecond
		p.log.Warn().Int("Event", EventWorkerCrash).Str("Target", t.name).Str("Worker", former.Worker).Int64("Born", former.Born).
			Dur("Ago", ago).Int("Runs", len(c.GetRuns())).Msg("worker crashed")
		for _, x := range c.GetRuns() {
			task := p.taskNamed(x.GetTask())
			if task == nil {
				continue
			}
			task.crashes++
			p.log.Info().Int("Event", EventRunCrashed).Str("Task", task.name).Int64("Run", x.GetRun()).Str("Target", t.name).
				Str("Worker", former.Worker).Int64("AgeMillis", x.GetAgeMillis()).Bool("Confirmed", x.GetConfirmed()).
				Int("Crashes", task.crashes).Msg("worker crashed with the run")
		}
	}
}

// knowsCrash reports whether the crash of an incarnation has been recorded.
func (t *target) knowsCrash(former job.Incarnation) bool {
	for _, known := range t.crashes {
		if known == former {
			return true
		}
	}
	return false
}

// taskNamed returns the task with a name, or nil if there is none.
func (p *Planner) taskNamed(name string) *task {
	n, err := job.ParseTaskName(name)
	if err != nil {
		return nil
	}
	js := p.jobs[n.Job]
	if js == nil || n.Occurrence >= len(js.occurrences) {
		return nil
	}
	o := js.occurrences[n.Occurrence]
	if n.Step >= len(o.steps) || n.Index >= len(o.steps[n.Step].tasks) {
		return nil
	}
	return o.steps[n.Step].tasks[n.Index]
}
