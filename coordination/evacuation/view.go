package evacuation

import "time"

const (
	// maxAgeFraction is the greatest age of the copy of the rows with which work is started,
	// as a fraction of the bound. The rest of the bound is for an order on its way: an agent
	// makes two attempts at a worker that take up to 1.2 s together.
	maxAgeFraction = 0.5
	// watchFraction is the longest wait of a watch of the rows, as a fraction of the bound. The
	// copy gets as old as two waits while the store answers, and as old as two waits and the
	// time limit of a call, 1.2 s, when one answer is lost. With a bound of 5 s that is 2.3 s
	// with the pause after a failed call, so that the loss of one answer holds up no start.
	watchFraction = 0.1
)

// MaxAge returns how old the copy of the rows may be when work is started. bound is the time
// within which a request must be in force; 0 means that any age will do.
func MaxAge(bound time.Duration) time.Duration {
	return time.Duration(float64(bound) * maxAgeFraction)
}

// WatchWait returns the longest wait of a watch that keeps the rows fresh enough; it is at
// most limit.
func WatchWait(bound, limit time.Duration) time.Duration {
	if bound == 0 {
		return limit
	}
	return min(limit, time.Duration(float64(bound)*watchFraction))
}

// IsFresh reports whether work may be started with a copy of the rows. known is whether its age
// is known.
func IsFresh(bound, age time.Duration, known bool) bool {
	return bound == 0 || known && age <= MaxAge(bound)
}

// Action is what happens to a run that is recorded.
type Action int

// Actions.
const (
	Continue Action = iota // the run goes on, or its start may be sent and repeated
	Withhold               // the start is not sent or repeated for now
	Withdraw               // the run is stopped, because its start must not take effect
)

// View is what is known of the evacuations at a moment. It is immutable. The zero View is one
// without any knowledge: nothing may be started.
type View struct {
	set   Set
	fresh bool
}

// NewView returns a view of a set. fresh is the result of IsFresh.
func NewView(s Set, fresh bool) View { return View{s, fresh} }

// Set returns the evacuated data centres, as far as known.
func (v View) Set() Set { return v.set }

// IsFresh reports whether the copy of the rows is fresh enough to start work.
func (v View) IsFresh() bool { return v.fresh }

// IsEvacuated reports whether a data centre is evacuated, as far as known.
func (v View) IsEvacuated(dataCentre string) bool { return v.set.Contains(dataCentre) }

// MayStart reports whether a run may be started in a data centre.
func (v View) MayStart(dataCentre string) bool { return v.fresh && !v.set.Contains(dataCentre) }

// Decide returns what happens to a recorded run in a data centre. confirmed is whether the run
// is known to run: the request concerns starts, and stopping work would waste it.
func (v View) Decide(dataCentre string, confirmed bool) Action {
	switch {
	case confirmed:
		return Continue
	case v.set.Contains(dataCentre):
		return Withdraw
	case !v.fresh:
		return Withhold
	}
	return Continue
}
