package jobs

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/rows"
)

// Guards against two jobs of one key, and against a removed job taking its
// successor with it.
func TestTableKeepsOneJobPerKey(t *testing.T) {
	table := NewTable(time.Minute)
	first := New("1", "ws", "k", rows.Job{State: rows.JobQueued})
	second := New("2", "ws", "k", rows.Job{State: rows.JobQueued})

	got, added := table.Add(first)
	qt.Assert(t, added, qt.IsTrue)
	qt.Assert(t, got, qt.Equals, first)
	got, added = table.Add(second)
	qt.Assert(t, added, qt.IsFalse)
	qt.Assert(t, got, qt.Equals, first)

	table.Remove(first)
	_, added = table.Add(second)
	qt.Assert(t, added, qt.IsTrue)
	table.Remove(first)
	got, ok := table.Get("ws", "k")
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, got, qt.Equals, second)
}

// Guards against a job that ends twice or changes after its end.
func TestJobEndsOnce(t *testing.T) {
	j := New("1", "ws", "k", rows.Job{State: rows.JobQueued})
	qt.Assert(t, j.End(rows.Job{State: rows.JobRan}), qt.IsTrue)
	qt.Assert(t, j.End(rows.Job{State: rows.JobUnknown}), qt.IsFalse)
	qt.Assert(t, j.Update(rows.Job{State: rows.JobQueued}), qt.IsFalse)
	j.Cancel()
	qt.Assert(t, j.Record().State, qt.Equals, rows.JobRan)
	<-j.Done()
}

// Guards against ended jobs that stay forever or running jobs that are dropped.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := NewTable(time.Minute)
		ended, _ := table.Add(New("1", "ws", "ended", rows.Job{}))
		table.Add(New("2", "ws", "running", rows.Job{}))
		ended.End(rows.Job{State: rows.JobRan})

		time.Sleep(59 * time.Second)
		table.Sweep(time.Now())
		qt.Assert(t, len(table.List("ws")), qt.Equals, 2)

		time.Sleep(2 * time.Second)
		table.Sweep(time.Now())
		left := table.List("ws")
		qt.Assert(t, len(left), qt.Equals, 1)
		qt.Assert(t, left[0].Key(), qt.Equals, "running")
	})
}
