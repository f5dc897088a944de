package operator

import "fmt"

// Adjacency says how close to each other the tasks of a gang must run.
type Adjacency string

// Adjacencies, from the loosest to the tightest.
const (
	AdjacentNone   Adjacency = "none"   // any workers of the site
	AdjacentRack   Adjacency = "rack"   // workers of one rack
	AdjacentWorker Adjacency = "worker" // a single worker
)

// Shape is an amount of capacity: a number of workers and the accelerators on
// each of them. Each worker of a shape stands for one task of a gang; several tasks
// may be placed on the same worker of the site. The zero Shape is empty.
type Shape struct {
	workers      int
	accelerators int
	adjacency    Adjacency
}

// NewShape returns a shape of the given number of workers with the given number
// of accelerators each, without a requirement on adjacency.
func NewShape(workers, accelerators int) Shape {
	return Shape{workers: workers, accelerators: accelerators, adjacency: AdjacentNone}
}

// WithAdjacency returns a copy of s with the required adjacency a.
func (s Shape) WithAdjacency(a Adjacency) Shape {
	s.adjacency = a
	return s
}

// Workers returns the number of workers.
func (s Shape) Workers() int { return s.workers }

// Accelerators returns the number of accelerators on each worker.
func (s Shape) Accelerators() int { return s.accelerators }

// Adjacency returns the required adjacency.
func (s Shape) Adjacency() Adjacency { return s.adjacency }

// Slots returns the total number of slots of all workers.
func (s Shape) Slots() int { return s.workers * s.accelerators }

// String returns the shape in short form, such as "2x8 rack".
func (s Shape) String() string {
	return fmt.Sprintf("%dx%d %s", s.workers, s.accelerators, s.adjacency)
}
