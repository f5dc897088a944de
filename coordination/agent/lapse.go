package agent

import (
	"errors"
	"time"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// The planner gives up the runs of a target when all leases on it have lapsed by the lease cap, and
// their tasks are started elsewhere. A call without an answer that is carried out late can extend
// a lease beyond the cap. An end that the worker lists then is still valid, and must not be
// acknowledged: its task would have been done and be done again. Such ends are void once the
// lease has lapsed. Late calls can't extend it any more once the worker has confirmed a higher
// fencing token, with which planners take up contact again after they have given up runs.
//
// An agent doesn't know the calls of the former process of its target, nor whether a former planner
// has given up runs. So it reports that the listed ends are uncertain, and the planner asks for the
// lapse if one of them is of a run that has been given up.

// maxCallDelay is how late a call without an answer is carried out, as the platform's bench plays
// it.
const maxCallDelay = 12 * time.Second

// recordUnansweredGrantLocked records that a call that can extend a lease failed with err.
func (a *Agent) recordUnansweredGrantLocked(fence int64, sentAt time.Time, err error) {
	var refusal *RefusedError
	if errors.Is(err, ErrNotSent) || errors.Is(err, ErrOtherIncarnation) || errors.As(err, &refusal) {
		return
	}
	if fence >= a.state.confirmedFence {
		a.state.unansweredGrantAt = sentAt
	}
}

// hasUncertainGrantLocked reports whether a lease may still last that a call without an answer has
// extended.
func (a *Agent) hasUncertainGrantLocked() bool {
	return !a.state.unansweredGrantAt.IsZero() && time.Since(a.state.unansweredGrantAt) <= maxCallDelay+a.lapseTime()
}

// mayFollowGrant reports whether a lease may still last that a call of the former process of this
// target has extended.
func (a *Agent) mayFollowGrant() bool { return time.Since(a.startedAt) <= maxCallDelay+a.lapseTime() }

// recordUnansweredStart is recordUnansweredGrantLocked for a start on an incarnation.
func (a *Agent) recordUnansweredStart(inc *agentrpc.Life, fence int64, sentAt time.Time, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if agentrpc.SameLife(a.heartbeat.Incarnation, inc) {
		a.recordUnansweredGrantLocked(fence, sentAt, err)
	}
}

// settleGrantsLocked is called when the worker has confirmed a higher fencing token, so that calls
// with a lower one have no effect any more. If one of them may have extended a lease beyond a cap
// that has passed, the leases must lapse before anything is done with the lists of the worker.
func (a *Agent) settleGrantsLocked(clock WorkerTime) {
	uncertain := a.hasUncertainGrantLocked()
	outlived := uncertain && (a.state.capPassed || a.state.leaseCap != 0 && clock >= a.state.leaseCap || a.awaitsLapseLocked())
	a.state.uncertainEnds = a.state.uncertainEnds || uncertain || a.mayFollowGrant()
	lapseBy := time.Now().Add(a.lapseTime())
	if latest := a.state.unansweredGrantAt.Add(maxCallDelay + a.lapseTime()); latest.Before(lapseBy) {
		lapseBy = latest
	}
	a.state.unansweredGrantAt, a.state.capPassed = time.Time{}, false
	if outlived {
		a.awaitLapseLocked(lapseBy)
	}
}

// handleUncertainEndsLocked is called when a planner asks for the lapse of the leases, because an
// uncertain end is of a run that has been given up.
func (a *Agent) handleUncertainEndsLocked() {
	if a.state.uncertainEnds && !a.awaitsLapseLocked() {
		a.awaitLapseLocked(time.Now().Add(a.lapseTime()))
	}
}

func (a *Agent) awaitLapseLocked(lapseBy time.Time) {
	a.state.lapseBy = lapseBy
	a.log.Warn().Int("Event", EventLeaseUncertain).Str("Worker", a.heartbeat.Incarnation.GetWorker()).Dur("Lapse", time.Until(lapseBy)).
		Msg("a call without an answer, or one of a former process, may have extended leases beyond the cap; the worker is not used until they have lapsed")
	a.cfg.Metrics.GetOrCreateCounter(`medlargrade_uncertain_leases_total`).Inc()
}

// awaitsLapseLocked reports whether the leases on the worker must lapse: the agent extends none,
// passes on no lists, starts nothing and stops what runs, until endLapseLocked.
func (a *Agent) awaitsLapseLocked() bool { return !a.state.lapseBy.IsZero() }

// endLapseLocked is called when the worker has answered a hold, and reports whether the leases have
// lapsed since its last call, so that the lists are passed on again.
func (a *Agent) endLapseLocked() bool {
	if !a.awaitsLapseLocked() || time.Now().Before(a.state.lapseBy) {
		return false
	}
	if a.hasUncertainGrantLocked() {
		// A call that was in progress when the wait began has got no answer.
		a.state.lapseBy = a.state.unansweredGrantAt.Add(maxCallDelay + a.lapseTime())
		return false
	}
	a.state.lapseBy, a.state.uncertainEnds = time.Time{}, false
	return true
}

// lapseTime returns after how long a lease has certainly lapsed that is not extended.
func (a *Agent) lapseTime() time.Duration {
	return time.Duration(float64(a.cfg.LeaseMax)*(1+maxClockDrift)) + lapseMargin
}
