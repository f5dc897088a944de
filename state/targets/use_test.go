package targets

import (
	"fmt"
	"maps"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against sums that differ from the tasks that they stand for, after any
// order of reports and effects, so that the lane or a guarantee is misjudged.
func TestEachUseEqualsTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v View
		now := time.Now()
		sequence := map[string]uint64{}
		task := func() Task {
			return Task{
				Job: rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "job"), Number: 1,
				Workspace: rapid.SampledFrom([]string{"w", "x"}).Draw(t, "workspace"),
				Class:     rapid.SampledFrom([]string{"short", "long"}).Draw(t, "class"),
				Slots:     rapid.IntRange(1, 4).Draw(t, "slots"),
			}
		}
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			name := rapid.SampledFrom([]string{"t1", "t2"}).Draw(t, "target")
			switch rapid.IntRange(0, 4).Draw(t, "step") {
			case 0, 1:
				r := Report{Target: name, Rack: "r", Incarnation: 1, Base: sequence[name], Sequence: sequence[name] + 1, Slots: 16, Free: 8}
				if rapid.Bool().Draw(t, "full") {
					r.Base = 0
				}
				for range rapid.IntRange(0, 2).Draw(t, "tasks") {
					r.Tasks = append(r.Tasks, task())
				}
				if rapid.Bool().Draw(t, "removed") {
					r.Removed = []string{ID(task().Job, 1)}
				}
				v.Apply(r, now)
				sequence[name]++
			case 2:
				v.Dispatched(name, task(), now)
			case 3:
				v.Freed(name, task().Job, 1, now)
			case 4:
				now = now.Add(time.Duration(rapid.IntRange(0, 4).Draw(t, "seconds")) * time.Second)
			}
			got, want := map[string]int{}, map[string]int{}
			v.EachUse(now, func(target string, u Use) { got[fmt.Sprint(target, u.Workspace, u.Class)] += u.Slots })
			for _, x := range v.Tasks(now) {
				want[fmt.Sprint(x.Target, x.Workspace, x.Class)] += x.Slots
			}
			for k, n := range got {
				if n == 0 {
					delete(got, k)
				}
			}
			if !maps.Equal(got, want) {
				t.Fatalf("sums %v, tasks %v", got, want)
			}
		}
	})
}
