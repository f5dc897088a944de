package worker

import (
	"net/http"
	"time"

	"github.com/medlargrade/medlargrade/standin/jsonhttp"
)

// Numbers of logged events, from 911 to 919.
const (
	// eventFaults occurs when the faults of a worker's stand-in were changed.
	eventFaults = 911
	// eventReportFailed occurs when a heartbeat could not be made.
	eventReportFailed = 913
	// eventReportLost occurs when a heartbeat was not acknowledged.
	eventReportLost = 914
)

// Faults are the faults that are switched on. The zero value is none.
type Faults struct {
	FailAll    bool    // runs that start fail at once
	Hang       bool    // runs stand still
	Slow       float64 // multiplies run times; 0 stands for 1
	Unhealthy  bool    // starts are answered with 503 and not carried out
	LoseOrders int     // the next orders get no answer
	LateMillis int64   // orders without an answer are carried out after this time
}

// Faults returns the present faults. LoseOrders counts down.
func (w *Worker) Faults() Faults {
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	return w.faults
}

// SetFaults replaces the faults.
func (w *Worker) SetFaults(f Faults) {
	w.site.mu.Lock()
	for _, r := range w.incarnation.runs {
		r.workDone = r.progressLocked()
	}
	w.faults = f
	for _, r := range w.incarnation.runs {
		if r.working {
			w.resumeLocked(r)
		}
	}
	w.site.mu.Unlock()
	w.log.Info().Int("Event", eventFaults).Interface("Faults", f).Msg("worker faults changed")
}

func (w *Worker) getFaults(rw http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(rw, http.StatusOK, w.Faults())
}

func (w *Worker) postFaults(rw http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := jsonhttp.Decode(rw, r, maxBodyBytes, &f); err != nil {
		jsonhttp.Write(rw, http.StatusBadRequest, reply{Reason: err.Error()})
		return
	}
	w.SetFaults(f)
	jsonhttp.Write(rw, http.StatusOK, f)
}

func (w *Worker) postDrain(rw http.ResponseWriter, r *http.Request) {
	var d struct{ Millis int64 }
	if err := jsonhttp.Decode(rw, r, maxBodyBytes, &d); err != nil {
		jsonhttp.Write(rw, http.StatusBadRequest, reply{Reason: err.Error()})
		return
	}
	w.Drain(time.Duration(d.Millis) * time.Millisecond)
	jsonhttp.Write(rw, http.StatusOK, struct{}{})
}
