package contention

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// slotLength is the resolution of the estimate. Short gangs run for about 2 s.
	slotLength = 500 * time.Millisecond
	// window is how long arrivals count. A shorter one forgets a burst before the next comes;
	// a longer one idles capacity after the last burst.
	window = 60 * time.Second
	// warmUp is the time after the start within which the history is too short for an
	// estimate, for example after a change of the planner.
	warmUp = 15 * time.Second
	// maxRunTime bounds the time for which one arrival counts as using capacity. It limits
	// the effect of a wrong declaration.
	maxRunTime = 20 * time.Second
	// slots is the number of slots in the ring: those of the window, and of the runs that
	// have not ended at its end.
	slots = int((window + maxRunTime) / slotLength)
)

// Class identifies the arrivals that are counted together.
type Class struct {
	Pool string // of the workers that may run it; empty for any
	Kind string
}

// Amount is an amount of capacity.
type Amount struct {
	Accelerators int
	// Workers is the number of whole free workers, counted for tasks that need more than
	// half of a worker.
	Workers int
}

// Plus returns the sum of two amounts.
func (a Amount) Plus(b Amount) Amount {
	return Amount{a.Accelerators + b.Accelerators, a.Workers + b.Workers}
}

// Arrivals estimates the capacity that urgent work uses at a time from what arrived in the
// last minute. It is not safe for concurrent use. All sums are of integers, so the order
// of observations at the same time has no effect.
type Arrivals struct {
	since   time.Time // start of the history
	byClass map[Class]*usageRing
}

// usageRing holds, for each slot, the capacity that the arrivals would have used if each had
// started at once.
type usageRing struct {
	newest int64 // number of the newest slot that may be in use
	usage  [slots]Amount
}

// NewArrivals returns an estimate without arrivals whose history starts now.
func NewArrivals(now time.Time) *Arrivals {
	return &Arrivals{since: now, byClass: make(map[Class]*usageRing)}
}

// Clone returns a copy of the estimate.
func (a *Arrivals) Clone() *Arrivals {
	out := &Arrivals{since: a.since, byClass: make(map[Class]*usageRing, len(a.byClass))}
	for c, r := range a.byClass {
		ring := *r
		out.byClass[c] = &ring
	}
	return out
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotLength) }

// advance clears the slots after the newest one, up to slot n.
func (r *usageRing) advance(n int64) {
	for s := max(r.newest+1, n-int64(slots)+1); s <= n; s++ {
		r.usage[s%int64(slots)] = Amount{}
	}
	r.newest = max(r.newest, n)
}

// Observe adds urgent work that arrived now and is predicted to run for a time.
func (a *Arrivals) Observe(c Class, need Amount, runTime time.Duration, now time.Time) {
	r := a.byClass[c]
	if r == nil {
		r = &usageRing{newest: slotOf(now) - 1}
		a.byClass[c] = r
	}
	first := slotOf(now)
	last := slotOf(now.Add(min(max(runTime, slotLength), maxRunTime) - 1))
	r.advance(last)
	for s := first; s <= last; s++ {
		u := &r.usage[s%int64(slots)]
		*u = u.Plus(need)
	}
}

// Usage is a distribution over time of the capacity in use.
type Usage struct {
	Mean, Deviation float64
	Peak            int
}

// Demand is the estimated use of capacity by urgent work.
type Demand struct {
	// Known is false while the history is too short for an estimate.
	Known                 bool
	Accelerators, Workers Usage
}

// Demand returns the estimate for the classes that may use the workers of a pool.
func (a *Arrivals) Demand(pool string, now time.Time) Demand {
	d := Demand{Known: now.Sub(a.since) >= warmUp}
	span := min(window, now.Sub(a.since))
	n := max(int64(span/slotLength), 1)
	current := slotOf(now)
	sums := make([]Amount, n)
	for c, r := range a.byClass {
		if c.Pool != pool && c.Pool != "" && pool != "" {
			continue
		}
		if r.newest < current-n {
			delete(a.byClass, c)
			continue
		}
		for i := range n {
			if s := current - i; s <= r.newest && s > r.newest-int64(slots) {
				u := r.usage[s%int64(slots)]
				sums[i] = sums[i].Plus(u)
			}
		}
	}
	d.Accelerators = usageOf(sums, func(x Amount) int { return x.Accelerators })
	d.Workers = usageOf(sums, func(x Amount) int { return x.Workers })
	return d
}

func usageOf(sums []Amount, part func(Amount) int) Usage {
	sum, squares, peak := 0, 0, 0
	for _, x := range sums {
		v := part(x)
		sum += v
		squares += v * v
		peak = max(peak, v)
	}
	n := float64(len(sums))
	mean := float64(sum) / n
	return Usage{Mean: mean, Deviation: math.Sqrt(max(float64(squares)/n-mean*mean, 0)), Peak: peak}
}

// Pools returns the pools of the classes with arrivals, sorted.
func (a *Arrivals) Pools() []string {
	var out []string
	for c := range a.byClass {
		out = append(out, c.Pool)
	}
	slices.SortFunc(out, cmp.Compare[string])
	return slices.Compact(out)
}
