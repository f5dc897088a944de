package planner

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/job"
)

// withoutKind returns the configuration of the tests without a kind.
func withoutKind(name string) *configuration.Snapshot {
	cfg := testConfig().Config
	kinds := slices.DeleteFunc(cfg.Kinds(), func(k operator.Kind) bool { return k.Name() == name })
	return configuration.NewSnapshot(2, cfg.WithKinds(kinds))
}

// Guards against a task of a kind that has been removed from the configuration, and is started more
// often, or given up after fewer failures, than the kind said when its job was accepted.
func TestAttemptsOfRemovedKind(t *testing.T) {
	tests := []struct {
		name     string
		attempts int  // of the job's kind at acceptance
		takeOver bool // the planner is replaced after the kind is removed
		want     int  // starts
	}{
		{name: "two", attempts: 2, want: 2},
		{name: "two, new planner", attempts: 2, takeOver: true, want: 2},
		{name: "five", attempts: 5, want: 5},
		{name: "five, new planner", attempts: 5, takeOver: true, want: 5},
		{name: "none set", want: defaultMaxAttempts},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 8)
			j := newJob("j", "long", job.Step{Tasks: 1, Accelerators: 1})
			j.Attempts = tt.attempts
			h.addJob(j)
			h.p.SetConfig(withoutKind("long"))
			if tt.takeOver {
				h.takeOver(j)
				h.p.SetConfig(withoutKind("long"))
			}
			for range 100 {
				h.advance(500 * time.Millisecond)
				if h.targetOf("j.0.0.0") != "" {
					h.failTask("j.0.0.0")
				}
			}
			qt.Check(t, h.startsOf("j.0.0.0"), qt.Equals, tt.want)
			qt.Check(t, h.stateOf("j"), qt.Equals, job.Failed)
		})
	}
}
