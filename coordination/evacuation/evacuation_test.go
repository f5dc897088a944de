package evacuation_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/evacuation"
	"github.com/medlargrade/medlargrade/state/table"
)

// Guards against a data centre that is used or avoided because rows arrived twice or out of
// order: in any order, the newest row of each data centre counts. A value that can't be decoded
// counts as a request.
func TestNewestRowCounts(t *testing.T) {
	for seed := range uint64(500) {
		random := rand.New(rand.NewPCG(seed, 1))
		newest := make(map[string]table.Row)
		var rows []table.Row
		for v := range uint64(8) {
			dc := fmt.Sprintf("dc%d", random.IntN(3))
			row := table.Row{Key: "evacuate/" + dc, Value: []byte{byte(random.IntN(256))}, Version: v + 1, Deleted: random.IntN(2) == 0}
			newest[dc] = row
			rows = append(rows, row, row)
		}
		random.Shuffle(len(rows), func(i, j int) { rows[i], rows[j] = rows[j], rows[i] })
		r := evacuation.NewRows("evacuate/")
		for _, row := range rows {
			r.Apply([]table.Row{row, {Key: "config", Version: 1}, {Key: "evacuate/", Version: 1}})
		}
		for dc, row := range newest {
			qt.Assert(t, r.Set().Contains(dc), qt.Equals, !row.Deleted, qt.Commentf("seed %d", seed))
		}
		qt.Assert(t, r.Set().Contains(""), qt.IsFalse)
		r.Reset(nil)
		qt.Assert(t, r.Set().IsEmpty(), qt.IsTrue)
	}
}

// Guards against a reason that is lost, or that changes which data centre a row is about.
func TestRequestValue(t *testing.T) {
	r := evacuation.Request{DataCentre: "dc1", Reason: "power", By: "ops"}
	qt.Check(t, evacuation.DecodeRequest("dc1", evacuation.EncodeRequest(r)), qt.Equals, r)
	qt.Check(t, evacuation.DecodeRequest("dc1", []byte(`{"DataCentre": "dc2", "Reason": 3}`)), qt.Equals, evacuation.Request{DataCentre: "dc1"})
}

// Guards against a start in an evacuated data centre or with an old copy of the requests, and
// against active work that is stopped.
func TestView(t *testing.T) {
	const bound = 5 * time.Second
	evacuated := evacuation.NewSet(evacuation.Request{DataCentre: "dc1"})
	tests := []struct {
		name        string
		view        evacuation.View
		mayStart    bool
		unconfirmed evacuation.Action
	}{
		{"nothing known", evacuation.View{}, false, evacuation.Withhold},
		{"none", evacuation.NewView(evacuation.Set{}, true), true, evacuation.Continue},
		{"evacuated", evacuation.NewView(evacuated, true), false, evacuation.Withdraw},
		{"evacuated, old", evacuation.NewView(evacuated, false), false, evacuation.Withdraw},
		{"age unknown", evacuation.NewView(evacuation.Set{}, evacuation.IsFresh(bound, 0, false)), false, evacuation.Withhold},
		{"half of the bound", evacuation.NewView(evacuation.Set{}, evacuation.IsFresh(bound, bound/2, true)), true, evacuation.Continue},
		{"older", evacuation.NewView(evacuation.Set{}, evacuation.IsFresh(bound, bound/2+1, true)), false, evacuation.Withhold},
		{"no bound", evacuation.NewView(evacuation.Set{}, evacuation.IsFresh(0, time.Hour, false)), true, evacuation.Continue},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Check(t, tt.view.MayStart("dc1"), qt.Equals, tt.mayStart)
			qt.Check(t, tt.view.Decide("dc1", false), qt.Equals, tt.unconfirmed)
			qt.Check(t, tt.view.Decide("dc1", true), qt.Equals, evacuation.Continue)
		})
	}
}

// Guards against watches that leave the copy too old while the store answers, or loses one
// answer within the 1.2 s that a call may take.
func TestWatchWait(t *testing.T) {
	qt.Check(t, evacuation.WatchWait(0, 6*time.Second), qt.Equals, 6*time.Second)
	wait := evacuation.WatchWait(5*time.Second, 6*time.Second)
	qt.Check(t, 2*wait+1300*time.Millisecond < evacuation.MaxAge(5*time.Second), qt.IsTrue)
}
