package planner

import (
	"math"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/interference"
	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against tasks placed beside a harmful neighbour while there is other room, and against
// tasks, gangs or guaranteed work that wait because the only room is beside one.
func TestPlacementApart(t *testing.T) {
	tests := []struct {
		name string
		step job.Step
		want []string
	}{
		{"task", job.Step{Tasks: 1, Accelerators: 1}, []string{"t01"}},
		{"task that fits beside the neighbour only in part", job.Step{Tasks: 2, Accelerators: 8}, []string{"t01", "t02"}},
		{"gang that needs the neighbour's worker", job.Step{Tasks: 5, Accelerators: 4, Gang: true}, []string{"t00", "t01", "t01", "t02", "t02"}},
		{"more tasks than there is other room", job.Step{Tasks: 3, Accelerators: 6}, []string{"t00", "t01", "t02"}},
		{"another class", job.Step{Tasks: 1, Accelerators: 1, Image: "other"}, []string{"t00"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, 3)
			h.addJob(newJob("n", "long", job.Step{Tasks: 1, Accelerators: 2}))
			qt.Assert(t, h.targetOf("n.0.0.0"), qt.Equals, "t00")
			h.p.interference = interference.New()
			class := interference.Class{Kind: "urgent", Image: tt.step.Image, Accelerators: tt.step.Accelerators}
			if tt.step.Image != "" {
				class.Image = ""
			}
			for i := range 60 {
				o := interference.Observation{Run: strconv.Itoa(i), Step: strconv.Itoa(i / 6), Class: class, Worker: strconv.Itoa(i % 6)}
				if (i+i/6)%2 == 0 {
					o.Beside, o.Log = []interference.Class{{Kind: "long", Accelerators: 2}}, -math.Log(2)
				}
				h.p.interference.Observe(o, h.now)
			}
			h.p.detectInterference(h.now)
			qt.Assert(t, h.p.State(h.now).Interference, qt.HasLen, 1)
			h.addJob(newJob("j", "urgent", tt.step))
			var got []string
			for i := range tt.step.Tasks {
				got = append(got, h.targetOf("j.0.0."+strconv.Itoa(i)))
			}
			qt.Assert(t, got, qt.ContentEquals, tt.want)
		})
	}
}
