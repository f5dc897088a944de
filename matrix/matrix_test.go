package matrix

import (
	"cmp"
	"maps"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// continuousSteps are the steps that occur continuously, whatever the work is. Faults
// are injected at them in the scenarios of continuousStepScenarios only.
var continuousSteps = map[string]bool{
	"Watch": true, "row-Shard": true, "rows-get": true, "rows-feed": true, "hold": true,
}

var continuousStepScenarios = map[string]bool{"async": true, "claim": true}

// faultPoints runs a scenario without faults and returns the points at which faults are
// injected into it.
func faultPoints(t *testing.T, sc scenario) []point {
	_, counts := runScenario(t, sc, func(*Site) []*trigger { return nil })
	points := slices.SortedFunc(maps.Keys(counts), func(a, b point) int {
		return cmp.Or(cmp.Compare(a.step, b.step), -cmp.Compare(a.phase, b.phase))
	})
	return slices.DeleteFunc(points, func(p point) bool { return continuousSteps[p.step] && !continuousStepScenarios[sc.name] })
}

// Numbers of cells and sequences that have run, and of cells in which the fault was not
// injected. docs/proofs.md reports them.
var cellCount, sequenceCount, missedCount atomic.Int64

// Guards against a single fault, at any step of any scenario, that breaks a promise.
func TestSingleFaults(t *testing.T) {
	start := time.Now()
	t.Cleanup(func() {
		t.Logf("%d cells, of which in %d the step did not occur, in %v", cellCount.Load(), missedCount.Load(), time.Since(start).Round(time.Second))
	})
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			for _, p := range faultPoints(t, sc) {
				for _, f := range faults {
					name := p.String() + "/" + f.name
					if !inShard(sc.name + "/" + name) {
						continue
					}
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						h, _ := runScenario(t, sc, func(s *Site) []*trigger { return []*trigger{f.triggerAt(s, p, 1)} })
						cellCount.Add(1)
						if len(h.faultDescriptions) == 0 {
							missedCount.Add(1)
						}
						reportViolations(t, h)
					})
				}
			}
		})
	}
}

// reportViolations fails the test if the history breaks a promise. If KNOWN-RED.txt
// lists the test, it only logs the violations.
func reportViolations(t *testing.T, h *history) {
	t.Helper()
	found := violations(h)
	if len(found) == 0 {
		return
	}
	logf := t.Errorf
	if knownRed(t.Name()) {
		logf = t.Logf
		t.Log("known red")
	}
	if h.log != "" {
		h.log += h.trace()
	}
	logf("%s\n%s\n%s", strings.Join(h.faultDescriptions, "\n"), strings.Join(found, "\n"), h.log)
}

// knownRed reports whether KNOWN-RED.txt lists the test.
func knownRed(name string) bool {
	b, err := os.ReadFile("../KNOWN-RED.txt")
	return err == nil && slices.Contains(strings.Fields(string(b)), name)
}
