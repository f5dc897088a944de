package configuration_test

import (
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/evacuation"
	"github.com/medlargrade/medlargrade/state/table"
	"github.com/medlargrade/medlargrade/state/table/tabletest"
)

// Guards against a request that is lost or reported wrongly because the answer to a write is lost,
// and against one that remains after its withdrawal.
func TestEvacuateAndRelease(t *testing.T) {
	for _, result := range []tabletest.CommitResult{tabletest.Normal, tabletest.ReplyLost, tabletest.RequestLost, tabletest.Rejected} {
		synctest.Test(t, func(t *testing.T) {
			store := tabletest.New()
			failFirst := func() {
				first := true
				store.OnCommit(func(table.Tx) tabletest.CommitResult {
					defer func() { first = false }()
					if first {
						return result
					}
					return tabletest.Normal
				})
			}
			want := evacuation.Request{DataCentre: "dc1", Reason: "power", By: "ops"}
			failFirst()
			qt.Assert(t, configuration.Evacuate(t.Context(), store, want), qt.IsNil)
			set, err := configuration.ReadEvacuations(t.Context(), store, configuration.Table, configuration.EvacuationPrefix)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, set.Requests(), qt.DeepEquals, []evacuation.Request{want})
			failFirst()
			qt.Assert(t, configuration.Release(t.Context(), store, "dc1"), qt.IsNil)
			set, err = configuration.ReadEvacuations(t.Context(), store, configuration.Table, configuration.EvacuationPrefix)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, set.IsEmpty(), qt.IsTrue)

			store.OnCommit(func(table.Tx) tabletest.CommitResult { return tabletest.ReplyLost })
			store.SetDown(true)
			qt.Assert(t, configuration.Evacuate(t.Context(), store, want), qt.ErrorMatches, ".*write evacuation.*")
		})
	}
}
