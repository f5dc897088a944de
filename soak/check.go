package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/state/job"
)

// Bounds of the promises to users. schedulingSlack is added to most of them: all
// processes share one machine, whose scheduler may delay any of them.
const (
	schedulingSlack = 2 * time.Second
	drainBound      = 2 * time.Second // from a drain notice to the last start
	cancelBound     = 3*time.Second + stopTime
	// reclaimBound is from the acceptance of a job within a guarantee to the starts of
	// its tasks.
	reclaimBound = 2900 * time.Millisecond
	// rollbackBound is how long an older version may still be observed after a newer
	// one took effect.
	rollbackBound = 250 * time.Millisecond
	// capacityBound is how long a worker may have reported a smaller capacity when a start
	// brings it over that.
	capacityBound = 3 * time.Second
	// evacuationBound is from the request to evacuate a data centre to the last start there, also
	// while faults are active.
	evacuationBound = 5 * time.Second
	// memoryBoundMB is the memory of the smallest machine that runs a process.
	memoryBoundMB = 152
)

// check returns the violations of a run: those recorded during it and those that its
// records show. A violation starts with one of these prefixes:
//
//   - twice: a task ran twice at once, or again after it was done
//   - gang: a gang began incomplete, or a member worked on after another had ended
//   - label: a run started on a worker without the label that its step requires
//   - budget: a task that crashes its workers was started too often
//   - capacity: a start brought a worker over its capacity
//   - unasked: the task of a run was not submitted or not accepted, or the payload differs
//   - order: a run started before the steps it depends on were done
//   - cancelled: a run of a cancelled job started or went on too late
//   - drain: a run started on a draining worker
//   - evacuation: a run started in an evacuated data centre
//   - mixed: a reported state contradicts the runs, or a final state changed
//   - reclaim: a job within a guarantee started late
//   - configuration: a version took effect late or not at all, or an older one returned
//   - graceful: a process that shut down cut a call
//   - lost: an accepted job is unknown or has not ended
//   - processes: a process exited without a signal or with an error code after one, or did not
//     start
//   - memory: a process used more than memoryBoundMB
func (h *history) check(records []worker.Record, versions []configVersion, now time.Time) []string {
	h.mu.Lock()
	found := slices.Clone(h.violations)
	jobs := h.jobs
	h.mu.Unlock()
	addViolations := func(promise string, list []string) {
		for _, x := range list {
			found = append(found, promise+": "+x)
		}
	}
	size := func(n job.TaskName) int { return gangSize(jobs, n) }
	addViolations("twice", worker.CheckOnce(records, size, now))
	addViolations("gang", worker.CheckGangs(records, size, now))
	addViolations("label", worker.CheckLabels(records))
	addViolations("budget", worker.CheckCrashBudget(records))
	addViolations("capacity", worker.CheckCapacity(records, capacityBound))
	addViolations("unasked", checkSubmitted(jobs, records))
	addViolations("order", checkStepOrder(jobs, records))
	addViolations("cancelled", h.checkCancelled(records, now))
	addViolations("drain", h.checkDrains(records))
	addViolations("evacuation", h.checkEvacuations(records))
	addViolations("mixed", checkStates(jobs, records))
	addViolations("reclaim", h.checkClaims(records))
	addViolations("configuration", h.checkProbes(versions))
	return found
}

func gangSize(jobs map[string]*jobRecord, n job.TaskName) int {
	r := jobs[n.Job]
	if r == nil || n.Step >= len(r.job.Steps) || !r.job.Steps[n.Step].Gang {
		return 1
	}
	return r.job.Steps[n.Step].Tasks
}

// checkSubmitted reports runs of tasks that were not submitted, that have another
// payload, or for whose submissions all responses said that they were not accepted.
func checkSubmitted(jobs map[string]*jobRecord, records []worker.Record) []string {
	var bad []string
	for _, x := range records {
		n, err := job.ParseTaskName(x.Task)
		r := jobs[n.Job]
		switch {
		case err != nil || r == nil || n.Step >= len(r.job.Steps) || n.Index >= r.job.Steps[n.Step].Tasks:
			bad = append(bad, fmt.Sprintf("%s was started but never submitted", x.Task))
		case x.Payload != r.job.Payload:
			bad = append(bad, fmt.Sprintf("%s was started with a payload other than the submitted one", x.Task))
		case r.acceptedAt.IsZero() && !r.outcomeUnknown && r.refusals > 0:
			bad = append(bad, fmt.Sprintf("%s was started although its caller was told that it was not accepted", x.Task))
		}
	}
	return bad
}

// doneAt returns when the last task of a step was done, or zero if some are not. The
// end of one member counts for a whole gang.
func doneAt(r *jobRecord, step int, records []worker.Record) time.Time {
	done := make(map[int]time.Time)
	for _, x := range records {
		n, err := job.ParseTaskName(x.Task)
		if err == nil && n.Job == r.job.ID && n.Step == step && x.How == worker.EndDone {
			if t, ok := done[n.Index]; !ok || x.Ended.Before(t) {
				done[n.Index] = x.Ended
			}
		}
	}
	need := r.job.Steps[step].Tasks
	if r.job.Steps[step].Gang {
		need = 1
	}
	if len(done) < need {
		return time.Time{}
	}
	var last time.Time
	for _, t := range done {
		if t.After(last) {
			last = t
		}
	}
	return last
}

// checkStepOrder reports runs that started before the steps they depend on were done.
func checkStepOrder(jobs map[string]*jobRecord, records []worker.Record) []string {
	var bad []string
	for _, x := range records {
		n, err := job.ParseTaskName(x.Task)
		r := jobs[n.Job]
		if err != nil || r == nil || n.Step >= len(r.job.Steps) {
			continue
		}
		for _, a := range r.job.Steps[n.Step].After {
			if t := doneAt(r, a, records); t.IsZero() || x.Arrived.Before(t) {
				bad = append(bad, fmt.Sprintf("%s started before step %d was done", x.Task, a))
			}
		}
	}
	return bad
}

// checkCancelled reports runs of cancelled jobs that start or still run cancelBound
// after the acknowledgement, if that period was free of faults. If the response to the
// cancellation was that there is no such job, it reports all runs, whatever faults are active.
func (h *history) checkCancelled(records []worker.Record, now time.Time) []string {
	var bad []string
	for id, r := range h.jobs {
		limit := r.cancelAckedAt.Add(cancelBound + schedulingSlack)
		if r.cancelAckedAt.IsZero() || !r.cancelledEarly && !h.faultFree(r.cancelAckedAt, limit) {
			continue
		}
		for _, x := range records {
			if !strings.HasPrefix(x.Task, id+".") {
				continue
			}
			if r.cancelledEarly {
				bad = append(bad, fmt.Sprintf("%s was started although the cancellation of its job was answered that there is no such job", x.Task))
				continue
			}
			if x.Arrived.After(limit) || x.Arrived.Before(limit) && (x.Ended.IsZero() && now.After(limit) || x.Ended.After(limit)) {
				bad = append(bad, fmt.Sprintf("%s ran more than %v after the cancellation of its job was acknowledged", x.Task, limit.Sub(r.cancelAckedAt)))
			}
		}
	}
	return bad
}

// checkDrains reports runs that start on a worker later than drainBound after its drain
// notice, if no other fault was active.
func (h *history) checkDrains(records []worker.Record) []string {
	var bad []string
	for _, d := range h.drains {
		for _, x := range records {
			if x.Worker == d.worker && x.Born == d.born && x.Arrived.After(d.at.Add(drainBound+heartbeatInterval)) && h.faultFreeExcept(d.at, x.Arrived, faultWorkerDrain) {
				bad = append(bad, fmt.Sprintf("%s started on %s %v after the drain notice", x.Task, x.Incarnation(), x.Arrived.Sub(d.at)))
			}
		}
	}
	return bad
}

// checkEvacuations reports runs that start in an evacuated data centre later than
// evacuationBound after the request, whatever faults are active.
func (h *history) checkEvacuations(records []worker.Record) []string {
	var bad []string
	for _, e := range h.evacuations {
		for _, x := range records {
			if slices.Contains(e.workers, x.Target) && x.Arrived.After(e.from.Add(evacuationBound+schedulingSlack)) && (e.to.IsZero() || x.Arrived.Before(e.to)) {
				bad = append(bad, fmt.Sprintf("%s started on %s %v after the request to evacuate %s", x.Task, x.Incarnation(), x.Arrived.Sub(e.from), e.dataCentre))
			}
		}
	}
	return bad
}

// checkStates reports jobs whose last state is contradicted by the runs: completed
// before all steps were done, failed without a failed run, two crashes under a task or a
// cancellation, or cancelled without a cancellation.
func checkStates(jobs map[string]*jobRecord, records []worker.Record) []string {
	var bad []string
	for id, r := range jobs {
		if r.state == "failed" && r.cancelSentAt.IsZero() {
			if !slices.ContainsFunc(records, func(x worker.Record) bool {
				return strings.HasPrefix(x.Task, id+".") && x.How == worker.EndFailed
			}) && !worker.Crashed(records, id) {
				bad = append(bad, id+" was reported as failed although none of its runs failed and no task crashed two workers")
			}
		}
		if r.state == "cancelled" && r.cancelSentAt.IsZero() {
			bad = append(bad, id+" was reported as cancelled although no caller cancelled it")
		}
		if r.state != "completed" {
			continue
		}
		for i := range r.job.Steps {
			if t := doneAt(r, i, records); t.IsZero() || t.After(r.stateSeenAt) {
				bad = append(bad, fmt.Sprintf("%s was reported as completed before its step %d was done", id, i))
			}
		}
	}
	return bad
}

// checkClaims reports tasks of jobs within a guarantee that did not start within
// reclaimBound of the acceptance, if that period was free of faults. The only caller
// that uses its guarantee submits jobs one at a time, so each fits into it.
func (h *history) checkClaims(records []worker.Record) []string {
	var bad []string
	for id, r := range h.jobs {
		limit := r.acceptedAt.Add(reclaimBound + schedulingSlack)
		if !r.usesGuarantee || r.acceptedAt.IsZero() || !h.faultFree(r.acceptedAt, limit) {
			continue
		}
		for i := range r.job.Steps[0].Tasks {
			name := job.TaskName{Job: id, Index: i}.String()
			if !slices.ContainsFunc(records, func(x worker.Record) bool { return x.Task == name && !x.Arrived.After(limit) }) {
				bad = append(bad, fmt.Sprintf("claim %s had not started %v after its acceptance", name, limit.Sub(r.acceptedAt)))
			}
		}
	}
	return bad
}

// expectedStatus returns the status of the response of an entry that uses the version to
// a probe with key.
func (v configVersion) expectedStatus(key string) int {
	switch {
	case !v.hasExtra:
		return http.StatusNotFound
	case v.changingKey != key:
		return http.StatusUnauthorized
	}
	return http.StatusOK
}

// checkProbes reports responses to probes that no version explains, that show an entry
// without a version that had to be in force, or that show one going back to an older
// version. A version has to be in force configInForce after its write if that period
// was free of faults.
func (h *history) checkProbes(versions []configVersion) []string {
	var bad []string
	type boot struct {
		entry  string
		number int
	}
	lowest := make(map[boot]uint64)         // oldest version that the responses so far allow
	lowestSince := make(map[boot]time.Time) // when the probe that showed it was sent
	for _, p := range h.probes {
		if p.status == http.StatusServiceUnavailable || p.status == http.StatusGatewayTimeout {
			continue
		}
		b := boot{p.entry, p.boot}
		var first, last uint64 // oldest and newest version that explain the response
		required := uint64(0)
		for _, v := range versions {
			if v.expectedStatus(p.key) == p.status {
				if first == 0 {
					first = v.number
				}
				last = v.number
			}
			if v.ackedAt.Add(configInForce+schedulingSlack).Before(p.sent) && h.faultFree(v.ackedAt, p.sent) {
				required = v.number
			}
		}
		switch {
		case last == 0:
			bad = append(bad, fmt.Sprintf("%s answered status %d for key %s, which no version explains", p.entry, p.status, p.key))
			continue
		case last < required:
			bad = append(bad, fmt.Sprintf("%s answered as version %d at most although version %d had to be in force", p.entry, last, required))
		case last < lowest[b] && p.sent.After(lowestSince[b].Add(rollbackBound)):
			bad = append(bad, fmt.Sprintf("%s went back from version %d to %d", p.entry, lowest[b], last))
		}
		if first > lowest[b] {
			lowest[b], lowestSince[b] = first, p.sent
		}
	}
	return bad
}
