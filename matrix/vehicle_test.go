package matrix

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/configsync"
	"github.com/medlargrade/medlargrade/state/rows"
)

// maxRun is the longest run time of a recorded job in the scenarios.
const maxRun = 8 * time.Second

// runScenario runs one scenario with the given faults and returns what it did.
func runScenario(t *testing.T, sc scenario, strike func(s *Site) []*trigger) (*history, map[point]int) {
	var hist *history
	var counts map[point]int
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		if sc.prepare != nil {
			sc.prepare(s)
		}
		s.obs.arm(strike(s)...)
		sc.work(s)
		s.finish()
		counts = s.obs.snapshot()
		s.close()
		hist = s.hist
		hist.log = s.log.String()
	})
	return hist, counts
}

// finish waits for all outcomes and notes what is left of the slots.
func (s *Site) finish() {
	s.wg.Wait()
	s.obs.disarm()
	s.awaitRows()
	time.Sleep(settleTime)
	s.readKinds()
	for i, p := range s.targets {
		st, err := s.dump(p)
		s.hist.add(func(h *history) {
			switch {
			case err != nil:
				h.slots = append(h.slots, p.name+" does not answer: "+err.Error())
			case st.FreeSlots != slotCount || len(st.Holds) > 0:
				h.slots = append(h.slots, p.name+" has slots that are not free")
			}
			if u := s.workers[i].Usage(); u.UsedSlots > 0 {
				h.slots = append(h.slots, "the worker of "+p.name+" still runs tasks")
			}
		})
	}
	for _, p := range s.procs() {
		if p.isUp() {
			s.hist.add(func(h *history) { h.live = append(h.live, p.name) })
		}
	}
}

// awaitRows waits for the end of every recorded job. An entry may have to repeat
// an idempotent job whose caller has its answer already, because the entry that
// gave the answer died before it wrote the row.
func (s *Site) awaitRows() {
	began := time.Now()
	for {
		open := s.openRows()
		if len(open) == 0 {
			return
		}
		if s.overdue(request{run: maxRun}, began) {
			s.hist.add(func(h *history) { h.pending = append(h.pending, open...) })
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// openRows returns the rows of jobs that have not ended.
func (s *Site) openRows() []string {
	var open []string
	for _, row := range s.platform.Rows(rows.TableQueue) {
		open = append(open, "queue row "+row.Key)
	}
	for _, row := range s.platform.Rows(rows.TableJob) {
		var job rows.Job
		if json.Unmarshal(row.Value, &job) != nil || !job.Final() {
			open = append(open, "job row "+row.Key+" in state "+string(job.State))
		}
	}
	return open
}

// readKinds notes the kinds of the configuration.
func (s *Site) readKinds() {
	store, done := s.store()
	defer done()
	snap, err := configsync.Read(s.t.Context(), store)
	if err != nil {
		s.t.Error(err)
	}
	s.hist.add(func(h *history) {
		for _, k := range snap.Config.Kinds() {
			h.kinds = append(h.kinds, k.Name())
		}
	})
}

// Guards against a vehicle in which some kind of work does not run at all, so
// that the faults would strike nothing.
func TestWithoutFaults(t *testing.T) {
	once(t)
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			h, counts := runScenario(t, sc, func(*Site) []*trigger { return nil })
			for _, r := range h.told {
				t.Logf("%s %s %v %s %s %s %s", r.label, r.entry, r.end.Sub(r.start), r.resp.Outcome, r.resp.State, r.resp.Reason, r.err)
			}
			t.Logf("%d executions, %d launches, %v; real time %v", len(h.ran), len(h.launches), counts, time.Since(start))
			t.Log(h.log)
			qt.Check(t, judge(h), qt.HasLen, 0)
		})
	}
}
