package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/medlargrade/medlargrade/standin/jsonhttp"
	"github.com/medlargrade/medlargrade/state/job"
)

const maxBody = 1 << 20

// maxHoldWait is the longest time that a hold waits for an end.
const maxHoldWait = 2 * time.Second

// order is the body of every call to a worker.
type order struct {
	Task       string `json:"Task"`
	Run        int64  `json:"Run"`
	Payload    string `json:"Spec"`
	Until      int64  `json:"UntilMs"`
	Fence      int64  `json:"Fence"`
	Checkpoint string `json:"LastCheckpoint"`
	Ticket     string `json:"Ticket"`
	Percent    int64  `json:"Percent"`
	Seen       int64  `json:"LastSeen"`
	Wait       int64  `json:"WaitMs"`
}

type reply struct {
	Clock   int64   `json:"ClockMs"`
	Born    int64   `json:"born"`
	Reason  string  `json:"Reason,omitempty"`
	Running [][]any `json:"Running,omitempty"`
	Ended   [][]any `json:"Ended,omitempty"`
}

// receive refuses calls that are meant for another life, and drops all calls to a
// worker that is down.
func (w *Worker) receive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.site.mu.Lock()
		down, id, unhealthy := w.down, w.life.id, w.faults.Unhealthy
		w.site.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler)
		}
		if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
			jsonhttp.Write(rw, http.StatusMisdirectedRequest, reply{})
			return
		}
		if unhealthy && r.URL.Path == "/medlargrade/run-start" {
			jsonhttp.Write(rw, http.StatusServiceUnavailable, reply{})
			return
		}
		rw.Header().Set("Instance-Id", id)
		next.ServeHTTP(rw, r)
	})
}

func decode(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := jsonhttp.Decode(rw, r, maxBody, &o); err != nil {
		jsonhttp.Write(rw, http.StatusBadRequest, reply{Reason: err.Error()})
		return order{}, false
	}
	return o, true
}

// lockUp locks the site. It drops the call if the life that received it is over.
func (w *Worker) lockUp(rw http.ResponseWriter) {
	w.site.mu.Lock()
	if w.down || w.life.id != rw.Header().Get("Instance-Id") {
		w.site.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// carryOut carries out an order and answers, unless a fault loses the answer.
func (w *Worker) carryOut(rw http.ResponseWriter, o order, do func(o order) string) {
	w.lockUp(rw)
	if w.faults.LoseOrders > 0 {
		w.faults.LoseOrders--
		late := time.Duration(w.faults.LateMillis) * time.Millisecond
		life := w.life
		time.AfterFunc(late, func() {
			w.site.mu.Lock()
			defer w.site.mu.Unlock()
			if w.life == life && !w.down {
				w.fencedLocked(o, do)
			}
		})
		w.site.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	reason := w.fencedLocked(o, do)
	out := reply{Clock: w.life.clockLocked(), Born: w.life.born, Reason: reason}
	w.site.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
	}
	jsonhttp.Write(rw, status, out)
}

// fencedLocked does nothing for a fencing token below the highest seen.
func (w *Worker) fencedLocked(o order, do func(o order) string) string {
	if o.Fence < w.life.fence {
		return "fence"
	}
	w.life.fence = o.Fence
	return do(o)
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	if o, ok := decode(rw, r); ok {
		w.carryOut(rw, o, w.startRunLocked)
	}
}

// startRunLocked starts a run, or returns the reason of its refusal.
func (w *Worker) startRunLocked(o order) string {
	l := w.life
	name, err := job.ParseTaskName(o.Task)
	if err != nil {
		return "malformed"
	}
	if r := l.runs[o.Task]; r != nil && r.number == o.Run {
		w.extendLocked(o.Until)
		return ""
	}
	if o.Run <= l.last[o.Task] || l.runs[o.Task] != nil {
		w.extendLocked(o.Until)
		return "old"
	}
	if o.Until <= l.clockLocked() {
		return "late"
	}
	w.extendLocked(o.Until)
	step := job.Step{Tasks: 1}
	if j, ok := w.site.lookup(name.Job); ok && name.Step < len(j.Steps) {
		step = j.Steps[name.Step]
	}
	if !w.fitsLocked(step) {
		return "room"
	}
	w.beginLocked(name, step, o)
	return ""
}

func (w *Worker) fitsLocked(step job.Step) bool {
	cpu, memory, accelerators := step.CPU, step.MemoryMB, step.Accelerators
	for _, r := range w.life.runs {
		if !r.step.Filler {
			cpu += r.step.CPU
		}
		memory += r.step.MemoryMB
		accelerators += r.step.Accelerators
	}
	return (step.Filler || cpu <= w.cfg.CPU) && memory <= w.cfg.MemoryMB && accelerators <= w.cfg.Accelerators
}

func (w *Worker) beginLocked(name job.TaskName, step job.Step, o order) {
	r := &run{
		worker: w, name: name, task: o.Task, number: o.Run, payload: o.Payload, step: step, pace: 100,
		record: &Record{
			Task: o.Task, Run: o.Run, Worker: w.life.id, Born: w.life.born, Target: w.cfg.Name, Payload: o.Payload,
			Checkpoint: o.Checkpoint, Arrived: time.Now(),
		},
	}
	// A payload that says nothing about the task is its result.
	_ = json.Unmarshal([]byte(o.Payload), &r.behaviour)
	r.work = step.Estimate()
	if r.behaviour.RunMillis > 0 {
		r.work = time.Duration(r.behaviour.RunMillis) * time.Millisecond
	}
	if done, ok := parseCheckpoint(o.Checkpoint); ok {
		r.checkpoint = o.Checkpoint
		r.done = min(done, r.work)
		r.work += w.cfg.Restore
	}
	w.life.runs[o.Task] = r
	w.site.records = append(w.site.records, r.record)
	if w.faults.FailAll {
		r.behaviour.Fail = "accelerator fault"
		r.work, r.done = 10*time.Millisecond, 0
	}
	if step.Gang && step.Tasks > 1 {
		w.site.joinLocked(r, step.Tasks)
		return
	}
	w.workLocked(r)
}

// extendLocked extends the lease of everything that runs. It never shortens it.
func (w *Worker) extendLocked(until int64) {
	l := w.life
	until = min(until, l.clockLocked()+w.cfg.LeaseMax.Milliseconds())
	if until <= l.until {
		return
	}
	l.until = until
	if l.lapse != nil {
		l.lapse.Stop()
	}
	l.lapse = time.AfterFunc(time.Duration(float64(until-l.clockLocked())/l.rate*float64(time.Millisecond)), func() {
		w.site.mu.Lock()
		defer w.site.mu.Unlock()
		if w.life != l || l.until > until || w.down {
			return
		}
		l.voidLocked()
		for _, r := range l.runs {
			w.endLocked(r, EndLapsed)
		}
	})
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	if o, ok := decode(rw, r); ok {
		w.carryOut(rw, o, func(o order) string {
			l := w.life
			l.last[o.Task] = max(l.last[o.Task], o.Run)
			if run := l.runs[o.Task]; run != nil && run.number <= o.Run && !run.stopping {
				run.stopping = true
				time.AfterFunc(w.cfg.StopTime, func() {
					w.site.mu.Lock()
					defer w.site.mu.Unlock()
					w.endLocked(run, EndStopped)
				})
			}
			return ""
		})
	}
}

func (w *Worker) servePace(rw http.ResponseWriter, r *http.Request) {
	if o, ok := decode(rw, r); ok {
		w.carryOut(rw, o, func(o order) string {
			if run := w.life.runs[o.Task]; run != nil && run.number == o.Run {
				w.changeSpeedLocked(run, func() { run.pace = max(0, min(o.Percent, 100)) })
			}
			return ""
		})
	}
}

func (w *Worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := decode(rw, r)
	if !ok {
		return
	}
	w.lockUp(rw)
	l := w.life
	if o.Fence < l.fence {
		out := reply{Clock: l.clockLocked(), Born: l.born, Reason: "fence"}
		w.site.mu.Unlock()
		jsonhttp.Write(rw, http.StatusConflict, out)
		return
	}
	l.fence = o.Fence
	w.extendLocked(o.Until)
	for len(l.ended) > 0 && l.ended[0].number <= o.Seen {
		l.ended = l.ended[1:]
	}
	w.site.mu.Unlock()
	w.awaitEnd(r.Context(), l, min(time.Duration(o.Wait)*time.Millisecond, maxHoldWait))
	w.site.mu.Lock()
	if w.down || w.life != l {
		w.site.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	out := w.listLocked()
	w.site.mu.Unlock()
	jsonhttp.Write(rw, http.StatusOK, out)
}

// awaitEnd waits until the life lists an end.
func (w *Worker) awaitEnd(ctx context.Context, l *life, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		w.site.mu.Lock()
		listed, changed := len(l.ended) > 0, l.changed
		w.site.mu.Unlock()
		if listed || wait <= 0 {
			return
		}
		select {
		case <-changed:
			w.site.mu.Lock()
			gone := w.down || w.life != l
			w.site.mu.Unlock()
			if gone {
				return
			}
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

func (w *Worker) listLocked() reply {
	l := w.life
	out := reply{Clock: l.clockLocked(), Born: l.born}
	for _, r := range l.runs {
		out.Running = append(out.Running, []any{r.task, r.number, r.checkpointLocked(), r.percentLocked(), r.step.CPU})
	}
	for _, e := range l.ended {
		row := []any{e.number, e.run.task, e.run.number, e.how, e.run.checkpoint}
		if res := e.run.resultLocked(e.how); len(res) > 0 {
			row = append(row, res)
		}
		out.Ended = append(out.Ended, row)
	}
	return out
}

func (w *Worker) serveHealth(rw http.ResponseWriter, _ *http.Request) {
	w.site.mu.Lock()
	bad := w.faults.Unhealthy || !w.draining.IsZero()
	w.site.mu.Unlock()
	status := http.StatusOK
	if bad {
		status = http.StatusServiceUnavailable
	}
	jsonhttp.Write(rw, status, reply{})
}
