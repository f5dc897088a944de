package planner

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against predicted run times that jump after a single outlier, and against ratios
// computed from tasks that declare no run time.
func TestRunTimeRatios(t *testing.T) {
	e := make(runTimeRatios)
	e.observe("k", 0, time.Second)
	qt.Assert(t, e["k"], qt.IsNil)
	for range 20 {
		e.observe("k", time.Second, 2*time.Second)
	}
	qt.Check(t, e["k"].mean, qt.Equals, 2.0)
	e.observe("k", time.Second, 22*time.Second)
	qt.Check(t, e["k"].mean > 2 && e["k"].mean <= 4.01, qt.IsTrue, qt.Commentf("%v", e["k"].mean))
}
