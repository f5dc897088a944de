package soak

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/standin/caller"
	"github.com/medlargrade/medlargrade/standin/worker"
)

var baseTime = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time {
	return baseTime.Add(time.Duration(seconds * float64(time.Second)))
}

// observations is the input of the checks: what callers observed, what ran, and the
// versions of the configuration.
type observations struct {
	h        *history
	records  []worker.Record
	versions []configVersion
}

// validRun returns a run without violations. It has a gang, a job of two steps, a
// cancelled job, a claim of a guarantee, and a change of the configuration.
func validRun() *observations {
	s := &observations{h: newHistory(), versions: []configVersion{
		{number: 1, writtenAt: at(0), ackedAt: at(0), changingKey: "key-0"}, {number: 2, writtenAt: at(30), ackedAt: at(30), hasExtra: true, changingKey: "key-1"},
	}}
	add := func(id string, r jobRecord, steps ...caller.Step) {
		r.job = caller.Job{ID: id, Payload: id, Steps: steps}
		s.h.jobs[id] = &r
	}
	add("gang", jobRecord{acceptedAt: at(1), state: "completed", stateSeenAt: at(6), finalSeenAt: at(6)}, caller.Step{Tasks: 2, Gang: true})
	add("steps", jobRecord{acceptedAt: at(1), state: "completed", stateSeenAt: at(9), finalSeenAt: at(9)},
		caller.Step{Tasks: 1}, caller.Step{Tasks: 1, After: []int{0}})
	add("gone", jobRecord{acceptedAt: at(1), cancelSentAt: at(5), cancelAckedAt: at(5), state: "cancelled", stateSeenAt: at(6), finalSeenAt: at(6)}, caller.Step{Tasks: 1})
	add("claim", jobRecord{usesGuarantee: true, acceptedAt: at(10), state: "completed", stateSeenAt: at(14), finalSeenAt: at(14)}, caller.Step{Tasks: 1})
	s.records = []worker.Record{
		record("gang.0.0.0", "w1", 2, 4, worker.EndDone), record("gang.0.0.1", "w2", 2, 4, worker.EndDone),
		record("steps.0.0.0", "w1", 5, 6, worker.EndDone), record("steps.0.1.0", "w1", 7, 8, worker.EndDone),
		record("gone.0.0.0", "w2", 4.5, 5.4, worker.EndStopped), record("claim.0.0.0", "w2", 11, 12, worker.EndDone),
	}
	s.h.drains = []drainNotice{{worker: "w1", born: 1, at: at(20)}}
	s.h.probes = []probe{
		{entry: "e1", boot: 1, sent: at(20), status: http.StatusNotFound, key: "key-0"},
		{entry: "e1", boot: 1, sent: at(31), status: http.StatusOK, key: "key-1"},
		{entry: "e1", boot: 1, sent: at(40), status: http.StatusUnauthorized, key: "key-0"},
	}
	return s
}

func record(task, id string, from, to float64, how string) worker.Record {
	payload, _, _ := strings.Cut(task, ".")
	return worker.Record{
		Task: task, Run: 1, Worker: id, Born: 1, Payload: payload, Arrived: at(from), Began: at(from), Ended: at(to), How: how,
	}
}

func (s *observations) violations() []string { return s.h.check(s.records, s.versions, at(100)) }

// Guards against checks that miss a violation or report one in a valid run: each case
// plants one violation in a valid run.
func TestChecksNoticePlantedFaults(t *testing.T) {
	qt.Assert(t, validRun().violations(), qt.HasLen, 0)
	tests := []struct {
		name, promise string
		plant         func(s *observations)
	}{
		{"runs twice", "twice", func(s *observations) {
			s.records = append(s.records, record("claim.0.0.0", "w1", 11.5, 13, worker.EndDone))
		}},
		{"crashes six workers", "budget", func(s *observations) {
			for i := range 6 {
				r := record("gone.0.0.0", "w1", 50+float64(i), 50.5+float64(i), worker.EndCrashed)
				r.Run, r.CrashesWorker = int64(2+i), true
				s.records = append(s.records, r)
			}
		}},
		{"starts over a capacity that has shrunk", "capacity", func(s *observations) {
			s.records[0].Excess, s.records[0].CapacityAge = true, 4*time.Second
		}},
		{"given up after one crash", "mixed", func(s *observations) {
			s.records[2].How = worker.EndCrashed
			s.h.jobs["steps"].state = "failed"
		}},
		{"starts on a worker without the label", "label", func(s *observations) { s.records[0].LacksLabel = true }},
		{"runs after it was done", "twice", func(s *observations) {
			s.records = append(s.records, record("claim.0.0.0", "w1", 50, 51, worker.EndDone))
		}},
		{"member runs alone", "gang", func(s *observations) { s.records = s.records[1:] }},
		{"was never submitted", "unasked", func(s *observations) { delete(s.h.jobs, "claim") }},
		{"other payload", "unasked", func(s *observations) { s.records[0].Payload = "x" }},
		{"refused job runs", "unasked", func(s *observations) {
			r := s.h.jobs["claim"]
			r.acceptedAt, r.refusals, r.state = time.Time{}, 1, ""
		}},
		{"step starts early", "order", func(s *observations) { s.records[3].Arrived = at(5.5) }},
		{"cancelled job runs on", "cancelled", func(s *observations) { s.records[4].Ended = at(30) }},
		{"cancelled job starts later", "cancelled", func(s *observations) { s.records[4] = record("gone.0.0.0", "w2", 20, 21, worker.EndStopped) }},
		{"starts on a leaving worker", "drain", func(s *observations) { s.records[5] = record("claim.0.0.0", "w1", 24, 25, worker.EndDone) }},
		{"starts in an evacuated data centre", "evacuation", func(s *observations) {
			s.records[5].Target = "w2"
			s.h.evacuations = []evacuation{{dataCentre: "dc1", workers: []string{"w2"}, from: s.records[5].Arrived.Add(-evacuationBound - schedulingSlack - time.Millisecond)}}
		}},
		{"completed before it was done", "mixed", func(s *observations) { s.h.jobs["steps"].stateSeenAt = at(7.5) }},
		{"failed without a failure", "mixed", func(s *observations) { s.h.jobs["steps"].state = "failed" }},
		{"job starts although there was none to cancel", "cancelled", func(s *observations) { s.h.jobs["gone"].cancelledEarly = true }},
		{"cancelled without a cancellation", "mixed", func(s *observations) { s.h.jobs["steps"].state = "cancelled" }},
		{"claim starts late", "reclaim", func(s *observations) { s.records[5] = record("claim.0.0.0", "w2", 17, 18, worker.EndDone) }},
		{"version takes effect late", "configuration", func(s *observations) {
			s.h.probes[2] = probe{entry: "e1", boot: 1, sent: at(40), status: http.StatusNotFound, key: "key-0"}
		}},
		{"entry returns to an older version", "configuration", func(s *observations) {
			s.h.probes[2] = probe{entry: "e1", boot: 1, sent: at(31.5), status: http.StatusNotFound, key: "key-1"}
		}},
		{"response that no version explains", "configuration", func(s *observations) { s.h.probes[0].status = http.StatusTeapot }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := validRun()
			tt.plant(s)
			found := s.violations()
			for _, f := range found {
				if strings.HasPrefix(f, tt.promise+": ") {
					return
				}
			}
			t.Errorf("no violation of %s in %v", tt.promise, found)
		})
	}
}

// Guards against time bounds that are checked while a fault is active or shortly after
// it.
func TestBoundsHoldOnlyInCalm(t *testing.T) {
	s := validRun()
	s.h.faults = []faultInterval{{fault: fault{kind: faultKill}, from: at(9), to: at(9.5)}}
	s.records[5] = record("claim.0.0.0", "w2", 17, 18, worker.EndDone)
	s.h.jobs["claim"].stateSeenAt = at(19)
	qt.Assert(t, s.violations(), qt.HasLen, 0)
	s.h.faults[0].from, s.h.faults[0].to = at(5), at(6)
	qt.Assert(t, s.violations(), qt.HasLen, 1)
}

// Guards against faults that differ between two draws with the same seed.
func TestFaultsRepeat(t *testing.T) {
	for seed := range uint64(40) {
		cfg := Config{Seed: seed / 2, Length: DefaultLength, PlannerCuts: seed%2 == 1}
		x, y := faultsOf(cfg), faultsOf(cfg)
		qt.Assert(t, len(x) > 0, qt.IsTrue)
		for i := range x {
			qt.Assert(t, x[i], qt.Equals, y[i])
		}
	}
}

// Guards against a change of a final state that the soak does not notice.
func TestObserveNoticesChangedEnd(t *testing.T) {
	ok := func(state string) caller.Response { return caller.Response{Status: http.StatusOK, State: state} }
	gone := caller.Response{Status: http.StatusGone}
	unavailable := caller.Response{Status: http.StatusServiceUnavailable}
	tests := []struct {
		name      string
		responses []caller.Response
		ended     bool
		violation string // prefix of the last one
	}{
		{"running", []caller.Response{ok("queued"), ok("running")}, false, ""},
		{"completed", []caller.Response{ok("running"), ok("completed")}, true, ""},
		{"completed twice", []caller.Response{ok("completed"), ok("completed")}, true, ""},
		{"unavailable after the end", []caller.Response{ok("completed"), unavailable}, false, ""},
		{"other end", []caller.Response{ok("completed"), ok("failed")}, true, "mixed: j changed"},
		{"runs again", []caller.Response{ok("completed"), ok("running")}, true, "mixed: j changed"},
		{"gone", []caller.Response{ok("running"), gone}, true, "lost: j"},
		{"gone after the end", []caller.Response{ok("completed"), gone}, true, "lost: j"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := &jobRecord{job: caller.Job{ID: "j"}, acceptedAt: at(0)}
			var ended bool
			var violation string
			for i, resp := range tt.responses {
				ended, violation = r.observe(resp, at(float64(i)))
			}
			qt.Check(t, ended, qt.Equals, tt.ended)
			qt.Check(t, violation, qt.Satisfies, func(v string) bool { return strings.HasPrefix(v, tt.violation) && (v == "") == (tt.violation == "") })
		})
	}
}
