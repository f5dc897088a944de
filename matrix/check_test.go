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

// checker judges a history and returns what breaks its promise.
type checker struct {
	name  string
	check func(h *history) []string
}

// checkers has one checker for each promise of docs/design.md, in its order,
// and those of liveness.
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
}

func judge(h *history) []string {
	var found []string
	for _, c := range checkers {
		for _, f := range c.check(h) {
			found = append(found, c.name+": "+f)
		}
	}
	return found
}

// Bounds of docs/proofs.md.
const (
	reclaimBound = 5 * time.Second
	// takeOverBound is how long after a fault the site may be without a planner.
	takeOverBound = 5 * time.Second
	leavingBound  = 2 * time.Second
	changeBound   = 5 * time.Second
)

// checkReclaim demands that a claim runs within 5 s of its submission, or within
// 5 s of the time at which the site has a planner again after the last fault.
func checkReclaim(h *history) []string {
	var bad []string
	for _, r := range h.requests {
		if !r.claim {
			continue
		}
		sub, ok := h.lastSubmission(r.label)
		if !ok || sub.resp.Outcome != callerapi.Ran || sub.err != "" {
			continue // This try was given up; the next one counts.
		}
		bound, from := reclaimBound, sub.start
		if h.anyFaultBy(sub.end) {
			bound, from = reclaimBound+takeOverBound, later(sub.start, h.faultEnd)
		}
		began := h.firstStart(r.label)
		if began.IsZero() || began.Sub(from) > bound {
			bad = append(bad, fmt.Sprintf("%s began %v after its claim, bound %v", r.label, began.Sub(from), bound))
		}
	}
	return bad
}

// checkGang demands that no member of a gang works before all are there, that none
// works on once another has ended, and that no member is left alone without a
// fault.
func checkGang(h *history) []string {
	parts := make(map[string]int)
	for _, x := range h.ran {
		id, _, _ := strings.Cut(x.ID, ".")
		parts[id] = h.requests[x.label].parts
	}
	bad := worker.CheckGangs(h.records(), func(n job.TaskName) int { return parts[n.Job] }, h.ended)
	for _, x := range h.ran {
		if h.requests[x.label].parts > 1 && x.Ended == worker.EndAlone && !h.anyFaultBy(x.End) {
			bad = append(bad, fmt.Sprintf("%s run %d was left alone", x.ID, x.Run))
		}
	}
	return bad
}

// checkAnswer demands that an answer has every part, that each is the one that
// the request's tasks produced, and that they ran.
func checkAnswer(h *history) []string {
	var bad []string
	for _, t := range h.told {
		if t.resp.Outcome != callerapi.Ran {
			continue
		}
		a := t.resp.Answer
		if a == nil || len(a.Parts) != t.req.parts {
			bad = append(bad, fmt.Sprintf("%s was answered without all parts: %+v", t.label, a))
			continue
		}
		if t.req.key != "" && t.resp.Key != t.req.key {
			bad = append(bad, fmt.Sprintf("%s was answered with key %s", t.label, t.resp.Key))
		}
		if a.Failed {
			if !slices.ContainsFunc(h.ran, func(x execution) bool { return x.label == t.label && h.hasFailed(x) }) {
				bad = append(bad, t.label+" was answered as failed but no task failed")
			}
			continue
		}
		for i, p := range a.Parts {
			if got := labelIn(p); got != t.label {
				bad = append(bad, fmt.Sprintf("part %d of %s is the answer to %q", i, t.label, got))
			}
		}
		if !h.completed(t.label, t.req.parts, t.end) {
			bad = append(bad, t.label+" was answered but its tasks had not all ended")
		}
	}
	return bad
}

// hasFailed reports whether a run failed, or was stopped because it ran for longer
// than its kind allows.
func (h *history) hasFailed(x execution) bool {
	return x.Ended == worker.EndFailed || x.Ended == worker.EndStopped && !x.Began.IsZero() && h.endOf(x).Sub(x.Began) >= runLimit
}

// completed reports whether all parts of one run had ended with a result.
func (h *history) completed(label string, parts int, by time.Time) bool {
	done := make(map[int64]int)
	for _, x := range h.ran {
		if x.label == label && x.Ended == worker.EndDone && !x.End.After(by) {
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

// checkNotRun demands that each execution belongs to a submission that was not
// told "not run".
func checkNotRun(h *history) []string {
	var bad []string
	for _, x := range h.ran {
		explained, toldNot := false, false
		for _, t := range h.told {
			if t.label != x.label || t.lookup || t.start.After(x.Start) {
				continue
			}
			if t.err == "" && t.resp.Outcome == callerapi.NotRun {
				toldNot = true
			} else {
				explained = true
			}
		}
		if toldNot && !explained {
			bad = append(bad, fmt.Sprintf("%s ran as %s on %s although its caller was told that it did not", x.label, x.ID, x.worker))
		}
	}
	// A lookup speaks of all submissions that were answered before it.
	for _, t := range h.told {
		if !t.lookup || t.resp.Outcome != callerapi.NotRun {
			continue
		}
		for _, x := range h.ran {
			if x.label == t.label && !h.submittedAfter(t.label, t.start, x.Start) {
				bad = append(bad, fmt.Sprintf("%s ran as %s although a lookup told that it did not", x.label, x.ID))
			}
		}
	}
	return bad
}

// submittedAfter reports whether a submission that was not over when a lookup
// began explains a start.
func (h *history) submittedAfter(label string, lookup, to time.Time) bool {
	return slices.ContainsFunc(h.told, func(t told) bool {
		return t.label == label && !t.lookup && t.end.After(lookup) && !t.start.After(to) && t.resp.Outcome != callerapi.NotRun
	})
}

// checkOnce demands that a non-idempotent request ran at most once, that no two runs
// of a task overlap, and that none begins after one has done the task, unless that
// end was void before.
func checkOnce(h *history) []string {
	runs := make(map[string][]string)
	for _, x := range h.ran {
		if h.requests[x.label].nonIdempotent {
			runs[x.label] = append(runs[x.label], x.ID+" on "+x.worker)
		}
	}
	bad := worker.CheckOnce(h.records(), h.ended)
	for label, list := range runs {
		if len(list) > 1 {
			bad = append(bad, label+" ran as "+strings.Join(list, " and "))
		}
	}
	return bad
}

// checkLeaving demands that a leaving worker starts nothing 2 s later.
func checkLeaving(h *history) []string {
	var bad []string
	for _, d := range h.drains {
		limit := d.from.Add(leavingBound)
		for _, x := range h.ran {
			if x.Life == d.life && x.Start.After(limit) {
				bad = append(bad, fmt.Sprintf("%s began on %s %v after it began to leave", x.ID, d.life, x.Start.Sub(d.from)))
			}
		}
	}
	return bad
}

// checkGraceful demands that a shutdown that no fault disturbs ends no request of
// a caller without a response and stops no task.
func checkGraceful(h *history) []string {
	var bad []string
	for _, l := range h.leaves {
		if h.touched[l.process] || h.touched[workerOf(l.process)] || h.touched[platformHost] || h.touched[callerHost] {
			continue
		}
		for _, t := range h.told {
			if t.entry == l.process && t.err != "" && t.start.Before(l.from) && t.end.After(l.from) {
				bad = append(bad, fmt.Sprintf("call for %s to %s was cut: %s", t.label, l.process, t.err))
			}
		}
		for _, x := range h.ran {
			r := h.requests[x.label]
			stopped := x.Ended == worker.EndStopped || x.Ended == worker.EndLapsed
			if x.target == l.process && stopped && r.parts == 1 && !r.lent && !h.canceled[x.label] &&
				x.Start.Before(l.from) && x.End.After(l.from) && (l.until.IsZero() || x.End.Before(l.until)) {
				bad = append(bad, fmt.Sprintf("%s was %s during the shutdown of %s", x.ID, x.Ended, l.process))
			}
		}
	}
	return bad
}

// checkConfiguration demands that no process goes back to a lower generation, and
// that every live one holds an accepted generation in time.
func checkConfiguration(h *history) []string {
	var bad []string
	highest := make(map[string]uint64)
	for _, x := range h.held {
		if x.generation < highest[x.process] {
			bad = append(bad, fmt.Sprintf("%s went from generation %d to %d", x.process, highest[x.process], x.generation))
		}
		highest[x.process] = max(highest[x.process], x.generation)
	}
	for _, k := range h.changes {
		if !slices.Contains(h.kinds, k) {
			bad = append(bad, "the accepted change that added "+k+" was reverted")
		}
	}
	for _, a := range h.accepted {
		limit := later(a.at, h.faultEnd).Add(changeBound)
		if h.ended.Before(limit) {
			continue
		}
		for _, p := range h.live {
			if !slices.ContainsFunc(h.held, func(x held) bool {
				return x.process == p && x.generation >= a.generation && !x.at.After(limit)
			}) {
				bad = append(bad, fmt.Sprintf("%s did not hold generation %d by the bound", p, a.generation))
			}
		}
	}
	return bad
}

// checkLiveness demands an outcome for every request and that nothing is left on the
// workers or in the queues.
func checkLiveness(h *history) []string {
	var bad []string
	for _, p := range h.pending {
		bad = append(bad, p+" has no outcome at the bound")
	}
	for _, t := range h.told {
		if t.lookup && t.err == "no such job" && h.acceptedBy(t.label, t.start) {
			bad = append(bad, t.label+" was accepted and is unknown")
		}
	}
	return append(bad, h.slots...)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
