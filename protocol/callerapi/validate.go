package callerapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/operator"
)

// ErrTooLarge reports a body larger than MaxBodyBytes.
var ErrTooLarge = fmt.Errorf("body exceeds %d bytes", MaxBodyBytes)

// Problem describes one reason why a request is invalid.
type Problem struct {
	Field   string // path, such as "Shape.Workers"; empty for the body as a whole
	Message string
}

// InvalidError lists all problems of an invalid request.
type InvalidError struct {
	Problems []Problem
}

func (e *InvalidError) Error() string {
	parts := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		if p.Field == "" {
			parts = append(parts, p.Message)
			continue
		}
		parts = append(parts, p.Field+": "+p.Message)
	}
	return "invalid request: " + strings.Join(parts, "; ")
}

// NewInvalidError returns an InvalidError with one problem.
func NewInvalidError(field, message string) error {
	return &InvalidError{Problems: []Problem{{Field: field, Message: message}}}
}

// Validate returns an InvalidError with all problems of r, or nil. Missing fields
// of the shape are problems; WithDefaults sets them.
func (r Request) Validate() error {
	return invalidOrNil(r.problems(nil))
}

func invalidOrNil(problems []Problem) error {
	if len(problems) == 0 {
		return nil
	}
	return &InvalidError{Problems: problems}
}

// problems appends the problems of r to found, except those of fields for which
// found already has one.
func (r Request) problems(found []Problem) []Problem {
	reported := make(map[string]bool, len(found))
	for _, p := range found {
		reported[p.Field] = true
	}
	check := func(field string, err error) {
		if err != nil && !reported[field] {
			found = append(found, Problem{Field: field, Message: err.Error()})
		}
	}
	check("Workspace", CheckName(r.Workspace))
	check("Kind", CheckName(r.Kind))
	if r.Key != "" {
		check("Key", CheckName(r.Key))
	}
	if !reported["Shape"] {
		check("Shape.Workers", checkCount(r.Shape.Workers))
		check("Shape.Accelerators", checkCount(r.Shape.Accelerators))
		check("Shape.Adjacent", checkAdjacency(r.Shape.Adjacent))
	}
	check("DeclaredTime", checkDuration(r.DeclaredTime))
	check("Deadline", checkDuration(r.Deadline))
	if len(r.Payload) > 0 && !json.Valid(r.Payload) {
		check("Payload", errors.New("must be a JSON value"))
	}
	return found
}

// CheckName returns an error if s is not a valid name of a workspace, kind or key.
func CheckName(s string) error {
	if s == "" {
		return errors.New("is required")
	}
	if len(s) > MaxNameBytes {
		return fmt.Errorf("is longer than %d characters", MaxNameBytes)
	}
	for i := range len(s) {
		c := s[i]
		switch {
		case 'A' <= c && c <= 'Z', 'a' <= c && c <= 'z', '0' <= c && c <= '9', c == '.', c == '_', c == '-':
		default:
			return errors.New("may contain only letters, digits, '.', '_' and '-'")
		}
	}
	return nil
}

func checkCount(n int) error {
	if n < 1 || n > maxCount {
		return fmt.Errorf("must be between 1 and %d", maxCount)
	}
	return nil
}

func checkAdjacency(a operator.Adjacency) error {
	switch a {
	case operator.AdjacentNone, operator.AdjacentRack, operator.AdjacentWorker:
		return nil
	}
	return fmt.Errorf("must be %q, %q or %q", operator.AdjacentNone, operator.AdjacentRack, operator.AdjacentWorker)
}

func checkDuration(s string) error {
	if s == "" {
		return nil
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		return errors.New(`must be a duration such as "90s"`)
	}
	if d <= 0 {
		return errors.New("must be above zero")
	}
	return nil
}
