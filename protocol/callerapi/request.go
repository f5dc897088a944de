package callerapi

import (
	"encoding/json"
	"time"

	"github.com/medlargrade/medlargrade/operator"
)

// Limits of requests.
const (
	// MaxBodyBytes limits the size of a request's body.
	MaxBodyBytes = 1 << 20
	// MaxNameBytes limits the length of the names of workspaces, kinds and keys.
	MaxNameBytes = 128
	// maxCount limits each count of a shape, so that their product can't overflow.
	// The scheduler refuses shapes that exceed the size of the site.
	maxCount = 1 << 20
)

// Request is a submission of a job.
type Request struct {
	Workspace    string
	Kind         string
	Shape        Shape           `json:",omitzero"`  // DefaultShape if missing
	DeclaredTime string          `json:",omitempty"` // expected run time as a Go duration, such as "90s"
	Deadline     string          `json:",omitempty"` // time within which the job must start, as a Go duration such as "10m"
	Idempotent   *bool           `json:",omitempty"` // nil means the setting of the kind
	Key          string          `json:",omitempty"` // idempotency key
	Payload      json.RawMessage `json:",omitempty"` // any JSON value, passed to each task
}

// Shape is the capacity that a job requires. Missing fields default to those of
// DefaultShape.
type Shape struct {
	Workers      int                `json:",omitempty"`
	Accelerators int                `json:",omitempty"` // on each worker
	Adjacent     operator.Adjacency `json:",omitempty"`
}

// DefaultShape is one accelerator of one worker.
var DefaultShape = Shape{Workers: 1, Accelerators: 1, Adjacent: operator.AdjacentNone}

// WithDefaults returns a copy of r with missing fields of the shape set from
// DefaultShape.
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

// DeclaredDuration returns the declared run time, or 0 if it is missing or
// invalid.
func (r Request) DeclaredDuration() time.Duration { return parseDuration(r.DeclaredTime) }

// DeadlineDuration returns the time until the deadline, or 0 if it is missing or
// invalid.
func (r Request) DeadlineDuration() time.Duration { return parseDuration(r.Deadline) }

func parseDuration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	if err != nil {
		return 0
	}
	return d
}
