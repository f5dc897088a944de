package worker

import (
	"time"

	"github.com/medlargrade/medlargrade/protocol/workerapi"
)

// task is one launched task. The worker's lock guards all but done.
type task struct {
	req       workerapi.LaunchRequest
	behaviour Behaviour
	state     workerapi.State
	stopping  string // reason, once a stop is under way
	record    *Record
	done      chan struct{} // closed at the end

	leaseEnd   time.Time
	leaseTimer *time.Timer
	limitTimer *time.Timer
	stopTimer  *time.Timer

	// Work is measured in run time on a healthy worker.
	work       time.Duration // in all
	progress   time.Duration // up to pacedAt
	pacedAt    time.Time
	slowness   float64 // time for a unit of work
	throttled  bool
	workTimer  *time.Timer
	pace       int // counts the changes of pace, so that a stale timer is ignored
	checkpoint time.Duration

	ended    time.Time
	body     []byte
	failed   bool
	err      string
	neverRan bool
}

func (t *task) final() bool {
	return t.state == workerapi.StateDone || t.state == workerapi.StateStopped
}

// replyLocked returns what the worker tells of a task.
func (t *task) replyLocked() workerapi.TaskReply {
	reply := workerapi.TaskReply{
		ID:               t.req.ID,
		State:            t.state,
		Failed:           t.failed,
		Error:            t.err,
		Body:             t.body,
		NeverRan:         t.neverRan,
		CheckpointMillis: t.checkpoint.Milliseconds(),
	}
	if t.state == workerapi.StateStopped {
		reply.Stop = t.stopping
	}
	if t.record != nil {
		end := t.ended
		if end.IsZero() {
			end = time.Now()
		}
		reply.RunMillis = end.Sub(t.record.Start).Milliseconds()
	}
	return reply
}

// launchLocked takes a task, or returns the code and the text of a refusal.
func (w *Worker) launchLocked(req workerapi.LaunchRequest) (t *task, code workerapi.Code, reason string) {
	switch {
	case w.closed:
		return nil, workerapi.CodeDown, "worker is shut down"
	case req.ID == "" || req.LeaseMillis < 1 || req.LimitMillis < 0:
		return nil, workerapi.CodeInvalid, "no ID, no lease or a negative limit"
	case req.Slots < 1 || req.Slots > w.slots:
		return nil, workerapi.CodeInvalid, "Slots is less than 1 or more than the worker has"
	case w.seen[req.ID]:
		return nil, workerapi.CodeDuplicate, "task was launched before"
	case w.usage.UsedSlots+req.Slots > w.slots:
		return nil, workerapi.CodeBusy, "not enough free slots"
	}
	w.forgetLocked()
	t = &task{req: req, behaviour: parseBehaviour(req.Payload), state: workerapi.StateHeld, done: make(chan struct{})}
	t.work = t.behaviour.work()
	w.seen[req.ID] = true
	w.tasks[req.ID] = t
	w.useLocked(req.Slots, 1, 0)
	w.leaseLocked(t, millis(req.LeaseMillis))
	if !req.Held {
		w.startLocked(t)
	}
	return t, "", ""
}

func (w *Worker) leaseLocked(t *task, lease time.Duration) {
	t.leaseEnd = time.Now().Add(lease)
	if t.leaseTimer != nil {
		t.leaseTimer.Stop()
	}
	t.leaseTimer = time.AfterFunc(lease, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.lapseLocked(t)
	})
}

// lapseLocked stops a task whose lease has lapsed and reports whether it has.
func (w *Worker) lapseLocked(t *task) bool {
	if t.final() || time.Now().Before(t.leaseEnd) {
		return false
	}
	w.stopLocked(t, workerapi.StopLease)
	return true
}

// startLocked runs the user code of a held task.
func (w *Worker) startLocked(t *task) {
	now := time.Now()
	t.state = workerapi.StateRunning
	t.pacedAt = now
	t.record = &Record{
		ID: t.req.ID, Workspace: t.req.Workspace, Kind: t.req.Kind, Slots: t.req.Slots, Held: t.req.Held, Start: now,
	}
	w.history = append(w.history, t.record)
	w.useLocked(0, -1, 1)
	if w.faults.FailTasks {
		t.behaviour = Behaviour{Fail: workerFailure}
		t.work = 0
	}
	if t.work == 0 {
		w.finishLocked(t)
		return
	}
	w.paceLocked(t)
	if t.req.LimitMillis > 0 {
		t.limitTimer = time.AfterFunc(millis(t.req.LimitMillis), func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.stopLocked(t, workerapi.StopLimit)
		})
	}
}

// progressLocked returns the work that a running task has done.
func (t *task) progressLocked() time.Duration {
	if t.slowness == 0 {
		return t.progress
	}
	return t.progress + time.Duration(float64(time.Since(t.pacedAt))/t.slowness)
}

// paceLocked adapts a running task to its present speed.
func (w *Worker) paceLocked(t *task) {
	if t.stopping != "" {
		return
	}
	t.progress, t.pacedAt = t.progressLocked(), time.Now()
	t.slowness = 1
	if w.faults.Straggle > 0 {
		t.slowness = w.faults.Straggle
	}
	if t.throttled {
		t.slowness *= w.throttleFactor
	}
	if t.workTimer != nil {
		t.workTimer.Stop()
	}
	t.pace++
	pace := t.pace
	t.workTimer = time.AfterFunc(time.Duration(float64(t.work-t.progress)*t.slowness), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if t.pace == pace && t.stopping == "" && !t.final() {
			w.finishLocked(t)
		}
	})
}

func (w *Worker) finishLocked(t *task) {
	t.body, t.err = t.behaviour.end(t.req.Payload)
	t.failed = t.err != ""
	end := EndDone
	if t.failed {
		end = EndFailed
	}
	w.endLocked(t, workerapi.StateDone, end)
}

// stopLocked stops a task. A held task ends at once, a running one after the
// stop time, during which its user code still runs.
func (w *Worker) stopLocked(t *task, reason string) {
	if t.final() || t.stopping != "" {
		return
	}
	t.stopping = reason
	w.log.Debug().Int("Event", eventStopped).Str("Task", t.req.ID).Str("Reason", reason).Msg("task stopped")
	if t.record == nil {
		t.neverRan = true
		w.endLocked(t, workerapi.StateStopped, EndNone)
		return
	}
	t.stopTimer = time.AfterFunc(w.stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !t.final() {
			w.endLocked(t, workerapi.StateStopped, EndStopped)
		}
	})
}

func (w *Worker) endLocked(t *task, state workerapi.State, end End) {
	for _, timer := range []*time.Timer{t.leaseTimer, t.limitTimer, t.stopTimer, t.workTimer} {
		if timer != nil {
			timer.Stop()
		}
	}
	held, running := -1, 0
	if t.record != nil {
		held, running = 0, -1
	}
	w.useLocked(-t.req.Slots, held, running)
	t.state = state
	t.ended = time.Now()
	t.req.Payload = nil
	if t.record != nil {
		t.record.End, t.record.Ended = t.ended, end
		if end == EndStopped {
			t.record.Stop = t.stopping
		}
	}
	w.ended = append(w.ended, t)
	close(t.done)
}

// forgetLocked drops the results that are older than the retention.
func (w *Worker) forgetLocked() {
	for len(w.ended) > 0 && time.Since(w.ended[0].ended) >= w.retention {
		delete(w.tasks, w.ended[0].req.ID)
		w.ended[0] = nil
		w.ended = w.ended[1:]
	}
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
