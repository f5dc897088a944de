package matrix

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/standin/worker"
)

// lastSubmission returns the last response to a submission under a label.
func (h *history) lastSubmission(label string) (callRecord, bool) {
	var last callRecord
	found := false
	for _, c := range h.calls {
		if c.label == label && !c.existingJob {
			last, found = c, true
		}
	}
	return last, found
}

// acceptedBy reports whether a caller had a response before the given time which said
// that the job was accepted.
func (h *history) acceptedBy(label string, by time.Time) bool {
	return slices.ContainsFunc(h.calls, func(c callRecord) bool {
		return c.label == label && !c.existingJob && c.err == "" && c.resp.State != "" && c.end.Before(by)
	})
}

// faultStartedBy reports whether a fault had begun by t.
func (h *history) faultStartedBy(t time.Time) bool {
	return slices.ContainsFunc(h.faultStarts, func(f time.Time) bool { return !f.After(t) })
}

func (h *history) firstStart(label string) time.Time {
	var first time.Time
	for _, x := range h.executions {
		if x.label == label && (first.IsZero() || x.Start.Before(first)) {
			first = x.Start
		}
	}
	return first
}

// endOf returns the end of an execution, or the end of the scenario's run if the
// execution had not ended.
func (h *history) endOf(x execution) time.Time {
	if x.End.IsZero() {
		return h.runEnd
	}
	return x.End
}

// records converts the executions to the records that package worker checks.
func (h *history) records() []worker.Record {
	out := make([]worker.Record, len(h.executions))
	for i, x := range h.executions {
		out[i] = worker.Record{
			Task: x.TaskID, Run: x.Run, Worker: x.Incarnation, Arrived: x.Start, Began: x.Began, Ended: x.End, How: x.EndReason, Void: x.VoidAt,
			CrashesWorker: x.CrashesWorker, Excess: x.Excess, CapacityAge: x.CapacityAge,
		}
	}
	return out
}

// trace lists the calls and the executions.
func (h *history) trace() string {
	var b strings.Builder
	for _, c := range h.calls {
		fmt.Fprintf(&b, "call  %s..%s %s at %s: %s%s %s %s %s\n", formatClock(c.start), formatClock(c.end), c.label, c.entry,
			c.resp.Outcome, c.resp.State, c.resp.Reason, c.resp.Detail, c.err)
	}
	for _, x := range h.executions {
		fmt.Fprintf(&b, "ran   %s..%s %s on %s as %s run %d: %s\n", formatClock(x.Start), formatClock(x.End), x.label, x.worker, x.TaskID, x.Run, x.EndReason)
	}
	return b.String()
}

func formatClock(t time.Time) string { return t.Format("04:05.000") }
