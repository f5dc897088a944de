package matrix

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

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
	time.Sleep(settleTime)
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

// Guards against a vehicle in which some kind of work does not run at all, so
// that the faults would strike nothing.
func TestWithoutFaults(t *testing.T) {
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
			qt.Check(t, h.pending, qt.HasLen, 0)
			qt.Check(t, h.slots, qt.HasLen, 0)
		})
	}
}
