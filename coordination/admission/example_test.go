package admission_test

import (
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/operator"
)

func ExampleQueue() {
	cfg := operator.NewConfig(operator.NewSite("s")).WithWorkspace(operator.NewWorkspace("web"))
	q := admission.NewQueue(cfg)
	now := time.Now()
	q.Push(admission.Item{ID: "plan", Workspace: "web", Class: operator.ClassLong, Cost: 600}, now)
	q.Push(admission.Item{ID: "check", Workspace: "web", Class: operator.ClassShort, Cost: 1}, now)
	q.Scan(now, func(it admission.Item) admission.Decision {
		fmt.Println(it.ID)
		return admission.Take
	})
	// Output:
	// check
	// plan
}
