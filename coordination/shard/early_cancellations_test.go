package shard_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// removalTime is within which an early cancellation that is out of date is removed: two reads of the
// owner, the first of which may be that of a predecessor.
const removalTime = 2 * time.Minute

// cancelEarly records that an ID was cancelled before a job was recorded under it. The store's clock
// began at start.
func (s *testSite) cancelEarly(id string, start time.Time) {
	e := job.EarlyCancellations{}.With(job.EarlyCancellation{Workspace: "w1", Token: "t", AtMillis: time.Since(start).Milliseconds()})
	tx := table.Tx{Part: part}.WithWrite(job.TableEarlyCancellations, id, e.Encode())
	_, err := s.store.Commit(s.c.Context(), tx)
	s.c.Assert(err, qt.IsNil)
}

// earlyCancelled returns the IDs that are recorded as cancelled early.
func (s *testSite) earlyCancelled() []string {
	p, err := table.ReadAll(s.c.Context(), s.store, table.Range{Table: job.TableEarlyCancellations, Part: part})
	s.c.Assert(err, qt.IsNil)
	ids := []string{}
	for _, r := range p.Rows {
		ids = append(ids, r.Key)
	}
	return ids
}

// Guards against an early cancellation that is removed while a submission of its job may still be
// carried out, which would then run, and against rows that stay for good.
func TestEarlyCancellationsAreKept(t *testing.T) {
	tests := []struct {
		name      string
		retention time.Duration
		keep      time.Duration // how long the row must be kept after the cancellation; 0 for good
		// during happens while the row is kept.
		during func(s *testSite, start time.Time)
	}{
		{name: "short retention", retention: time.Second, keep: job.MinEarlyCancellationTime},
		{name: "long retention", retention: 20 * time.Minute, keep: 20 * time.Minute},
		{name: "rows of ended jobs kept for good", retention: 0},
		{name: "new owner", retention: time.Second, keep: job.MinEarlyCancellationTime, during: func(s *testSite, _ time.Time) {
			a := s.targets["a"].process
			s.startProcess("b", s.store)
			a.stop()
		}},
		{name: "cancelled again", retention: time.Second, keep: job.MinEarlyCancellationTime + 5*time.Minute, during: func(s *testSite, start time.Time) {
			s.cancelEarly("late", start)
		}},
		{name: "store down at the time of removal", retention: time.Second, keep: job.MinEarlyCancellationTime, during: func(s *testSite, _ time.Time) {
			time.Sleep(job.MinEarlyCancellationTime - 6*time.Minute)
			s.store.SetDown(true)
			time.Sleep(30 * time.Second)
			s.store.SetDown(false)
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runSite(t, 2, func(s *testSite) {
				start := time.Now()
				s.retention = tt.retention
				s.startProcess("a", s.store)
				time.Sleep(settleTime)
				cancelled := time.Now()
				s.cancelEarly("late", start)
				time.Sleep(5 * time.Minute)
				if tt.during != nil {
					tt.during(s, start)
				}
				if tt.keep == 0 {
					time.Sleep(time.Hour)
					s.c.Check(s.earlyCancelled(), qt.DeepEquals, []string{"late"})
					return
				}
				time.Sleep(time.Until(cancelled.Add(tt.keep)))
				s.c.Check(s.earlyCancelled(), qt.DeepEquals, []string{"late"})
				time.Sleep(removalTime)
				s.c.Check(s.earlyCancelled(), qt.DeepEquals, []string{})
			})
		})
	}
}

// Guards against the removal of an early cancellation that a caller has renewed meanwhile, and
// against others that stay because of it, or because of a row that can't be decoded.
func TestRemovalOfEarlyCancellationsIsConditional(t *testing.T) {
	runSite(t, 1, func(s *testSite) {
		start := time.Now()
		s.retention = time.Second
		for i := range 120 {
			s.cancelEarly("id-"+string(rune('a'+i/26))+string(rune('a'+i%26)), start)
		}
		_, err := s.store.Commit(s.c.Context(), table.Tx{Part: part}.WithWrite(job.TableEarlyCancellations, "malformed", []byte("[")))
		s.c.Assert(err, qt.IsNil)
		s.store.OnCommit(func(tx table.Tx) tabletest.CommitResult {
			for _, d := range tx.Deletions {
				if d.Table == job.TableEarlyCancellations && d.Key == "id-ab" {
					s.store.OnCommit(nil)
					s.cancelEarly("id-ab", start)
				}
			}
			return tabletest.Normal
		})
		s.startProcess("a", s.store)
		time.Sleep(job.MinEarlyCancellationTime + removalTime)
		s.c.Check(s.earlyCancelled(), qt.DeepEquals, []string{"id-ab", "malformed"})
	})
}
