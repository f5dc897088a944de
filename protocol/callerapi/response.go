package callerapi

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"time"
	"unicode/utf8"
)

// Outcome tells how a request ended.
type Outcome string

// Outcomes.
const (
	Ran     Outcome = "Ran"     // ended, with the result or a task's error
	NotRun  Outcome = "NotRun"  // no worker ran any part
	Unknown Outcome = "Unknown" // may have run in whole or in part
)

// State is the state of a job that has not ended.
type State string

// States.
const (
	Queued     State = "Queued"     // no task runs yet
	Dispatched State = "Dispatched" // tasks have been started
)

// Response describes a job: Outcome is set if it has ended, otherwise State. A rejected
// submission has Outcome NotRun and Errors.
type Response struct {
	Outcome    Outcome   `json:",omitempty"`
	State      State     `json:",omitempty"`
	Workspace  string    `json:",omitempty"`
	Key        string    `json:",omitempty"`
	Job        string    `json:",omitempty"`
	Answer     *Answer   `json:",omitempty"` // set if Outcome is Ran
	Reason     string    `json:",omitempty"` // set if Outcome is NotRun; one of the reasons of package outcome
	Detail     string    `json:",omitempty"`
	RetryAfter Duration  `json:",omitempty"` // when to try again; missing if a retry is pointless
	Elapsed    Duration  `json:",omitempty"` // from the first start of a task to the job's final state
	Errors     []Problem `json:",omitempty"` // set if the request is invalid
}

// Ended reports whether the response has an outcome.
func (r Response) Ended() bool { return r.Outcome != "" }

// Answer is the complete result of a job that ran.
type Answer struct {
	Parts  []json.RawMessage // one for each member of the gang, in the order of members
	Failed bool              `json:",omitempty"` // a task failed with an error of its own
	Error  string            `json:",omitempty"` // of the first failed task
}

// List is a page of jobs, sorted by key.
type List struct {
	Jobs  []Response
	After string `json:",omitempty"` // parameter after of the request for the next page; missing on the last page
}

// ErrorBody is the body of an error response to a request that is not a submission.
type ErrorBody struct {
	Errors []Problem
}

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration: %w", err)
	}
	*d = Duration(v)
	return nil
}

// Base64Prefix precedes the base64 encoding of a part that is neither JSON nor
// UTF-8.
const Base64Prefix = "data:;base64,"

// EncodeParts returns the parts of an answer as JSON values. A part that is not
// valid JSON becomes a JSON string; if it is not UTF-8 either, the string is
// Base64Prefix and its base64 encoding, because a JSON string can't hold arbitrary
// bytes.
func EncodeParts(bodies [][]byte) []json.RawMessage {
	parts := make([]json.RawMessage, 0, len(bodies))
	for _, b := range bodies {
		switch {
		case utf8.Valid(b) && json.Valid(b):
			parts = append(parts, b)
		case utf8.Valid(b):
			parts = append(parts, quoteJSON(string(b)))
		default:
			parts = append(parts, quoteJSON(Base64Prefix+base64.StdEncoding.EncodeToString(b)))
		}
	}
	return parts
}

// quoteJSON returns s, which is valid UTF-8, as a JSON string.
func quoteJSON(s string) json.RawMessage {
	var buf bytes.Buffer
	enc := json.NewEncoder(&buf)
	enc.SetEscapeHTML(false)
	_ = enc.Encode(s) // Encoding a string can't fail.
	return bytes.TrimSuffix(buf.Bytes(), []byte("\n"))
}
