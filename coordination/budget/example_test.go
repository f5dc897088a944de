package budget_test

import (
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/budget"
)

func Example() {
	b := budget.Budget{MayMiss: 1, StopTime: 400 * time.Millisecond}
	atWork := budget.Task{MayWork: true, FullPace: true, ListedFor: time.Minute}
	starting := budget.Task{MayWork: true}
	fmt.Println(b.Allows([]budget.Task{atWork}, []budget.Task{atWork, atWork}))
	fmt.Println(b.Allows([]budget.Task{atWork}, []budget.Task{atWork, starting}))
	// Output:
	// true
	// false
}
