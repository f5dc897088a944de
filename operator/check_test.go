package operator

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func validConfig() Config {
	site := NewSite("north").
		WithDataCentre(NewDataCentre("dc1").WithRack("r1", 3)).
		WithDataCentre(NewDataCentre("dc2").WithRack("r2", 3))
	return NewConfig(site).
		WithWorkspace(NewWorkspace("web").WithGuarantee(NewShape(2, 8).WithAdjacency(AdjacentRack))).
		WithKind(NewKind("web", "render", ClassLong).WithIdempotent(true).WithLimit(time.Hour))
}

// Guards against Check reporting only the first problem, or missing one.
func TestCheckReportsEverything(t *testing.T) {
	qt.Assert(t, validConfig().Check(), qt.HasLen, 0)
	qt.Assert(t, validConfig().Warnings(), qt.HasLen, 0)

	c := validConfig()
	c.site = c.site.WithSlotsPerWorker(0).WithDataCentre(NewDataCentre("dc1").WithRack("r2", -1))
	c.workspaces = append(c.workspaces,
		NewWorkspace("web").WithQueueLimit(0),
		NewWorkspace("a b").WithGuarantee(NewShape(0, -2).WithAdjacency("near")),
		NewWorkspace(strings.Repeat("x", 129)))
	c.kinds = append(c.kinds,
		NewKind("web", "render", ClassShort),
		NewKind("nobody", "", "slow").WithLimit(-time.Second))
	var lines []string
	for _, p := range c.Check() {
		lines = append(lines, p.String())
	}
	name := ` must have 1 to 128 characters of A-Z, a-z, 0-9, '.', '_' and '-'`
	qt.Assert(t, lines, qt.DeepEquals, []string{
		`Site.SlotsPerWorker: 0 must be between 1 and 1024`,
		`Site.DataCentres[2].Name: "dc1" is already the name of Site.DataCentres[0]`,
		`Site.DataCentres[2].Racks[0].Name: "r2" is already the name of Site.DataCentres[1].Racks[0]`,
		`Site.DataCentres[2].Racks[0].Workers: -1 must be between 1 and 10000`,
		`Workspaces[1].Name: "web" is already the name of Workspaces[0]`,
		`Workspaces[1].QueueLimit: 0 must be positive`,
		`Workspaces[2].Name: "a b"` + name,
		`Workspaces[2].Guarantees[0].Workers: 0 must be between 1 and 100000`,
		`Workspaces[2].Guarantees[0].Accelerators: -2 must be between 1 and 1024`,
		`Workspaces[2].Guarantees[0].Adjacent: "near" must be none, rack or worker`,
		`Workspaces[3].Name: "` + strings.Repeat("x", 129) + `"` + name,
		`Kinds[1].Name: "render" is already the name of Kinds[0]`,
		`Kinds[2].Workspace: unknown workspace "nobody"`,
		`Kinds[2].Name: ""` + name,
		`Kinds[2].Class: "slow" must be short, long or fill`,
		`Kinds[2].Limit: -1s must not be negative`,
	})
}

// Guards against accepting guarantees that the site can't hold at the same time.
func TestCheckCapacity(t *testing.T) {
	rack := func(workers, accelerators int) Shape {
		return NewShape(workers, accelerators).WithAdjacency(AdjacentRack)
	}
	tests := []struct {
		name    string
		shapes  []Shape
		problem string
		warning string
	}{
		{"one rack", []Shape{rack(3, 8)}, "", ""},
		{"too many slots", []Shape{rack(3, 8), rack(3, 8), NewShape(1, 1)}, "Workspaces: the guarantees need 49 slots, the site has 48", ""},
		{"larger than a worker", []Shape{NewShape(9, 1).WithAdjacency(AdjacentWorker)}, "Workspaces[0].Guarantees[0]: 9x1 worker is larger than the site: a worker holds 8 such tasks", ""},
		{"larger than a rack", []Shape{rack(4, 8)}, "Workspaces[0].Guarantees[0]: 4x8 rack is larger than the site: the largest rack holds 3 such tasks", ""},
		{"larger than the site", []Shape{NewShape(7, 8)}, "Workspaces[0].Guarantees[0]: 7x8 none is larger than the site: it holds 6 such tasks\nWorkspaces: the guarantees need 56 slots, the site has 48", ""},
		{"adjacency", []Shape{rack(2, 8), rack(2, 8), rack(2, 8)}, "Workspaces: the guarantees need 48 of 48 slots, but can't be placed at the same time with their adjacency", ""},
		{"no partner for 5", []Shape{NewShape(7, 5)}, "Workspaces[0].Guarantees[0]: 7x5 none is larger than the site: it holds 6 such tasks", ""},
		{"small tasks around large ones", []Shape{rack(3, 1), rack(3, 7), NewShape(3, 8)}, "", "Site.DataCentres[0].Racks[0]: the guarantees no longer fit when this or another rack of 3 workers is lost"},
		{"needs the search", []Shape{NewShape(4, 8), NewShape(1, 4), NewShape(1, 3), NewShape(1, 3), NewShape(1, 2), NewShape(1, 2), NewShape(1, 2)}, "", "Site.DataCentres[0].Racks[0]: the guarantees no longer fit when this or another rack of 3 workers is lost"},
	}
	join := func(problems []Problem) string {
		var lines []string
		for _, p := range problems {
			lines = append(lines, p.String())
		}
		return strings.Join(lines, "\n")
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := NewWorkspace("web")
			for _, s := range tt.shapes {
				w = w.WithGuarantee(s)
			}
			c := validConfig().WithWorkspace(w)
			qt.Assert(t, join(c.Check()), qt.Equals, tt.problem)
			qt.Assert(t, join(c.Warnings()), qt.Equals, tt.warning)
		})
	}
}

// Guards against rejecting guarantees that fit by construction, because they are
// made by dividing up the racks of a site, and against accepting one slot more.
func TestPackDividedRacks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slots = 8
		racks := rapid.SliceOfN(rapid.IntRange(1, 3), 1, 4).Draw(t, "racks")
		var shapes []Shape
		total := 0
		for _, workers := range racks {
			total += workers * slots
			size := rapid.SampledFrom([]int{1, 2, 4, 8}).Draw(t, "size")
			n := workers * slots / size
			inRack := rapid.IntRange(1, n).Draw(t, "own")
			shapes = append(shapes, NewShape(inRack, size).WithAdjacency(AdjacentRack))
			if inRack < n {
				shapes = append(shapes, NewShape(n-inRack, size))
			}
		}
		shapes = rapid.Permutation(shapes).Draw(t, "order")
		if packRacks(racks, slots, shapes) == infeasible {
			t.Fatal("shapes that divide up the site are rejected")
		}
		if packRacks(racks, slots, append(shapes, NewShape(1, 1))) != infeasible {
			t.Fatal("more slots than the site has are accepted")
		}
	})
}

// Guards against a check that finds no placement, or is too slow, at the size that the
// design is for: 7,401 workers and 230 workspaces that guarantee nearly all of the
// site. The run time is only logged.
func TestPackDesignSize(t *testing.T) {
	var racks []int
	for range 2467 {
		racks = append(racks, 3)
	}
	var shapes []Shape
	for i := range 230 {
		shapes = append(shapes, NewShape(3, 8).WithAdjacency(AdjacentRack), NewShape(16, 8), NewShape(64, 1+i%2), NewShape(4, 2).WithAdjacency(AdjacentWorker))
	}
	start := time.Now()
	qt.Assert(t, packRacks(racks, 8, shapes), qt.Equals, feasible)
	t.Logf("packed %d shapes in %v", len(shapes), time.Since(start))
}
