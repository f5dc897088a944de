package experiment

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against waste that is too low for runs on hanging workers: the time without progress
// is lost, whatever a checkpoint saves.
func TestWasteOfHangingRun(t *testing.T) {
	tests := []struct {
		name           string
		checkpointable bool
		hangAt         time.Duration // 0 for never
		how            string
		want           time.Duration // of time that is lost when the run ends after 10 s
	}{
		{"stopped without a checkpoint", false, 0, endStopped, 10 * time.Second},
		{"stopped", true, 0, endStopped, 0},
		{"stopped while it hangs", true, 4 * time.Second, endStopped, 6 * time.Second},
		{"broken", true, 0, endBroken, 0},
		{"broken while it hangs", true, 4500 * time.Millisecond, endBroken, 6 * time.Second},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			sim := &simulation{load: Load{Site: Site{CheckpointMillis: 1000}}}
			w := &worker{sim: sim, speed: 1, runs: make(map[string]*run)}
			r := &run{
				worker: w, name: "j.0.0.0", spec: job.Step{CPU: 1000, Checkpointable: tt.checkpointable},
				work: time.Hour, beganAt: -1, placeFactor: 1,
			}
			w.runs[r.name] = r
			r.begin()
			if tt.hangAt > 0 {
				sim.now = tt.hangAt
				w.update(func() { w.hanging = true })
			}
			sim.now = 10 * time.Second
			r.end(tt.how)
			qt.Check(t, sim.result.Wasted, qt.Equals, tt.want.Seconds()*coreEquivalent(r.spec))
		})
	}
}
