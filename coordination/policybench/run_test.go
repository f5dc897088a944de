package policybench

import (
	"flag"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var (
	seeds  = flag.Int("seeds", 0, "print the tables over this many seeds")
	length = flag.Duration("length", 8*time.Hour, "length of each run")
	only   = flag.String("only", "", "variants whose names contain one of these parts")
)

// TestTable prints the measurement if seeds are given.
func TestTable(t *testing.T) {
	if *seeds == 0 {
		t.Skip("no -seeds given")
	}
	t.Logf("\n%s", Run(Options{Seeds: *seeds, Length: *length, Only: *only}))
}

// Guards against runs that differ for the same seed, and against a measurement in
// which the policy's parts have no effect on what they are meant for.
func TestPartsMatter(t *testing.T) {
	runFor := func(d time.Duration, name string) *figures {
		for _, v := range variants() {
			if v.name == name {
				return newSim(v, conditions[0], 1, d).run()
			}
		}
		t.Fatalf("no variant %s", name)
		return nil
	}
	run := func(name string) *figures { return runFor(8*time.Minute, name) }
	once, again := runFor(2*time.Minute, "policy"), runFor(2*time.Minute, "policy")
	qt.Assert(t, again.work, qt.Equals, once.work)
	qt.Assert(t, again.preemptions, qt.Equals, once.preemptions)
	policy := run("policy")
	qt.Assert(t, policy.claimMax <= claimBound, qt.IsTrue, qt.Commentf("%v", policy.claimMax))
	qt.Assert(t, policy.conflicts, qt.Equals, 0)
	p99 := func(f *figures) int64 { return f.crest.ValueAtQuantile(99) }
	qt.Assert(t, p99(policy) < p99(run("base: no lane")), qt.IsTrue)
	qt.Assert(t, policy.failed < run("less health").failed, qt.IsTrue)
	qt.Assert(t, policy.claimMax < run("less claims").claimMax, qt.IsTrue)
}
