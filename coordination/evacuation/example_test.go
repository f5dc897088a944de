package evacuation_test

import (
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/evacuation"
	"github.com/medlargrade/medlargrade/state/table"
)

func Example() {
	const bound = 5 * time.Second
	rows := evacuation.NewRows("evacuate/")
	rows.Reset([]table.Row{{Key: "config", Version: 1}, {Key: "evacuate/dc2", Version: 7}})

	v := evacuation.NewView(rows.Set(), evacuation.IsFresh(bound, time.Second, true))
	fmt.Println("dc1:", v.MayStart("dc1"), "dc2:", v.MayStart("dc2"))

	rows.Apply([]table.Row{{Key: "evacuate/dc2", Version: 9, Deleted: true}})
	v = evacuation.NewView(rows.Set(), evacuation.IsFresh(bound, time.Second, true))
	fmt.Println("withdrawn:", v.MayStart("dc2"))

	v = evacuation.NewView(rows.Set(), evacuation.IsFresh(bound, 3*time.Second, true))
	fmt.Println("old copy:", v.MayStart("dc1"))
	// Output:
	// dc1: true dc2: false
	// withdrawn: true
	// old copy: false
}
