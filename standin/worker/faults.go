package worker

import (
	"net/http"

	"github.com/medlargrade/medlargrade/protocol/workerapi"
	"github.com/medlargrade/medlargrade/standin/jsonhttp"
)

// Numbers of logged events.
const (
	eventFaults  = 911
	eventStopped = 912
)

// workerFailure is the error of tasks that fail because of Faults.FailTasks.
const workerFailure = "accelerator fault"

// Faults are the faults that are switched on. The zero value is none.
type Faults struct {
	FailTasks   bool    // tasks that start fail at once
	Straggle    float64 // multiplies the run time of all tasks, including those that run; 0 stands for 1
	CutOff      bool    // no request of the protocol arrives and no reply leaves; tasks and leases go on
	LoseAnswers int     // the next launches and actions that take effect are not answered: their connections are closed
}

// Faults returns the present faults. LoseAnswers counts down.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	w.faults = f
	switch {
	case f.CutOff && w.cutLifted == nil:
		w.cutLifted = make(chan struct{})
	case !f.CutOff && w.cutLifted != nil:
		close(w.cutLifted)
		w.cutLifted = nil
	}
	for _, t := range w.tasks {
		if t.state == workerapi.StateRunning {
			w.paceLocked(t)
		}
	}
	w.mu.Unlock()
	w.log.Info().Int("Event", eventFaults).Interface("Faults", f).Msg("worker faults changed")
}

// passCut returns if the worker is not cut off. Otherwise it drops the
// connection when the caller has gone or the cut is lifted.
func (w *Worker) passCut(r *http.Request) {
	w.mu.Lock()
	lifted := w.cutLifted
	w.mu.Unlock()
	if lifted == nil {
		return
	}
	select {
	case <-lifted:
	case <-r.Context().Done():
	}
	panic(http.ErrAbortHandler)
}

func (w *Worker) loseAnswer() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.LoseAnswers <= 0 {
		return false
	}
	w.faults.LoseAnswers--
	return true
}

func (w *Worker) getFaults(rw http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(rw, http.StatusOK, w.Faults())
}

func (w *Worker) postFaults(rw http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := jsonhttp.Decode(rw, r, 1<<20, &f); err != nil {
		jsonhttp.Write(rw, http.StatusBadRequest, workerapi.ErrorReply{Code: workerapi.CodeInvalid, Error: err.Error()})
		return
	}
	w.SetFaults(f)
	jsonhttp.Write(rw, http.StatusOK, f)
}
