// Package evacuation decides where nothing may be started because an operator has
// requested the evacuation of a data centre.
//
// A request is a row of the store whose key names the data centre. Rows collects the
// requests from a follower of the table. It applies rows and removals in the order of
// their versions; a read of the whole table replaces all that was known. A row counts as a
// request whatever its value, so that a value that cannot be decoded does not let work
// start in a data centre that is about to lose power.
//
// A View combines the requests with the age of the copy that they are from. It decides
// whether a run may be started in a data centre, and what happens to a start that is
// recorded but not confirmed. Half of the time within which a request must be in force is
// the greatest age of the copy; the other half is for an order that is on its way to the
// worker when the copy reaches that age.
//
// The package has no network access, goroutines or clock of its own.
//
// # Usage
//
//	rows := evacuation.NewRows("evacuate/")
//	rows.Reset(page.Rows)    // of the whole table
//	rows.Apply(changes.Rows) // of the feed
//	v := evacuation.NewView(rows.Set(), evacuation.IsFresh(bound, age, known))
//	if v.MayStart("dc1") {
//		// A run may be started in dc1.
//	}
package evacuation
