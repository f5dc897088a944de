package worker

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/medlargrade/medlargrade/protocol/workerapi"
	"github.com/medlargrade/medlargrade/standin/jsonhttp"
)

// receive reads the whole request, and then holds it if the worker is cut off.
func (w *Worker) receive(next http.Handler) http.Handler {
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		// The server notices that a caller has gone only after the whole body
		// has been read.
		body, err := io.ReadAll(http.MaxBytesReader(rw, r.Body, workerapi.MaxBody))
		if err != nil {
			w.refuse(rw, r, http.StatusRequestEntityTooLarge, workerapi.CodeInvalid, err.Error())
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		w.passCut(r)
		next.ServeHTTP(rw, r)
	})
}

// answer replies unless the worker is cut off.
func (w *Worker) answer(rw http.ResponseWriter, r *http.Request, status int, v any) {
	w.passCut(r)
	jsonhttp.Write(rw, status, v)
}

// answerEffect replies to a request that took effect.
func (w *Worker) answerEffect(rw http.ResponseWriter, r *http.Request, t *task) {
	if w.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	w.mu.Lock()
	reply := t.replyLocked()
	w.mu.Unlock()
	w.answer(rw, r, http.StatusOK, reply)
}

// refuse replies to a request that had no effect.
func (w *Worker) refuse(rw http.ResponseWriter, r *http.Request, status int, code workerapi.Code, reason string) {
	w.answer(rw, r, status, workerapi.ErrorReply{Code: code, Error: reason})
}

func (w *Worker) launch(rw http.ResponseWriter, r *http.Request) {
	var req workerapi.LaunchRequest
	if err := jsonhttp.Decode(rw, r, workerapi.MaxBody, &req); err != nil {
		w.refuse(rw, r, http.StatusBadRequest, workerapi.CodeInvalid, err.Error())
		return
	}
	w.mu.Lock()
	t, code, reason := w.launchLocked(req)
	w.mu.Unlock()
	switch code {
	case "":
		waitEnd(r.Context(), t, millis(req.WaitMillis))
		w.answerEffect(rw, r, t)
	case workerapi.CodeInvalid:
		w.refuse(rw, r, http.StatusBadRequest, code, reason)
	case workerapi.CodeBusy, workerapi.CodeDown:
		w.refuse(rw, r, http.StatusServiceUnavailable, code, reason)
	default:
		w.refuse(rw, r, http.StatusConflict, code, reason)
	}
}

// find returns the task of a request, or answers that there is none.
func (w *Worker) find(rw http.ResponseWriter, r *http.Request) *task {
	id, err := jsonhttp.PathParam(r, "id")
	if err != nil {
		w.refuse(rw, r, http.StatusBadRequest, workerapi.CodeInvalid, err.Error())
		return nil
	}
	w.mu.Lock()
	t := w.tasks[id]
	w.mu.Unlock()
	if t == nil {
		w.refuse(rw, r, http.StatusNotFound, workerapi.CodeUnknown, "no task "+strconv.Quote(id))
	}
	return t
}

func (w *Worker) wait(rw http.ResponseWriter, r *http.Request) {
	t := w.find(rw, r)
	if t == nil {
		return
	}
	var ms int64
	if s := r.URL.Query().Get(workerapi.QueryWait); s != "" {
		n, err := strconv.ParseInt(s, 10, 64)
		if err != nil {
			w.refuse(rw, r, http.StatusBadRequest, workerapi.CodeInvalid, workerapi.QueryWait+" is not a number")
			return
		}
		ms = n
	}
	waitEnd(r.Context(), t, millis(ms))
	w.mu.Lock()
	reply := t.replyLocked()
	w.mu.Unlock()
	w.answer(rw, r, http.StatusOK, reply)
}

// waitEnd waits for the end of a task, for a time at most.
func waitEnd(ctx context.Context, t *task, limit time.Duration) {
	if limit <= 0 {
		return
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-t.done:
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (w *Worker) release(rw http.ResponseWriter, r *http.Request) {
	t := w.find(rw, r)
	if t == nil {
		return
	}
	w.mu.Lock()
	refused := w.lapseLocked(t) || t.state == workerapi.StateStopped
	if !refused && t.state == workerapi.StateHeld {
		w.startLocked(t)
	}
	w.mu.Unlock()
	if refused {
		w.refuse(rw, r, http.StatusConflict, workerapi.CodeNotRunning, "task is stopped")
		return
	}
	w.answerEffect(rw, r, t)
}

func (w *Worker) checkpoint(rw http.ResponseWriter, r *http.Request) {
	t := w.find(rw, r)
	if t == nil {
		return
	}
	took := w.checkpointTime
	w.mu.Lock()
	running := t.running()
	progress := t.progressLocked()
	if ms := t.behaviour.CheckpointMillis; ms > 0 {
		took = millis(ms)
	}
	w.mu.Unlock()
	if running {
		waitEnd(r.Context(), t, took)
		if r.Context().Err() != nil {
			return // The caller has gone; the checkpoint is dropped.
		}
		w.mu.Lock()
		if running = t.running(); running {
			t.checkpoint = progress
		}
		w.mu.Unlock()
	}
	w.answerRunning(rw, r, t, running)
}

func (w *Worker) throttle(rw http.ResponseWriter, r *http.Request) {
	t := w.find(rw, r)
	if t == nil {
		return
	}
	w.mu.Lock()
	running := t.running()
	if running && !t.throttled {
		t.throttled = true
		w.paceLocked(t)
	}
	w.mu.Unlock()
	w.answerRunning(rw, r, t, running)
}

func (t *task) running() bool { return t.state == workerapi.StateRunning && t.stopping == "" }

// answerRunning replies to an action that only a running task allows.
func (w *Worker) answerRunning(rw http.ResponseWriter, r *http.Request, t *task, running bool) {
	if !running {
		w.refuse(rw, r, http.StatusConflict, workerapi.CodeNotRunning, "task does not run")
		return
	}
	w.answerEffect(rw, r, t)
}

func (w *Worker) stop(rw http.ResponseWriter, r *http.Request) {
	t := w.find(rw, r)
	if t == nil {
		return
	}
	w.mu.Lock()
	w.stopLocked(t, workerapi.StopRequested)
	w.mu.Unlock()
	select {
	case <-t.done:
	case <-r.Context().Done():
	}
	w.answerEffect(rw, r, t)
}

func (w *Worker) renew(rw http.ResponseWriter, r *http.Request) {
	var req workerapi.LeaseRequest
	if err := jsonhttp.Decode(rw, r, workerapi.MaxBody, &req); err != nil || req.LeaseMillis < 1 {
		w.refuse(rw, r, http.StatusBadRequest, workerapi.CodeInvalid, "malformed, or no lease")
		return
	}
	reply := workerapi.LeaseReply{Lost: []string{}}
	w.mu.Lock()
	for _, id := range req.IDs {
		t := w.tasks[id]
		switch {
		case t == nil || t.stopping != "" || w.lapseLocked(t):
			reply.Lost = append(reply.Lost, id)
		case !t.final():
			w.leaseLocked(t, millis(req.LeaseMillis))
		}
	}
	w.mu.Unlock()
	w.answer(rw, r, http.StatusOK, reply)
}

func (w *Worker) getUsage(rw http.ResponseWriter, r *http.Request) {
	w.answer(rw, r, http.StatusOK, w.Usage())
}
