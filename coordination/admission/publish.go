package admission

import (
	"slices"
	"time"
)

const (
	// publishInterval is the shortest time between two rows.
	publishInterval = time.Second
	// publishChange is the relative change of a value from which on a row is published
	// although no work waits.
	publishChange = 0.1
)

// Publisher decides when a row is published. The zero value has published none.
type Publisher struct {
	last Row
}

// Ready reports whether the last row is old enough for another one, at a time of the store's
// clock.
func (p *Publisher) Ready(now time.Duration) bool {
	return now-time.Duration(p.last.AtMillis)*time.Millisecond >= publishInterval
}

// Due reports whether a row is to be published now: while work waits, or if a value has changed
// by publishChange.
func (p *Publisher) Due(r Row) bool {
	return p.Ready(time.Duration(r.AtMillis)*time.Millisecond) && (r.Waits() || p.last.Waits() || changed(p.last, r))
}

// Published records that a row has been published.
func (p *Publisher) Published(r Row) { p.last = r }

func changed(x, y Row) bool {
	return x.ConfigVersion != y.ConfigVersion || !slices.EqualFunc(x.Kinds, y.Kinds, func(x, y KindLoad) bool {
		return x.Queue == y.Queue && near(x.Free, y.Free) && near(x.Drain, y.Drain)
	})
}

func near(x, y int) bool {
	d := max(x-y, y-x)
	return float64(d) < publishChange*float64(max(x, y)) || d == 0
}
