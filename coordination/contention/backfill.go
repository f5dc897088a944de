package contention

import (
	"cmp"
	"slices"
	"time"
)

const (
	// reservePart is the part of its slack after which a waiting unit gets a reservation. A
	// smaller one idles capacity for units that would have found room; with a larger one
	// the time that is left is too short.
	reservePart = 0.4
	// backfillMargin is the factor on the predicted run time of work that uses reserved
	// capacity for a while. Declared run times are off by a factor of up to 2.5; a run that
	// lasts longer only delays the reservation.
	backfillMargin = 1.25
	// maxReservationWait is the time by which reserved capacity must be predicted to be free.
	// It is about the run time of two long jobs; further predictions are too rough.
	maxReservationWait = 15 * time.Second
	// maxReservedShare bounds the share of the accelerators that is reserved. A single
	// reservation may exceed it, since the largest gangs need half of a site.
	maxReservedShare = 0.3
)

// MustReserve reports whether a unit that has waited for a time needs a reservation to end
// within its objective. slack is the time that it could have waited in all.
func MustReserve(waited, slack time.Duration) bool {
	return waited >= time.Duration(reservePart*float64(max(slack, 0)))
}

// MayReserve reports whether a unit that needs a number of accelerators may get a reservation
// beside what is reserved already.
func MayReserve(need, reserved, total int) bool {
	return reserved == 0 || float64(reserved+need) <= maxReservedShare*float64(total)
}

// MayBackfill reports whether work with a predicted run time may use capacity that is
// reserved from a time on.
func MayBackfill(runTime, untilReady time.Duration) bool {
	return time.Duration(backfillMargin*float64(runTime)) <= untilReady
}

// Fit says how many tasks of a unit fit on a worker after a time.
type Fit struct {
	After time.Duration
	Tasks int
}

// Option is a worker on which a unit may get a reservation, with the Fits in the order of
// their times.
type Option struct {
	Worker string
	Fits   []Fit
}

// Reserved is a number of tasks on a worker.
type Reserved struct {
	Worker string
	Tasks  int
}

// Earliest returns the workers on which a number of tasks fit first, and after which time. It
// returns nil if they don't fit within maxReservationWait.
func Earliest(options []Option, tasks int) ([]Reserved, time.Duration) {
	type gain struct {
		worker string
		after  time.Duration
		tasks  int
	}
	var gains []gain
	for _, o := range options {
		before := 0
		for _, f := range o.Fits {
			if f.Tasks > before && f.After <= maxReservationWait {
				gains = append(gains, gain{o.Worker, f.After, f.Tasks - before})
				before = f.Tasks
			}
		}
	}
	slices.SortFunc(gains, func(x, y gain) int {
		return cmp.Or(cmp.Compare(x.after, y.after), cmp.Compare(y.tasks, x.tasks), cmp.Compare(x.worker, y.worker))
	})
	var out []Reserved
	for _, g := range gains {
		n := min(g.tasks, tasks)
		if i := slices.IndexFunc(out, func(r Reserved) bool { return r.Worker == g.worker }); i >= 0 {
			out[i].Tasks += n
		} else {
			out = append(out, Reserved{g.worker, n})
		}
		if tasks -= n; tasks == 0 {
			return out, g.after
		}
	}
	return nil, 0
}
