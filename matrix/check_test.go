package matrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/protocol/callerapi"
	"github.com/medlargrade/medlargrade/standin/worker"
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

// Bounds of docs/design.md.
const (
	reclaimReachable   = 5 * time.Second
	reclaimUnreachable = 12 * time.Second
	gangStop           = 15 * time.Second
	leavingBound       = 3 * time.Second
	changeBound        = 5 * time.Second
)

// checkReclaim demands that a claim runs within 5 s of its submission, or within
// 12 s of the end of the last fault, and that lent work has stopped 12 s after
// its target was cut off.
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
		bound, from := reclaimReachable, sub.start
		if h.anyFaultBy(sub.end) {
			bound, from = reclaimUnreachable, later(sub.start, h.faultEnd)
		}
		began := h.firstStart(r.label)
		if began.IsZero() || began.Sub(from) > bound {
			bad = append(bad, fmt.Sprintf("%s began %v after its claim, bound %v", r.label, began.Sub(from), bound))
		}
	}
	for _, o := range h.outages {
		limit := o.from.Add(reclaimUnreachable)
		if o.to.Before(limit) {
			continue
		}
		for _, x := range h.ran {
			if x.target == o.target && h.requests[x.label].lent && x.Start.Before(limit) && h.endOf(x).After(limit) {
				bad = append(bad, fmt.Sprintf("lent %s still ran on %s %v after it was cut off", x.label, o.target, h.endOf(x).Sub(o.from)))
			}
		}
	}
	return bad
}

// checkGang demands that no member runs before all are held, and that the loss of
// one stops the others.
func checkGang(h *history) []string {
	var bad []string
	for task, members := range h.gangs() {
		first := members[0]
		size := h.requests[first.label].parts
		held := make(map[string]bool)
		for _, l := range h.launches {
			if l.task == task && l.held && !l.at.After(first.Start) {
				held[l.worker] = true
			}
		}
		if len(held) < size {
			bad = append(bad, fmt.Sprintf("%s began with %d of %d members held", task, len(held), size))
		}
		var lost time.Time
		note := func(t time.Time) {
			if lost.IsZero() || t.Before(lost) {
				lost = t
			}
		}
		if len(members) < size {
			note(first.Start)
		}
		for _, x := range members {
			if x.Ended == worker.EndStopped || x.Ended == worker.EndFailed {
				note(x.End)
			}
			for _, l := range h.losses {
				if l.host == x.target && !l.at.Before(x.Start) && l.at.Before(h.endOf(x)) {
					note(l.at)
				}
			}
		}
		for _, x := range members {
			if !lost.IsZero() && h.endOf(x).Sub(lost) > gangStop {
				bad = append(bad, fmt.Sprintf("member of %s on %s ran %v after the loss of a member", task, x.worker, h.endOf(x).Sub(lost)))
			}
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
			if !slices.ContainsFunc(h.ran, func(x execution) bool { return x.label == t.label && x.Ended != worker.EndDone }) {
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

// completed reports whether all parts of one attempt had ended with a result.
func (h *history) completed(label string, parts int, by time.Time) bool {
	done := make(map[string]int)
	for _, x := range h.ran {
		if x.label == label && x.Ended == worker.EndDone && !x.End.After(by) {
			done[x.ID]++
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

// checkOnce demands that a non-idempotent request ran at most once.
func checkOnce(h *history) []string {
	runs := make(map[string][]string)
	for _, x := range h.ran {
		if h.requests[x.label].nonIdempotent {
			runs[x.label] = append(runs[x.label], x.ID+" on "+x.worker)
		}
	}
	var bad []string
	for label, list := range runs {
		if len(list) > 1 {
			bad = append(bad, label+" ran as "+strings.Join(list, " and "))
		}
	}
	return bad
}

// checkLeaving demands that a leaving target starts nothing 3 s later.
func checkLeaving(h *history) []string {
	var bad []string
	for _, l := range h.leaves {
		limit := l.from.Add(leavingBound)
		for _, x := range h.ran {
			if x.target == l.process && x.Start.After(limit) && (l.until.IsZero() || x.Start.Before(l.until)) {
				bad = append(bad, fmt.Sprintf("%s began on %s %v after it began to leave", x.ID, l.process, x.Start.Sub(l.from)))
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
			if x.target == l.process && x.Ended == worker.EndStopped && r.parts == 1 && !r.lent && !h.canceled[x.label] &&
				x.Start.Before(l.from) && x.End.After(l.from) && (l.until.IsZero() || x.End.Before(l.until)) {
				bad = append(bad, fmt.Sprintf("%s was stopped (%s) during the shutdown of %s", x.ID, x.Stop, l.process))
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

// checkLiveness demands an outcome for every request and that no slot is lost.
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
