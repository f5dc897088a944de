package placement_test

import (
	"fmt"

	"github.com/medlargrade/medlargrade/coordination/placement"
	"github.com/medlargrade/medlargrade/operator"
)

func ExampleSite_Plan() {
	site := placement.NewSite([]placement.Node{
		{Name: "t1", Rack: "r1", Slots: 8, Free: 8},
		{Name: "t2", Rack: "r1", Slots: 8, Free: 8},
		{Name: "t3", Rack: "r2", Slots: 8, Free: 5},
	})
	small, _ := site.Plan(placement.Request{Shape: operator.NewShape(1, 2)})
	site.Take(small)
	gang, ok := site.Plan(placement.Request{Shape: operator.NewShape(2, 8).WithAdjacency(operator.AdjacentRack)})
	fmt.Println(small, gang, ok)
	// Output: [{t3 2}] [{t1 8} {t2 8}] true
}
