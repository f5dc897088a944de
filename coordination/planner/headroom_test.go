package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against long work that uses the accelerators kept free for urgent work, and against
// long work that waits although it has no time to spare or the site is idle.
func TestHeadroom(t *testing.T) {
	tests := []struct {
		name  string
		kind  string
		tasks int // of 4 accelerators each; the site fits 8
		wait  time.Duration
		want  int // tasks that start
	}{
		// The fifth task starts because half of the accelerators are still free. The sixth
		// would leave less than headroomShare, 0.4, of them free.
		{name: "time to spare", kind: "long", tasks: 8, want: 5},
		{name: "objective near", kind: "long", tasks: 8, wait: 40 * time.Second, want: 8},
		{name: "urgent", kind: "urgent", tasks: 8, want: 8},
		{name: "half of the site", kind: "long", tasks: 4, want: 4},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 4)
			h.addJob(newJob("j", tt.kind, job.Step{Tasks: tt.tasks, Accelerators: 4, EstimateMillis: 20_000}))
			for elapsed := time.Duration(0); elapsed < tt.wait; elapsed += time.Second {
				h.advance(time.Second)
			}
			qt.Check(t, h.starts, qt.HasLen, tt.want)
		})
	}
}
