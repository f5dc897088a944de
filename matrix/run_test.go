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

// maxRunTime is the longest run time of a recorded job in the scenarios.
const maxRunTime = 8 * time.Second

// runScenario runs one scenario with the given triggers and returns its history and how
// often each point occurred.
func runScenario(t *testing.T, sc scenario, triggers func(s *Site) []*trigger) (*history, map[point]int) {
	var hist *history
	var counts map[point]int
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		if sc.prepare != nil {
			sc.prepare(s)
		}
		s.obs.arm(triggers(s)...)
		sc.start(s)
		s.finish()
		counts = s.obs.pointCounts()
		s.close()
		hist = s.hist
		hist.log = s.log.String()
	})
	return hist, counts
}

// finish waits for all outcomes and for the ends of the faults, and records what
// remains on the workers and in the queues.
func (s *Site) finish() {
	s.wg.Wait()
	s.obs.disarm()
	s.awaitJobs()
	time.Sleep(settleTime)
	s.recordKinds()
	for i, p := range s.targets {
		if running := s.workers[i].RunningTasks(); len(running) > 0 {
			s.hist.update(func(h *history) {
				h.leftovers = append(h.leftovers, fmt.Sprintf("the worker of %s still runs %v at the end", p.name, running))
			})
		}
	}
	for _, row := range s.platform.Rows(job.TableWaiting, process.ShardPart) {
		s.hist.update(func(h *history) { h.leftovers = append(h.leftovers, "waiting row "+row.Key+" of a job that has ended") })
	}
	for _, p := range s.entries {
		if p.isUp() {
			s.hist.update(func(h *history) { h.liveEntries = append(h.liveEntries, p.name) })
		}
	}
}

// awaitJobs waits until every recorded job has ended or the liveness bound has passed.
func (s *Site) awaitJobs() {
	began := time.Now()
	for {
		unfinished := s.unfinishedJobs()
		if len(unfinished) == 0 {
			return
		}
		if s.overdue(request{runTime: maxRunTime}, began) {
			s.hist.update(func(h *history) { h.pending = append(h.pending, unfinished...) })
			return
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// unfinishedJobs returns a description of each recorded job that has not ended.
func (s *Site) unfinishedJobs() []string {
	ended := make(map[string]bool)
	var unfinished []string
	for _, row := range s.platform.Rows(job.TableProgress, process.ShardPart) {
		value, err := base64.StdEncoding.DecodeString(row.Value)
		if err != nil {
			unfinished = append(unfinished, "unreadable row "+row.Key)
			continue
		}
		progress, err := job.DecodeProgress(value)
		if err == nil && progress.State.Final() {
			ended[progress.Job] = true
		}
	}
	for _, row := range s.platform.Rows(job.TableJobs, process.ShardPart) {
		if id, cancel := job.ParseJobsKey(row.Key); !cancel && !ended[id] {
			unfinished = append(unfinished, "job "+id)
		}
	}
	return unfinished
}

// recordKinds records the kinds of the configuration in the history.
func (s *Site) recordKinds() {
	store, done := s.operatorStore()
	defer done()
	snap, err := configuration.Read(s.t.Context(), store)
	if err != nil {
		s.t.Error(err)
		return
	}
	s.hist.update(func(h *history) {
		for _, k := range snap.Config.Kinds() {
			h.finalKinds = append(h.finalKinds, k.Name())
		}
	})
}

// Guards against a test setup in which a scenario's work does not run, so that faults
// would be injected into nothing.
func TestWithoutFaults(t *testing.T) {
	onlyFirstShard(t)
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			t.Parallel()
			start := time.Now()
			h, counts := runScenario(t, sc, func(*Site) []*trigger { return nil })
			for _, c := range h.calls {
				t.Logf("%s %s %v %s %s %s %s", c.label, c.entry, c.end.Sub(c.start), c.resp.Outcome, c.resp.State, c.resp.Reason, c.err)
			}
			t.Logf("%d executions, %v; real time %v", len(h.executions), counts, time.Since(start))
			t.Log(h.log)
			qt.Check(t, violations(h), qt.HasLen, 0)
		})
	}
}
