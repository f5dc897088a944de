package worker

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/state/job"
)

// Ends of runs.
const (
	EndDone    = "done"
	EndFailed  = "failed"
	EndStopped = "stopped"
	EndLapsed  = "lapsed"
	EndBroken  = "broken"
	EndAlone   = "alone"
	endCrashed = "crashed" // only in records
)

// Behaviour is what the payload of a job may say about its tasks.
type Behaviour struct {
	RunMillis int64           // run time; the step's estimate if 0
	Result    json.RawMessage // of each task; the payload if missing
	Fail      string          // the task fails with this error at the end of its run time
}

// run is one run on a worker. The site's lock guards it.
type run struct {
	worker     *Worker
	name       job.TaskName
	task       string
	number     int64
	payload    string
	behaviour  Behaviour
	step       job.Step
	gang       *gang
	record     *Record
	timer      *time.Timer
	over       bool
	stopping   bool
	working    bool
	pace       int64         // percent of its speed
	work       time.Duration // in all
	done       time.Duration // up to since
	since      time.Time
	checkpoint string
}

// speedLocked returns the work that the run does in a second, in seconds.
func (r *run) speedLocked() float64 {
	speed := float64(r.pace) / 100
	if f := r.worker.faults.Slow; f > 0 {
		speed /= f
	}
	if r.worker.faults.Hang {
		speed = 0
	}
	return speed
}

// progressLocked returns the work that the run has done.
func (r *run) progressLocked() time.Duration {
	if !r.working {
		return r.done
	}
	return min(r.done+time.Duration(float64(time.Since(r.since))*r.speedLocked()), r.work)
}

// percentLocked returns the progress as workers list it.
func (r *run) percentLocked() int64 {
	if r.step.LongRunning {
		if r.working {
			return r.pace
		}
		return 0
	}
	if r.work == 0 {
		return 0
	}
	return int64(100 * r.progressLocked() / r.work)
}

// checkpointLocked returns the newest checkpoint.
func (r *run) checkpointLocked() string {
	every := r.worker.cfg.Checkpoint
	if !r.step.Checkpointable || every <= 0 {
		return r.checkpoint
	}
	if n := r.progressLocked() / every * every; n > 0 {
		r.checkpoint = checkpointOf(n)
	}
	return r.checkpoint
}

func checkpointOf(d time.Duration) string { return fmt.Sprintf("at-%d", d.Milliseconds()) }

func parseCheckpoint(s string) (time.Duration, bool) {
	var n int64
	if _, err := fmt.Sscanf(s, "at-%d", &n); err != nil {
		return 0, false
	}
	return time.Duration(n) * time.Millisecond, true
}

// workLocked lets a run work from now on at its present speed.
func (w *Worker) workLocked(r *run) {
	if r.over {
		return
	}
	if !r.working {
		r.working = true
		r.record.Began = time.Now()
	}
	r.since = time.Now()
	if r.timer != nil {
		r.timer.Stop()
	}
	speed := r.speedLocked()
	if speed == 0 || r.step.LongRunning {
		return
	}
	left := time.Duration(float64(r.work-r.done) / speed)
	r.timer = time.AfterFunc(left, func() {
		w.site.mu.Lock()
		defer w.site.mu.Unlock()
		if r.over || r.stopping || r.speedLocked() == 0 || r.progressLocked() < r.work-time.Millisecond {
			return
		}
		how := EndDone
		if r.behaviour.Fail != "" {
			how = EndFailed
		}
		w.endLocked(r, how)
	})
}

// changeSpeedLocked applies a change of the speed to a run.
func (w *Worker) changeSpeedLocked(r *run, change func()) {
	r.done, r.since = r.progressLocked(), time.Now()
	change()
	if r.working {
		w.workLocked(r)
	}
}

// endLocked ends a run and lists its end.
func (w *Worker) endLocked(r *run, how string) {
	if r.over {
		return
	}
	r.checkpointLocked()
	if how == EndStopped && r.step.Checkpointable && r.working {
		r.checkpoint = checkpointOf(r.progressLocked())
	}
	r.over = true
	if r.timer != nil {
		r.timer.Stop()
	}
	r.record.Ended, r.record.How = time.Now(), how
	delete(w.life.runs, r.task)
	if how != endCrashed {
		w.life.ends++
		w.life.ended = append(w.life.ended, end{w.life.ends, r, how})
		w.life.last[r.task] = max(w.life.last[r.task], r.number)
		w.wakeLocked()
	}
	if r.gang != nil {
		r.gang.memberEndedLocked(how, r.record.Ended)
	}
}

// resultLocked returns the result of a run that has ended.
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
