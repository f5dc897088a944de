package guarantee_test

import (
	"fmt"

	"github.com/medlargrade/medlargrade/coordination/guarantee"
	"github.com/medlargrade/medlargrade/coordination/placement"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/targets"
)

func ExampleLedger_Victims() {
	cfg := operator.NewConfig(operator.NewSite("s")).
		WithWorkspace(operator.NewWorkspace("web").WithGuarantee(operator.NewShape(1, 8))).
		WithWorkspace(operator.NewWorkspace("batch")).
		WithKind(operator.NewKind("batch", "scan", operator.ClassFill).WithIdempotent(true))
	l := guarantee.NewLedger(cfg, []targets.Task{
		{Target: "t1", Job: "j1", Number: 1, Workspace: "batch", Kind: "scan", Class: "fill", Slots: 8, Released: true, Hub: targets.Hub{Target: "t1"}},
	})
	site := placement.NewSite([]placement.Node{{Name: "t1", Slots: 8}})
	shape := operator.NewShape(1, 8)
	fmt.Println(l.IsClaim("web", operator.ClassLong, shape))
	v, _ := l.Victims(shape, site)
	fmt.Println(v.ByHub[0].Hub.Target, v.ByHub[0].Attempts, v.Placement)
	// Output:
	// true
	// t1 [{j1 1}] [{t1 8}]
}
