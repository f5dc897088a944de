package scheduler

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
)

// Request is what a caller asks for. It is stored in the row of a recorded job.
type Request struct {
	Workspace    string
	Kind         string
	Workers      int
	Accelerators int
	Adjacent     operator.Adjacency
	Declared     time.Duration // run time that the caller expects; 0 if unknown
	Deadline     time.Duration // from the submission; 0 for none
	Idempotent   *bool         // nil leaves it to the kind
	Key          string        // idempotency key; empty for a generated one
	Payload      []byte
}

// digest identifies the content of a request, so that a reused key is told from
// a repeated request.
func (r Request) digest() uint64 {
	r.Deadline = 0 // A retry may come with less time left.
	b, err := json.Marshal(r)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(b)
}

func (r Request) shape() operator.Shape {
	return operator.NewShape(r.Workers, r.Accelerators).WithAdjacency(r.Adjacent)
}

// spec is a request resolved against the configuration.
type spec struct {
	request    Request
	shape      operator.Shape
	class      operator.Class
	limit      time.Duration
	idempotent bool
}

// resolve checks the request against the configuration. The refusal is nil if
// the request can be served.
func resolve(r Request, cfg operator.Config) (spec, *outcome.NotRun) {
	if _, ok := cfg.Workspace(r.Workspace); !ok {
		return spec{}, refuse(outcome.ReasonInvalid, fmt.Sprintf("unknown workspace %q", r.Workspace))
	}
	kind, ok := cfg.Kind(r.Workspace, r.Kind)
	if !ok {
		return spec{}, refuse(outcome.ReasonInvalid, fmt.Sprintf("unknown kind %q of workspace %q", r.Kind, r.Workspace))
	}
	idempotent := kind.Idempotent()
	if r.Idempotent != nil {
		if *r.Idempotent && !idempotent {
			return spec{}, refuse(outcome.ReasonInvalid, fmt.Sprintf("kind %q is not idempotent", r.Kind))
		}
		idempotent = *r.Idempotent
	}
	shape := r.shape()
	if shape.Workers() > maxGang {
		return spec{}, refuse(outcome.ReasonNeverFits, fmt.Sprintf("a gang has at most %d tasks", maxGang))
	}
	if !cfg.Site().Fits(shape) {
		return spec{}, refuse(outcome.ReasonNeverFits, "the shape does not fit the empty site")
	}
	return spec{request: r, shape: shape, class: kind.Class(), limit: kind.Limit(), idempotent: idempotent}, nil
}

func refuse(reason outcome.Reason, detail string) *outcome.NotRun {
	return &outcome.NotRun{Reason: reason, Detail: detail}
}

func (s spec) isGang() bool { return s.shape.Workers() > 1 }
