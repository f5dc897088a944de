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

// background are the steps that occur all the time, whatever the work is. They
// are struck in the scenarios that backgroundIn names only.
var background = map[string]bool{
	"Watch": true, "row-Shard": true, "rows-get": true, "rows-feed": true, "hold": true,
}

var backgroundIn = map[string]bool{"async": true, "claim": true}

// profile runs a scenario without faults and returns the points at which faults
// strike it.
func profile(t *testing.T, sc scenario) []point {
	_, counts := runScenario(t, sc, func(*Site) []*trigger { return nil })
	points := slices.SortedFunc(maps.Keys(counts), func(a, b point) int {
		return cmp.Or(cmp.Compare(a.step, b.step), -cmp.Compare(a.phase, b.phase))
	})
	return slices.DeleteFunc(points, func(p point) bool { return background[p.step] && !backgroundIn[sc.name] })
}

// cells counts what the tests ran, for the proofs page.
var cells, sequences, unstruck atomic.Int64

// Guards against a fault at any step of any kind of work that breaks a promise.
func TestSingleFaults(t *testing.T) {
	start := time.Now()
	t.Cleanup(func() {
		t.Logf("%d cells, of which in %d the step did not occur, in %v", cells.Load(), unstruck.Load(), time.Since(start).Round(time.Second))
	})
	for _, sc := range scenarios {
		t.Run(sc.name, func(t *testing.T) {
			for _, p := range profile(t, sc) {
				for _, f := range faults {
					name := p.String() + "/" + f.name
					if !isMine(sc.name + "/" + name) {
						continue
					}
					t.Run(name, func(t *testing.T) {
						t.Parallel()
						h, _ := runScenario(t, sc, func(s *Site) []*trigger { return []*trigger{f.at(s, p, 1)} })
						cells.Add(1)
						if len(h.struck) == 0 {
							unstruck.Add(1)
						}
						verdict(t, h)
					})
				}
			}
		})
	}
}

// verdict fails the test if the history breaks a promise, unless the test is
// known to be red.
func verdict(t *testing.T, h *history) {
	t.Helper()
	found := judge(h)
	if len(found) == 0 {
		return
	}
	report := t.Errorf
	if knownRed(t.Name()) {
		report = t.Logf
		t.Log("known red")
	}
	if h.log != "" {
		h.log += h.trace()
	}
	report("%s\n%s\n%s", strings.Join(h.struck, "\n"), strings.Join(found, "\n"), h.log)
}

// knownRed reports whether KNOWN-RED.txt lists the test.
func knownRed(name string) bool {
	b, err := os.ReadFile("../KNOWN-RED.txt")
	return err == nil && slices.Contains(strings.Fields(string(b)), name)
}
