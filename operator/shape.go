package operator

import "fmt"

// Adjacency says how close to each other the tasks of a gang should run.
type Adjacency string

// Adjacencies, from the loosest to the tightest. AdjacentWorker is a requirement.
// AdjacentRack is a preference: after a bounded wait for a rack, the planner may spread
// the tasks of the gang over several racks. Site.Fits and Check still require that one
// rack of the site can hold them.
const (
	AdjacentNone   Adjacency = "none"   // any workers of the site
	AdjacentRack   Adjacency = "rack"   // workers of one rack
	AdjacentWorker Adjacency = "worker" // a single worker
)

// Shape is an amount of capacity: a number of workers and of accelerators on each
// of them. Each worker of a shape corresponds to one task of a gang; several tasks
// may be placed on the same worker of the site. The zero Shape is empty.
type Shape struct {
	workers      int
	accelerators int
	adjacency    Adjacency
}

// NewShape returns a shape of the given number of workers with the given number
// of accelerators each and AdjacentNone.
func NewShape(workers, accelerators int) Shape {
	return Shape{workers: workers, accelerators: accelerators, adjacency: AdjacentNone}
}

// WithAdjacency returns a copy of s with adjacency a.
func (s Shape) WithAdjacency(a Adjacency) Shape {
	s.adjacency = a
	return s
}

// Workers returns the number of workers.
func (s Shape) Workers() int { return s.workers }

// Accelerators returns the number of accelerators on each worker.
func (s Shape) Accelerators() int { return s.accelerators }

// Adjacency returns the adjacency.
func (s Shape) Adjacency() Adjacency { return s.adjacency }

// Slots returns the total number of slots of all workers.
func (s Shape) Slots() int { return s.workers * s.accelerators }

// String returns the shape in short form, such as "2x8 rack".
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d %s", s.workers, s.accelerators, s.adjacency)
}
