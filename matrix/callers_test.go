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

// The bound within which every request has its outcome after the last fault has
// ended, derived from docs/design.md. The terms follow each other in the worst
// case; the run times of the request's tries come on top.
const (
	takeOverTime = 5 * time.Second  // the site has a planner again
	probeTime    = 2 * time.Second  // entries find out that the store answers again
	repeatTime   = 3 * time.Second  // orders whose effect is not known are sent again
	pauseTime    = 16 * time.Second // workers that failed get work again
	lapseTime    = 15 * time.Second // a worker that has not come back is given up
	retryTime    = 8 * time.Second  // pauses of callers
	livenessTime = takeOverTime + probeTime + repeatTime + pauseTime + lapseTime + retryTime
)

// settleTime is how long after the last outcome runs may still be there: the order
// to stop is repeated after a second, and a stop takes time.
const settleTime = 5 * time.Second

const (
	syncWait   = 40 * time.Second // of callers that wait for the end
	lookupWait = 5 * time.Second
	// callerSlip is the time beyond its wait after which a caller gives a call up.
	callerSlip = 15 * time.Second
)

// do makes a request until it has an outcome, like a caller that sends it again
// to the next entry. It runs in a goroutine of the site.
func (s *Site) do(req request) {
	s.wg.Go(func() { s.perform(req) })
}

// perform is do in the caller's goroutine.
func (s *Site) perform(req request) {
	c := &callerRun{s: s, req: req, client: s.net.Host(callerHost).HTTPClient()}
	defer c.client.CloseIdleConnections()
	if !c.run() {
		s.hist.add(func(h *history) { h.pending = append(h.pending, req.label) })
	}
}

type callerRun struct {
	s      *Site
	req    request
	client *http.Client
	tries  int
}

// overdue reports whether the bound on the request's outcome has passed.
func (s *Site) overdue(req request, since time.Time) bool {
	var end time.Time
	s.hist.add(func(h *history) { end = h.faultEnd })
	if end.IsZero() {
		// The fault is still to come or lasts; a run without one ends here too.
		return time.Since(since) > 5*time.Minute
	}
	if end.Before(since) {
		end = since
	}
	return time.Since(end) > livenessTime+3*req.run
}

func (c *callerRun) run() bool {
	began := time.Now()
	for !c.s.overdue(c.req, began) {
		if c.try() {
			return true
		}
	}
	return false
}

// entry returns the entry of the next call. Most platforms' load balancers spread
// calls; this one prefers the first entry and goes on to the next after each try.
func (c *callerRun) entry() *proc {
	p := c.s.entries[(c.req.at+c.tries)%len(c.s.entries)]
	c.tries++
	return p
}

// try submits the request once and reports whether it then has an outcome.
func (c *callerRun) try() bool {
	label := c.req.label
	if c.req.key == "" && c.tries > 0 {
		label = fmt.Sprintf("%s.%d", c.req.label, c.tries)
	}
	p := c.entry()
	wait := syncWait
	if c.req.async {
		wait = 0
	}
	resp, err := c.call(label, p, wait, false, func(ctx context.Context, cl caller.Client) (callerapi.Response, error) {
		return cl.Submit(ctx, c.body(label), wait)
	})
	switch {
	case err != nil:
		time.Sleep(500 * time.Millisecond)
		return false
	case resp.Outcome == callerapi.NotRun && resp.RetryAfter > 0:
		time.Sleep(min(time.Duration(resp.RetryAfter), 2*time.Second))
		return false
	case resp.Outcome == callerapi.Unknown && c.req.key == "" && !c.req.nonIdempotent:
		return false // The caller may safely ask again.
	case resp.Ended():
		return true
	}
	return c.lookup(label, resp.Key)
}

func (c *callerRun) body(label string) callerapi.Request {
	r := callerapi.Request{
		Workspace: c.req.workspace, Kind: c.req.kind, Key: c.req.key, Payload: payload(label, c.req.run, c.req.size),
		Shape: callerapi.Shape{Workers: c.req.parts, Accelerators: c.req.slots},
	}
	return r
}

// lookup waits for the outcome of an accepted job.
func (c *callerRun) lookup(label, key string) bool {
	began := time.Now()
	for !c.s.overdue(c.req, began) {
		p := c.entry()
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

// call makes one call and records what it told.
func (c *callerRun) call(label string, p *proc, wait time.Duration, lookup bool, f func(context.Context, caller.Client) (callerapi.Response, error)) (callerapi.Response, error) {
	ctx, cancel := context.WithTimeout(context.Background(), wait+callerSlip)
	defer cancel()
	c.s.hist.add(func(h *history) {
		req := c.req
		req.label = label
		h.requests[label] = req
	})
	start := time.Now()
	resp, err := f(ctx, caller.Client{Base: "http://" + p.host + ":1", HTTP: c.client})
	t := told{label: label, req: c.req, entry: p.host, lookup: lookup, start: start, end: time.Now(), resp: resp}
	if err != nil {
		t.err = err.Error()
		if errors.Is(err, callerapi.ErrNotFound) {
			t.err = "no such job"
		}
	}
	c.s.hist.add(func(h *history) { h.told = append(h.told, t) })
	return resp, err
}

// cancel asks for the end of a job at one entry.
func (s *Site) cancel(req request, entry *proc) {
	c := &callerRun{s: s, req: req, client: s.net.Host(callerHost).HTTPClient()}
	defer c.client.CloseIdleConnections()
	_, _ = c.call(req.label, entry, lookupWait, true, func(ctx context.Context, cl caller.Client) (callerapi.Response, error) {
		return cl.Cancel(ctx, req.workspace, req.key)
	})
}
