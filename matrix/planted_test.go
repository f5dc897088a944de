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

// ranAt is an execution on worker i of the i-th task of a job.
func ranAt(label string, i int, from, to float64, ended string) execution {
	x := execution{
		worker: workerHost(i), target: targetHost(i), label: label, ID: fmt.Sprintf("%s.0.0.%d", label, i), Run: 1,
		Life: fmt.Sprintf("w%d-1", i+1), Start: at(from), Began: at(from), Ended: ended,
	}
	if ended != "" {
		x.End = at(to)
	}
	return x
}

func toldRan(r request, from, to float64, parts ...string) told {
	a := &callerapi.Answer{}
	for _, p := range parts {
		a.Parts = append(a.Parts, payload(p, 0, 0))
	}
	return told{
		label: r.label, req: r, entry: entryHost(0), start: at(from), end: at(to),
		resp: callerapi.Response{Outcome: callerapi.Ran, Key: r.key, Job: r.label, Answer: a},
	}
}

func toldNotRun(r request, from, to float64) told {
	return told{
		label: r.label, req: r, entry: entryHost(0), start: at(from), end: at(to),
		resp: callerapi.Response{Outcome: callerapi.NotRun, Reason: string(outcome.ReasonDeadline), Key: r.key},
	}
}

// sound is a history without a fault: a gang, an order, lent work and a claim, a
// graceful shutdown and a change of the configuration.
func sound() *history {
	h := newHistory()
	h.ended = at(100)
	gang, ord, lent := plan("gang", 3, 3, 0), order("order", 0), ask("lent", 0)
	lent.lent = true
	claim := plan("claim", 1, 1, 0)
	claim.claim = true
	for _, r := range []request{gang, ord, lent, claim} {
		h.requests[r.label] = r
	}
	for i := range 3 {
		h.ran = append(h.ran, ranAt("gang", i, 2, 6, worker.EndDone))
	}
	h.ran = append(h.ran,
		ranAt("order", 0, 10, 11, worker.EndDone),
		ranAt("lent", 3, 10, 21, worker.EndStopped),
		ranAt("claim", 3, 22, 23, worker.EndDone))
	h.told = []told{
		toldRan(gang, 0, 7, "gang", "gang", "gang"), toldRan(ord, 9, 12, "order"), toldRan(claim, 20, 24, "claim"),
	}
	h.leaves = []leave{{process: targetHost(0), from: at(30), until: at(35)}}
	h.drains = []drain{{worker: workerHost(0), life: "w1-1", from: at(30)}}
	h.live = []string{"e1"}
	h.held = []held{{"e1", 1, at(0)}, {"e1", 2, at(41)}}
	h.accepted = []held{{generation: 2, at: at(40)}}
	return h
}

// Guards against a checker that sees nothing, or sees a fault in a sound history.
func TestCheckersNoticePlantedFaults(t *testing.T) {
	once(t)
	qt.Assert(t, judge(sound()), qt.HasLen, 0)
	find := func(h *history, label string) *execution {
		return &h.ran[slices.IndexFunc(h.ran, func(x execution) bool { return x.label == label })]
	}
	tests := []struct {
		name, checker string
		plant         func(h *history)
	}{
		{"claim late", "1-reclaim", func(h *history) { find(h, "claim").Start = at(25.5) }},
		{"member works before all are there", "2-gang", func(h *history) { h.ran[2].Start = at(3) }},
		{"member works on after a loss", "2-gang", func(h *history) {
			h.ran[0].Ended, h.ran[0].End = worker.EndFailed, at(3)
		}},
		{"member works without the others", "2-gang", func(h *history) { h.ran = slices.Delete(h.ran, 1, 3) }},
		{"member is left alone", "2-gang", func(h *history) { h.ran[0].Ended = worker.EndAlone }},
		{"part of the answer is missing", "3-answer", func(h *history) {
			h.told[0].resp.Answer.Parts = h.told[0].resp.Answer.Parts[:2]
		}},
		{"answer of another request", "3-answer", func(h *history) { h.told[1].resp.Answer.Parts[0] = payload("gang", 0, 0) }},
		{"answer before the end", "3-answer", func(h *history) { find(h, "order").End = at(13) }},
		{"told not run after it ran", "4-not-run", func(h *history) { h.told[1] = toldNotRun(order("order", 0), 9, 12) }},
		{"runs after not run", "4-not-run", func(h *history) {
			h.told[1] = toldNotRun(order("order", 0), 1, 2)
		}},
		{"lookup tells not run", "4-not-run", func(h *history) {
			l := toldNotRun(order("order", 0), 13, 14)
			l.lookup = true
			h.told = append(h.told, l)
		}},
		{"runs twice", "5-at-most-once", func(h *history) { h.ran = append(h.ran, ranAt("order", 2, 50, 51, worker.EndDone)) }},
		{"runs overlap", "5-at-most-once", func(h *history) {
			h.ran = append(h.ran, ranAt("claim", 3, 22.5, 24, worker.EndDone))
		}},
		{"runs after it was done", "5-at-most-once", func(h *history) {
			h.ran = append(h.ran, ranAt("claim", 3, 50, 51, worker.EndDone))
		}},
		{"starts while leaving", "6-leaving", func(h *history) { h.drains[0].from = at(7) }},
		{"call is cut", "7-graceful", func(h *history) {
			h.leaves[0].process = entryHost(0)
			h.told = append(h.told, told{label: "x", entry: entryHost(0), start: at(29), end: at(31), err: "EOF"})
		}},
		{"task is stopped", "7-graceful", func(h *history) {
			x := ranAt("order", 0, 29, 31, worker.EndStopped)
			h.ran[3] = x
		}},
		{"change is late", "8-configuration", func(h *history) { h.held[1].at = at(46) }},
		{"process goes back", "8-configuration", func(h *history) { h.held = append(h.held, held{"e1", 1, at(60)}) }},
		{"accepted change is reverted", "8-configuration", func(h *history) { h.changes = []string{"kind"} }},
		{"no outcome", "liveness", func(h *history) { h.pending = []string{"order"} }},
		{"slots are lost", "liveness", func(h *history) { h.slots = []string{"t1"} }},
		{"accepted job is unknown", "liveness", func(h *history) {
			accepted := told{label: "order", start: at(50), end: at(51), resp: callerapi.Response{State: callerapi.Queued}}
			h.told = append(h.told, accepted, told{label: "order", lookup: true, start: at(52), err: "no such job"})
		}},
		{"not run after it was told to have run", "keys-linearizable", func(h *history) {
			h.told = append(h.told, toldNotRun(order("order", 0), 14, 15))
		}},
		{"two jobs under a key", "keys-linearizable", func(h *history) {
			other := toldRan(order("order", 0), 14, 15, "order")
			other.resp.Job = "other"
			h.told = append(h.told, other)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := sound()
			tt.plant(h)
			for _, c := range checkers {
				if c.name == tt.checker {
					qt.Check(t, c.check(h), qt.Not(qt.HasLen), 0)
				}
			}
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
