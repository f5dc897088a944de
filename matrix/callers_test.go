package matrix

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/medlargrade/medlargrade/protocol/callerapi"
	"github.com/medlargrade/medlargrade/transport/caller"
)

// livenessBound is the time after the end of the last fault within which every
// request must have an outcome, derived from docs/design.md. In the worst case its
// terms follow one another. The run times of the request's attempts are added to it.
const (
	takeoverTime      = 5 * time.Second  // until the site has a planner again
	storeProbeTime    = 2 * time.Second  // until entries detect that the store answers again
	orderRetryTime    = 3 * time.Second  // until orders with an unknown effect are sent again
	workerBackoffTime = 16 * time.Second // until workers that failed get work again
	workerLossTime    = 15 * time.Second // until a worker that has not returned is considered lost
	callerRetryTime   = 8 * time.Second  // delays between a caller's attempts
	livenessBound     = takeoverTime + storeProbeTime + orderRetryTime + workerBackoffTime + workerLossTime + callerRetryTime
)

// settleTime is how long after the last outcome runs may remain on workers: the
// order to stop is repeated after a second, and a stop takes time.
const settleTime = 5 * time.Second

const (
	syncWait   = 40 * time.Second // of submissions that wait for the job to end
	lookupWait = 5 * time.Second
	// callTimeoutMargin is added to the wait of a call to get its timeout.
	callTimeoutMargin = 15 * time.Second
)

// startRequest starts performRequest in a goroutine of the site.
func (s *Site) startRequest(req request) {
	s.wg.Go(func() { s.performRequest(req) })
}

// performRequest repeats a request at one entry after another, as a caller does,
// until the request has an outcome or the liveness bound has passed.
func (s *Site) performRequest(req request) {
	c := &retryingCaller{s: s, req: req, client: s.net.Host(callerHost).HTTPClient()}
	defer c.client.CloseIdleConnections()
	if !c.run() {
		s.hist.update(func(h *history) { h.pending = append(h.pending, req.label) })
	}
}

// retryingCaller makes the calls of one request.
type retryingCaller struct {
	s        *Site
	req      request
	client   *http.Client
	cancels  bool // the calls are cancellations
	attempts int
}

// overdue reports whether the liveness bound of a request that began at since has
// passed.
func (s *Site) overdue(req request, since time.Time) bool {
	var end time.Time
	s.hist.update(func(h *history) { end = h.lastFaultEnd })
	if end.IsZero() {
		// The fault has not begun or still lasts, or the run has none.
		return time.Since(since) > 5*time.Minute
	}
	if end.Before(since) {
		end = since
	}
	return time.Since(end) > livenessBound+3*req.runTime
}

func (c *retryingCaller) run() bool {
	began := time.Now()
	for !c.s.overdue(c.req, began) {
		if c.attempt() {
			return true
		}
	}
	return false
}

// nextEntry returns the entry for the next call. Most platforms' load balancers
// spread calls; this one begins with the request's first entry and moves on to the
// next after each attempt.
func (c *retryingCaller) nextEntry() *proc {
	p := c.s.entries[(c.req.entryIndex+c.attempts)%len(c.s.entries)]
	c.attempts++
	return p
}

// attempt submits the request once and reports whether it then has an outcome.
func (c *retryingCaller) attempt() bool {
	label := c.req.label
	if c.req.key == "" && c.attempts > 0 {
		label = fmt.Sprintf("%s.%d", c.req.label, c.attempts)
	}
	p := c.nextEntry()
	wait := syncWait
	if c.req.async {
		wait = 0
	}
	resp, err := c.call(label, p, wait, false, func(ctx context.Context, cl caller.Client) (callerapi.Response, error) {
		return cl.Submit(ctx, c.requestBody(label), wait)
	})
	switch {
	case err != nil:
		time.Sleep(500 * time.Millisecond)
		return false
	case resp.Outcome == callerapi.NotRun && resp.RetryAfter > 0:
		time.Sleep(min(time.Duration(resp.RetryAfter), 2*time.Second))
		return false
	case resp.Outcome == callerapi.Unknown && c.req.key == "" && !c.req.nonIdempotent:
		return false // The caller may safely submit it again.
	case resp.Ended():
		return true
	}
	return c.awaitOutcome(label, resp.Key)
}

func (c *retryingCaller) requestBody(label string) callerapi.Request {
	r := callerapi.Request{
		Workspace: c.req.workspace, Kind: c.req.kind, Key: c.req.key, Payload: c.req.payload(label),
		Shape: callerapi.Shape{Workers: c.req.parts, Accelerators: c.req.slots},
	}
	return r
}

// awaitOutcome looks an accepted job up until it has ended. It reports false if the
// liveness bound passes first.
func (c *retryingCaller) awaitOutcome(label, key string) bool {
	began := time.Now()
	for !c.s.overdue(c.req, began) {
		p := c.nextEntry()
		resp, err := c.call(label, p, lookupWait, true, func(ctx context.Context, cl caller.Client) (callerapi.Response, error) {
			return cl.Lookup(ctx, c.req.workspace, key, lookupWait)
		})
		if err == nil && resp.Ended() {
			return true
		}
		if err != nil {
			time.Sleep(500 * time.Millisecond)
		}
	}
	return false
}

// call makes one call with f and records its response or error.
func (c *retryingCaller) call(label string, p *proc, wait time.Duration, existingJob bool, f func(context.Context, caller.Client) (callerapi.Response, error)) (callerapi.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait+callTimeoutMargin)
	defer cancel()
	c.s.hist.update(func(h *history) {
		req := c.req
		req.label = label
		h.requests[label] = req
	})
	start := time.Now()
	resp, err := f(ctx, caller.Client{Base: "http://" + p.host + ":1", HTTP: c.client})
	rec := callRecord{label: label, req: c.req, entry: p.host, existingJob: existingJob, cancels: c.cancels, start: start, end: time.Now(), resp: resp}
	if err != nil {
		rec.err = err.Error()
		if errors.Is(err, callerapi.ErrNotFound) {
			rec.err = noSuchJob
		}
	}
	c.s.hist.update(func(h *history) { h.calls = append(h.calls, rec) })
	return resp, err
}

// cancel requests the cancellation of a job at one entry.
func (s *Site) cancel(req request, entry *proc) {
	c := &retryingCaller{s: s, req: req, cancels: true, client: s.net.Host(callerHost).HTTPClient()}
	defer c.client.CloseIdleConnections()
	_, _ = c.call(req.label, entry, lookupWait, true, func(ctx context.Context, cl caller.Client) (callerapi.Response, error) {
		return cl.Cancel(ctx, req.workspace, req.key)
	})
}
