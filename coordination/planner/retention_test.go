package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const testRetention = 2 * time.Minute

// removedRows makes a pass and returns the rows that it deletes, except those of
// job.TableWaiting.
func (h *harness) removedRows() []table.Deletion {
	var out []table.Deletion
	for _, d := range h.p.Plan(h.now).Deletions {
		if d.Table != job.TableWaiting {
			out = append(out, d)
		}
	}
	return out
}

// Guards against rows that are never deleted, against the removal of a job that callers may
// still look up or of only some of its rows, and against a job that runs again after its
// removal.
func TestRemoveOldJobs(t *testing.T) {
	h := newHarness(t, 1)
	h.p.settings.Retention = testRetention
	done := newJob("done", "urgent", job.Step{Tasks: 1, Accelerators: 1})
	done.Key, done.Token = "k", "first"
	h.addJob(done)
	h.addJob(newJob("runs", "urgent", job.Step{Tasks: 1, Accelerators: 1}))
	cancelled := newJob("gone", "urgent", job.Step{Tasks: 1, Accelerators: 1})
	cancelled.Times, cancelled.StartMillis, cancelled.IntervalMillis = 3, h.now.UnixMilli(), 1000
	h.addJob(cancelled)
	h.advance(time.Second)
	h.finishTask("done.0.0.0")
	h.p.Cancel("gone", h.now)
	h.advance(time.Second)
	h.advance(time.Second)
	qt.Assert(t, h.stateOf("done"), qt.Equals, job.Completed)
	qt.Assert(t, h.stateOf("gone"), qt.Equals, job.Cancelled)

	h.now = h.now.Add(testRetention)
	qt.Check(t, h.removedRows(), qt.HasLen, 0)
	h.now = h.now.Add(retentionMargin + time.Second)
	got := h.removedRows()
	qt.Check(t, got[:3], qt.DeepEquals, []table.Deletion{
		{Table: job.TableJobs, Key: "done"}, {Table: job.TableIdempotencyKeys, Key: "w1/k"}, {Table: job.TableProgress, Key: "done/0"},
	})
	qt.Check(t, got[3:5], qt.DeepEquals, []table.Deletion{
		{Table: job.TableJobs, Key: "gone"}, {Table: job.TableJobs, Key: "gone/cancel"},
	})
	qt.Check(t, h.p.HasJob("done"), qt.IsFalse)
	qt.Check(t, h.p.HasJob("gone"), qt.IsFalse)
	qt.Check(t, h.p.HasJob("runs"), qt.IsTrue)

	// A read of the table that was sent before the removal still lists the job.
	h.starts = nil
	h.addJob(done)
	qt.Check(t, h.p.HasJob("done"), qt.IsFalse)
	// A new submission with the same ID is another job.
	done.Token = "second"
	h.addJob(done)
	qt.Check(t, h.starts, qt.HasLen, 1)
	// The tombstone expires.
	h.now = h.now.Add(tombstoneTTL + time.Second)
	h.runPass()
	qt.Check(t, h.p.tombstones, qt.HasLen, 0)
}

// Guards against transactions that are too large for the store when many jobs have ended at
// the same time.
func TestRemoveOldJobsInBatches(t *testing.T) {
	h := newHarness(t, 1)
	h.p.settings.Retention = testRetention
	const jobs = 200
	for i := range jobs {
		j := newJob(job.DeriveID("w1", string(rune('a'+i))), "urgent", job.Step{Tasks: 1, Accelerators: 1})
		h.p.AddJob(j, nil, h.now)
		h.p.Cancel(j.ID, h.now)
	}
	for range 10 {
		h.runPass()
	}
	h.now = h.now.Add(testRetention + retentionMargin + time.Second)
	rows := 0
	for range 20 {
		b := h.p.Plan(h.now)
		qt.Assert(t, len(b.Writes)+len(b.Deletions) <= maxBatchRows, qt.IsTrue)
		rows += len(b.Deletions)
	}
	qt.Check(t, rows, qt.Equals, 3*jobs)
}
