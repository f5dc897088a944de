package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

// Queue identifies a queue and the workspace that submits jobs to it.
type Queue struct {
	Host   string
	Prefix string // path prefix
	Key    string // API key of the workspace
}

// Job is a job to submit.
type Job struct {
	ID      string `json:"-"`
	Payload string `json:"Spec"`
	Steps   []Step `json:"Steps"`
}

// Step is a step of a job. All its tasks are equal.
type Step struct {
	Tasks          int    `json:"Count"`
	CPU            int    `json:"Cpu,omitempty"` // thousandths of a core
	MemoryMB       int    `json:"MemMb,omitempty"`
	Accelerators   int    `json:"Gpu,omitempty"`
	EstimateMillis int64  `json:"EstMs,omitempty"`
	After          []int  `json:"After,omitempty"`
	Gang           bool   `json:"Gang,omitempty"`
	Checkpointable bool   `json:"Checkpointable,omitempty"`
	Label          string `json:"Requires,omitempty"` // that the workers must have; empty for none
}

// Response is a complete response of an entry.
type Response struct {
	Status     int           // HTTP status code
	RetryAfter time.Duration // 0 if the response has none
	State      string        // state of the job; empty if the response has none
}

// OK reports whether the call succeeded.
func (r Response) OK() bool { return r.Status/100 == 2 }

// maxResponseBytes bounds the body of a response.
const maxResponseBytes = 1 << 20

// Client calls entries. It is safe for concurrent use.
type Client struct {
	httpClient http.Client
}

// New returns a client that sends its requests through t.
func New(t http.RoundTripper) *Client { return &Client{http.Client{Transport: t}} }

// Submit submits j to the entry at address.
func (c *Client) Submit(ctx context.Context, address string, q Queue, j Job) (Response, error) {
	body, err := json.Marshal(j)
	if err != nil {
		return Response{}, fmt.Errorf("encode job: %w", err)
	}
	return c.call(ctx, http.MethodPost, address, q, j.ID, body)
}

// State looks up a job.
func (c *Client) State(ctx context.Context, address string, q Queue, id string) (Response, error) {
	return c.call(ctx, http.MethodGet, address, q, id, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, address string, q Queue, id string) (Response, error) {
	return c.call(ctx, http.MethodDelete, address, q, id, nil)
}

// ProbeQueue requests the number of jobs that wait in a queue and returns only the
// status, which shows whether the entry serves calls and accepts the queue's API key.
func (c *Client) ProbeQueue(ctx context.Context, address string, q Queue) (Response, error) {
	return c.call(ctx, http.MethodGet, address, q, "", nil)
}

func (c *Client) call(ctx context.Context, method, address string, q Queue, id string, body []byte) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+q.Prefix+id, bytes.NewReader(body))
	if err != nil {
		return Response{}, fmt.Errorf("create request: %w", err)
	}
	req.Host = q.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Token "+q.Key)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set("Deadline-Ms", strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 0), 10))
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return Response{}, fmt.Errorf("call entry %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return Response{}, fmt.Errorf("read response of entry %s: %w", address, err)
	}
	out := Response{Status: resp.StatusCode}
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		out.RetryAfter = time.Duration(n) * time.Second
	}
	var m struct {
		State string `json:"State"`
	}
	if err := json.Unmarshal(respBody, &m); err != nil {
		return Response{}, fmt.Errorf("decode response of entry %s: %w", address, err)
	}
	out.State = m.State
	return out, nil
}
