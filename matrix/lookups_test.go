package matrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/standin/worker"
)

// lastSubmission returns the last response to a submission under a label.
func (h *history) lastSubmission(label string) (told, bool) {
	var last told
	found := false
	for _, t := range h.told {
		if t.label == label && !t.lookup {
			last, found = t, true
		}
	}
	return last, found
}

// acceptedBy reports whether a caller had been told that its job is accepted.
func (h *history) acceptedBy(label string, by time.Time) bool {
	return slices.ContainsFunc(h.told, func(t told) bool {
		return t.label == label && !t.lookup && t.err == "" && t.resp.State != "" && t.end.Before(by)
	})
}

// anyFaultBy reports whether a fault had begun.
func (h *history) anyFaultBy(t time.Time) bool {
	return slices.ContainsFunc(h.faults, func(f time.Time) bool { return !f.After(t) })
}

func (h *history) firstStart(label string) time.Time {
	var first time.Time
	for _, x := range h.ran {
		if x.label == label && (first.IsZero() || x.Start.Before(first)) {
			first = x.Start
		}
	}
	return first
}

// endOf returns the end of an execution, or of the run if it has not ended.
func (h *history) endOf(x execution) time.Time {
	if x.End.IsZero() {
		return h.ended
	}
	return x.End
}

// records returns the executions as the workers' records.
func (h *history) records() []worker.Record {
	out := make([]worker.Record, len(h.ran))
	for i, x := range h.ran {
		out[i] = worker.Record{
			Task: x.ID, Run: x.Run, Worker: x.Life, Arrived: x.Start, Began: x.Began, Ended: x.End, How: x.Ended, Void: x.Void,
		}
	}
	return out
}

// trace lists what callers were told and what ran.
func (h *history) trace() string {
	var b strings.Builder
	for _, t := range h.told {
		fmt.Fprintf(&b, "told  %s..%s %s by %s: %s%s %s %s %s\n", clock(t.start), clock(t.end), t.label, t.entry,
			t.resp.Outcome, t.resp.State, t.resp.Reason, t.resp.Detail, t.err)
	}
	for _, x := range h.ran {
		fmt.Fprintf(&b, "ran   %s..%s %s on %s as %s run %d: %s\n", clock(x.Start), clock(x.End), x.label, x.worker, x.ID, x.Run, x.Ended)
	}
	return b.String()
}

func clock(t time.Time) string { return t.Format("04:05.000") }
