package matrix

import (
	"encoding/base64"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/state/job"
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

// finish waits for all outcomes and notes what is left on the workers.
func (s *Site) finish() {
	s.wg.Wait()
	s.obs.disarm()
	s.awaitRows()
	time.Sleep(settleTime)
	s.readKinds()
	for i, p := range s.targets {
		if running := s.workers[i].Running(); len(running) > 0 {
			s.hist.add(func(h *history) {
				h.slots = append(h.slots, fmt.Sprintf("the worker of %s still runs %v", p.name, running))
			})
		}
	}
	for _, row := range s.platform.Rows(job.TableWaiting, process.ShardPart) {
		s.hist.add(func(h *history) { h.slots = append(h.slots, "waiting row "+row.Key+" of a job that has ended") })
	}
	for _, p := range s.entries {
		if p.isUp() {
			s.hist.add(func(h *history) { h.live = append(h.live, p.name) })
		}
	}
}

// awaitRows waits for the end of every recorded job.
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

// openRows returns the jobs that have not ended.
func (s *Site) openRows() []string {
	ended := make(map[string]bool)
	var open []string
	for _, row := range s.platform.Rows(job.TableProgress, process.ShardPart) {
		value, err := base64.StdEncoding.DecodeString(row.Value)
		if err != nil {
			open = append(open, "unreadable row "+row.Key)
			continue
		}
		p, err := job.DecodeProgress(value)
		if err == nil && p.State.Final() {
			ended[p.Job] = true
		}
	}
	for _, row := range s.platform.Rows(job.TableJobs, process.ShardPart) {
		if id, cancel := job.ParseJobsKey(row.Key); !cancel && !ended[id] {
			open = append(open, "job "+id)
		}
	}
	return open
}

// readKinds notes the kinds of the configuration.
func (s *Site) readKinds() {
	store, done := s.store()
	defer done()
	snap, err := configuration.Read(s.t.Context(), store)
	if err != nil {
		s.t.Error(err)
		return
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
			t.Logf("%d executions, %v; real time %v", len(h.ran), counts, time.Since(start))
			t.Log(h.log)
			qt.Check(t, judge(h), qt.HasLen, 0)
		})
	}
}
