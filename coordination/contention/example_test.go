package contention_test

import (
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/contention"
)

// Gangs of 16 accelerators arrive every 2 s and run for 2 s each.
func ExampleArrivals() {
	now := time.Unix(1_800_000_000, 0)
	a := contention.NewArrivals(now)
	for range 15 {
		a.Observe(contention.Class{Pool: "gpu", Kind: "check"}, contention.Amount{Accelerators: 16, Workers: 2}, 2*time.Second, now)
		now = now.Add(2 * time.Second)
	}
	d := a.Demand("gpu", now.Add(-time.Second))
	site := contention.Site{Total: contention.Amount{Accelerators: 560, Workers: 70}}
	fmt.Println("left free by work that is costly to stop:", d.Room(site, true))
	fmt.Println("by work with checkpoints:", d.Room(site, false))
	// Output:
	// left free by work that is costly to stop: {16 2}
	// by work with checkpoints: {8 1}
}
