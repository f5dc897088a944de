package shard_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against a query that is answered by a process which does not plan, that hides a target
// without contact, or that starts or records something.
func TestPlace(t *testing.T) {
	runSite(t, 2, func(s *testSite) {
		a := s.startProcess("a", s.store)
		time.Sleep(settleTime)
		b := s.startProcess("b", s.store)
		time.Sleep(settleTime)
		s.targets["b"].update(func(x *fakeAgent) { x.unreachable = true })
		time.Sleep(settleTime)
		j := job.Job{ID: "j2", Kind: "long", Workspace: "w1", Pool: "pool", Steps: []job.Step{{Tasks: 1, Accelerators: 8}}}
		_, err := b.Place(shard.PlaceRequest{Job: &j})
		s.c.Check(err, qt.ErrorIs, shard.ErrNotPlanner)
		got, err := a.Place(shard.PlaceRequest{Job: &j})
		s.c.Assert(err, qt.IsNil)
		s.c.Check(got.State, qt.Equals, planner.PlacementStarts)
		s.c.Check(got.Tasks, qt.DeepEquals, []planner.PlacedTask{{Task: "j2.0.0.0", Target: "a"}})
		s.c.Assert(got.Unreached, qt.HasLen, 1)
		s.c.Check(got.Unreached[0].Name, qt.Equals, "b")
		time.Sleep(settleTime)
		s.targets["a"].view(func(x *fakeAgent) { s.c.Check(x.starts, qt.HasLen, 0) })
		_, err = a.Place(shard.PlaceRequest{ID: "j2"})
		s.c.Check(err, qt.ErrorIs, planner.ErrNotKnown)
	})
}
