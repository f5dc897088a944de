package worker

import (
	"time"

	"github.com/medlargrade/medlargrade/protocol/workerapi"
)

// sample is the use from a moment on.
type sample struct {
	at    time.Time
	usage workerapi.Usage
}

// useLocked changes the use and keeps a sample of it.
func (w *Worker) useLocked(slots, held, running int) {
	w.usage.UsedSlots += slots
	w.usage.Held += held
	w.usage.Running += running
	now := time.Now()
	w.samples = append(w.pastLocked(now), sample{at: now, usage: w.usage})
}

// pastLocked drops the samples that no report needs any more. The first one
// that remains is the report, if it is old enough.
func (w *Worker) pastLocked(now time.Time) []sample {
	at := now.Add(-w.lag)
	for len(w.samples) > 1 && !w.samples[1].at.After(at) {
		w.samples = w.samples[1:]
	}
	return w.samples
}

// Usage returns the use as it was a lag ago.
func (w *Worker) Usage() workerapi.Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	u := workerapi.Usage{}
	now := time.Now()
	if s := w.pastLocked(now); len(s) > 0 && !s[0].at.After(now.Add(-w.lag)) {
		u = s[0].usage
	}
	u.Slots = w.slots
	u.AgeMillis = w.lag.Milliseconds()
	return u
}
