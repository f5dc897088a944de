package caller

import (
	"context"
	"errors"
	"net/http"
	"os"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
)

// Handler returns a handler that serves the callers' API from the service.
func Handler(svc Service, log zerolog.Logger) http.Handler {
	h := &handler{svc: svc, log: log}
	r := chi.NewRouter()
	r.Post("/v1/jobs", h.submit)
	r.Get("/v1/workspaces/{workspace}/jobs", h.list)
	r.Get("/v1/workspaces/{workspace}/jobs/{key}", h.lookup)
	r.Delete("/v1/workspaces/{workspace}/jobs/{key}", h.cancel)
	r.NotFound(func(w http.ResponseWriter, _ *http.Request) {
		h.writeProblem(w, http.StatusNotFound, "", "no such path")
	})
	r.MethodNotAllowed(func(w http.ResponseWriter, _ *http.Request) {
		h.writeProblem(w, http.StatusMethodNotAllowed, "", "method is not allowed on this path")
	})
	return r
}

type handler struct {
	svc Service
	log zerolog.Logger
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	q := newQuery(r, "wait")
	wait := q.wait(DefaultWait)
	req, err := callerapi.Decode(r.Body)
	var invalid *callerapi.InvalidError
	switch {
	case errors.Is(err, callerapi.ErrTooLarge):
		h.rejectSubmission(w, http.StatusRequestEntityTooLarge, append(q.problems, callerapi.Problem{Message: err.Error()}))
		return
	case errors.As(err, &invalid):
		h.rejectSubmission(w, http.StatusBadRequest, append(q.problems, invalid.Problems...))
		return
	case errors.Is(err, os.ErrDeadlineExceeded):
		h.rejectSubmission(w, http.StatusRequestTimeout, append(q.problems, callerapi.Problem{Message: "body did not arrive in time"}))
		return
	case err != nil:
		h.rejectSubmission(w, http.StatusBadRequest, append(q.problems, callerapi.Problem{Message: err.Error()}))
		return
	case len(q.problems) > 0:
		h.rejectSubmission(w, http.StatusBadRequest, q.problems)
		return
	}
	resp, err := h.svc.Submit(r.Context(), req, wait)
	switch {
	case errors.As(err, &invalid):
		h.rejectSubmission(w, http.StatusBadRequest, invalid.Problems)
	case err != nil && r.Context().Err() != nil:
		// The caller has disconnected.
	case err != nil:
		h.logFailure("submit", err)
		h.writeJSON(w, http.StatusInternalServerError, callerapi.Response{
			Outcome: callerapi.Unknown, Workspace: req.Workspace, Key: req.Key, Detail: "internal error",
		})
	default:
		code := submitStatus(resp)
		if code == http.StatusTooManyRequests || code == http.StatusServiceUnavailable {
			setRetryAfter(w, time.Duration(resp.RetryAfter))
		}
		h.writeJSON(w, code, resp)
	}
}

func (h *handler) lookup(w http.ResponseWriter, r *http.Request) {
	q := newQuery(r, "wait")
	workspace, key, wait := q.pathName("workspace"), q.pathName("key"), q.wait(0)
	if len(q.problems) > 0 {
		h.writeJSON(w, http.StatusBadRequest, callerapi.ErrorBody{Errors: q.problems})
		return
	}
	resp, err := h.svc.Lookup(r.Context(), workspace, key, wait)
	h.writeJob(r.Context(), w, "look up", resp, err)
}

func (h *handler) cancel(w http.ResponseWriter, r *http.Request) {
	q := newQuery(r, "wait")
	workspace, key, wait := q.pathName("workspace"), q.pathName("key"), q.wait(0)
	if len(q.problems) > 0 {
		h.writeJSON(w, http.StatusBadRequest, callerapi.ErrorBody{Errors: q.problems})
		return
	}
	resp, err := h.svc.Cancel(r.Context(), workspace, key)
	if err == nil && !resp.Ended() && wait > 0 {
		resp, err = h.svc.Lookup(r.Context(), workspace, key, wait)
	}
	h.writeJob(r.Context(), w, "cancel", resp, err)
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	q := newQuery(r, "after", "limit")
	workspace, after, limit := q.pathName("workspace"), q.after(), q.limit()
	if len(q.problems) > 0 {
		h.writeJSON(w, http.StatusBadRequest, callerapi.ErrorBody{Errors: q.problems})
		return
	}
	page, err := h.svc.List(r.Context(), workspace, after, limit)
	if err != nil {
		h.writeError(r.Context(), w, "list", err)
		return
	}
	if page.Jobs == nil {
		page.Jobs = []callerapi.Response{}
	}
	h.writeJSON(w, http.StatusOK, page)
}

// writeJob responds with the description of an existing job or with err.
func (h *handler) writeJob(ctx context.Context, w http.ResponseWriter, op string, resp callerapi.Response, err error) {
	switch {
	case err != nil:
		h.writeError(ctx, w, op, err)
	case resp.Ended():
		h.writeJSON(w, http.StatusOK, resp)
	default:
		h.writeJSON(w, http.StatusAccepted, resp)
	}
}

// writeError responds to a failed request that is not a submission.
func (h *handler) writeError(ctx context.Context, w http.ResponseWriter, op string, err error) {
	var invalid *callerapi.InvalidError
	switch {
	case errors.Is(err, callerapi.ErrNotFound):
		h.writeProblem(w, http.StatusNotFound, "key", err.Error())
	case errors.As(err, &invalid):
		h.writeJSON(w, http.StatusBadRequest, callerapi.ErrorBody{Errors: invalid.Problems})
	case ctx.Err() != nil:
		// The caller has disconnected.
	case errors.Is(err, callerapi.ErrUnavailable):
		h.logFailure(op, err)
		w.Header().Set("Retry-After", "5")
		h.writeProblem(w, http.StatusServiceUnavailable, "", callerapi.ErrUnavailable.Error())
	default:
		h.logFailure(op, err)
		h.writeProblem(w, http.StatusInternalServerError, "", "internal error")
	}
}

// rejectSubmission responds to an invalid submission.
func (h *handler) rejectSubmission(w http.ResponseWriter, code int, problems []callerapi.Problem) {
	h.writeJSON(w, code, callerapi.Response{
		Outcome: callerapi.NotRun, Reason: string(outcome.ReasonInvalid), Errors: problems,
	})
}

func (h *handler) writeProblem(w http.ResponseWriter, code int, field, message string) {
	h.writeJSON(w, code, callerapi.ErrorBody{Errors: []callerapi.Problem{{Field: field, Message: message}}})
}

func (h *handler) logFailure(op string, err error) {
	h.log.Error().Int("Event", EventServiceFailed).Str("Step", op).Err(err).Msg("service failed")
}
