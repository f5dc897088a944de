package targets_test

import (
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/state/targets"
)

func ExampleView() {
	var v targets.View
	now := time.Now()
	v.Apply(targets.Report{Target: "t1", Rack: "r1", Incarnation: 1, Sequence: 1, Slots: 8, Free: 8, Ready: true}, now)
	v.Dispatched("t1", targets.Task{Job: "j1", Number: 1, Workspace: "web", Slots: 3}, now)
	for _, t := range v.Live(now) {
		fmt.Println(t.Name, t.Free, t.Accepts())
	}
	// Output: t1 5 true
}
