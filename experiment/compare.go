package experiment

import (
	"cmp"
	"context"
	"fmt"
	"runtime"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/medlargrade/medlargrade/coordination/planner"
)

// Comparison is the outcome of several runs of a load under one or more policies. The runs of
// all policies have the same seeds, and thus the same jobs.
type Comparison struct {
	Seed     uint64 // of the first run
	Runs     int    // of each policy
	Policies []PolicyOutcome
}

// NamedPolicy is a policy to compare with others.
type NamedPolicy struct {
	Name   string
	Policy planner.Policy
}

// PolicyOutcome is what callers got under one policy, over all runs.
type PolicyOutcome struct {
	Name         string
	Policy       planner.Policy
	Share        float64 // worth earned less the cost of wasted work, as a share of the worth owed
	Earned       float64 // worth earned as a share of the worth owed
	WorstWindows float64 // mean of Result.WorstWindowsShare
	// Means for each run:
	WastedCoreSeconds float64
	Starts            float64
	Stops             float64
	Refusals          float64

	Kinds      []Group // by kind, in the order of the load
	Sizes      []Group // by the size of a job among those of its kind: the largest tenth, the fifth below it, the rest
	Workspaces []Group // by workspace, sorted by name
}

// Group is what the callers of a group of jobs got. Cancelled jobs are left out.
type Group struct {
	Name     string
	Jobs     int
	OnTime   int
	Late     int     // ended after their objective, while still worth something
	Unearned int     // earned nothing
	Share    float64 // worth earned as a share of the worth owed
	// Waits from the submission to the first start, in milliseconds. Jobs that never started
	// are left out.
	WaitMedianMillis int64
	Wait95Millis     int64
	WaitMaxMillis    int64
}

// Compare plays a load with runs consecutive seeds under each policy, several runs at a time.
// progress, if it is not nil, is called after each run with the number of finished runs and of
// all runs, from one goroutine at a time. Compare ends early with an error once ctx has ended.
func Compare(ctx context.Context, l Load, policies []NamedPolicy, seed uint64, runs int, progress func(done, total int)) (Comparison, error) {
	results := make([][]Result, len(policies))
	var mu sync.Mutex
	done := 0
	g, gctx := errgroup.WithContext(ctx)
	g.SetLimit(max(runtime.GOMAXPROCS(0)/2, 1))
	for i, p := range policies {
		results[i] = make([]Result, runs)
		for n := range runs {
			g.Go(func() error {
				if err := gctx.Err(); err != nil {
					return fmt.Errorf("play run %d of policy %s: %w", n, p.Name, err)
				}
				results[i][n] = Run(l, Options{Seed: seed + uint64(n), Policy: p.Policy}) //nolint:gosec // n is not negative
				mu.Lock()
				defer mu.Unlock()
				done++
				if progress != nil {
					progress(done, len(policies)*runs)
				}
				return nil
			})
		}
	}
	if err := g.Wait(); err != nil {
		return Comparison{}, err
	}
	out := Comparison{Seed: seed, Runs: runs}
	for i, p := range policies {
		out.Policies = append(out.Policies, newPolicyOutcome(l, p, results[i]))
	}
	return out, nil
}

func newPolicyOutcome(l Load, p NamedPolicy, results []Result) PolicyOutcome {
	var s Summary
	var jobs []JobResult
	for _, r := range results {
		s.Add(r)
		jobs = append(jobs, r.Jobs...)
	}
	jobs = slices.DeleteFunc(jobs, func(j JobResult) bool { return j.Cancelled })
	n := float64(max(len(results), 1))
	out := PolicyOutcome{
		Name: p.Name, Policy: p.Policy, Share: s.Share(), WorstWindows: s.windowsSum / n,
		WastedCoreSeconds: s.total.Wasted / n, Starts: float64(s.total.Starts) / n, Stops: float64(s.total.Stopped) / n, Refusals: float64(s.total.Refused) / n,
	}
	if s.total.Owed > 0 {
		out.Earned = s.total.Earned / s.total.Owed
	}
	kinds := make([]string, len(l.Kinds))
	for i, k := range l.Kinds {
		kinds[i] = k.Name
	}
	out.Kinds = groups(jobs, kinds, func(j JobResult) string { return j.Kind })
	size := sizeClasses(jobs)
	out.Sizes = groups(jobs, sizeNames, func(j JobResult) string { return size[j.Kind].of(j) })
	names := make([]string, len(l.Workspaces))
	for i, w := range l.Workspaces {
		names[i] = w.Name
	}
	slices.Sort(names)
	out.Workspaces = groups(jobs, names, func(j JobResult) string { return j.Workspace })
	return out
}

// groups returns the outcome of each group of jobs.
func groups(jobs []JobResult, names []string, nameOf func(JobResult) string) []Group {
	byName := make(map[string][]JobResult)
	for _, j := range jobs {
		byName[nameOf(j)] = append(byName[nameOf(j)], j)
	}
	out := make([]Group, len(names))
	for i, name := range names {
		out[i] = newGroup(name, byName[name])
	}
	return out
}

func newGroup(name string, jobs []JobResult) Group {
	g := Group{Name: name, Jobs: len(jobs)}
	owed, earned := 0.0, 0.0
	var waits []time.Duration
	for _, j := range jobs {
		owed, earned = owed+j.Owed, earned+j.Earned
		switch {
		case j.Earned == j.Owed:
			g.OnTime++
		case j.Earned > 0:
			g.Late++
		default:
			g.Unearned++
		}
		if j.StartDelay >= 0 {
			waits = append(waits, j.StartDelay)
		}
	}
	if owed > 0 {
		g.Share = earned / owed
	}
	slices.Sort(waits)
	g.WaitMedianMillis, g.Wait95Millis, g.WaitMaxMillis = quantile(waits, 0.5), quantile(waits, 0.95), quantile(waits, 1)
	return g
}

// quantile returns the value in milliseconds below which a share of the sorted values lies.
func quantile(sorted []time.Duration, share float64) int64 {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)].Milliseconds()
}

// Size classes of the jobs of one kind.
const (
	largestTenth = "largest tenth"
	nextFifth    = "next fifth"
	otherSizes   = "other sizes"
)

var sizeNames = []string{largestTenth, nextFifth, otherSizes}

// sizeBounds are the least core-seconds of the two largest size classes of a kind.
type sizeBounds struct{ tenth, fifth float64 }

func (b sizeBounds) of(j JobResult) string {
	switch {
	case j.CoreSeconds >= b.tenth:
		return largestTenth
	case j.CoreSeconds >= b.fifth:
		return nextFifth
	}
	return otherSizes
}

// sizeClasses returns the bounds of the size classes by kind.
func sizeClasses(jobs []JobResult) map[string]sizeBounds {
	sizes := make(map[string][]float64)
	for _, j := range jobs {
		sizes[j.Kind] = append(sizes[j.Kind], j.CoreSeconds)
	}
	out := make(map[string]sizeBounds)
	for kind, list := range sizes {
		slices.SortFunc(list, func(x, y float64) int { return cmp.Compare(y, x) })
		out[kind] = sizeBounds{tenth: list[len(list)/10], fifth: list[len(list)*3/10]}
	}
	return out
}
