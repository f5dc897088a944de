package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const testRetention = 2 * time.Minute

// removedRows returns the rows that a pass removes, without those of queues.
func (s *site) removedRows() []table.Deletion {
	var out []table.Deletion
	for _, d := range s.p.Plan(s.now).Deletions {
		if d.Table != job.TableWaiting {
			out = append(out, d)
		}
	}
	return out
}

// Guards against rows that pile up for ever, against a job that is removed while it
// can be looked up or in parts, and against one that runs again after its removal.
func TestRemoveOldJobs(t *testing.T) {
	s := newSite(t, 1)
	s.p.cfg.Retention = testRetention
	done := newJob("done", "urgent", job.Step{Tasks: 1, Accelerators: 1})
	done.Key, done.Token = "k", "first"
	s.add(done)
	s.add(newJob("runs", "urgent", job.Step{Tasks: 1, Accelerators: 1}))
	gone := newJob("gone", "urgent", job.Step{Tasks: 1, Accelerators: 1})
	gone.Times, gone.StartMillis, gone.IntervalMillis = 3, s.now.UnixMilli(), 1000
	s.add(gone)
	s.step(time.Second)
	s.finishTask("done.0.0.0")
	s.p.Cancel("gone", s.now)
	s.step(time.Second)
	s.step(time.Second)
	qt.Assert(t, s.state("done"), qt.Equals, job.Completed)
	qt.Assert(t, s.state("gone"), qt.Equals, job.Cancelled)

	s.now = s.now.Add(testRetention)
	qt.Check(t, s.removedRows(), qt.HasLen, 0)
	s.now = s.now.Add(retentionMargin + time.Second)
	got := s.removedRows()
	qt.Check(t, got[:3], qt.DeepEquals, []table.Deletion{
		{Table: job.TableJobs, Key: "done"}, {Table: job.TableKeys, Key: "w1/k"}, {Table: job.TableProgress, Key: "done/0"},
	})
	qt.Check(t, got[3:5], qt.DeepEquals, []table.Deletion{
		{Table: job.TableJobs, Key: "gone"}, {Table: job.TableJobs, Key: "gone/cancel"},
	})
	qt.Check(t, s.p.Has("done"), qt.IsFalse)
	qt.Check(t, s.p.Has("gone"), qt.IsFalse)
	qt.Check(t, s.p.Has("runs"), qt.IsTrue)

	// A read from before the removal.
	s.starts = nil
	s.add(done)
	qt.Check(t, s.p.Has("done"), qt.IsFalse)
	// A new submission under the same ID.
	done.Token = "second"
	s.add(done)
	qt.Check(t, s.starts, qt.HasLen, 1)
	// The removal itself is not remembered for ever.
	s.now = s.now.Add(tombstoneTTL + time.Second)
	s.pass()
	qt.Check(t, s.p.tombstones, qt.HasLen, 0)
}

// Guards against transactions that are too large for the store when many jobs end at
// the same time.
func TestRemoveOldJobsInBatches(t *testing.T) {
	s := newSite(t, 1)
	s.p.cfg.Retention = testRetention
	const jobs = 200
	for i := range jobs {
		j := newJob(job.IDOf("w1", string(rune('a'+i))), "urgent", job.Step{Tasks: 1, Accelerators: 1})
		s.p.AddJob(j, nil, s.now)
		s.p.Cancel(j.ID, s.now)
	}
	for range 10 {
		s.pass()
	}
	s.now = s.now.Add(testRetention + retentionMargin + time.Second)
	rows := 0
	for range 20 {
		b := s.p.Plan(s.now)
		qt.Assert(t, len(b.Writes)+len(b.Deletions) <= maxBatchRows, qt.IsTrue)
		rows += len(b.Deletions)
	}
	qt.Check(t, rows, qt.Equals, 3*jobs)
}
