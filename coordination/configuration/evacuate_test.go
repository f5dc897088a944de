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

// Guards against a request or a withdrawal that was acknowledged and is undone later, by the write of
// an earlier one whose answer was lost and that the store carries out late.
func TestLateEvacuationIsVoid(t *testing.T) {
	request := evacuation.Request{DataCentre: "dc1", Reason: "power", By: "ops"}
	evacuate := func(t *testing.T, s table.Store) error { return configuration.Evacuate(t.Context(), s, request) }
	release := func(t *testing.T, s table.Store) error { return configuration.Release(t.Context(), s, "dc1") }
	tests := []struct {
		name      string
		before    func(t *testing.T, s table.Store) error // acknowledged at once; nil for none
		late      func(t *testing.T, s table.Store) error // carried out at the end
		last      func(t *testing.T, s table.Store) error // acknowledged before that
		evacuated bool                                    // what the last one asks for
	}{
		{name: "late request, withdrawn", late: evacuate, last: release},
		{name: "late withdrawal, requested again", before: evacuate, late: release, last: evacuate, evacuated: true},
		{name: "late repetition of a request, withdrawn", before: evacuate, late: evacuate, last: release},
		{name: "late repetition of a withdrawal, requested", late: release, last: evacuate, evacuated: true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := tabletest.New()
				if tt.before != nil {
					qt.Assert(t, tt.before(t, store), qt.IsNil)
				}
				carryOut := store.HoldCommits()
				_ = tt.late(t, store) // Its outcome is unknown, or it had nothing to change.
				store.OnCommit(nil)
				qt.Assert(t, tt.last(t, store), qt.IsNil)
				carryOut(t.Context())
				set, err := configuration.ReadEvacuations(t.Context(), store, configuration.Table, configuration.EvacuationPrefix)
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, set.IsEmpty(), qt.Equals, !tt.evacuated)
			})
		})
	}
}
