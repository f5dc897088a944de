package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// JobGroup is the result of the jobs that have something in common.
type JobGroup struct {
	Name   string
	Jobs   int // without cancelled ones
	OnTime int
	Late   int // earned part of the worth
	Owed   float64
	Earned float64
	// StartWait is the mean time from submission to the first start of the jobs that started.
	StartWait time.Duration
	started   int
}

// Share returns the share of the worth that was earned.
func (g JobGroup) Share() float64 { return g.Earned / max(g.Owed, 1e-9) }

// OnTimeShare returns the share of the jobs that ended within their objective.
func (g JobGroup) OnTimeShare() float64 { return float64(g.OnTime) / float64(max(g.Jobs, 1)) }

// Size classes of the jobs of a kind, by the work of all tasks.
const (
	sizeLargest = "largest tenth"
	sizeLarge   = "fifth below"
	sizeRest    = "rest"
)

// Breakdown groups the jobs of several runs by kind, by size class of a kind and by workspace.
// Its zero value is empty.
type Breakdown struct {
	jobs []JobResult
}

// Add adds the jobs of a run.
func (b *Breakdown) Add(r Result) { b.jobs = append(b.jobs, r.Jobs...) }

// Groups returns the groups, sorted by name: a kind is named "kind NAME", a size class
// "size NAME CLASS" and a workspace "workspace NAME".
func (b *Breakdown) Groups() []JobGroup {
	groups := make(map[string]*JobGroup)
	byKind := make(map[string][]JobResult)
	for _, j := range b.jobs {
		if j.Cancelled {
			continue
		}
		byKind[j.Kind] = append(byKind[j.Kind], j)
		addTo(groups, "workspace "+j.Workspace, j)
		addTo(groups, "kind "+j.Kind, j)
	}
	for kind, jobs := range byKind {
		slices.SortFunc(jobs, func(x, y JobResult) int {
			return cmp.Or(cmp.Compare(y.CoreSeconds, x.CoreSeconds), cmp.Compare(x.ID, y.ID))
		})
		for i, j := range jobs {
			class := sizeRest
			switch {
			case i < len(jobs)/10:
				class = sizeLargest
			case i < len(jobs)*3/10:
				class = sizeLarge
			}
			addTo(groups, "size "+kind+" "+class, j)
		}
	}
	out := make([]JobGroup, 0, len(groups))
	for _, g := range groups {
		g.StartWait /= time.Duration(max(g.started, 1))
		out = append(out, *g)
	}
	slices.SortFunc(out, func(x, y JobGroup) int { return cmp.Compare(x.Name, y.Name) })
	return out
}

// Group returns the group with a name, which is empty if there is none.
func (b *Breakdown) Group(name string) JobGroup {
	for _, g := range b.Groups() {
		if g.Name == name {
			return g
		}
	}
	return JobGroup{Name: name}
}

func addTo(groups map[string]*JobGroup, name string, j JobResult) {
	g := groups[name]
	if g == nil {
		g = &JobGroup{Name: name}
		groups[name] = g
	}
	g.Jobs++
	g.Owed += j.Owed
	g.Earned += j.Earned
	switch {
	case j.Earned == j.Owed:
		g.OnTime++
	case j.Earned > 0:
		g.Late++
	}
	if j.StartDelay >= 0 {
		g.StartWait += j.StartDelay
		g.started++
	}
}

// String returns one line for each group.
func (b *Breakdown) String() string {
	var s strings.Builder
	for _, g := range b.Groups() {
		fmt.Fprintf(&s, "%-28s %5d jobs: %5.1f%% on time, %5.1f%% late; %.3f of the worth; first start after %v\n", g.Name, g.Jobs,
			100*g.OnTimeShare(), 100*float64(g.Late)/float64(max(g.Jobs, 1)), g.Share(), g.StartWait.Round(time.Millisecond))
	}
	return s.String()
}
