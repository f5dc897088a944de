package callerapi

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
)

// Decode reads one request, sets defaults and validates it. Its error is
// ErrTooLarge for a body larger than MaxBodyBytes, an InvalidError with all
// problems, or wraps the error of the reader.
//
// Field names must match exactly; unknown and repeated fields are problems.
func Decode(r io.Reader) (Request, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxBodyBytes+1))
	if err != nil {
		return Request{}, fmt.Errorf("read body: %w", err)
	}
	if len(body) > MaxBodyBytes {
		return Request{}, ErrTooLarge
	}
	req := Request{Shape: DefaultShape}
	var shape json.RawMessage
	problems, ok := decodeObject("", body, map[string]any{
		"Workspace":    &req.Workspace,
		"Kind":         &req.Kind,
		"Shape":        &shape,
		"DeclaredTime": &req.DeclaredTime,
		"Deadline":     &req.Deadline,
		"Idempotent":   &req.Idempotent,
		"Key":          &req.Key,
		"Payload":      &req.Payload,
	})
	if !ok {
		return Request{}, invalidOrNil(problems)
	}
	if len(shape) > 0 {
		shapeProblems, _ := decodeObject("Shape", shape, map[string]any{
			"Workers":      &req.Shape.Workers,
			"Accelerators": &req.Shape.Accelerators,
			"Adjacent":     &req.Shape.Adjacent,
		})
		problems = append(problems, shapeProblems...)
	}
	if err := invalidOrNil(req.problems(problems)); err != nil {
		return Request{}, err
	}
	return req, nil
}

// decodeObject decodes a JSON object into fields, which maps names to pointers. It
// returns all problems of the fields, and whether the object is well-formed.
// encoding/json alone would stop at the first problem, ignore case and accept
// repeated names.
func decodeObject(path string, body []byte, fields map[string]any) (problems []Problem, ok bool) {
	dec := json.NewDecoder(bytes.NewReader(body))
	if tok, err := dec.Token(); err != nil || tok != json.Delim('{') {
		return []Problem{{Field: path, Message: "must be a JSON object"}}, false
	}
	seen := make(map[string]bool)
	for dec.More() {
		tok, err := dec.Token()
		if err != nil {
			return []Problem{syntaxProblem(path, err)}, false
		}
		name, _ := tok.(string)
		var raw json.RawMessage
		if err := dec.Decode(&raw); err != nil {
			return []Problem{syntaxProblem(path, err)}, false
		}
		field := name
		if path != "" {
			field = path + "." + name
		}
		dst := fields[name]
		switch {
		case dst == nil:
			problems = append(problems, Problem{Field: field, Message: "unknown field"})
		case seen[name]:
			problems = append(problems, Problem{Field: field, Message: "is given more than once"})
		default:
			if err := json.Unmarshal(raw, dst); err != nil {
				problems = append(problems, Problem{Field: field, Message: typeMessage(err)})
			}
		}
		seen[name] = true
	}
	if _, err := dec.Token(); err != nil {
		return []Problem{syntaxProblem(path, err)}, false
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return []Problem{{Field: path, Message: "has data after the JSON object"}}, false
	}
	return problems, true
}

func syntaxProblem(path string, err error) Problem {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return Problem{Field: path, Message: "is incomplete JSON"}
	}
	return Problem{Field: path, Message: "is not valid JSON: " + err.Error()}
}

func typeMessage(err error) string {
	var typeErr *json.UnmarshalTypeError
	if !errors.As(err, &typeErr) {
		return err.Error()
	}
	switch typeErr.Type.Kind().String() {
	case "bool":
		return "must be true or false"
	case "int":
		return "must be a whole number"
	default:
		return "must be a string"
	}
}
