package worker

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/state/job"
)

// The ways in which a run can end.
const (
	EndDone    = "done"
	EndFailed  = "failed"
	EndStopped = "stopped"
	EndLapsed  = "lapsed"  // the lease of the worker expired
	EndBroken  = "broken"  // another member of the gang ended
	EndAlone   = "alone"   // the other members of the gang did not start in time
	EndCrashed = "crashed" // the worker crashed; only in records
)

// Behaviour is the optional JSON form of a job's payload. It defines the behaviour of
// the job's tasks.
type Behaviour struct {
	RunMillis int64           // run time; the step's estimate if 0
	Result    json.RawMessage // result of each task; the payload if missing
	Fail      string          // if not empty, tasks fail with this error at the end of their run time
	// CrashMillis, if positive, is the time after which the first task of each step crashes its
	// worker. The worker starts again after Settings.CrashDowntime.
	CrashMillis int64
}

// run is a run of a task. The site's lock guards it.
type run struct {
	worker      *Worker
	name        job.TaskName
	task        string
	number      int64
	payload     string
	behaviour   Behaviour
	step        job.Step
	gang        *gang
	record      *Record
	timer       *time.Timer
	finished    bool
	stopping    bool
	working     bool          // a gang member works once its gang is complete
	waiting     bool          // a gang member has done its work and waits for slower ones
	pacePercent int64         // percentage of full speed
	totalWork   time.Duration // run time at full speed
	workDone    time.Duration // part of totalWork done by workDoneAt
	workDoneAt  time.Time
	checkpoint  string
}

// speedLocked returns the speed of the run: the work done per unit of time.
func (r *run) speedLocked() float64 {
	speed := r.worker.cfg.Speed * float64(r.pacePercent) / 100
	if f := r.worker.faults.Slow; f > 0 {
		speed /= f
	}
	if r.worker.faults.Hang {
		speed = 0
	}
	return speed
}

// progressLocked returns the work that the run has done by now.
func (r *run) progressLocked() time.Duration {
	if !r.working {
		return r.workDone
	}
	return min(r.workDone+time.Duration(float64(time.Since(r.workDoneAt))*r.speedLocked()), r.totalWork)
}

// percentLocked returns the progress as a percentage. For a long-running task it returns
// the pace instead, or 0 if the run does not work yet.
func (r *run) percentLocked() int64 {
	if r.step.LongRunning {
		if r.working {
			return r.pacePercent
		}
		return 0
	}
	if r.totalWork == 0 {
		return 0
	}
	return int64(100 * r.progressLocked() / r.totalWork)
}

// checkpointLocked returns the latest checkpoint. A checkpointable run takes one at every
// multiple of Settings.CheckpointInterval of its work.
func (r *run) checkpointLocked() string {
	interval := r.worker.cfg.CheckpointInterval
	if !r.step.Checkpointable || interval <= 0 {
		return r.checkpoint
	}
	if n := r.progressLocked() / interval * interval; n > 0 {
		r.checkpoint = formatCheckpoint(n)
	}
	return r.checkpoint
}

// formatCheckpoint returns the checkpoint of a run that has done work d: "at-" and the
// work in milliseconds.
func formatCheckpoint(d time.Duration) string { return fmt.Sprintf("at-%d", d.Milliseconds()) }

func parseCheckpoint(s string) (time.Duration, bool) {
	var n int64
	if _, err := fmt.Sscanf(s, "at-%d", &n); err != nil {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// resumeLocked starts or continues the work of a run at its current speed, and sets the
// timer for its end. A long-running task has no timer; its work does not complete, so it
// ends only when it is stopped or its lease, worker or gang ends.
func (w *Worker) resumeLocked(r *run) {
	if r.finished {
		return
	}
	if !r.working {
		r.working = true
		r.record.Began = time.Now()
		w.scheduleCrashLocked(r)
	}
	r.workDoneAt = time.Now()
	if r.timer != nil {
		r.timer.Stop()
	}
	speed := r.speedLocked()
	if speed == 0 || r.step.LongRunning {
		return
	}
	remaining := time.Duration(float64(r.totalWork-r.workDone) / speed)
	r.timer = time.AfterFunc(remaining, func() {
		w.site.mu.Lock()
		defer w.site.mu.Unlock()
		if r.finished || r.stopping || r.speedLocked() == 0 || r.progressLocked() < r.totalWork-time.Millisecond {
			return
		}
		how := EndDone
		if r.behaviour.Fail != "" {
			how = EndFailed
		}
		if how == EndDone && r.gang != nil {
			r.waiting = true
			if !r.gang.doneLocked() {
				return
			}
		}
		w.endLocked(r, how)
	})
}

// scheduleCrashLocked makes a run crash its worker if its behaviour says so. A member of a gang
// does it once the gang is complete.
func (w *Worker) scheduleCrashLocked(r *run) {
	if !r.record.CrashesWorker {
		return
	}
	inc := w.incarnation
	time.AfterFunc(time.Duration(r.behaviour.CrashMillis)*time.Millisecond, func() {
		w.site.mu.Lock()
		defer w.site.mu.Unlock()
		if r.finished || w.incarnation != inc || w.down {
			return
		}
		w.crashLocked()
		time.AfterFunc(w.cfg.CrashDowntime, func() {
			w.site.mu.Lock()
			defer w.site.mu.Unlock()
			if w.incarnation == inc && w.down {
				w.startLocked(true)
			}
		})
	})
}

// changeSpeedLocked updates the progress of a run and then applies a change of its speed.
func (w *Worker) changeSpeedLocked(r *run, change func()) {
	r.workDone, r.workDoneAt = r.progressLocked(), time.Now()
	change()
	if r.working {
		w.resumeLocked(r)
	}
}

// endLocked ends a run and, unless the worker crashed, lists the end.
func (w *Worker) endLocked(r *run, how string) {
	if r.finished {
		return
	}
	r.checkpointLocked()
	if how == EndStopped && r.step.Checkpointable && r.working {
		r.checkpoint = formatCheckpoint(r.progressLocked())
	}
	r.finished = true
	if r.timer != nil {
		r.timer.Stop()
	}
	r.record.Ended, r.record.How = time.Now(), how
	delete(w.incarnation.runs, r.task)
	if how != EndCrashed {
		w.incarnation.lastEnd++
		w.incarnation.listedEnds = append(w.incarnation.listedEnds, runEnd{number: w.incarnation.lastEnd, run: r, how: how})
		w.incarnation.lastRun[r.task] = max(w.incarnation.lastRun[r.task], r.number)
		w.notifyEndsLocked()
	}
	if r.gang != nil {
		r.gang.memberEndedLocked(how, r.record.Ended)
	}
}

// resultLocked returns the result or the error of a run that has ended.
func (r *run) resultLocked(how string) []byte {
	switch {
	case how == EndFailed:
		return []byte(r.behaviour.Fail)
	case how != EndDone:
		return nil
	case len(r.behaviour.Result) > 0:
		return r.behaviour.Result
	}
	return []byte(r.payload)
}
