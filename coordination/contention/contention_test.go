package contention

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var start = time.Unix(1_800_000_000, 0)

// Guards against an estimate that misses the use of overlapping runs, remembers arrivals for
// too long, or mixes up pools.
func TestDemand(t *testing.T) {
	a := NewArrivals(start)
	check := Class{Pool: "p", Kind: "check"}
	qt.Check(t, a.Demand("p", start).Known, qt.IsFalse)
	// Two gangs overlap for 1 s of the first 20 s.
	a.Observe(check, Amount{Accelerators: 16, Workers: 2}, 2*time.Second, start.Add(10*time.Second))
	a.Observe(check, Amount{Accelerators: 8, Workers: 1}, 2*time.Second, start.Add(11*time.Second))
	d := a.Demand("p", start.Add(20*time.Second))
	qt.Check(t, d.Known, qt.IsTrue)
	qt.Check(t, d.Accelerators.Peak, qt.Equals, 24)
	qt.Check(t, d.Workers.Peak, qt.Equals, 3)
	qt.Check(t, d.Accelerators.Mean, qt.Equals, (16*2.0+8*2.0)/20)
	qt.Check(t, a.Demand("other", start.Add(20*time.Second)).Accelerators.Peak, qt.Equals, 0)
	qt.Check(t, a.Demand("p", start.Add(80*time.Second)).Accelerators.Peak, qt.Equals, 0)
}

// Guards against sums that depend on the order of arrivals at the same time, and against use
// that a ring keeps from an earlier turn.
func TestDemandRepeats(t *testing.T) {
	x, y := NewArrivals(start), NewArrivals(start)
	c := Class{Kind: "check"}
	for i := range 400 {
		now := start.Add(time.Duration(i) * time.Second)
		long, short := 30*time.Second, 700*time.Millisecond
		x.Observe(c, Amount{Accelerators: 8}, long, now)
		x.Observe(c, Amount{Accelerators: 2}, short, now)
		y.Observe(c, Amount{Accelerators: 2}, short, now)
		y.Observe(c, Amount{Accelerators: 8}, long, now)
		d := x.Demand("", now)
		qt.Assert(t, d, qt.Equals, y.Demand("", now))
		// No more than maxRunTime of arrivals overlap.
		qt.Assert(t, d.Accelerators.Peak <= 20*8+2, qt.IsTrue)
	}
}

// Guards against room that ignores what runs already, exceeds its bounds, or is kept although
// nothing urgent arrives.
func TestRoom(t *testing.T) {
	site := Site{Total: Amount{Accelerators: 560, Workers: 70}}
	busy := site
	busy.UrgentInUse = Amount{Accelerators: 100, Workers: 10}
	known := func(mean, deviation float64) Demand {
		return Demand{Known: true, Accelerators: Usage{Mean: mean, Deviation: deviation}}
	}
	tests := []struct {
		name   string
		demand Demand
		site   Site
		costly bool
		want   int
	}{
		{"unknown: the fixed share", Demand{}, site, true, 224},
		{"nothing arrives", known(0, 0), site, true, 0},
		{"costly to stop", known(100, 40), site, true, 160},
		{"cheap to stop", known(100, 40), site, false, 70},
		{"some is in use", known(100, 40), Site{Total: site.Total, UrgentInUse: Amount{Accelerators: 30}}, true, 130},
		{"much is in use", known(100, 40), busy, true, 80},
		{"bounded", known(500, 100), site, true, 336},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Check(t, tt.demand.Room(tt.site, tt.costly).Accelerators, qt.Equals, tt.want)
		})
	}
}

// Guards against a wait that outlasts the claim, or that leaves a unit without slack.
func TestWaitForEnd(t *testing.T) {
	const stopTime, extra = 400 * time.Millisecond, time.Second
	tests := []struct{ slack, want time.Duration }{
		{-time.Second, 0},
		{400 * time.Millisecond, 200 * time.Millisecond},
		{time.Minute, 900 * time.Millisecond},
	}
	for _, tt := range tests {
		qt.Check(t, WaitForEnd(tt.slack, stopTime, extra), qt.Equals, tt.want, qt.Commentf("slack %v", tt.slack))
	}
}

// Guards against a second stop that counts no more than the first.
func TestRepeatPenalty(t *testing.T) {
	qt.Check(t, RepeatPenalty(0, 10), qt.Equals, 0.0)
	qt.Check(t, RepeatPenalty(1, 10) > 10, qt.IsTrue)
	qt.Check(t, RepeatPenalty(2, 10) > RepeatPenalty(1, 10), qt.IsTrue)
	qt.Check(t, LossFactor(false) < LossFactor(true), qt.IsTrue)
}

// Guards against reservations on more workers than needed, or that are met later than possible
// or never.
func TestEarliest(t *testing.T) {
	options := []Option{
		{"w1", []Fit{{0, 0}, {4 * time.Second, 2}}},
		{"w2", []Fit{{0, 1}, {2 * time.Second, 2}}},
		{"w3", []Fit{{0, 1}}},
		{"w4", []Fit{{0, 0}, {time.Hour, 8}}},
	}
	tests := []struct {
		tasks int
		want  []Reserved
		after time.Duration
	}{
		{1, []Reserved{{"w2", 1}}, 0},
		{2, []Reserved{{"w2", 1}, {"w3", 1}}, 0},
		{3, []Reserved{{"w2", 2}, {"w3", 1}}, 2 * time.Second},
		{4, []Reserved{{"w2", 2}, {"w3", 1}, {"w1", 1}}, 4 * time.Second},
		{6, nil, 0},
	}
	for _, tt := range tests {
		got, after := Earliest(options, tt.tasks)
		qt.Check(t, got, qt.DeepEquals, tt.want)
		qt.Check(t, after, qt.Equals, tt.after)
	}
}

// Guards against reservations that come too early or take the whole site, and against backfill
// that delays them.
func TestReservationRules(t *testing.T) {
	qt.Check(t, MustReserve(time.Second, 10*time.Second), qt.IsFalse)
	qt.Check(t, MustReserve(5*time.Second, 10*time.Second), qt.IsTrue)
	qt.Check(t, MustReserve(0, -time.Second), qt.IsTrue)
	qt.Check(t, MayReserve(256, 0, 560), qt.IsTrue)
	qt.Check(t, MayReserve(16, 256, 560), qt.IsFalse)
	qt.Check(t, MayReserve(100, 60, 560), qt.IsTrue)
	qt.Check(t, MayBackfill(time.Second, 2*time.Second), qt.IsTrue)
	qt.Check(t, MayBackfill(time.Second, time.Second), qt.IsFalse)
}

// Guards against use that is forgotten at once or never, and against shares that ignore
// guarantees.
func TestShares(t *testing.T) {
	s := NewShares(start)
	s.Update(map[string]int{"a": 100}, start)
	s.Update(nil, start.Add(useHalfLife))
	qt.Check(t, s.Use("a"), qt.Equals, 50.0)
	s.Update(nil, start.Add(2*useHalfLife))
	qt.Check(t, s.Use("a"), qt.Equals, 25.0)
	s.Update(nil, start.Add(40*useHalfLife))
	qt.Check(t, s.Use("a"), qt.Equals, 0.0)
	s.Update(map[string]int{"a": 100, "b": 100, "c": 10}, start.Add(41*useHalfLife))
	// The equal part is 50.
	qt.Check(t, s.Step("a", 0, 150, 3), qt.Equals, 4)
	qt.Check(t, s.Step("b", 100, 150, 3), qt.Equals, 2)
	qt.Check(t, s.Step("c", 0, 150, 3), qt.Equals, 0)
	qt.Check(t, s.Step("new", 0, 150, 3), qt.Equals, 0)
}
