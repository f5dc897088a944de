package operator

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Limits on names and numbers. The limits on numbers keep sums within an int and
// the run time of a check below one second.
const (
	MaxNameLength     = 128     // bytes
	MaxSlotsPerWorker = 1024    // slots
	MaxRackWorkers    = 10_000  // workers
	MaxShapeWorkers   = 100_000 // workers
)

// Problem is one thing that is wrong with a configuration.
type Problem struct {
	Path    string // for example Workspaces[2].Guarantees[0].Workers
	Message string
}

// String returns the path and the message.
func (p Problem) String() string { return p.Path + ": " + p.Message }

// Check returns all problems of c, in the order of its JSON form.
// A configuration with a problem can't be applied.
func (c Config) Check() []Problem {
	var k checker
	k.site(c.site)
	k.workspaces(c.workspaces)
	k.kinds(c)
	k.pools(c.pools)
	k.limits(c.limits)
	if k.sizesValid {
		k.capacity(c)
	}
	return k.problems
}

// Warnings reports what is allowed but probably not intended. It returns nil
// for a configuration with problems.
func (c Config) Warnings() []Problem {
	if len(c.Check()) > 0 {
		return nil
	}
	var k checker
	for i, d := range c.site.dataCentres {
		if len(d.racks) == 0 {
			k.add(fmt.Sprintf("Site.DataCentres[%d]", i), "data centre %s has no racks", d.name)
		}
	}
	k.warnRackLoss(c)
	for i, w := range c.workspaces {
		if !slices.ContainsFunc(c.kinds, func(x Kind) bool { return x.workspace == w.name }) {
			k.add(fmt.Sprintf("Workspaces[%d]", i), "workspace %s has no kinds, so it can submit nothing", w.name)
		}
	}
	return k.problems
}

// checker collects problems.
type checker struct {
	problems   []Problem
	sizesValid bool // all numbers and adjacencies that packing needs are valid
}

func (k *checker) add(path, format string, args ...any) {
	k.problems = append(k.problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (k *checker) name(path, name string) {
	if !ValidName(name) {
		k.add(path+".Name", "%q must have 1 to %d characters of A-Z, a-z, 0-9, '.', '_' and '-'", name, MaxNameLength)
	}
}

// unique adds a problem if the name is already in seen, which maps names to the
// paths of their first use.
func (k *checker) unique(seen map[string]string, path, name string) {
	if firstPath, ok := seen[name]; ok {
		k.add(path+".Name", "%q is already the name of %s", name, firstPath)
		return
	}
	seen[name] = path
}

// inRange reports whether n is between 1 and limit, and adds a problem if not.
func (k *checker) inRange(path string, n, limit int) bool {
	if n < 1 || n > limit {
		k.add(path, "%d must be between 1 and %d", n, limit)
		return false
	}
	return true
}

// ValidName reports whether name has 1 to MaxNameLength characters of
// [A-Za-z0-9._-].
func ValidName(name string) bool {
	if name == "" || len(name) > MaxNameLength {
		return false
	}
	for _, r := range []byte(name) {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '.', r == '_', r == '-':
		default:
			return false
		}
	}
	return true
}

func (k *checker) site(s Site) {
	k.name("Site", s.name)
	k.sizesValid = k.inRange("Site.SlotsPerWorker", s.slotsPerWorker, MaxSlotsPerWorker)
	dataCentres, racks := make(map[string]string), make(map[string]string)
	for i, d := range s.dataCentres {
		path := fmt.Sprintf("Site.DataCentres[%d]", i)
		k.name(path, d.name)
		k.unique(dataCentres, path, d.name)
		for j, r := range d.racks {
			path := fmt.Sprintf("%s.Racks[%d]", path, j)
			k.name(path, r.name)
			k.unique(racks, path, r.name)
			k.sizesValid = k.inRange(path+".Workers", r.workers, MaxRackWorkers) && k.sizesValid
		}
	}
	if len(racks) == 0 {
		k.add("Site.DataCentres", "the site has no racks")
	}
}

func (k *checker) workspaces(workspaces []Workspace) {
	seen, keys := make(map[string]string), make(map[string]string)
	for i, w := range workspaces {
		path := fmt.Sprintf("Workspaces[%d]", i)
		k.name(path, w.name)
		k.unique(seen, path, w.name)
		if w.queueLimit <= 0 {
			k.add(path+".QueueLimit", "%d must be positive", w.queueLimit)
		}
		if w.guaranteed < 0 {
			k.add(path+".ExtraGuaranteedAccelerators", "%d must not be negative", w.guaranteed)
		}
		for j, key := range w.keys {
			path := fmt.Sprintf("%s.Keys[%d]", path, j)
			if key == "" {
				k.add(path, "must not be empty")
			} else if firstPath, ok := keys[key]; ok {
				k.add(path, "is the same as %s", firstPath)
			} else {
				keys[key] = path
			}
		}
		for j, s := range w.guarantees {
			path := fmt.Sprintf("%s.Guarantees[%d]", path, j)
			k.sizesValid = k.inRange(path+".Workers", s.workers, MaxShapeWorkers) && k.sizesValid
			k.sizesValid = k.inRange(path+".Accelerators", s.accelerators, MaxSlotsPerWorker) && k.sizesValid
			switch s.adjacency {
			case AdjacentNone, AdjacentRack, AdjacentWorker:
			default:
				k.add(path+".Adjacent", "%q must be none, rack or worker", s.adjacency)
				k.sizesValid = false
			}
		}
	}
}

func (k *checker) kinds(c Config) {
	seen := make(map[string]string)
	for i, x := range c.kinds {
		path := fmt.Sprintf("Kinds[%d]", i)
		if _, ok := c.Workspace(x.workspace); !ok {
			k.add(path+".Workspace", "unknown workspace %q", x.workspace)
		}
		k.name(path, x.name)
		if firstPath, ok := seen[x.workspace+"/"+x.name]; ok {
			k.add(path+".Name", "%q is already the name of %s", x.name, firstPath)
		} else {
			seen[x.workspace+"/"+x.name] = path
		}
		switch x.class {
		case ClassShort, ClassLong, ClassFill:
		default:
			k.add(path+".Class", "%q must be short, long or fill", x.class)
		}
		k.notNegative(path+".Limit", x.limit)
		k.kindPolicy(path, c, x)
	}
}

// kindPolicy checks what a kind says of its scheduling and its route.
func (k *checker) kindPolicy(path string, c Config, x Kind) {
	if x.pool != "" && !slices.ContainsFunc(c.pools, func(p Pool) bool { return p.name == x.pool }) {
		k.add(path+".Pool", "unknown pool %q", x.pool)
	}
	if x.priority < 0 {
		k.add(path+".Priority", "%d must not be negative", x.priority)
	}
	if x.attempts < 0 {
		k.add(path+".Attempts", "%d must not be negative", x.attempts)
	}
	if x.stretch < 0 || math.IsNaN(x.stretch) || math.IsInf(x.stretch, 0) {
		k.add(path+".Stretch", "%v must be finite and not negative", x.stretch)
	}
	k.notNegative(path+".Objective", x.objective)
	k.notNegative(path+".Route.Timeout", x.route.Timeout)
	k.notNegative(path+".Advice.CallTime", x.advice.CallTime)
	k.notNegative(path+".Advice.TimePerWorker", x.advice.TimePerWorker)
	k.notNegative(path+".Advice.TicketLifetime", x.advice.TicketLifetime)
}

func (k *checker) notNegative(path string, d time.Duration) {
	if d < 0 {
		k.add(path, "%s must not be negative", d)
	}
}

func (k *checker) pools(pools []Pool) {
	seen := make(map[string]string)
	for i, p := range pools {
		path := fmt.Sprintf("Pools[%d]", i)
		k.name(path, p.name)
		k.unique(seen, path, p.name)
		if p.connections < 0 {
			k.add(path+".Connections", "%d must not be negative", p.connections)
		}
	}
}

func (k *checker) limits(l Limits) {
	if l.HeaderBytes < 0 {
		k.add("Limits.HeaderBytes", "%d must not be negative", l.HeaderBytes)
	}
	if l.BodyBytes < 0 {
		k.add("Limits.BodyBytes", "%d must not be negative", l.BodyBytes)
	}
	k.notNegative("Limits.HeaderTimeout", l.HeaderTimeout)
	k.notNegative("Limits.IdleTimeout", l.IdleTimeout)
}

// capacity checks that all guaranteed shapes can be placed on the site at the
// same time.
func (k *checker) capacity(c Config) {
	if !k.sizesValid {
		return
	}
	eachFits := true
	var shapes []Shape
	slots := 0
	for i, w := range c.workspaces {
		for j, s := range w.guarantees {
			path := fmt.Sprintf("Workspaces[%d].Guarantees[%d]", i, j)
			if !c.site.Fits(s) {
				eachFits = false
				k.add(path, "%s is larger than the site: %s", s, c.site.noFitReason(s))
			}
			shapes = append(shapes, s)
			slots += s.Slots()
		}
		slots += max(w.guaranteed, 0)
	}
	switch {
	case slots > c.site.Slots():
		k.add("Workspaces", "the guarantees need %d slots, the site has %d", slots, c.site.Slots())
	case !eachFits:
	default:
		switch pack(c.site, shapes) {
		case feasible:
		case infeasible:
			k.add("Workspaces", "the guarantees need %d of %d slots, but can't be placed at the same time with their adjacency", slots, c.site.Slots())
		case undecided:
			k.add("Workspaces", "no simultaneous placement of the guarantees (%d of %d slots) was found within the limits of the search", slots, c.site.Slots())
		}
	}
}

// warnRackLoss adds a warning for each size of rack without which no placement of the
// guarantees is found. Racks with the same number of workers are interchangeable,
// so one of each size is tried.
func (k *checker) warnRackLoss(c Config) {
	var racks []int
	var paths []string
	for i, d := range c.site.dataCentres {
		for j, r := range d.racks {
			racks = append(racks, r.workers)
			paths = append(paths, fmt.Sprintf("Site.DataCentres[%d].Racks[%d]", i, j))
		}
	}
	var shapes []Shape
	for _, w := range c.workspaces {
		shapes = append(shapes, w.guarantees...)
	}
	tried := make(map[int]bool)
	for i, n := range racks {
		if tried[n] {
			continue
		}
		tried[n] = true
		remaining := slices.Delete(slices.Clone(racks), i, i+1)
		if packRacks(remaining, c.site.slotsPerWorker, shapes) != feasible {
			k.add(paths[i], "the guarantees no longer fit when this or another rack of %d workers is lost", n)
		}
	}
}

// noFitReason describes the capacity that the shape exceeds on an empty site.
func (s Site) noFitReason(shape Shape) string {
	if shape.accelerators > s.slotsPerWorker {
		return fmt.Sprintf("a worker has %d slots", s.slotsPerWorker)
	}
	perWorker := s.slotsPerWorker / max(shape.accelerators, 1)
	switch shape.adjacency {
	case AdjacentWorker:
		return fmt.Sprintf("a worker holds %d such tasks", perWorker)
	case AdjacentRack:
		return fmt.Sprintf("the largest rack holds %d such tasks", perWorker*s.largestRack())
	case AdjacentNone:
	}
	return fmt.Sprintf("it holds %d such tasks", perWorker*s.Workers())
}
