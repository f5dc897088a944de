package planner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against a workspace that floods the site and displaces another one, and against a unit
// that should have ended and is overtaken by a workspace that uses less.
func TestFairShares(t *testing.T) {
	tests := []struct {
		name   string
		fair   bool
		rounds int           // jobs of the flood that run before the other workspace's job is next
		since  time.Duration // since the other job was accepted
		want   string        // workspace of the job that starts next
	}{
		{name: "by objective", rounds: 1, want: "w3"},
		{name: "by use", fair: true, rounds: 1, want: "w4"},
		// Both can't be in time any more: the flood since 9 s ago, the other from 6 s on.
		{name: "should have ended", fair: true, rounds: 4, since: 25 * time.Second, want: "w3"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const runTime = 10 * time.Second // the objective of the kind is 31 s then
			h := newHarness(t, 1)
			h.p.settings.Policy = Policy{NoHeadroom: true, FairShares: tt.fair}
			submit := func(id, workspace string) {
				j := newJob(id, "long", job.Step{Tasks: 1, Accelerators: 8, EstimateMillis: runTime.Milliseconds()})
				j.Workspace = workspace
				h.addJob(j)
			}
			for i := range 6 {
				submit(fmt.Sprintf("flood%d", i), "w3")
			}
			running := h.workers["t00"].running
			for round := range tt.rounds {
				h.advance(runTime)
				if round == tt.rounds-1 {
					submit("other", "w4")
					h.p.jobs["other"].acceptedAt = h.now.Add(-tt.since)
				}
				for task := range running {
					h.finishTask(task)
				}
				h.advance(0)
				h.advance(0)
				qt.Assert(t, running, qt.HasLen, 1)
			}
			for task := range running {
				name, err := job.ParseTaskName(task)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, h.p.jobs[name.Job].job.Workspace, qt.Equals, tt.want)
			}
			qt.Check(t, len(h.p.State(h.now).Shares) > 0, qt.Equals, tt.fair)
		})
	}
}
