package planner

import (
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against passes over all waiting work although nothing has changed: with many
// workers, reports without changes arrive more often than the planner can make such passes.
func TestNoPassWithoutChange(t *testing.T) {
	h := newHarness(t, 4)
	for i := range 50 {
		h.addJob(newJob(fmt.Sprintf("j%d", i), "long", job.Step{Tasks: 20, Accelerators: 8}))
	}
	h.advance(maxPassInterval)
	h.report(h.names...)
	lastPass := h.p.lastPass
	h.now = h.now.Add(maxPassInterval / 2)
	h.report(h.names...)
	h.runPass()
	qt.Assert(t, h.p.lastPass, qt.Equals, lastPass)
	h.now = h.now.Add(maxPassInterval)
	h.runPass()
	qt.Assert(t, h.p.lastPass, qt.Equals, h.now)
}
