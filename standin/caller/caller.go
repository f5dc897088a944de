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

// Queue is where a caller submits its jobs.
type Queue struct {
	Host   string
	Prefix string // of the path
	Key    string // API key of the workspace
}

// Job is a job as a caller submits it.
type Job struct {
	ID      string `json:"-"`
	Payload string `json:"Spec"`
	Steps   []Step `json:"Steps"`
}

// Step is a number of equal tasks.
type Step struct {
	Tasks          int   `json:"Count"`
	CPU            int   `json:"Cpu,omitempty"` // thousandths of a core
	MemoryMB       int   `json:"MemMb,omitempty"`
	Accelerators   int   `json:"Gpu,omitempty"`
	EstimateMillis int64 `json:"EstMs,omitempty"`
	After          []int `json:"After,omitempty"`
	Gang           bool  `json:"Gang,omitempty"`
	Checkpointable bool  `json:"Checkpointable,omitempty"`
}

// Response is a whole answer.
type Response struct {
	Status     int
	RetryAfter time.Duration // 0 if the answer has none
	State      string        // of a job; empty if the answer has none
}

// OK reports whether the call succeeded.
func (r Response) OK() bool { return r.Status/100 == 2 }

// maxAnswer bounds the body of an answer, in bytes.
const maxAnswer = 1 << 20

// Client makes calls. It is safe for concurrent use.
type Client struct {
	client http.Client
}

// New returns a client that uses the connections of a transport.
func New(t http.RoundTripper) *Client { return &Client{http.Client{Transport: t}} }

// Submit submits a job to the entry at an address.
func (c *Client) Submit(ctx context.Context, address string, q Queue, j Job) (Response, error) {
	body, err := json.Marshal(j)
	if err != nil {
		return Response{}, fmt.Errorf("encode job: %w", err)
	}
	return c.call(ctx, http.MethodPost, address, q, j.ID, body)
}

// State looks a job up.
func (c *Client) State(ctx context.Context, address string, q Queue, id string) (Response, error) {
	return c.call(ctx, http.MethodGet, address, q, id, nil)
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, address string, q Queue, id string) (Response, error) {
	return c.call(ctx, http.MethodDelete, address, q, id, nil)
}

// Waiting asks for the number of jobs that wait in a queue.
func (c *Client) Waiting(ctx context.Context, address string, q Queue) (Response, error) {
	return c.call(ctx, http.MethodGet, address, q, "", nil)
}

func (c *Client) call(ctx context.Context, method, address string, q Queue, id string, body []byte) (Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+q.Prefix+id, bytes.NewReader(body))
	if err != nil {
		return Response{}, fmt.Errorf("make request: %w", err)
	}
	req.Host = q.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Token "+q.Key)
	if end, ok := ctx.Deadline(); ok {
		req.Header.Set("Deadline-Ms", strconv.FormatInt(max(time.Until(end).Milliseconds(), 0), 10))
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return Response{}, fmt.Errorf("call entry %s: %w", address, err)
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return Response{}, fmt.Errorf("read answer of entry %s: %w", address, err)
	}
	out := Response{Status: resp.StatusCode}
	if n, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		out.RetryAfter = time.Duration(n) * time.Second
	}
	var m struct {
		State string `json:"State"`
	}
	if err := json.Unmarshal(answer, &m); err != nil {
		return Response{}, fmt.Errorf("decode answer of entry %s: %w", address, err)
	}
	out.State = m.State
	return out, nil
}
