package job

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/medlargrade/medlargrade/state/table"
)

// Guards against a row that is too long for the store, whatever the lengths of checkpoints and
// errors, and against parts that are left out although there is space for them.
func TestEncodeRowFits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := func(label string, tasks int) string {
			lengths := []int{0, 1, 16, 320, 1600, 5000}
			if tasks == 1 {
				lengths = append(lengths, 70_000)
			}
			unit := rapid.SampledFrom([]string{"a", "<", "\x00", "\"", "ž"}).Draw(t, label+" character")
			return strings.Repeat(unit, rapid.SampledFrom(lengths).Draw(t, label+" length"))
		}
		p := Progress{Job: "00000000000000c7", State: rapid.SampledFrom([]State{Running, Completed, Failed}).Draw(t, "state")}
		var steps []Step
		required := 0
		for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
			n := rapid.SampledFrom([]int{1, 40, 200}).Draw(t, "tasks")
			steps = append(steps, Step{Tasks: n, Gang: rapid.Bool().Draw(t, "gang")})
			checkpoint, err := text("checkpoint", n), text("error", n)
			s := StepProgress{Tasks: make([]Task, n)}
			for k := range s.Tasks {
				s.Tasks[k] = Task{LastRun: 9, Done: k%3 == 0, Checkpoint: checkpoint, Error: err}
				if k%3 == 1 {
					s.Tasks[k].Active = []Run{{Number: 9, Place: Incarnation{Target: "side-a-1", Worker: "i-1", Born: 1_796_389_111_000}}}
				}
				if checkpoint != "" && !steps[i].Gang {
					s.Tasks[k].Checkpoint += fmt.Sprint(k)
				}
				required += s.Tasks[k].RequiredBytes()
			}
			p.Steps = append(p.Steps, s)
		}
		if required > FreeBytes(0) {
			t.Skip("the required parts don't fit")
		}
		value, omitted := p.EncodeRow(steps)
		if len(value) > table.MaxValueBytes {
			t.Fatalf("the row has %d bytes", len(value))
		}
		if full := p.Encode(); (omitted > 0) != (len(full) > table.MaxValueBytes) {
			t.Fatalf("the full encoding has %d bytes, and %d parts are left out", len(full), omitted)
		}
		row, err := DecodeProgress(value)
		if err != nil {
			t.Fatal(err)
		}
		missing := 0
		for i, s := range row.Steps {
			for k, got := range s.Tasks {
				want := p.Steps[i].Tasks[k]
				for _, part := range [][2]string{{got.Checkpoint, want.Checkpoint}, {got.Error, want.Error}} {
					if part[0] != "" && part[0] != part[1] {
						t.Fatalf("task %d of step %d has a part of %d bytes that is not its own", k, i, len(part[0]))
					}
					if part[0] != part[1] {
						missing++
					}
				}
				if steps[i].Gang && got.Checkpoint != s.Tasks[0].Checkpoint {
					t.Fatalf("a part of the gang lacks its checkpoint")
				}
				got.Checkpoint, got.Error, want.Checkpoint, want.Error = "", "", "", ""
				if fmt.Sprint(got) != fmt.Sprint(want) {
					t.Fatalf("task %d of step %d: %v, want %v", k, i, got, want)
				}
			}
		}
		if missing != omitted {
			t.Fatalf("%d parts are missing, %d are counted", missing, omitted)
		}
	})
}

// Guards against a row that keeps what a new planner doesn't need, and lacks what it can't learn
// from a worker or what a caller waits for.
func TestEncodeRowKeepsWhatMattersMost(t *testing.T) {
	active := []Run{{Number: 1, Place: Incarnation{Target: "side-a-1", Worker: "i-1"}}}
	long := func(c string) string { return strings.Repeat(c, 30_000) }
	tests := []struct {
		name  string
		state State
		tasks []Task
		kept  []bool // by task
	}{
		{"waiting before running", Running, []Task{{Active: active, Checkpoint: long("a")}, {Checkpoint: long("b")}, {Checkpoint: long("c")}}, []bool{false, true, true}},
		{"running before done", Running, []Task{{Done: true, Checkpoint: long("a")}, {Active: active, Checkpoint: long("b")}, {Active: active, Checkpoint: long("c")}}, []bool{false, true, true}},
		{"the error of a failed job", Failed, []Task{{Checkpoint: long("a")}, {Checkpoint: long("b")}, {Error: long("c")}}, []bool{true, false, true}},
		{"checkpoints before errors of earlier runs", Running, []Task{{Error: long("a")}, {Checkpoint: long("b")}, {Checkpoint: long("c")}}, []bool{false, true, true}},
		{"many short before one long", Running, []Task{{Checkpoint: long("a") + long("a")}, {Checkpoint: long("b")}, {Checkpoint: long("c")}}, []bool{false, true, true}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			value, omitted := Progress{State: tt.state, Steps: []StepProgress{{Tasks: tt.tasks}}}.EncodeRow([]Step{{Tasks: len(tt.tasks)}})
			row, err := DecodeProgress(value)
			qt.Assert(t, err, qt.IsNil)
			var kept []bool
			for _, k := range row.Steps[0].Tasks {
				kept = append(kept, k.Checkpoint+k.Error != "")
			}
			qt.Check(t, kept, qt.DeepEquals, tt.kept)
			qt.Check(t, omitted, qt.Equals, 1)
		})
	}
}
