package experiment_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/experiment"
)

// Guards against a comparison whose policies are played with different jobs, or whose groups
// lose or repeat jobs.
func TestCompare(t *testing.T) {
	l := readLoad(t, loads[0])
	policies := []experiment.NamedPolicy{{Name: "default"}, {Name: "no headroom", Policy: planner.Policy{NoHeadroom: true}}, {Name: "default again"}}
	last := 0
	c, err := experiment.Compare(t.Context(), l, policies, 7, 4, func(done, total int) {
		qt.Check(t, done, qt.Equals, last+1)
		qt.Check(t, total, qt.Equals, 12)
		last = done
	})
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, last, qt.Equals, 12)
	again := c.Policies[2]
	again.Name = "default"
	qt.Check(t, again, qt.DeepEquals, c.Policies[0])
	qt.Check(t, c.Policies[1].Stops == c.Policies[0].Stops, qt.IsFalse)
	jobs := func(groups []experiment.Group) int {
		n := 0
		for _, g := range groups {
			n += g.Jobs
			qt.Check(t, g.OnTime+g.Late+g.Unearned, qt.Equals, g.Jobs)
		}
		return n
	}
	for _, p := range c.Policies {
		qt.Check(t, jobs(p.Kinds) > 0, qt.IsTrue)
		qt.Check(t, jobs(p.Sizes), qt.Equals, jobs(p.Kinds))
		qt.Check(t, jobs(p.Workspaces), qt.Equals, jobs(p.Kinds))
		qt.Check(t, jobs(p.Kinds), qt.Equals, jobs(c.Policies[0].Kinds))
	}
}

// Guards against a comparison that goes on after it has been cancelled.
func TestCompareCancelled(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := experiment.Compare(ctx, readLoad(t, loads[0]), []experiment.NamedPolicy{{Name: "default"}}, 1, 100, nil)
	qt.Assert(t, err, qt.ErrorIs, context.Canceled)
}
