package matrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/protocol/callerapi"
	"github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/state/job"
)

// checker returns a description of each violation of one promise in a history.
type checker struct {
	name  string
	check func(h *history) []string
}

// checkers holds one checker for each promise of docs/design.md, in the same order,
// then those of liveness, of linearizable keys, and of the limits on starts.
var checkers = []checker{
	{"1-reclaim", checkReclaim},
	{"2-gang", checkGang},
	{"3-answer", checkAnswer},
	{"4-not-run", checkNotRun},
	{"5-at-most-once", checkOnce},
	{"6-leaving", checkLeaving},
	{"7-graceful", checkGraceful},
	{"8-configuration", checkConfiguration},
	{"liveness", checkLiveness},
	{"keys-linearizable", checkKeys},
	{"crash-budget", func(h *history) []string { return worker.CheckCrashBudget(h.records()) }},
	{"evacuation", checkEvacuation},
	{"canceled", checkCanceled},
	{"capacity", func(h *history) []string { return worker.CheckCapacity(h.records(), capacityBound) }},
}

// violations returns what the checkers find, each with the checker's name.
func violations(h *history) []string {
	var found []string
	for _, c := range checkers {
		for _, violation := range c.check(h) {
			found = append(found, c.name+": "+violation)
		}
	}
	return found
}

// noSuchJob is the error of a call whose answer was that the job does not exist.
const noSuchJob = "no such job"

// Bounds of docs/proofs.md.
const (
	reclaimBound = 5 * time.Second
	// takeoverBound is how long the site may have no planner after a fault.
	takeoverBound     = 5 * time.Second
	leavingBound      = 2 * time.Second
	configChangeBound = 5 * time.Second
	// evacuationBound is the time from the acknowledged request to evacuate a data centre to
	// the last start there.
	evacuationBound = 5 * time.Second
	// cancelBound is the time from the answer to a cancellation to the last start of its job.
	cancelBound = 3 * time.Second
	// capacityBound is how long a worker may have reported a smaller capacity when a start
	// brings it over that.
	capacityBound = 3 * time.Second
)

// checkReclaim checks that a claim starts within 5 s of its submission. If a fault has
// begun by the response, the site gets takeoverBound more, and the time counts from the
// end of the last fault if that is later than the submission.
func checkReclaim(h *history) []string {
	var bad []string
	for _, r := range h.requests {
		if !r.claim {
			continue
		}
		sub, ok := h.lastSubmission(r.label)
		if !ok || sub.resp.Outcome != callerapi.Ran || sub.err != "" {
			continue // The caller got no result from this attempt; a later one is checked.
		}
		bound, from := reclaimBound, sub.start
		if h.faultStartedBy(sub.end) {
			bound, from = reclaimBound+takeoverBound, later(sub.start, h.lastFaultEnd)
		}
		began := h.firstStart(r.label)
		if began.IsZero() || began.Sub(from) > bound {
			bad = append(bad, fmt.Sprintf("%s started %v after its claim, bound %v", r.label, began.Sub(from), bound))
		}
	}
	return bad
}

// checkGang checks that no member of a gang works before all members have started,
// that none continues after another has ended, and that without a fault none ends
// for lack of the other members.
func checkGang(h *history) []string {
	bad := worker.CheckGangs(h.records(), h.gangSizes(), h.runEnd)
	for _, x := range h.executions {
		if h.requests[x.label].parts > 1 && x.EndReason == worker.EndAlone && !h.faultStartedBy(x.End) {
			bad = append(bad, fmt.Sprintf("%s run %d ended without the other members of its gang", x.TaskID, x.Run))
		}
	}
	return bad
}

// gangSizes returns the function that gives the size of the gang of a task's step, or 1
// if it is none.
func (h *history) gangSizes() func(n job.TaskName) int {
	parts := make(map[string]int)
	for _, x := range h.executions {
		id, _, _ := strings.Cut(x.TaskID, ".")
		parts[id] = h.requests[x.label].parts
	}
	return func(n job.TaskName) int { return parts[n.Job] }
}

// checkAnswer checks that an answer has all parts and no others, that the request's
// own tasks produced each part, and that these tasks had ended before the answer.
func checkAnswer(h *history) []string {
	var bad []string
	for _, c := range h.calls {
		if c.resp.Outcome != callerapi.Ran {
			continue
		}
		a := c.resp.Answer
		if a == nil || len(a.Parts) != c.req.parts {
			bad = append(bad, fmt.Sprintf("the answer to %s has the wrong number of parts: %+v", c.label, a))
			continue
		}
		if c.req.key != "" && c.resp.Key != c.req.key {
			bad = append(bad, fmt.Sprintf("the answer to %s has key %s", c.label, c.resp.Key))
		}
		if a.Failed {
			if !slices.ContainsFunc(h.executions, func(x execution) bool { return x.label == c.label && h.hasFailed(x) }) && !worker.Crashed(h.records(), c.resp.Job) {
				bad = append(bad, c.label+" was reported as failed but no task failed")
			}
			continue
		}
		for i, p := range a.Parts {
			if got := labelOf(p); got != c.label {
				bad = append(bad, fmt.Sprintf("part %d of the answer to %s belongs to %q", i, c.label, got))
			}
		}
		if !h.completed(c.label, c.req.parts, c.end) {
			bad = append(bad, c.label+" was answered but its tasks had not all ended")
		}
	}
	return bad
}

// hasFailed reports whether an execution failed, or was stopped after it had run for
// at least runLimit.
func (h *history) hasFailed(x execution) bool {
	return x.EndReason == worker.EndFailed || x.EndReason == worker.EndStopped && !x.Began.IsZero() && h.endOf(x).Sub(x.Began) >= runLimit
}

// completed reports whether all parts of one run had ended with a result by a time.
func (h *history) completed(label string, parts int, by time.Time) bool {
	done := make(map[int64]int)
	for _, x := range h.executions {
		if x.label == label && x.EndReason == worker.EndDone && !x.End.After(by) {
			done[x.Run]++
		}
	}
	for _, n := range done {
		if n >= parts {
			return true
		}
	}
	return false
}

// checkNotRun checks that each execution belongs to a submission whose response was
// not "not run".
func checkNotRun(h *history) []string {
	var bad []string
	for _, x := range h.executions {
		mayHaveRun, reportedNotRun := false, false
		for _, c := range h.calls {
			if c.label != x.label || c.existingJob || c.start.After(x.Start) {
				continue
			}
			if c.err == "" && c.resp.Outcome == callerapi.NotRun {
				reportedNotRun = true
			} else {
				mayHaveRun = true
			}
		}
		if reportedNotRun && !mayHaveRun {
			bad = append(bad, fmt.Sprintf("%s ran as %s on %s although its submission was answered as not run", x.label, x.TaskID, x.worker))
		}
	}
	// The response to a lookup covers all submissions that were answered before it.
	for _, c := range h.calls {
		if !c.existingJob || c.resp.Outcome != callerapi.NotRun {
			continue
		}
		for _, x := range h.executions {
			if x.label == c.label && !h.openSubmissionExplains(c.label, c.start, x.Start) {
				bad = append(bad, fmt.Sprintf("%s ran as %s although a lookup reported that it did not run", x.label, x.TaskID))
			}
		}
	}
	return bad
}

// openSubmissionExplains reports whether a submission that had no response when the
// lookup began, and that was sent before the run started, may have caused the run.
func (h *history) openSubmissionExplains(label string, lookupStart, runStart time.Time) bool {
	return slices.ContainsFunc(h.calls, func(c callRecord) bool {
		return c.label == label && !c.existingJob && c.end.After(lookupStart) && !c.start.After(runStart) && c.resp.Outcome != callerapi.NotRun
	})
}

// checkOnce checks that a non-idempotent request ran at most once, that no two runs
// of a task overlap, and that none starts after another has completed the task,
// unless that completion was void by then.
func checkOnce(h *history) []string {
	runs := make(map[string][]string)
	for _, x := range h.executions {
		if h.requests[x.label].nonIdempotent {
			runs[x.label] = append(runs[x.label], x.TaskID+" on "+x.worker)
		}
	}
	bad := worker.CheckOnce(h.records(), h.gangSizes(), h.runEnd)
	for label, list := range runs {
		if len(list) > 1 {
			bad = append(bad, label+" ran as "+strings.Join(list, " and "))
		}
	}
	return bad
}

// checkLeaving checks that a worker starts nothing later than 2 s after it was told
// to leave.
func checkLeaving(h *history) []string {
	var bad []string
	for _, d := range h.drains {
		limit := d.requested.Add(leavingBound)
		for _, x := range h.executions {
			if x.Incarnation == d.incarnation && x.Start.After(limit) {
				bad = append(bad, fmt.Sprintf("%s started on %s %v after the worker was told to leave", x.TaskID, d.incarnation, x.Start.Sub(d.requested)))
			}
		}
	}
	return bad
}

// checkEvacuation checks that nothing starts in an evacuated data centre later than the
// bound.
func checkEvacuation(h *history) []string {
	var bad []string
	for _, e := range h.evacuations {
		limit := e.requested.Add(evacuationBound)
		for _, x := range h.executions {
			if x.dataCentre == e.dataCentre && x.Start.After(limit) && (e.released.IsZero() || x.Start.Before(e.released)) {
				bad = append(bad, fmt.Sprintf("%s started on %s %v after the request to evacuate %s", x.TaskID, x.worker, x.Start.Sub(e.requested), e.dataCentre))
			}
		}
	}
	return bad
}

// checkCanceled checks that nothing of a job starts later than the bound after the answer to its
// cancellation, or at all if the answer was that there is no such job. If a fault has begun by
// then, the bound counts from the end of the last one, and the site gets takeoverBound more.
func checkCanceled(h *history) []string {
	var bad []string
	for _, c := range h.calls {
		if !c.cancels || c.err != "" && c.err != noSuchJob {
			continue
		}
		limit := c.end.Add(cancelBound)
		if h.faultStartedBy(limit) {
			limit = later(c.end, h.lastFaultEnd).Add(cancelBound + takeoverBound)
		}
		for _, x := range h.executions {
			switch {
			case x.label != c.label:
			case c.err == noSuchJob:
				bad = append(bad, fmt.Sprintf("%s was started although its cancellation was answered that there is no such job", x.TaskID))
			case x.Start.After(limit):
				bad = append(bad, fmt.Sprintf("%s was started %v after its cancellation was answered", x.TaskID, x.Start.Sub(c.end)))
			}
		}
	}
	return bad
}

// checkGraceful checks that a graceful shutdown without a fault at the hosts involved
// leaves no call without a response and stops no task.
func checkGraceful(h *history) []string {
	var bad []string
	for _, sd := range h.shutdowns {
		if h.affected[sd.process] || h.affected[workerHostOf(sd.process)] || h.affected[platformHost] || h.affected[callerHost] {
			continue
		}
		for _, c := range h.calls {
			if c.entry == sd.process && c.err != "" && c.err != noSuchJob && c.start.Before(sd.requested) && c.end.After(sd.requested) {
				bad = append(bad, fmt.Sprintf("call for %s to %s failed during its shutdown: %s", c.label, sd.process, c.err))
			}
		}
		for _, x := range h.executions {
			r := h.requests[x.label]
			stopped := x.EndReason == worker.EndStopped || x.EndReason == worker.EndLapsed
			if x.target == sd.process && stopped && r.parts == 1 && !r.beyondGuarantee && !h.canceled[x.label] &&
				x.Start.Before(sd.requested) && x.End.After(sd.requested) && (sd.exited.IsZero() || x.End.Before(sd.exited)) {
				bad = append(bad, fmt.Sprintf("%s ended as %s during the shutdown of %s", x.TaskID, x.EndReason, sd.process))
			}
		}
	}
	return bad
}

// checkConfiguration checks that no process returns to a lower generation, that no
// accepted change is lost, and that every live entry holds each accepted generation,
// or a later one, within the bound.
func checkConfiguration(h *history) []string {
	var bad []string
	highest := make(map[string]uint64)
	for _, cfg := range h.heldConfigs {
		if cfg.generation < highest[cfg.process] {
			bad = append(bad, fmt.Sprintf("%s went back from generation %d to %d", cfg.process, highest[cfg.process], cfg.generation))
		}
		highest[cfg.process] = max(highest[cfg.process], cfg.generation)
	}
	for _, kind := range h.addedKinds {
		if !slices.Contains(h.finalKinds, kind) {
			bad = append(bad, "the accepted change that added "+kind+" was reverted")
		}
	}
	for _, accepted := range h.acceptedConfigs {
		limit := later(accepted.at, h.lastFaultEnd).Add(configChangeBound)
		if h.runEnd.Before(limit) {
			continue
		}
		for _, p := range h.liveEntries {
			if !slices.ContainsFunc(h.heldConfigs, func(cfg configRecord) bool {
				return cfg.process == p && cfg.generation >= accepted.generation && !cfg.at.After(limit)
			}) {
				bad = append(bad, fmt.Sprintf("%s did not hold generation %d within the bound", p, accepted.generation))
			}
		}
	}
	return bad
}

// checkLiveness checks that every request has an outcome, that every accepted job is
// known, and that nothing remains on the workers or in the queues.
func checkLiveness(h *history) []string {
	var bad []string
	for _, p := range h.pending {
		bad = append(bad, p+" has no outcome within the bound")
	}
	for _, c := range h.calls {
		if c.existingJob && c.err == noSuchJob && h.acceptedBy(c.label, c.start) {
			bad = append(bad, c.label+" was accepted but a lookup did not find it")
		}
	}
	return append(bad, h.leftovers...)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
