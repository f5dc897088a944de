package callerapi

import (
	"encoding/json"
	"time"

	"github.com/medlargrade/medlargrade/operator"
)

// Limits of requests.
const (
	// MaxBody is the size limit of a request's body in bytes.
	MaxBody = 1 << 20
	// MaxName is the size limit of names of workspaces, kinds and keys in bytes.
	MaxName = 128
	// maxCount keeps the product of the two counts of a shape far from overflow.
	// Shapes above the site's size are refused by the scheduler.
	maxCount = 1 << 20
)

// Request asks for a job.
type Request struct {
	Workspace    string
	Kind         string
	Shape        Shape           `json:",omitzero"`  // a missing shape is one accelerator of one worker
	DeclaredTime string          `json:",omitempty"` // expected run time as a Go duration, such as "90s"
	Deadline     string          `json:",omitempty"` // time from now until the result is useless, as a Go duration
	Idempotent   *bool           `json:",omitempty"` // nil leaves it to the kind
	Key          string          `json:",omitempty"` // idempotency key
	Payload      json.RawMessage `json:",omitempty"` // any JSON value, passed to each task
}

// Shape is the capacity that a job needs. Missing fields have the values of
// DefaultShape.
type Shape struct {
	Workers      int                `json:",omitempty"`
	Accelerators int                `json:",omitempty"` // on each worker
	Adjacent     operator.Adjacency `json:",omitempty"`
}

// DefaultShape is one accelerator of one worker.
var DefaultShape = Shape{Workers: 1, Accelerators: 1, Adjacent: operator.AdjacentNone}

// WithDefaults returns a copy of r in which missing fields of the shape are set.
func (r Request) WithDefaults() Request {
	if r.Shape.Workers == 0 {
		r.Shape.Workers = DefaultShape.Workers
	}
	if r.Shape.Accelerators == 0 {
		r.Shape.Accelerators = DefaultShape.Accelerators
	}
	if r.Shape.Adjacent == "" {
		r.Shape.Adjacent = DefaultShape.Adjacent
	}
	return r
}

// OperatorShape returns the shape as a value of package operator.
func (r Request) OperatorShape() operator.Shape {
	return operator.NewShape(r.Shape.Workers, r.Shape.Accelerators).WithAdjacency(r.Shape.Adjacent)
}

// DeclaredDuration returns the declared run time, or 0 if there is none.
func (r Request) DeclaredDuration() time.Duration { return durationOf(r.DeclaredTime) }

// DeadlineDuration returns the time until the deadline, or 0 if there is none.
func (r Request) DeadlineDuration() time.Duration { return durationOf(r.Deadline) }

func durationOf(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0
	}
	return d
}
