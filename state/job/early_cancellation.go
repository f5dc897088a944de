package job

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/state/table"
)

// MinEarlyCancellationTime is how long a row in TableEarlyCancellations is kept at least after the
// last cancellation. An entry tries to record a job for at most two minutes, and the store carries
// a call out some seconds late at most.
const MinEarlyCancellationTime = 10 * time.Minute

// EarlyCancellations is the value of a row in TableEarlyCancellations: the cancellations of an
// ID under which no job was recorded. It is immutable.
//
// A caller that has been told that there is no such job must not see the job start later, for
// example because the store carries out the write of its row late. A submission is therefore
// recorded only under the condition that this row has not changed since the submission was
// checked against it.
type EarlyCancellations struct {
	Calls []EarlyCancellation // at most one for each workspace
}

// EarlyCancellation is the last cancellation of an ID by the callers of one workspace.
type EarlyCancellation struct {
	Workspace string `json:",omitempty"` // of the caller; empty if it had none
	RequestID string `json:",omitempty"` // of the call; empty if it had none
	Token     string // random, identifies the call
	// AtMillis is the time of the store's monotonic clock shortly before the row was written.
	AtMillis int64
}

// With returns a copy of e with a cancellation, which replaces the earlier one of its workspace.
func (e EarlyCancellations) With(c EarlyCancellation) EarlyCancellations {
	calls := slices.DeleteFunc(slices.Clone(e.Calls), func(x EarlyCancellation) bool { return x.Workspace == c.Workspace })
	return EarlyCancellations{Calls: append(calls, c)}
}

// HasToken reports whether e has the cancellation that the token identifies.
func (e EarlyCancellations) HasToken(token string) bool {
	return slices.ContainsFunc(e.Calls, func(c EarlyCancellation) bool { return c.Token == token })
}

// Last returns the time of the last cancellation on the store's monotonic clock.
func (e EarlyCancellations) Last() time.Duration {
	last := int64(0)
	for _, c := range e.Calls {
		last = max(last, c.AtMillis)
	}
	return time.Duration(last) * time.Millisecond
}

// Encode returns the value of the row.
func (e EarlyCancellations) Encode() []byte { return table.EncodeValue(e) }

// DecodeEarlyCancellations decodes the value of a row in TableEarlyCancellations. The value of a
// row that does not exist, which is empty, has no cancellations.
func DecodeEarlyCancellations(value []byte) (EarlyCancellations, error) {
	if len(value) == 0 {
		return EarlyCancellations{}, nil
	}
	var e EarlyCancellations
	if err := json.Unmarshal(value, &e); err != nil {
		return EarlyCancellations{}, fmt.Errorf("decode early cancellations: %w", err)
	}
	return e, nil
}
