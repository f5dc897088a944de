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
	// LateShare is the share of orders, from 0 to 1, that get no response and are executed after
	// a random delay from LateMillis to LateMaxMillis. It adds to LoseOrders.
	LateShare     float64
	LateMaxMillis int64
	// LateHolds applies LateShare to holds too.
	LateHolds bool
	// LeaseFromArrival makes the lease in a late call as long as it was when the call was sent,
	// counted from its execution.
	LeaseFromArrival bool
	// LostCapacity is the share of the capacity that is gone, from 0 to 1.
	LostCapacity float64
}

// lateDelayLocked decides whether a call gets no response, and after which delay it is executed
// in that case. Each lost response of LoseOrders decrements it.
func (w *Worker) lateDelayLocked(hold bool) (delay time.Duration, lost bool) {
	f := &w.faults
	switch {
	case f.LoseOrders > 0 && !hold:
		f.LoseOrders--
		return time.Duration(f.LateMillis) * time.Millisecond, true
	case hold && !f.LateHolds || w.random.Float64() >= f.LateShare:
		return 0, false
	}
	spread := float64(f.LateMaxMillis-f.LateMillis) * w.random.Float64()
	return time.Duration((float64(f.LateMillis) + spread) * float64(time.Millisecond)), true
}

// executeLateLocked calls do after a delay, unless the incarnation has ended by then.
func (w *Worker) executeLateLocked(o order, delay time.Duration, do func(o order)) {
	inc, left := w.incarnation, o.Until-w.incarnation.clockLocked()
	fromArrival := w.faults.LeaseFromArrival && o.Until > 0
	time.AfterFunc(delay, func() {
		w.site.mu.Lock()
		defer w.site.mu.Unlock()
		if w.incarnation != inc || w.down {
			return
		}
		if fromArrival {
			o.Until = inc.clockLocked() + left
		}
		do(o)
	})
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
