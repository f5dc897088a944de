package process

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/transport/operator"
)

// place answers the request of an operator where a job would be placed.
func (t target) place(body []byte) (any, error) {
	var r shard.PlaceRequest
	if err := json.Unmarshal(body, &r); err != nil || (r.ID == "") == (r.Job == nil) {
		return nil, &operator.StatusError{Status: http.StatusBadRequest, Err: errors.New("the body must have either an ID or a Job")}
	}
	reply, err := t.Candidate.Place(r)
	switch {
	case errors.Is(err, shard.ErrNotPlanner), errors.Is(err, planner.ErrNotLoaded):
		return nil, &operator.StatusError{Status: http.StatusServiceUnavailable, Err: err}
	case errors.Is(err, planner.ErrNotKnown):
		return nil, &operator.StatusError{Status: http.StatusNotFound, Err: err}
	case err != nil:
		return nil, &operator.StatusError{Status: http.StatusConflict, Err: err}
	}
	return reply, nil
}
