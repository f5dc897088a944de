package interference_test

import (
	"fmt"
	"math"
	"time"

	"github.com/medlargrade/medlargrade/coordination/interference"
)

// Rendering takes twice as long beside batch work on each of six workers.
func Example() {
	d := interference.New()
	now := time.Unix(1_800_000_000, 0)
	render, batch := interference.Class{Kind: "render"}, interference.Class{Kind: "batch"}
	for i := range 60 {
		o := interference.Observation{Run: fmt.Sprint(i), Step: fmt.Sprint(i / 6), Class: render, Worker: fmt.Sprint(i % 6)}
		if (i+i/6)%2 == 0 {
			o.Beside, o.Log = []interference.Class{batch}, -math.Log(2)
		}
		d.Observe(o, now)
	}
	for _, c := range d.Update(now) {
		fmt.Printf("%s beside %s: %.1f\n", c.Verdict.Class.Kind, c.Verdict.Beside.Kind, c.Verdict.Factor)
	}
	fmt.Println(d.Harmful(batch, render))
	// Output:
	// render beside batch: 2.0
	// true
}
