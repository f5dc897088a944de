package admission_test

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

func Example() {
	long := admission.Kind{Queue: "long", Priority: 1}
	row := admission.Summarize(admission.Input{
		Now: time.Minute, Kinds: []admission.Kind{long},
		Waiting: []admission.Work{{Kind: long, OnTime: true, Tasks: 100, Accelerators: 8, Time: 10 * time.Second}},
		Pools:   map[string]admission.Capacity{"": {Total: 80}},
	})
	holder := admission.NewHolder(zerolog.Nop())
	holder.Apply([]table.Row{{Key: admission.CurrentKey, Value: row.Encode()}})
	controller := admission.NewController(holder)

	kind := operator.NewKind("", "long", operator.ClassLong).WithPriority(1).WithObjective(3, time.Second)
	for _, estimate := range []time.Duration{time.Second, 10 * time.Second} {
		j := job.Job{ID: "5c0e7a21d94b36f8", Kind: "long", Steps: []job.Step{{Tasks: 1, Accelerators: 8, EstimateMillis: estimate.Milliseconds()}}}
		v := controller.Check(admission.NewDemand(j, kind, 0), time.Minute, time.Now())
		fmt.Println(v.Reason, v.Wait, v.Limit.Round(time.Second), v.RetryAfter)
	}
	// Output:
	// TooLate 1m30.25s 23s 11s
	// Admitted 1m30.25s 3m23s 0s
}
