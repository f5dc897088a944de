package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/medlargrade/medlargrade/standin/jsonhttp"
	"github.com/medlargrade/medlargrade/state/job"
)

const maxBodyBytes = 1 << 20

const (
	// maxHoldWait is the longest time that a hold call waits for the end of a run.
	maxHoldWait = 2 * time.Second
	// maxListedEnds is how many ends a response lists at most.
	maxListedEnds = 500
)

// order is the request body of all calls to a worker. Each call uses some fields.
type order struct {
	Task       string `json:"Task"`
	Run        int64  `json:"Run"`
	Payload    string `json:"Spec"`
	Until      int64  `json:"UntilMs"`        // lease end by the worker's clock, in milliseconds; 0 to leave the lease unchanged
	Fence      int64  `json:"Fence"`          // fencing token
	Checkpoint string `json:"LastCheckpoint"` // where to resume; empty to start from the beginning
	Ticket     string `json:"Ticket"`         // of the kind's advisor; ignored
	Percent    int64  `json:"Percent"`        // of the full speed of the run
	Seen       int64  `json:"LastSeen"`       // number of the last end that the planner has recorded
	Wait       int64  `json:"WaitMs"`         // how long to wait for an end, in milliseconds

	sentUntil int64 // Until as it was sent; differs if the call is carried out late and its lease counts from then
}

type reply struct {
	Clock   int64   `json:"ClockMs"`           // the worker's clock, in milliseconds
	Born    int64   `json:"born"`              // start of the incarnation, Unix time in milliseconds
	Reason  string  `json:"Reason,omitempty"`  // of a refusal
	Running [][]any `json:"Running,omitempty"` // see runListLocked
	Ended   [][]any `json:"Ended,omitempty"`   // see runListLocked
}

// checkIncarnation refuses calls that are meant for another incarnation, and starts on
// an unhealthy worker. It aborts all calls to a worker that is down, and those on connections
// to a former incarnation, which have ended with its process.
func (w *Worker) checkIncarnation(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		w.site.mu.Lock()
		down, id, unhealthy := w.down, w.incarnation.id, w.faults.Unhealthy
		ended := !down && !w.usesConnLocked(r.RemoteAddr)
		w.site.mu.Unlock()
		if down || ended {
			panic(http.ErrAbortHandler)
		}
		if wantID := r.Header.Get("Expect-Instance"); wantID != "" && wantID != id {
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

// usesConnLocked reports whether a connection belongs to the current incarnation, given its other
// end. A new connection does from its first call on. The address of one that has ended may be that of
// a new one later.
func (w *Worker) usesConnLocked(peer string) bool {
	inc := w.incarnation
	if served, ok := w.conns[peer]; ok && served != inc {
		delete(w.conns, peer)
		return false
	}
	w.conns[peer] = inc
	return true
}

func decodeOrder(rw http.ResponseWriter, r *http.Request) (order, bool) {
	var o order
	if err := jsonhttp.Decode(rw, r, maxBodyBytes, &o); err != nil {
		jsonhttp.Write(rw, http.StatusBadRequest, reply{Reason: err.Error()})
		return order{}, false
	}
	o.sentUntil = o.Until
	return o, true
}

// lockIncarnation locks the site. It aborts the call instead if the worker is down or
// its ID is no longer the one that checkIncarnation put in the response's header.
func (w *Worker) lockIncarnation(rw http.ResponseWriter) {
	w.site.mu.Lock()
	if w.down || w.incarnation.id != rw.Header().Get("Instance-Id") {
		w.site.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
}

// executeOrder executes an order and responds. If a fault loses the response, it
// executes the order after the delay of the fault, unless the incarnation has ended.
func (w *Worker) executeOrder(rw http.ResponseWriter, o order, do func(o order) string) {
	w.lockIncarnation(rw)
	if delay, lost := w.lateDelayLocked(false); lost {
		w.executeLateLocked(o, delay, func(o order) { w.executeFencedLocked(o, do) })
		w.site.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	reason := w.executeFencedLocked(o, do)
	out := reply{Clock: w.incarnation.clockLocked(), Born: w.incarnation.born, Reason: reason}
	w.site.mu.Unlock()
	status := http.StatusOK
	if reason != "" {
		status = http.StatusConflict
	}
	jsonhttp.Write(rw, status, out)
}

// executeFencedLocked executes an order, or refuses it if its fencing token is lower
// than the highest seen. It returns the reason of a refusal, or "".
func (w *Worker) executeFencedLocked(o order, do func(o order) string) string {
	if o.Fence < w.incarnation.fence {
		return "fence"
	}
	w.incarnation.fence = o.Fence
	return do(o)
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	if o, ok := decodeOrder(rw, r); ok {
		w.executeOrder(rw, o, w.startRunLocked)
	}
}

// startRunLocked starts a run, or returns the reason of its refusal. A repeated start of
// a current run succeeds and only extends the lease. The reasons are:
//
//	malformed  the name of the task is invalid
//	old        the run number is not newer than the last, or the task has a current run
//	late       the lease would have ended
//	room       the task does not fit
func (w *Worker) startRunLocked(o order) string {
	inc := w.incarnation
	name, err := job.ParseTaskName(o.Task)
	if err != nil {
		return "malformed"
	}
	if r := inc.runs[o.Task]; r != nil && r.number == o.Run {
		w.extendLeaseLocked(o)
		return ""
	}
	if o.Run <= inc.lastRun[o.Task] || inc.runs[o.Task] != nil {
		w.extendLeaseLocked(o)
		return "old"
	}
	if o.Until <= inc.clockLocked() {
		return "late"
	}
	w.extendLeaseLocked(o)
	step := job.Step{Tasks: 1}
	if j, ok := w.site.lookupJob(name.Job); ok && name.Step < len(j.Steps) {
		step = j.Steps[name.Step]
	}
	if !w.cfg.NoAdmissionCheck && !w.fitsLocked(step) {
		return "room"
	}
	w.addRunLocked(name, step, o)
	return ""
}

// fitsLocked reports whether a task of the step fits beside the current runs.
func (w *Worker) fitsLocked(step job.Step) bool {
	used := w.usageLocked()
	if !step.Filler {
		used.CPU += step.CPU
	}
	used.MemoryMB += step.MemoryMB
	used.Accelerators += step.Accelerators
	return w.capacityLocked().holds(used)
}

func (w *Worker) addRunLocked(name job.TaskName, step job.Step, o order) {
	r := &run{
		worker: w, name: name, task: o.Task, number: o.Run, payload: o.Payload, step: step, pacePercent: 100,
		record: &Record{
			Task: o.Task, Run: o.Run, Worker: w.incarnation.id, Born: w.incarnation.born, Target: w.cfg.Name, Payload: o.Payload,
			Checkpoint: o.Checkpoint, Arrived: time.Now(),
		},
	}
	// A payload that is not a Behaviour is the task's result.
	_ = json.Unmarshal([]byte(o.Payload), &r.behaviour)
	r.totalWork = step.Estimate()
	if r.behaviour.RunMillis > 0 {
		r.totalWork = time.Duration(r.behaviour.RunMillis) * time.Millisecond
	}
	if workDone, ok := parseCheckpoint(o.Checkpoint); ok {
		r.checkpoint = o.Checkpoint
		r.workDone = min(workDone, r.totalWork)
		r.totalWork += w.cfg.RestoreWork
	}
	r.record.LacksLabel = step.Label != "" && step.Label != w.cfg.Rack && step.Label != w.incarnation.hardwareType
	r.record.CrashesWorker = r.behaviour.CrashMillis > 0 && name.Index == 0
	w.incarnation.runs[o.Task] = r
	if !w.capacityLocked().holds(w.usageLocked()) {
		r.record.Excess = true
		if !w.capacityAt.IsZero() {
			r.record.CapacityAge = time.Since(w.capacityAt)
		}
	}
	w.site.records = append(w.site.records, r.record)
	if w.faults.FailAll {
		r.behaviour.Fail = "accelerator fault"
		r.totalWork, r.workDone = 10*time.Millisecond, 0
	}
	if step.Gang && step.Tasks > 1 {
		w.site.joinGangLocked(r, step.Tasks)
		return
	}
	w.resumeLocked(r)
}

// extendLeaseLocked extends the lease of the worker's runs to the lease end in a call, but at
// most to Settings.LeaseMax from now. It never shortens the lease.
func (w *Worker) extendLeaseLocked(o order) {
	inc := w.incarnation
	latest := inc.clockLocked() + w.cfg.LeaseMax.Milliseconds()
	inc.checkSentLeaseLocked()
	inc.sentLeaseEnd = max(inc.sentLeaseEnd, min(o.sentUntil, latest))
	leaseEnd := min(o.Until, latest)
	if leaseEnd <= inc.leaseEnd {
		return
	}
	inc.leaseEnd = leaseEnd
	if inc.leaseTimer != nil {
		inc.leaseTimer.Stop()
	}
	inc.leaseTimer = time.AfterFunc(time.Duration(float64(leaseEnd-inc.clockLocked())/inc.clockRate*float64(time.Millisecond)), func() {
		w.site.mu.Lock()
		defer w.site.mu.Unlock()
		if w.incarnation != inc || inc.leaseEnd > leaseEnd || w.down {
			return
		}
		inc.voidEndsLocked()
		for _, r := range inc.runs {
			w.endLocked(r, EndLapsed)
		}
	})
}

func (w *Worker) serveStop(rw http.ResponseWriter, r *http.Request) {
	if o, ok := decodeOrder(rw, r); ok {
		w.executeOrder(rw, o, func(o order) string {
			inc := w.incarnation
			inc.lastRun[o.Task] = max(inc.lastRun[o.Task], o.Run)
			if run := inc.runs[o.Task]; run != nil && run.number <= o.Run && !run.stopping {
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
	if o, ok := decodeOrder(rw, r); ok {
		w.executeOrder(rw, o, func(o order) string {
			if run := w.incarnation.runs[o.Task]; run != nil && run.number == o.Run {
				w.changeSpeedLocked(run, func() { run.pacePercent = max(0, min(o.Percent, 100)) })
			}
			return ""
		})
	}
}

// serveHold renews the lease, drops the listed ends up to Seen, and waits for the next
// end. It responds with the current runs and the listed ends.
func (w *Worker) serveHold(rw http.ResponseWriter, r *http.Request) {
	o, ok := decodeOrder(rw, r)
	if !ok {
		return
	}
	w.lockIncarnation(rw)
	inc := w.incarnation
	if delay, lost := w.lateDelayLocked(true); lost {
		w.executeLateLocked(o, delay, func(o order) {
			w.executeFencedLocked(o, func(o order) string {
				w.extendLeaseLocked(o)
				return ""
			})
		})
		w.site.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.Fence < inc.fence {
		out := reply{Clock: inc.clockLocked(), Born: inc.born, Reason: "fence"}
		w.site.mu.Unlock()
		jsonhttp.Write(rw, http.StatusConflict, out)
		return
	}
	inc.fence = o.Fence
	w.extendLeaseLocked(o)
	for len(inc.listedEnds) > 0 && inc.listedEnds[0].number <= o.Seen {
		inc.listedEnds = inc.listedEnds[1:]
	}
	w.site.mu.Unlock()
	w.waitForEnd(r.Context(), inc, min(time.Duration(o.Wait)*time.Millisecond, maxHoldWait))
	w.site.mu.Lock()
	if w.down || w.incarnation != inc {
		w.site.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	out := w.runListLocked()
	w.site.mu.Unlock()
	jsonhttp.Write(rw, http.StatusOK, out)
}

// waitForEnd waits until the incarnation lists the end of a run or has ended itself, for
// at most wait.
func (w *Worker) waitForEnd(ctx context.Context, inc *incarnation, wait time.Duration) {
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		w.site.mu.Lock()
		listed, endsChanged := len(inc.listedEnds) > 0, inc.endsChanged
		w.site.mu.Unlock()
		if listed || wait <= 0 {
			return
		}
		select {
		case <-endsChanged:
			w.site.mu.Lock()
			ended := w.down || w.incarnation != inc
			w.site.mu.Unlock()
			if ended {
				return
			}
		case <-t.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// runListLocked returns the current runs and the first maxListedEnds of the listed ends. The columns
// of their rows are:
//
//	Running  task, run, checkpoint, percent, CPU in thousandths of a core
//	Ended    number of the end, task, run, how, checkpoint, and the result or error if any
func (w *Worker) runListLocked() reply {
	inc := w.incarnation
	out := reply{Clock: inc.clockLocked(), Born: inc.born}
	for _, r := range inc.runs {
		out.Running = append(out.Running, []any{r.task, r.number, r.checkpointLocked(), r.percentLocked(), r.step.CPU})
	}
	for _, e := range inc.listedEnds[:min(len(inc.listedEnds), maxListedEnds)] {
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
	unhealthy := w.faults.Unhealthy || !w.drainEnd.IsZero()
	w.site.mu.Unlock()
	status := http.StatusOK
	if unhealthy {
		status = http.StatusServiceUnavailable
	}
	jsonhttp.Write(rw, status, reply{})
}
