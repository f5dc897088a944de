package caller

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
)

// withOutcome returns resp with the fields of the outcome set. If o is nil, it
// returns resp unchanged.
func withOutcome(resp callerapi.Response, o outcome.Outcome) callerapi.Response {
	if o == nil {
		return resp
	}
	resp.State = ""
	switch o := o.(type) {
	case outcome.Ran:
		resp.Outcome = callerapi.Ran
		resp.Answer = &callerapi.Answer{
			Parts:  callerapi.EncodeParts(o.Answer.Parts),
			Failed: o.Answer.Failed,
			Error:  o.Answer.Error,
		}
		resp.Elapsed = callerapi.Duration(o.Elapsed)
	case outcome.NotRun:
		resp.Outcome = callerapi.NotRun
		resp.Reason = string(o.Reason)
		resp.Detail = o.Detail
		resp.RetryAfter = callerapi.Duration(o.RetryAfter)
	case outcome.Unknown:
		resp.Outcome = callerapi.Unknown
		resp.Detail = o.Detail
		resp.RetryAfter = callerapi.Duration(o.RetryAfter)
	}
	return resp
}

// submitStatus returns the status code for the response to a submission.
func submitStatus(resp callerapi.Response) int {
	switch resp.Outcome {
	case "":
		return http.StatusAccepted
	case callerapi.Unknown:
		if resp.RetryAfter > 0 {
			return http.StatusServiceUnavailable
		}
		return http.StatusOK
	case callerapi.NotRun:
	default:
		return http.StatusOK
	}
	switch outcome.Reason(resp.Reason) {
	case outcome.ReasonInvalid:
		return http.StatusBadRequest
	case outcome.ReasonKeyConflict, outcome.ReasonCanceled:
		return http.StatusConflict
	case outcome.ReasonNeverFits:
		return http.StatusUnprocessableEntity
	case outcome.ReasonQueueFull, outcome.ReasonRetriesSpent:
		return http.StatusTooManyRequests
	case outcome.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}

// setRetryAfter sets the Retry-After header in whole seconds, rounded up and at
// least 1.
func setRetryAfter(w http.ResponseWriter, d time.Duration) {
	seconds := max(1, (d+time.Second-1)/time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
}

// writeJSON responds with a JSON body and bounds the write by WriteTimeout.
func (h *handler) writeJSON(w http.ResponseWriter, code int, body any) {
	err := http.NewResponseController(w).SetWriteDeadline(time.Now().Add(WriteTimeout))
	if err == nil || errors.Is(err, http.ErrNotSupported) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(code)
		enc := json.NewEncoder(w)
		enc.SetEscapeHTML(false)
		err = enc.Encode(body)
	}
	if err != nil {
		h.log.Debug().Int("Event", EventWriteFailed).Err(err).Msg("response not written")
	}
}
