package experiment_test

import (
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/experiment"
)

func readContention(t *testing.T) experiment.Load {
	t.Helper()
	text, err := os.ReadFile("testdata/contention.json")
	qt.Assert(t, err, qt.IsNil)
	l, err := experiment.ParseLoad(text)
	qt.Assert(t, err, qt.IsNil)
	return l
}

// outcome is the result of several runs with one policy.
type outcome struct {
	summary experiment.Summary
	groups  experiment.Breakdown
}

// contentionSeeds is the number of runs of each policy.
const contentionSeeds = 4

// played holds the outcomes of the contention load by policy, since several tests compare with
// the default.
var played = struct {
	mu       sync.Mutex
	outcomes map[planner.Policy]*outcome
}{outcomes: make(map[planner.Policy]*outcome)}

// play plays the contention load with policies side by side, logs their results and returns them.
func play(t *testing.T, policies ...planner.Policy) []*outcome {
	t.Helper()
	l := readContention(t)
	played.mu.Lock()
	defer played.mu.Unlock()
	out := make([]*outcome, len(policies))
	var wg sync.WaitGroup
	for i, policy := range policies {
		if out[i] = played.outcomes[policy]; out[i] != nil {
			continue
		}
		out[i] = &outcome{}
		played.outcomes[policy] = out[i]
		wg.Go(func() {
			for seed := range uint64(contentionSeeds) {
				r := experiment.Run(l, experiment.Options{Seed: seed, Policy: policy})
				out[i].summary.Add(r)
				out[i].groups.Add(r)
			}
		})
	}
	wg.Wait()
	for i, policy := range policies {
		t.Logf("%+v\n%s%s", policy, out[i].summary.String(), out[i].groups.String())
	}
	return out
}

// Guards against adaptive room that gains for other work at the cost of short gangs: where
// capacity is short, more of the worth must be earned in all, no less of the short gangs may
// be on time than with the fixed share, and other work must start sooner.
func TestAdaptiveRoomPays(t *testing.T) {
	if testing.Short() {
		t.Skip("plays 8 runs of 140 s")
	}
	// One percent of the short gangs is within the chance of the draws.
	const tolerance = 0.01
	got := play(t, planner.Policy{}, planner.Policy{AdaptiveRoom: true})
	fixed, adaptive := got[0], got[1]
	qt.Check(t, adaptive.summary.Share() > fixed.summary.Share(), qt.IsTrue)
	qt.Check(t, adaptive.groups.Group("kind check").OnTimeShare() >= fixed.groups.Group("kind check").OnTimeShare()-tolerance, qt.IsTrue)
	qt.Check(t, adaptive.groups.Group("kind batch").StartWait < fixed.groups.Group("kind batch").StartWait, qt.IsTrue)
	qt.Check(t, adaptive.groups.Group("kind render").StartWait < fixed.groups.Group("kind render").StartWait, qt.IsTrue)
}

// Guards against a choice of victims that saves work at the cost of short gangs: with the
// policy less work must be wasted, no less of the worth left, and about as many short gangs
// on time.
func TestWeighedVictimsPay(t *testing.T) {
	if testing.Short() {
		t.Skip("plays 8 runs of 140 s")
	}
	const tolerance = 0.01
	got := play(t, planner.Policy{}, planner.Policy{WeighVictims: true})
	without, with := got[0], got[1]
	qt.Check(t, with.summary.Waste() < without.summary.Waste(), qt.IsTrue)
	qt.Check(t, with.summary.Share() >= without.summary.Share(), qt.IsTrue)
	qt.Check(t, with.groups.Group("kind check").OnTimeShare() >= without.groups.Group("kind check").OnTimeShare()-tolerance, qt.IsTrue)
}

// Guards against sizes that starve: with reservations, more of the largest tenth and of the fifth
// below it of the long jobs must be on time and start sooner, and more of the worth must be left
// in all.
func TestBackfillPays(t *testing.T) {
	if testing.Short() {
		t.Skip("plays 8 runs of 140 s")
	}
	const tolerance = 0.01
	got := play(t, planner.Policy{}, planner.Policy{Backfill: true})
	without, with := got[0], got[1]
	qt.Check(t, with.summary.Share() > without.summary.Share(), qt.IsTrue)
	for _, size := range []string{"size render largest tenth", "size render fifth below"} {
		x, y := without.groups.Group(size), with.groups.Group(size)
		qt.Check(t, y.OnTimeShare() > x.OnTimeShare(), qt.IsTrue, qt.Commentf(size))
		qt.Check(t, y.StartWait < x.StartWait, qt.IsTrue, qt.Commentf(size))
	}
	qt.Check(t, with.groups.Group("kind check").OnTimeShare() >= without.groups.Group("kind check").OnTimeShare()-tolerance, qt.IsTrue)
}

// Guards against differences between policies that are due to chance, and against decisions
// that depend on the order of a map.
func TestContentionRepeats(t *testing.T) {
	o := experiment.Options{Seed: 1, Policy: planner.Policy{AdaptiveRoom: true, WeighVictims: true, Backfill: true, FairShares: true}}
	l := readContention(t)
	l.LengthSeconds = 45
	x, y := experiment.Run(l, o), experiment.Run(l, o)
	qt.Check(t, x.Jobs, qt.DeepEquals, y.Jobs)
	qt.Check(t, x.Wasted, qt.Equals, y.Wasted)
}

// Guards against a workspace that submits most of the work and displaces the others: with fair
// shares more of the others' jobs must be on time and they must start sooner, and short gangs
// must be on time as before.
func TestFairSharesPay(t *testing.T) {
	if testing.Short() {
		t.Skip("plays 8 runs of 140 s")
	}
	const tolerance, floodShare = 0.01, 0.6
	l := readContention(t)
	l.Workspaces = slices.Clone(l.Workspaces)
	for i := range l.Workspaces {
		l.Workspaces[i].Share = (1 - floodShare) / float64(len(l.Workspaces)-1)
	}
	l.Workspaces[0].Share = floodShare
	out := []*outcome{{}, {}}
	var wg sync.WaitGroup
	for i, policy := range []planner.Policy{{}, {FairShares: true}} {
		wg.Go(func() {
			for seed := range uint64(contentionSeeds) {
				r := experiment.Run(l, experiment.Options{Seed: seed, Policy: policy})
				out[i].summary.Add(r)
				out[i].groups.Add(r)
			}
		})
	}
	wg.Wait()
	var jobs, onTime [2]int
	var wait [2]time.Duration
	for i, o := range out {
		t.Logf("fair shares: %v\n%s%s", i == 1, o.summary.String(), o.groups.String())
		for _, w := range l.Workspaces[1:] {
			g := o.groups.Group("workspace " + w.Name)
			jobs[i], onTime[i], wait[i] = jobs[i]+g.Jobs, onTime[i]+g.OnTime, wait[i]+g.StartWait
		}
	}
	t.Logf("others on time: %d and %d of %d; sum of mean waits %v and %v", onTime[0], onTime[1], jobs[0], wait[0], wait[1])
	qt.Check(t, onTime[1] > onTime[0], qt.IsTrue)
	qt.Check(t, wait[1] < wait[0], qt.IsTrue)
	qt.Check(t, out[1].groups.Group("kind check").OnTimeShare() >= out[0].groups.Group("kind check").OnTimeShare()-tolerance, qt.IsTrue)
}
