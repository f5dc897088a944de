package planner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// Guards against rows in job.TableWaiting that stay for good, because the owner changes
// between the batch that records the start of a job and the batch that deletes its row.
func TestWaitingRowIsDeletedWithItsStart(t *testing.T) {
	h := newHarness(t, 20)
	const jobs = 120
	for i := range jobs {
		// The order of the starts is that of the acceptances, that of the rows is by key.
		h.p.AddJob(newJob(fmt.Sprintf("j%03d", i), "urgent", job.Step{Tasks: 1, Accelerators: 1}), nil, h.now.Add(-time.Duration(i)*time.Millisecond))
	}
	h.p.AddJob(newJob("gone", "urgent", job.Step{Tasks: 1, Accelerators: 1}), nil, h.now)
	h.p.Cancel("gone", h.now)
	started, deleted := 0, 0
	for range 10 {
		b := h.p.Plan(h.now)
		qt.Assert(t, len(b.Writes)+len(b.Deletions) <= maxBatchRows, qt.IsTrue)
		waiting := make(map[string]bool)
		for _, d := range b.Deletions {
			qt.Assert(t, d.Table, qt.Equals, job.TableWaiting)
			waiting[d.Key] = true
		}
		for _, w := range b.Writes {
			pr, err := job.DecodeProgress(w.Value)
			qt.Assert(t, err, qt.IsNil)
			if pr.Begun || pr.State.Final() {
				started++
				qt.Check(t, waiting["urgent/"+pr.Job], qt.IsTrue, qt.Commentf("start of %s without the deletion of its waiting row", pr.Job))
			}
		}
		deleted += len(b.Deletions)
	}
	qt.Check(t, started, qt.Equals, jobs+1)
	qt.Check(t, deleted, qt.Equals, jobs+1)
}

// Guards against times that start anew with a new owner: the end of the retention, the
// duration of a job and the time limit of a task.
func TestTimesSurviveTakeOver(t *testing.T) {
	newTimedJob := func(limit time.Duration) job.Job {
		j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4, EstimateMillis: 60_000})
		j.LimitMillis, j.AcceptedMillis = limit.Milliseconds(), 5000
		return j
	}
	// takeOver replaces the planner, whose clock differs from that of the former one.
	takeOver := func(h *harness, j job.Job, age time.Duration) {
		row := h.rows["j1/0"]
		h.restartPlanner()
		h.p.settings.Retention = testRetention
		h.now = h.now.Add(time.Hour)
		h.p.AddJob(j, []job.Progress{row}, h.now.Add(-age))
		h.p.SetLoaded()
		h.report(h.names...)
		h.runPass()
	}
	t.Run("duration", func(t *testing.T) {
		h := newHarness(t, 1)
		j := newTimedJob(0)
		h.p.AddJob(j, nil, h.now)
		h.advance(2 * time.Second)
		h.advance(10 * time.Second)
		takeOver(h, j, 12*time.Second)
		h.advance(5 * time.Second)
		h.finishTask("j1.0.0.0")
		h.advance(0)
		qt.Assert(t, h.stateOf("j1"), qt.Equals, job.Completed)
		qt.Check(t, h.rows["j1/0"].ElapsedMillis, qt.Equals, (15 * time.Second).Milliseconds())
	})
	t.Run("retention", func(t *testing.T) {
		h := newHarness(t, 1)
		j := newTimedJob(0)
		h.p.AddJob(j, nil, h.now)
		h.advance(0)
		h.advance(10 * time.Minute)
		h.finishTask("j1.0.0.0")
		h.advance(0)
		qt.Assert(t, h.stateOf("j1"), qt.Equals, job.Completed)
		takeOver(h, j, 10*time.Minute+time.Second)
		h.advance(time.Second)
		qt.Check(t, h.p.HasJob("j1"), qt.IsTrue)
		h.advance(testRetention + retentionMargin)
		qt.Check(t, h.p.HasJob("j1"), qt.IsFalse)
	})
	t.Run("limit", func(t *testing.T) {
		h := newHarness(t, 1)
		j := newTimedJob(time.Minute)
		h.p.AddJob(j, nil, h.now)
		h.advance(0)
		h.advance(40 * time.Second)
		takeOver(h, j, 40*time.Second)
		h.advance(19 * time.Second)
		qt.Check(t, h.stateOf("j1"), qt.Equals, job.Running)
		h.advance(2 * time.Second)
		h.advance(0)
		qt.Check(t, h.stateOf("j1"), qt.Equals, job.Failed)
	})
}

// Guards against a pause of a failing worker that overflows after many failures in a row.
func TestPauseIsBoundedAfterManyFailures(t *testing.T) {
	var hl health
	now := time.Now()
	for i := range 200 {
		hl.recordFailure(fmt.Sprint("task", i), now)
		if i >= failuresBeforePause {
			qt.Assert(t, hl.isPaused(now.Add(firstFailurePause)), qt.IsTrue, qt.Commentf("after %d failures", i+1))
			qt.Assert(t, hl.isPaused(now.Add(maxFailurePause)), qt.IsFalse)
		}
	}
}

// Guards against an urgent gang that waits forever for a rack that it can't use: a rack of
// another pool, or one without the label that the gang requires, would hold it.
func TestGangPreemptsOutsideUnusableRacks(t *testing.T) {
	tests := []struct {
		name  string
		spare func(w *simWorker) // makes the idle workers of the other rack unusable
	}{
		{"other pool", func(w *simWorker) { w.worker.Pool = "other" }},
		{"no label", func(w *simWorker) { w.worker.Labels = []string{"b", "r9"} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 4)
			// Two racks of two workers each, which together hold the gang, and an idle rack.
			for i, n := range h.names {
				rack := fmt.Sprintf("r%d", i/2)
				h.workers[n].worker.Rack, h.workers[n].worker.Labels = rack, []string{"a", rack}
			}
			for i := range 4 {
				n := fmt.Sprintf("t9%d", i)
				w := newSimWorker(n, 1, "r9")
				tt.spare(w)
				h.names = append(h.names, n)
				h.workers[n] = w
			}
			h.report(h.names...)
			for i := range 4 {
				h.addJob(newJob(fmt.Sprintf("f%d", i), "fill", job.Step{Tasks: 1, Accelerators: 8, Label: "a"}))
			}
			h.advance(time.Second)
			h.addJob(newJob("gang", "urgent", job.Step{Tasks: 4, Accelerators: 8, Gang: true, SameRack: true, Label: "a", EstimateMillis: 60_000}))
			for range 20 {
				h.advance(250 * time.Millisecond)
			}
			qt.Check(t, h.stateOf("gang"), qt.Equals, job.Running)
		})
	}
}

// Guards against work without accelerators that waits for the headroom of accelerators.
func TestNoHeadroomForWorkWithoutAccelerators(t *testing.T) {
	h := newHarness(t, 1)
	h.addJob(newJob("u", "urgent", job.Step{Tasks: 1, Accelerators: 6}))
	h.addJob(newJob("c", "long", job.Step{Tasks: 1, CPU: 1000, EstimateMillis: 1000}))
	qt.Check(t, h.stateOf("c"), qt.Equals, job.Running)
}

// Guards against lost work that is not counted: a run that is lost, or fails, loses all work
// since its last checkpoint, while one that is stopped saves it.
func TestLossOfCheckpointableRuns(t *testing.T) {
	const cores = 64 // of the task: 8 accelerators at coresPerAccelerator
	tests := []struct {
		name         string
		checkpointAt time.Duration // after the start; 0 for none
		lose         func(h *harness)
		want         time.Duration // of work of the whole task
	}{
		{"lost without a checkpoint", 0, func(h *harness) { h.p.LoseRuns("t00", "test", h.now) }, time.Hour},
		{"lost after a checkpoint", 50 * time.Minute, func(h *harness) { h.p.LoseRuns("t00", "test", h.now) }, 10*time.Minute + 250*time.Millisecond},
		{"failed without a checkpoint", 0, func(h *harness) { h.workers["t00"].endRun("j1.0.0.0", endFailed) }, time.Hour},
		{"stopped", 0, func(h *harness) {
			h.workers["t00"].running["j1.0.0.0"].Checkpoint = "c"
			h.workers["t00"].endRun("j1.0.0.0", endStopped)
			h.workers["t00"].ended[0].Checkpoint = "c"
		}, 250 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 1)
			h.addJob(newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 8, Checkpointable: true, EstimateMillis: 7_200_000}))
			h.advance(0)
			if tt.checkpointAt > 0 {
				h.advance(tt.checkpointAt)
				h.workers["t00"].running["j1.0.0.0"].Checkpoint = "c"
				h.advance(0)
			}
			h.advance(time.Hour - tt.checkpointAt)
			tt.lose(h)
			h.advance(0)
			lost := h.p.settings.Metrics.GetOrCreateFloatCounter(`medlargrade_lost_core_seconds_total`).Get()
			qt.Check(t, lost, qt.Equals, cores*tt.want.Seconds())
		})
	}
}

// Guards against deletions that a batch repeats or drops.
func TestDeletionsOfABatchAreUnique(t *testing.T) {
	h := newHarness(t, 1)
	h.p.AddJob(newJob("j1", "urgent", job.Step{Tasks: 1, Accelerators: 1}), nil, h.now)
	h.p.Cancel("j1", h.now)
	b := h.p.Plan(h.now)
	qt.Check(t, b.Deletions, qt.DeepEquals, []table.Deletion{{Table: job.TableWaiting, Key: "urgent/j1"}})
	qt.Check(t, h.p.Plan(h.now).Empty(), qt.IsTrue)
}

// Guards against a job whose row gets larger than the store accepts, because hundreds of its
// tasks run at the same time: the owner could not write anything any more.
func TestRowOfLargeJobFits(t *testing.T) {
	const tasks, maxRowBytes = 500, 64 << 10
	h := newHarness(t, 0)
	for i := range 80 {
		n := fmt.Sprintf("side-lowell-a-%d", i)
		h.names = append(h.names, n)
		h.workers[n] = newSimWorker(n, 1_796_389_111_000, "r0")
	}
	h.report(h.names...)
	h.addJob(newJob("5c0e7a21d94b36f8", "urgent", job.Step{Tasks: tasks, Accelerators: 1, Checkpointable: true}))
	rounds := 0
	for h.stateOf("5c0e7a21d94b36f8") != job.Completed && rounds < 100 {
		h.advance(time.Second)
		row := h.rows["5c0e7a21d94b36f8/0"]
		qt.Assert(t, len(row.Encode()) <= maxRowBytes, qt.IsTrue, qt.Commentf("%d bytes", len(row.Encode())))
		for i, n := range h.names {
			for task, r := range h.workers[n].running {
				r.Checkpoint = "0123456789abcdef"
				// Every fifth worker ends its runs, so that rows are written while most
				// tasks run and have a checkpoint.
				if (i+rounds)%5 == 0 {
					h.workers[n].endRun(task, endDone)
				}
			}
		}
		rounds++
	}
	qt.Check(t, h.stateOf("5c0e7a21d94b36f8"), qt.Equals, job.Completed)
}

// Guards against a run that is stopped, although it may be at work, because a repetition of
// its start order could not be sent.
func TestUnsentRepetitionKeepsRun(t *testing.T) {
	for _, reason := range []string{reasonNoPayload, reasonNotSent} {
		t.Run(reason, func(t *testing.T) {
			h := newHarness(t, 1)
			j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
			h.addJob(j)
			row := h.rows["j1/0"]
			h.restartPlanner()
			h.p.AddJob(j, []job.Progress{row}, h.now)
			h.p.SetLoaded()
			// The worker does not list the run yet.
			h.p.Report("t00", &agentrpc.WatchReply{Worker: h.workers["t00"].worker, Listed: true, Look: 1}, h.now)
			h.now = h.now.Add(resendAfter)
			b := h.p.Plan(h.now)
			qt.Assert(t, b.Orders, qt.HasLen, 1)
			o := b.Orders[0].Orders[0]
			qt.Assert(t, o.Stop, qt.IsFalse)
			h.p.HandleOrderResult("t00", b.Orders[0].Incarnation, o, &agentrpc.OrderResult{Outcome: agentrpc.Outcome_REFUSED, Reason: reason}, h.now)
			for range 3 {
				h.advance(time.Second)
			}
			qt.Check(t, h.starts, qt.DeepEquals, []string{"j1.0.0.0 1 t00"})
			qt.Check(t, h.workers["t00"].ended, qt.HasLen, 0)
		})
	}
}

// Guards against an at-most-once job that is started again after a run that may have had
// effects.
func TestAtMostOnceIsNotRepeated(t *testing.T) {
	tests := []struct {
		name string
		end  func(h *harness)
		want job.State
	}{
		{"done", func(h *harness) { h.finishTask("j1.0.0.0") }, job.Completed},
		{"failed", func(h *harness) { h.workers["t00"].endRun("j1.0.0.0", endFailed) }, job.Failed},
		{"stopped", func(h *harness) { h.workers["t00"].endRun("j1.0.0.0", endStopped) }, job.Lost},
		{"lapsed", func(h *harness) { h.workers["t00"].endRun("j1.0.0.0", endLapsed) }, job.Lost},
		{"lost", func(h *harness) { h.p.LoseRuns("t00", "test", h.now) }, job.Lost},
		{"worker started again", func(h *harness) { h.workers["t00"] = newSimWorker("t00", 2, "r0") }, job.Lost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 1)
			j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
			j.AtMostOnce = true
			h.addJob(j)
			h.advance(time.Second)
			tt.end(h)
			for range 3 {
				h.advance(time.Second)
			}
			qt.Check(t, h.starts, qt.HasLen, 1)
			qt.Check(t, h.stateOf("j1"), qt.Equals, tt.want)
		})
	}
}

// Guards against a task that is started again although an earlier order may have started its
// run: the refusal of a repeated order does not show that it has not.
func TestRefusedRepetitionIsNoProof(t *testing.T) {
	h := newHarness(t, 2)
	j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 4})
	h.addJob(j)
	row := h.rows["j1/0"]
	target := h.targetOf("j1.0.0.0")
	h.restartPlanner()
	h.p.AddJob(j, []job.Progress{row}, h.now)
	h.p.SetLoaded()
	// The worker does not list the run yet.
	h.p.Report(target, &agentrpc.WatchReply{Worker: h.workers[target].worker, Listed: true, Look: 1}, h.now)
	h.now = h.now.Add(resendAfter)
	b := h.p.Plan(h.now)
	qt.Assert(t, b.Orders, qt.HasLen, 1)
	refused := &agentrpc.OrderResult{Outcome: agentrpc.Outcome_REFUSED, Reason: "room"}
	h.p.HandleOrderResult(target, b.Orders[0].Incarnation, b.Orders[0].Orders[0], refused, h.now)
	for range 5 {
		h.now = h.now.Add(refusalPause)
		for _, o := range h.p.Plan(h.now).Orders {
			for _, ord := range o.Orders {
				qt.Check(t, ord.Stop, qt.IsTrue, qt.Commentf("run %d is ordered on %s", ord.Run, o.Target))
			}
		}
	}
}

// Guards against capacity that stays in use while a run is stopped that was recorded by a
// former planner and has never been started: the worker's list under the new fencing token
// shows that it hasn't, and that no earlier order can start it any more.
func TestUnstartedRunEndsAtOnce(t *testing.T) {
	tests := []struct {
		name  string
		setUp func(h *harness, target string) // after the change of the planner
		ended bool                            // the run is over as soon as it is to be stopped
	}{
		{"not listed", func(h *harness, target string) { h.report(target) }, true},
		{"not reported", func(*harness, string) {}, false},
		{"listed", func(h *harness, target string) {
			h.workers[target].running["j1.0.0.0"] = &agentrpc.RunStatus{Task: "j1.0.0.0", Run: 1}
			h.report(target)
		}, false},
		{"ordered again", func(h *harness, target string) {
			h.report(target)
			h.p.Plan(h.now)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 1)
			j := newJob("j1", "long", job.Step{Tasks: 1, Accelerators: 8})
			h.workers["t00"].dropsOrders = true
			h.addJob(j)
			row := h.rows["j1/0"]
			qt.Assert(t, row.Steps[0].Tasks[0].Active, qt.HasLen, 1)
			h.restartPlanner()
			h.p.AddJob(j, []job.Progress{row}, h.now)
			h.p.SetLoaded()
			tt.setUp(h, "t00")
			h.p.Cancel("j1", h.now)
			h.runPass()
			qt.Check(t, len(h.rows["j1/0"].Steps[0].Tasks[0].Active) == 0, qt.Equals, tt.ended)
		})
	}
}
