package matrix

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
	"github.com/medlargrade/medlargrade/standin/worker"
)

var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

func at(seconds float64) time.Time { return epoch.Add(time.Duration(seconds * float64(time.Second))) }

// executionAt returns an execution on worker i of task i of a job, with times in
// seconds after epoch.
func executionAt(label string, i int, from, to float64, ended string) execution {
	x := execution{
		worker: workerHost(i), target: targetHost(i), label: label, TaskID: fmt.Sprintf("%s.0.0.%d", label, i), Run: 1,
		Incarnation: fmt.Sprintf("w%d-1", i+1), Start: at(from), Began: at(from), EndReason: ended,
	}
	if ended != "" {
		x.End = at(to)
	}
	return x
}

func ranCall(r request, from, to float64, parts ...string) callRecord {
	a := &callerapi.Answer{}
	for _, p := range parts {
		a.Parts = append(a.Parts, payload(p, 0, 0))
	}
	return callRecord{
		label: r.label, req: r, entry: entryHost(0), start: at(from), end: at(to),
		resp: callerapi.Response{Outcome: callerapi.Ran, Key: r.key, Job: r.label, Answer: a},
	}
}

func notRunCall(r request, from, to float64) callRecord {
	return callRecord{
		label: r.label, req: r, entry: entryHost(0), start: at(from), end: at(to),
		resp: callerapi.Response{Outcome: callerapi.NotRun, Reason: string(outcome.ReasonDeadline), Key: r.key},
	}
}

// validHistory returns a history that breaks no promise: a gang, an at-most-once
// request, work beyond the guarantee and a claim that reclaims it, a graceful shutdown,
// a leaving worker and a change of the configuration.
func validHistory() *history {
	h := newHistory()
	h.runEnd = at(100)
	gang, ord, guest := planRequest("gang", 3, 3, 0), orderRequest("order", 0), askRequest("lent", 0)
	guest.beyondGuarantee = true
	claim := planRequest("claim", 1, 1, 0)
	claim.claim = true
	for _, r := range []request{gang, ord, guest, claim} {
		h.requests[r.label] = r
	}
	for i := range 3 {
		h.executions = append(h.executions, executionAt("gang", i, 2, 6, worker.EndDone))
	}
	h.executions = append(h.executions,
		executionAt("order", 0, 10, 11, worker.EndDone),
		executionAt("lent", 3, 10, 21, worker.EndStopped),
		executionAt("claim", 3, 22, 23, worker.EndDone))
	h.calls = []callRecord{
		ranCall(gang, 0, 7, "gang", "gang", "gang"), ranCall(ord, 9, 12, "order"), ranCall(claim, 20, 24, "claim"),
	}
	h.shutdowns = []shutdown{{process: targetHost(0), requested: at(30), exited: at(35)}}
	h.drains = []drain{{worker: workerHost(0), incarnation: "w1-1", requested: at(30)}}
	h.liveEntries = []string{"e1"}
	h.heldConfigs = []configRecord{{"e1", 1, at(0)}, {"e1", 2, at(41)}}
	h.acceptedConfigs = []configRecord{{generation: 2, at: at(40)}}
	return h
}

// Guards against a checker that misses violations, or that reports one in a valid
// history. Each case plants one violation.
func TestCheckersNoticePlantedFaults(t *testing.T) {
	onlyFirstShard(t)
	qt.Assert(t, violations(validHistory()), qt.HasLen, 0)
	find := func(h *history, label string) *execution {
		return &h.executions[slices.IndexFunc(h.executions, func(x execution) bool { return x.label == label })]
	}
	tests := []struct {
		name, checker string
		plant         func(h *history)
	}{
		{"claim late", "1-reclaim", func(h *history) { find(h, "claim").Start = at(25.5) }},
		{"member works before all are there", "2-gang", func(h *history) { h.executions[2].Start = at(3) }},
		{"member works on after a loss", "2-gang", func(h *history) {
			h.executions[0].EndReason, h.executions[0].End = worker.EndFailed, at(3)
		}},
		{"member works without the others", "2-gang", func(h *history) { h.executions = slices.Delete(h.executions, 1, 3) }},
		{"member is left alone", "2-gang", func(h *history) { h.executions[0].EndReason = worker.EndAlone }},
		{"part of the answer is missing", "3-answer", func(h *history) {
			h.calls[0].resp.Answer.Parts = h.calls[0].resp.Answer.Parts[:2]
		}},
		{"answer of another request", "3-answer", func(h *history) { h.calls[1].resp.Answer.Parts[0] = payload("gang", 0, 0) }},
		{"answer before the end", "3-answer", func(h *history) { find(h, "order").End = at(13) }},
		{"told not run after it ran", "4-not-run", func(h *history) { h.calls[1] = notRunCall(orderRequest("order", 0), 9, 12) }},
		{"runs after not run", "4-not-run", func(h *history) {
			h.calls[1] = notRunCall(orderRequest("order", 0), 1, 2)
		}},
		{"lookup tells not run", "4-not-run", func(h *history) {
			l := notRunCall(orderRequest("order", 0), 13, 14)
			l.existingJob = true
			h.calls = append(h.calls, l)
		}},
		{"runs twice", "5-at-most-once", func(h *history) { h.executions = append(h.executions, executionAt("order", 2, 50, 51, worker.EndDone)) }},
		{"runs overlap", "5-at-most-once", func(h *history) {
			h.executions = append(h.executions, executionAt("claim", 3, 22.5, 24, worker.EndDone))
		}},
		{"runs after it was done", "5-at-most-once", func(h *history) {
			h.executions = append(h.executions, executionAt("claim", 3, 50, 51, worker.EndDone))
		}},
		{"starts while leaving", "6-leaving", func(h *history) { h.drains[0].requested = at(7) }},
		{"call is cut", "7-graceful", func(h *history) {
			h.shutdowns[0].process = entryHost(0)
			h.calls = append(h.calls, callRecord{label: "x", entry: entryHost(0), start: at(29), end: at(31), err: "EOF"})
		}},
		{"task is stopped", "7-graceful", func(h *history) {
			x := executionAt("order", 0, 29, 31, worker.EndStopped)
			h.executions[3] = x
		}},
		{"change is late", "8-configuration", func(h *history) { h.heldConfigs[1].at = at(46) }},
		{"process goes back", "8-configuration", func(h *history) { h.heldConfigs = append(h.heldConfigs, configRecord{"e1", 1, at(60)}) }},
		{"accepted change is reverted", "8-configuration", func(h *history) { h.addedKinds = []string{"kind"} }},
		{"no outcome", "liveness", func(h *history) { h.pending = []string{"order"} }},
		{"slots are lost", "liveness", func(h *history) { h.leftovers = []string{"t1"} }},
		{"accepted job is unknown", "liveness", func(h *history) {
			accepted := callRecord{label: "order", start: at(50), end: at(51), resp: callerapi.Response{State: callerapi.Queued}}
			h.calls = append(h.calls, accepted, callRecord{label: "order", existingJob: true, start: at(52), err: "no such job"})
		}},
		{"not run after it was told to have run", "keys-linearizable", func(h *history) {
			h.calls = append(h.calls, notRunCall(orderRequest("order", 0), 14, 15))
		}},
		{"task crashes six workers", "crash-budget", func(h *history) {
			for i := range 6 {
				x := executionAt("claim", 0, float64(50+i), float64(50+i)+0.5, worker.EndCrashed)
				x.CrashesWorker = true
				h.executions = append(h.executions, x)
			}
		}},
		{"start over a capacity that has shrunk", "capacity", func(h *history) {
			find(h, "claim").Excess, find(h, "claim").CapacityAge = true, 4*time.Second
		}},
		{"start in an evacuated data centre", "evacuation", func(h *history) {
			x := find(h, "claim")
			x.dataCentre = "dc1"
			h.evacuations = []evacuationRecord{{dataCentre: "dc1", requested: x.Start.Add(-evacuationBound - time.Millisecond)}}
		}},
		{"starts after its cancellation", "canceled", func(h *history) {
			x := find(h, "claim")
			h.calls = append(h.calls, callRecord{label: "claim", existingJob: true, cancels: true, end: x.Start.Add(-cancelBound - time.Millisecond)})
		}},
		{"starts although there was no such job", "canceled", func(h *history) {
			h.calls = append(h.calls, callRecord{label: "claim", existingJob: true, cancels: true, err: noSuchJob, end: find(h, "claim").Start})
		}},
		{"two jobs under a key", "keys-linearizable", func(h *history) {
			other := ranCall(orderRequest("order", 0), 14, 15, "order")
			other.resp.Job = "other"
			h.calls = append(h.calls, other)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := validHistory()
			tt.plant(h)
			i := slices.IndexFunc(checkers, func(c checker) bool { return c.name == tt.checker })
			qt.Assert(t, i >= 0, qt.IsTrue, qt.Commentf("there is no checker %s", tt.checker))
			qt.Check(t, checkers[i].check(h), qt.Not(qt.HasLen), 0)
		})
	}
	for _, c := range checkers {
		qt.Check(t, slices.ContainsFunc(tests, func(x struct {
			name, checker string
			plant         func(h *history)
		},
		) bool {
			return x.checker == c.name
		}), qt.IsTrue, qt.Commentf("no planted fault for %s", c.name))
	}
}
