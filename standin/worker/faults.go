package worker

import (
	"net/http"
	"time"

	"github.com/medlargrade/medlargrade/standin/jsonhttp"
)

// Numbers of logged events, from 911 to 919.
const (
	// eventFaults is logged when the injected faults of a simulated worker have been
	// replaced.
	eventFaults = 911
	// eventReportFailed is logged when the request for a report, which is a heartbeat or
	// a deregistration, could not be created.
	eventReportFailed = 913
	// eventReportLost is logged when the target process did not respond to a report.
	eventReportLost = 914
)

// Faults are the injected faults. The zero value is none.
type Faults struct {
	FailAll    bool    // runs that start fail after 10 ms
	Hang       bool    // runs make no progress
	Slow       float64 // factor on run times; 0 means 1
	Unhealthy  bool    // starts and health checks get status 503; the starts are not executed
	LoseOrders int     // number of next orders that get no response but are executed
	LateMillis int64   // delay before orders without a response are executed
	// LostCapacity is the share of the capacity that is gone, from 0 to 1.
	LostCapacity float64
}

// Faults returns the current faults. Each lost response decrements LoseOrders.
func (w *Worker) Faults() Faults {
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	return w.faults
}

// SetFaults replaces the faults, and applies them to the progress of current runs too.
func (w *Worker) SetFaults(f Faults) {
	w.site.mu.Lock()
	for _, r := range w.incarnation.runs {
		r.workDone = r.progressLocked()
	}
	if f.LostCapacity != w.faults.LostCapacity {
		w.capacityAt = time.Time{}
		w.triggerHeartbeatLocked()
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
