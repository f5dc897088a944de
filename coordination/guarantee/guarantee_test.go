package guarantee

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/medlargrade/medlargrade/coordination/placement"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/targets"
)

// config has two workspaces of 16 guaranteed slots each and one without a
// guarantee.
func config() operator.Config {
	pair := operator.NewShape(2, 8).WithAdjacency(operator.AdjacentRack)
	cfg := operator.NewConfig(operator.NewSite("s"))
	for _, w := range []operator.Workspace{
		operator.NewWorkspace("a").WithGuarantee(pair),
		operator.NewWorkspace("b").WithGuarantee(pair),
		operator.NewWorkspace("guest"),
	} {
		cfg = cfg.WithWorkspace(w).
			WithKind(operator.NewKind(w.Name(), "pure", operator.ClassLong).WithIdempotent(true)).
			WithKind(operator.NewKind(w.Name(), "once", operator.ClassLong))
	}
	return cfg
}

// run returns the tasks of an attempt, one for each member, given as target names.
func run(workspace, kind, class, job string, slots int, checkpoint time.Duration, on ...string) []targets.Task {
	var out []targets.Task
	for _, t := range on {
		out = append(out, targets.Task{
			Target: t, Job: job, Number: 1, Workspace: workspace, Kind: kind, Class: class, Slots: slots,
			Released: checkpoint >= 0, SinceCheckpoint: checkpoint, Members: len(on), Hub: targets.Hub{Target: on[0]},
		})
	}
	return out
}

// parse reads attempts of the form "workspace kind class job slots minutes
// target..." separated by semicolons. It also returns the number of workers.
func parse(spec string) (tasks []targets.Task, workers int) {
	workers = 2
	for a := range strings.SplitSeq(spec, ";") {
		f := strings.Fields(a)
		slots, _ := strconv.Atoi(f[4])
		minutes, _ := strconv.Atoi(f[5])
		tasks = append(tasks, run(f[0], f[1], f[2], f[3], slots, time.Duration(minutes)*time.Minute, f[6:]...)...)
		if slices.Max(f[6:]) > "t1" {
			workers = 4
		}
	}
	return tasks, workers
}

// site returns workers of 8 slots, two to a rack, that run the tasks.
func site(workers int, tasks []targets.Task) *placement.Site {
	used := make(map[string]int)
	for _, t := range tasks {
		used[t.Target] += t.Slots
	}
	nodes := make([]placement.Node, workers)
	for i := range nodes {
		name := fmt.Sprintf("t%d", i)
		nodes[i] = placement.Node{Name: name, Rack: fmt.Sprintf("r%d", i/2), Slots: 8, Free: 8 - used[name], KeepFree: 1}
	}
	return placement.NewSite(nodes)
}

func jobs(v Victims) []string {
	var out []string
	for _, h := range v.ByHub {
		for _, a := range h.Attempts {
			out = append(out, a.Job)
		}
	}
	slices.Sort(out)
	return out
}

// Guards against victims that lose more than needed, don't make the shape fit,
// break up a gang, or belong to a workspace within its guarantee.
func TestVictims(t *testing.T) {
	one, pair := operator.NewShape(1, 8), operator.NewShape(2, 8).WithAdjacency(operator.AdjacentRack)
	tests := []struct {
		name      string
		tasks     string // as for parse
		shape     operator.Shape
		want      string
		straddles bool
	}{
		{"idempotent first", "guest once fill j1 8 0 t0; guest pure long j2 8 1 t1", one, "j2", false},
		{"fill before long", "guest pure long j1 8 0 t0; guest pure fill j2 8 1 t1", one, "j2", false},
		{"latest checkpoint", "guest pure long j1 8 2 t0; guest pure long j2 8 1 t1", one, "j2", false},
		{"not more than needed", "guest pure long j1 8 1 t0; guest pure long j2 2 1 t1; a pure long a 6 1 t1", operator.NewShape(1, 2), "j2", false},
		{"adjacency, not only slots", "guest pure fill j1 8 0 t0; b pure long b 8 0 t1; guest pure long j2 8 1 t2; guest pure long j3 8 1 t3", pair, "j2 j3", false},
		{"held work frees nothing", "guest pure fill j1 8 -1 t0; guest pure long j2 8 1 t1", one, "j2", false},
		{"whole gang", "guest pure fill j1 8 0 t1 t0", one, "j1", false},
		{"owner within its guarantee", "b pure fill j1 8 0 t0 t1", one, "", false},
		{"counted as chosen", "b pure fill j1 8 0 t0; b pure fill j2 8 0 t1; b pure fill j3 8 0 t2; a pure long a 8 0 t3", pair, "", false},
		{"straddling gang as a last resort", "b pure long j1 8 0 t0 t1 t2; a pure long a 8 0 t3", one, "j1", true},
		{"useless work does not use up the budget", "b pure fill j1 4 0 t0; b pure fill j2 4 0 t1; b pure long j3 8 1 t2; a pure long a 4 0 t0 t1; b once long b 8 1 t3", one, "j3", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tasks, workers := parse(tt.tasks)
			v, ok := NewLedger(config(), tasks).Victims(tt.shape, site(workers, tasks))
			qt.Assert(t, ok, qt.Equals, tt.want != "")
			qt.Assert(t, strings.Join(jobs(v), " "), qt.Equals, tt.want)
			qt.Assert(t, v.Straddles, qt.Equals, tt.straddles)
		})
	}
}

// Guards against claims beyond the guarantee or of a shape that it doesn't include.
func TestIsClaim(t *testing.T) {
	rack, worker := operator.AdjacentRack, operator.AdjacentWorker
	tests := []struct {
		workspace string
		class     operator.Class
		shape     operator.Shape
		used      int
		want      bool
	}{
		{"a", operator.ClassLong, operator.NewShape(2, 8).WithAdjacency(rack), 0, true},
		{"a", operator.ClassLong, operator.NewShape(2, 8).WithAdjacency(rack), 1, false},
		{"a", operator.ClassFill, operator.NewShape(1, 1), 0, false},
		{"a", operator.ClassShort, operator.NewShape(1, 1), 15, true},
		{"a", operator.ClassLong, operator.NewShape(2, 5).WithAdjacency(worker), 0, false},
		{"a", operator.ClassLong, operator.NewShape(2, 4).WithAdjacency(worker), 0, true},
		{"a", operator.ClassLong, operator.NewShape(3, 5), 0, false},
		{"guest", operator.ClassShort, operator.NewShape(1, 1), 0, false},
		{"gone", operator.ClassShort, operator.NewShape(1, 1), 0, false},
	}
	for _, tt := range tests {
		l := NewLedger(config(), nil)
		l.Add(targets.Task{Job: "ended", Workspace: tt.workspace, Slots: 50})
		l.Add(targets.Task{Job: "runs", Workspace: tt.workspace, Slots: tt.used})
		l.Remove("ended", 0)
		qt.Check(t, l.IsClaim(tt.workspace, tt.class, tt.shape), qt.Equals, tt.want, qt.Commentf("%+v", tt))
	}
}

// Guards against a choice that takes a workspace below its guarantee, leaves the
// claim without a place, or contains a victim that is not needed.
func TestVictimsAreSound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var tasks []targets.Task
		free := []int{8, 8, 8, 8, 8, 8}
		for j := range rapid.IntRange(0, 14).Draw(t, "jobs") {
			slots := rapid.IntRange(1, 8).Draw(t, "slots")
			var on []string
			for range rapid.IntRange(1, 2).Draw(t, "members") {
				i := rapid.IntRange(0, 5).Draw(t, "on")
				if name := fmt.Sprintf("t%d", i); free[i] >= slots && !slices.Contains(on, name) {
					free[i] -= slots
					on = append(on, name)
				}
			}
			tasks = append(tasks, run(
				rapid.SampledFrom([]string{"b", "guest"}).Draw(t, "workspace"),
				rapid.SampledFrom([]string{"pure", "once"}).Draw(t, "kind"),
				rapid.SampledFrom([]string{"fill", "long"}).Draw(t, "class"), fmt.Sprintf("j%d", j), slots,
				time.Duration(rapid.IntRange(0, 9).Draw(t, "checkpoint"))*time.Minute, on...)...)
		}
		shape := operator.NewShape(rapid.IntRange(1, 2).Draw(t, "w"), rapid.IntRange(1, 8).Draw(t, "a")).
			WithAdjacency(rapid.SampledFrom([]operator.Adjacency{operator.AdjacentNone, operator.AdjacentRack}).Draw(t, "adj"))
		r := placement.Request{Shape: shape, UseLane: true}
		if _, ok := site(6, tasks).Plan(r); ok {
			return
		}
		l := NewLedger(config(), tasks)
		v, ok := l.Victims(shape, site(6, tasks))
		if !ok {
			return
		}
		without := func(gone []string) []targets.Task {
			return slices.DeleteFunc(slices.Clone(tasks), func(x targets.Task) bool { return slices.Contains(gone, x.Job) })
		}
		chosen := jobs(v)
		after := without(chosen)
		if _, ok := site(6, after).Plan(r); !ok {
			t.Fatalf("the claim does not fit without %v", chosen)
		}
		for _, j := range chosen {
			rest := slices.DeleteFunc(slices.Clone(chosen), func(x string) bool { return x == j })
			if _, ok := site(6, without(rest)).Plan(r); ok {
				t.Fatalf("%s of %v is not needed", j, chosen)
			}
		}
		if v.Straddles {
			return
		}
		for _, w := range []string{"a", "b"} {
			before, now := l.Use(w), NewLedger(config(), after).Use(w)
			if now.Slots < min(before.Slots, before.Guarantee) {
				t.Fatalf("%s has %d slots of %d left", w, now.Slots, before.Guarantee)
			}
		}
	})
}

func BenchmarkVictims(b *testing.B) {
	pair := operator.NewShape(2, 8).WithAdjacency(operator.AdjacentRack)
	for _, workers := range []int{11, 7400} {
		var tasks []targets.Task
		for i := range 8 * workers {
			tasks = append(tasks, run("guest", "pure", "long", strconv.Itoa(i), 1, time.Duration(i*7%97)*time.Minute, fmt.Sprintf("t%d", i/8))...)
		}
		s := site(workers, tasks)
		for _, shape := range []operator.Shape{operator.NewShape(1, 1), pair, operator.NewShape(8, 8)} {
			b.Run(fmt.Sprintf("workers=%d/%dx%d-%s", workers, shape.Workers(), shape.Accelerators(), shape.Adjacency()), func(b *testing.B) {
				for b.Loop() {
					NewLedger(config(), tasks).Victims(shape, s)
				}
			})
		}
	}
}
