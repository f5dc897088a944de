package worker

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/workerapi"
	"github.com/medlargrade/medlargrade/transport/httpcall"
)

// Times of calls if the settings say nothing.
const (
	DefaultTimeout       = 2 * time.Second
	DefaultActionTimeout = 10 * time.Second // longer than the 3 s that a checkpoint may take
)

// Settings of a Client.
type Settings struct {
	Address       string        // base URL, such as "http://127.0.0.1:8500"
	Timeout       time.Duration // of a call, beyond the wait that it asks for; 0 for DefaultTimeout
	ActionTimeout time.Duration // of Checkpoint and Stop, which wait for the worker; 0 for DefaultActionTimeout
}

// Task is a task to launch.
type Task struct {
	ID        string // launched once only
	Slots     int
	Held      bool // waits for Release
	Payload   []byte
	Lease     time.Duration // in whole milliseconds, at least one
	Limit     time.Duration // the worker stops the task after running this long; 0 for no limit
	Workspace string
	Kind      string
}

// Result is what the worker tells of a task. A task that is neither Done nor
// Stopped is held or running.
type Result struct {
	Done       bool          // ran to its end
	Failed     bool          // with Done: the task failed by itself
	Error      string        // of a failed task
	Body       []byte        // of a task that did not fail
	Stopped    bool          // ended before its end
	StopReason string        // with Stopped: one of workerapi's
	NeverRan   bool          // with Stopped: no user code ran
	Held       bool          // waits for its release
	RunTime    time.Duration // since the start of user code
	Checkpoint time.Duration // work that the last checkpoint holds; 0 without one
}

// Usage is the worker's use at a moment in the past.
type Usage struct {
	Slots     int // of the worker
	UsedSlots int // by held and running tasks
	Held      int // tasks
	Running   int // tasks
	Age       time.Duration
}

// Client reaches one worker. It is safe for concurrent use.
type Client struct {
	http     *http.Client
	settings Settings
}

// New returns a client that calls through hc.
func New(hc *http.Client, s Settings) *Client {
	if s.Timeout <= 0 {
		s.Timeout = DefaultTimeout
	}
	if s.ActionTimeout <= 0 {
		s.ActionTimeout = DefaultActionTimeout
	}
	s.Address = strings.TrimSuffix(s.Address, "/")
	return &Client{http: hc, settings: s}
}

// Launch gives a task to the worker.
func (c *Client) Launch(ctx context.Context, t Task) error {
	_, err := c.LaunchAndWait(ctx, t, 0)
	return err
}

// LaunchAndWait gives a task to the worker and waits for its end, up to wait,
// in one round trip.
func (c *Client) LaunchAndWait(ctx context.Context, t Task, wait time.Duration) (Result, error) {
	req := workerapi.LaunchRequest{
		ID:          t.ID,
		Slots:       t.Slots,
		Held:        t.Held,
		LeaseMillis: t.Lease.Milliseconds(),
		LimitMillis: t.Limit.Milliseconds(),
		Payload:     t.Payload,
		WaitMillis:  wait.Milliseconds(),
		Workspace:   t.Workspace,
		Kind:        t.Kind,
	}
	return c.task(ctx, "launch", t.ID, call{path: workerapi.PathTasks, body: req, timeout: c.settings.Timeout + max(wait, 0)})
}

// Release starts a held task. It succeeds if the task was released before,
// unless it has been stopped.
func (c *Client) Release(ctx context.Context, id string) error {
	return c.action(ctx, "release", id, workerapi.ActionRelease, c.settings.Timeout)
}

// Wait waits for the end of a task, up to limit, and returns what the worker
// tells of it.
func (c *Client) Wait(ctx context.Context, id string, limit time.Duration) (Result, error) {
	path := taskPath(id) + "?" + workerapi.QueryWait + "=" + strconv.FormatInt(limit.Milliseconds(), 10)
	return c.task(ctx, "wait", id, call{method: http.MethodGet, path: path, timeout: c.settings.Timeout + max(limit, 0)})
}

// Checkpoint makes the worker keep the work that a running task has done, and
// returns when it has.
func (c *Client) Checkpoint(ctx context.Context, id string) error {
	return c.action(ctx, "checkpoint", id, workerapi.ActionCheckpoint, c.settings.ActionTimeout)
}

// Throttle slows a running task down.
func (c *Client) Throttle(ctx context.Context, id string) error {
	return c.action(ctx, "throttle", id, workerapi.ActionThrottle, c.settings.Timeout)
}

// Stop stops a task and returns when it has ended. It succeeds if the task
// ended before; Wait tells how.
func (c *Client) Stop(ctx context.Context, id string) error {
	return c.action(ctx, "stop", id, workerapi.ActionStop, c.settings.ActionTimeout)
}

// Renew renews the leases of tasks and returns those that are unknown to the
// worker or stopped.
func (c *Client) Renew(ctx context.Context, ids []string, lease time.Duration) (lost []string, err error) {
	if len(ids) == 0 {
		return nil, nil
	}
	var reply workerapi.LeaseReply
	req := workerapi.LeaseRequest{IDs: ids, LeaseMillis: lease.Milliseconds()}
	err = c.do(ctx, call{path: workerapi.PathLeases, body: req, timeout: c.settings.Timeout}, &reply)
	return reply.Lost, outcome.Step("renew leases", c.settings.Address, err)
}

// Usage returns the worker's use as it reports it.
func (c *Client) Usage(ctx context.Context) (Usage, error) {
	var u workerapi.Usage
	err := c.do(ctx, call{method: http.MethodGet, path: workerapi.PathUsage, timeout: c.settings.Timeout}, &u)
	if err != nil {
		return Usage{}, outcome.Step("read usage", c.settings.Address, err)
	}
	return Usage{
		Slots: u.Slots, UsedSlots: u.UsedSlots, Held: u.Held, Running: u.Running,
		Age: time.Duration(u.AgeMillis) * time.Millisecond,
	}, nil
}

func (c *Client) action(ctx context.Context, step, id, action string, timeout time.Duration) error {
	_, err := c.task(ctx, step, id, call{path: taskPath(id) + action, timeout: timeout})
	return err
}

// task makes a call that is answered with the state of one task.
func (c *Client) task(ctx context.Context, step, id string, cl call) (Result, error) {
	var reply workerapi.TaskReply
	err := c.do(ctx, cl, &reply)
	var refused *RefusedError
	if errors.As(err, &refused) && refused.Code == workerapi.CodeDuplicate {
		err = &DuplicateError{ID: id}
	}
	if err == nil && reply.ID != id {
		err = &LostAnswerError{Err: fmt.Errorf("reply is for task %q", reply.ID)}
	}
	if err != nil {
		return Result{}, outcome.Step(step+" "+id, c.settings.Address, err)
	}
	return Result{
		Done:       reply.State == workerapi.StateDone,
		Failed:     reply.Failed,
		Error:      reply.Error,
		Body:       reply.Body,
		Stopped:    reply.State == workerapi.StateStopped,
		StopReason: reply.Stop,
		NeverRan:   reply.NeverRan,
		Held:       reply.State == workerapi.StateHeld,
		RunTime:    time.Duration(reply.RunMillis) * time.Millisecond,
		Checkpoint: time.Duration(reply.CheckpointMillis) * time.Millisecond,
	}, nil
}

func taskPath(id string) string { return workerapi.PathTasks + "/" + url.PathEscape(id) }

// call is one call to the worker; the method is POST if it is empty.
type call struct {
	method  string
	path    string
	body    any
	timeout time.Duration
}

func (c *Client) do(ctx context.Context, cl call, into any) error {
	req := httpcall.Request{
		Method:  cl.method,
		URL:     c.settings.Address + cl.path,
		Timeout: cl.timeout,
		MaxBody: workerapi.MaxBody,
	}
	if req.Method == "" {
		req.Method = http.MethodPost
	}
	if cl.body != nil {
		body, err := json.Marshal(cl.body)
		if err != nil {
			return &RefusedError{Err: err}
		}
		req.Body = body
		req.Header = http.Header{"Content-Type": {"application/json"}}
	}
	reply, err := httpcall.Do(ctx, c.http, req)
	if err != nil {
		var ce *httpcall.Error
		if errors.As(err, &ce) && !ce.Sent {
			return &RefusedError{Err: err}
		}
		return &LostAnswerError{Err: err}
	}
	return decode(reply, into)
}

// decode classifies a whole reply. A refusal without the protocol's code comes
// from something else than the worker and proves nothing.
func decode(reply httpcall.Reply, into any) error {
	if reply.Status == http.StatusOK {
		if err := json.Unmarshal(reply.Body, into); err != nil {
			return &LostAnswerError{Err: fmt.Errorf("malformed reply: %w", err)}
		}
		return nil
	}
	var e workerapi.ErrorReply
	if reply.Status < http.StatusBadRequest || json.Unmarshal(reply.Body, &e) != nil || e.Code == "" {
		return &LostAnswerError{Err: fmt.Errorf("status %d", reply.Status)}
	}
	err := errors.New(e.Error)
	if e.Code == workerapi.CodeUnknown {
		err = fmt.Errorf("%w: %s", ErrUnknownTask, e.Error)
	}
	return &RefusedError{Code: e.Code, Err: err}
}
