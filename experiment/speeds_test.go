package experiment_test

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/experiment"
)

// readUneven returns a load on a site whose workers have the speeds.
func readUneven(t testing.TB, speeds []experiment.SpeedShare, together bool) experiment.Load {
	t.Helper()
	text, err := os.ReadFile("testdata/uneven.json")
	qt.Assert(t, err, qt.IsNil)
	l, err := experiment.ParseLoad(text)
	qt.Assert(t, err, qt.IsNil)
	if speeds != nil {
		l.Site.Speeds = speeds
	}
	l.Site.GangsReportTogether = together
	return l
}

// Guards against learned speeds that cost callers more than they gain: on sites whose workers
// differ, learning must raise the share of the worth that callers get.
func TestLearnedSpeedsPay(t *testing.T) {
	if testing.Short() {
		t.Skip("plays 24 runs of 70 workers")
	}
	const seeds = 4
	tests := []struct {
		name     string
		speeds   []experiment.SpeedShare
		together bool
	}{
		{"slow quarter", nil, false},
		{"slow quarter, gangs report together", nil, true},
		{"three speeds", []experiment.SpeedShare{{Speed: 0.8, Share: 1.0 / 3}, {Speed: 1, Share: 1.0 / 3}, {Speed: 1.25, Share: 1.0 / 3}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			l := readUneven(t, tt.speeds, tt.together)
			var with, without experiment.Summary
			for seed := range uint64(seeds) {
				with.Add(experiment.Run(l, experiment.Options{Seed: seed, Policy: planner.Policy{LearnSpeeds: true}}))
				without.Add(experiment.Run(l, experiment.Options{Seed: seed}))
			}
			t.Logf("with:    %s", with.String())
			t.Logf("without: %s", without.String())
			qt.Check(t, with.Share() > without.Share(), qt.IsTrue)
		})
	}
}

// Guards against decisions that change on sites whose workers are equally fast.
func TestLearnedSpeedsOnEvenSites(t *testing.T) {
	if testing.Short() {
		t.Skip("plays 96 runs")
	}
	const seeds = 12
	for _, name := range append(loads, grown...) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := readLoad(t, name)
			for seed := range uint64(seeds) {
				with := experiment.Run(l, experiment.Options{Seed: seed, Policy: planner.Policy{LearnSpeeds: true}})
				without := experiment.Run(l, experiment.Options{Seed: seed})
				qt.Assert(t, with.Jobs, qt.DeepEquals, without.Jobs, qt.Commentf("seed %d", seed))
				qt.Assert(t, with.Wasted, qt.Equals, without.Wasted, qt.Commentf("seed %d", seed))
			}
		})
	}
}
