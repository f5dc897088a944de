package placement

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/medlargrade/medlargrade/operator"
)

const (
	none   = operator.AdjacentNone
	onRack = operator.AdjacentRack
	onOne  = operator.AdjacentWorker
)

func shape(w, a int, adj operator.Adjacency) operator.Shape {
	return operator.NewShape(w, a).WithAdjacency(adj)
}

// racked returns nodes of 8 slots, three to a rack, with the given free slots.
func racked(free ...int) []Node {
	out := make([]Node, len(free))
	for i, f := range free {
		out[i] = Node{Name: fmt.Sprintf("t%02d", i), Rack: fmt.Sprintf("r%d", i/3), Slots: 8, Free: f}
	}
	return out
}

func names(p Placement) string {
	s := ""
	for _, m := range p {
		s += m.Target + " "
	}
	return s
}

// Guards against small work that breaks adjacent sets, and against placements
// that ignore adjacency, the lane, health or exclusions.
func TestPlan(t *testing.T) {
	lane := racked(8, 8, 8)
	for i := range lane {
		lane[i].KeepFree = 1
	}
	sick := racked(8, 4, 8)
	sick[1].Unusable = true
	tests := []struct {
		name  string
		nodes []Node
		r     Request
		want  string // empty if it doesn't fit
	}{
		{name: "partly used worker first", nodes: racked(8, 8, 8, 8, 2, 8), r: Request{Shape: shape(1, 1, none)}, want: "t04 "},
		{name: "fullest rack first", nodes: racked(3, 8, 8, 4, 2, 1), r: Request{Shape: shape(1, 1, none)}, want: "t05 "},
		{name: "whole worker of a broken rack", nodes: racked(8, 8, 8, 8, 0, 8), r: Request{Shape: shape(1, 8, none)}, want: "t03 "},
		{name: "rack with the least left over", nodes: racked(8, 8, 8, 8, 8, 0), r: Request{Shape: shape(2, 8, onRack)}, want: "t03 t04 "},
		{name: "rack gang stays in its rack", nodes: racked(8, 0, 0, 8, 0, 0), r: Request{Shape: shape(2, 8, onRack)}},
		{name: "gang across racks", nodes: racked(8, 0, 0, 8, 0, 0), r: Request{Shape: shape(2, 8, none)}, want: "t00 t03 "},
		{name: "members share a worker", nodes: racked(8, 8, 8), r: Request{Shape: shape(4, 2, onOne)}, want: "t00 t00 t00 t00 "},
		{name: "no single worker", nodes: racked(7, 7, 7), r: Request{Shape: shape(4, 2, onOne)}},
		{name: "lane closed", nodes: lane, r: Request{Shape: shape(1, 8, none)}},
		{name: "lane open to claims", nodes: lane, r: Request{Shape: shape(1, 8, none), UseLane: true}, want: "t00 "},
		{name: "unusable", nodes: sick, r: Request{Shape: shape(1, 4, none)}, want: "t00 "},
		{name: "excluded", nodes: racked(8, 4, 8), r: Request{Shape: shape(1, 4, none), Exclude: []string{"t01", "t00"}}, want: "t02 "},
		{name: "empty shape", nodes: racked(8), r: Request{}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			p, ok := NewSite(tt.nodes).Plan(tt.r)
			qt.Assert(t, ok, qt.Equals, tt.want != "")
			qt.Assert(t, names(p), qt.Equals, tt.want)
		})
	}
}

// Guards against a stream of backfilled work that starves a waiting gang.
func TestReservation(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewSite(racked(8, 2, 0, 2, 2, 2))
	gang := Request{Shape: shape(2, 8, onRack)}
	running := []Release{
		{Target: "t01", Slots: 6, End: now.Add(time.Hour)},
		{Target: "t02", Slots: 8, End: now.Add(2 * time.Hour)},
	}
	res, ok := s.Earliest(gang, running, now)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, res.Start, qt.Equals, now.Add(time.Hour))
	s.Hold(res)
	long := Request{Shape: shape(1, 8, none), End: now.Add(2 * time.Hour)}
	_, ok = s.Plan(long)
	qt.Assert(t, ok, qt.IsFalse)
	long.End = now.Add(30 * time.Minute)
	_, ok = s.Plan(long)
	qt.Assert(t, ok, qt.IsTrue)
	long.Holder, long.End = true, time.Time{}
	_, ok = s.Plan(long)
	qt.Assert(t, ok, qt.IsTrue)
	s.Hold(Reservation{})
	_, ok = s.Plan(Request{Shape: shape(1, 8, none)})
	qt.Assert(t, ok, qt.IsTrue)
	_, ok = s.Earliest(Request{Shape: shape(4, 8, onRack)}, running, now)
	qt.Assert(t, ok, qt.IsFalse)
}

// Guards against moves that don't let the gang start or cost more than they gain.
func TestDefragment(t *testing.T) {
	s := NewSite(racked(8, 7, 8, 4, 0, 0))
	small := []Movable{{Job: "j", Target: "t01", Slots: 1, Class: operator.ClassLong, Lost: time.Minute}}
	gang := Request{Shape: shape(3, 8, onRack)}
	moves, ok := s.Defragment(gang, time.Hour, small)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, moves, qt.DeepEquals, []Move{{Job: "j", From: "t01", To: "t03"}})
	_, ok = s.Defragment(gang, time.Second, small)
	qt.Assert(t, ok, qt.IsFalse)
	_, ok = NewSite(racked(8, 7, 8, 0, 0, 0)).Defragment(gang, time.Hour, small)
	qt.Assert(t, ok, qt.IsFalse)
	qt.Assert(t, s.Fragmentation(gang.Shape), qt.Equals, 1.0)
	free := 27.0 // a variable, because constants are evaluated exactly
	qt.Assert(t, s.Fragmentation(shape(1, 8, none)), qt.Equals, 1-16/free)
}

// Guards against placements beyond the free slots or the adjacency, and against
// a refusal of a shape that fits.
func TestPlanIsSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nodes := racked(rapid.SliceOfN(rapid.IntRange(0, 8), 1, 11).Draw(t, "free")...)
		adj := rapid.SampledFrom([]operator.Adjacency{none, onRack, onOne}).Draw(t, "adj")
		w, a := rapid.IntRange(1, 12).Draw(t, "w"), rapid.IntRange(1, 8).Draw(t, "a")
		p, ok := NewSite(nodes).Plan(Request{Shape: shape(w, a, adj)})
		domain := map[operator.Adjacency]func(int) int{
			none:   func(int) int { return 0 },
			onRack: func(i int) int { return i / 3 },
			onOne:  func(i int) int { return i },
		}[adj]
		members, fits := map[int]int{}, false
		for i, n := range nodes {
			members[domain(i)] += n.Free / a
			fits = fits || members[domain(i)] >= w
		}
		if ok != fits {
			t.Fatalf("planned: %v, fits: %v", ok, fits)
		}
		used, domains := map[string]int{}, map[int]bool{}
		for _, m := range p {
			used[m.Target] += m.Slots
		}
		for i, n := range nodes {
			if used[n.Name] > n.Free {
				t.Fatalf("%d slots used of %d on %s", used[n.Name], n.Free, n.Name)
			}
			if used[n.Name] > 0 {
				domains[domain(i)] = true
			}
		}
		if len(domains) > 1 {
			t.Fatalf("members in %d domains", len(domains))
		}
	})
}

func BenchmarkPlan(b *testing.B) {
	for _, workers := range []int{11, 1000, 7400} {
		free := make([]int, workers)
		for i := range free {
			free[i] = i * 7 % 9
		}
		s := NewSite(racked(free...))
		for _, size := range []int{2, 8, 64} {
			for _, adj := range []operator.Adjacency{none, onRack} {
				b.Run(fmt.Sprintf("workers=%d/gang=%d/%s", workers, size, adj), func(b *testing.B) {
					for b.Loop() {
						s.Plan(Request{Shape: shape(size, 1, adj)})
					}
				})
			}
		}
		b.Run(fmt.Sprintf("workers=%d/snapshot", workers), func(b *testing.B) {
			nodes := racked(free...)
			for b.Loop() {
				NewSite(nodes)
			}
		})
	}
}
