package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
)

// maxResponseBytes limits the size of a response. It leaves room for an answer of
// up to 4 MiB and its encoding.
const maxResponseBytes = 8 << 20

// Client calls the callers' API of an entry. It does not retry.
type Client struct {
	Base string       // URL of the entry, such as "http://10.0.0.1:8080"
	HTTP *http.Client // nil means http.DefaultClient
}

// StatusError reports a response that does not describe a job.
type StatusError struct {
	Status   int // HTTP status code
	Problems []callerapi.Problem
}

func (e *StatusError) Error() string {
	text := fmt.Sprintf("status %d", e.Status)
	if len(e.Problems) > 0 {
		text += ": " + (&callerapi.InvalidError{Problems: e.Problems}).Error()
	}
	return text
}

// Is reports whether target is callerapi.ErrNotFound and the status is 404.
func (e *StatusError) Is(target error) bool {
	return target == callerapi.ErrNotFound && e.Status == http.StatusNotFound
}

// Submit submits a request and waits up to wait for the job to end. A response
// with an outcome or a state is not an error, whatever its status code. After an
// error the request may or may not have run.
func (c Client) Submit(ctx context.Context, req callerapi.Request, wait time.Duration) (callerapi.Response, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return callerapi.Response{}, outcome.WrapCall("submit", c.Base, err)
	}
	return c.doJob(ctx, "submit", http.MethodPost, "/v1/jobs?"+waitQuery(wait), body)
}

// Lookup waits up to wait for a job to end and describes it. For a job that does
// not exist the error matches callerapi.ErrNotFound.
func (c Client) Lookup(ctx context.Context, workspace, key string, wait time.Duration) (callerapi.Response, error) {
	return c.doJob(ctx, "look up", http.MethodGet, jobPath(workspace, key)+"?"+waitQuery(wait), nil)
}

// Cancel requests the cancellation of a job and describes the job. For a job that
// does not exist the error matches callerapi.ErrNotFound.
func (c Client) Cancel(ctx context.Context, workspace, key string) (callerapi.Response, error) {
	return c.doJob(ctx, "cancel", http.MethodDelete, jobPath(workspace, key), nil)
}

// List returns up to limit jobs of a workspace with keys after the given one.
func (c Client) List(ctx context.Context, workspace, after string, limit int) (callerapi.List, error) {
	q := url.Values{"limit": {strconv.Itoa(limit)}}
	if after != "" {
		q.Set("after", after)
	}
	var page callerapi.List
	code, body, err := c.do(ctx, http.MethodGet, "/v1/workspaces/"+url.PathEscape(workspace)+"/jobs?"+q.Encode(), nil)
	if err == nil && code != http.StatusOK {
		err = statusError(code, body)
	}
	if err == nil {
		err = json.Unmarshal(body, &page)
	}
	return page, outcome.WrapCall("list", c.Base, err)
}

// doJob sends a request whose response describes a job.
func (c Client) doJob(ctx context.Context, op, method, path string, body []byte) (callerapi.Response, error) {
	code, data, err := c.do(ctx, method, path, body)
	if err != nil {
		return callerapi.Response{}, outcome.WrapCall(op, c.Base, err)
	}
	var resp callerapi.Response
	if err := json.Unmarshal(data, &resp); err != nil || resp.Outcome == "" && resp.State == "" {
		return callerapi.Response{}, outcome.WrapCall(op, c.Base, statusError(code, data))
	}
	return resp, nil
}

// do sends a request and returns the status code and the whole body.
func (c Client) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	hc := c.HTTP
	if hc == nil {
		hc = http.DefaultClient
	}
	resp, err := hc.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil {
		return 0, nil, fmt.Errorf("read response: %w", err)
	}
	if len(data) > maxResponseBytes {
		return 0, nil, fmt.Errorf("response exceeds %d bytes", maxResponseBytes)
	}
	return resp.StatusCode, data, nil
}

func statusError(code int, body []byte) error {
	var e callerapi.ErrorBody
	_ = json.Unmarshal(body, &e) // A body of another form lists no problems.
	return &StatusError{Status: code, Problems: e.Errors}
}

func jobPath(workspace, key string) string {
	return "/v1/workspaces/" + url.PathEscape(workspace) + "/jobs/" + url.PathEscape(key)
}

func waitQuery(wait time.Duration) string {
	return url.Values{"wait": {wait.String()}}.Encode()
}
