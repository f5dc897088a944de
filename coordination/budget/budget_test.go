package budget_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/budget"
)

// Guards against a stop that removes a task at work while as many others are away as may be.
func TestAllows(t *testing.T) {
	atWork := budget.Task{MayWork: true, FullPace: true, ListedFor: time.Minute}
	change := func(f func(x *budget.Task)) budget.Task {
		x := atWork
		f(&x)
		return x
	}
	tests := []struct {
		name    string
		mayMiss int
		stopped []budget.Task
		others  []budget.Task
		want    bool
	}{
		{name: "no budget", mayMiss: 0, stopped: []budget.Task{atWork}, others: []budget.Task{atWork, atWork}},
		{name: "all at work", mayMiss: 1, stopped: []budget.Task{atWork}, others: []budget.Task{atWork, atWork}, want: true},
		{name: "another has no run", mayMiss: 1, stopped: []budget.Task{atWork}, others: []budget.Task{atWork, {}}},
		{name: "within a larger budget", mayMiss: 2, stopped: []budget.Task{atWork}, others: []budget.Task{atWork, {}}, want: true},
		{name: "another is being stopped", mayMiss: 1, stopped: []budget.Task{atWork}, others: []budget.Task{change(func(x *budget.Task) { x.Stopping = true })}},
		{name: "another is slow", mayMiss: 1, stopped: []budget.Task{atWork}, others: []budget.Task{change(func(x *budget.Task) { x.FullPace = false })}},
		{name: "the list of another is old", mayMiss: 1, stopped: []budget.Task{atWork}, others: []budget.Task{change(func(x *budget.Task) { x.ListAge = 3 * time.Second })}},
		{name: "another may be stopped by a former planner", mayMiss: 1, stopped: []budget.Task{atWork}, others: []budget.Task{change(func(x *budget.Task) { x.ListedFor = time.Second })}},
		{name: "two at once", mayMiss: 1, stopped: []budget.Task{atWork, atWork}, others: []budget.Task{atWork}},
		{name: "two at once within the budget", mayMiss: 2, stopped: []budget.Task{atWork, atWork}, others: []budget.Task{atWork}, want: true},
		{name: "may have come to work since", mayMiss: 0, stopped: []budget.Task{change(func(x *budget.Task) { x.FullPace = false })}},
		{name: "has not started", mayMiss: 0, stopped: []budget.Task{{}}, others: []budget.Task{{}}, want: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := budget.Budget{MayMiss: tt.mayMiss, StopTime: 400 * time.Millisecond}
			qt.Check(t, b.Allows(tt.stopped, tt.others), qt.Equals, tt.want)
		})
	}
}
