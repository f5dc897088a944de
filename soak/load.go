package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/medlargrade/medlargrade/standin/caller"
)

const (
	// claimAccelerators is what the workspace of the claims is guaranteed: two workers.
	claimAccelerators = 2 * accelerators
	// callLimit is how long a caller waits for an answer, and tries how often it calls
	// for one job.
	callLimit = 3 * time.Second
	tries     = 4
	// lossSlack is how long after the last byte of a request a process that leaves may
	// close the connection without an answer: it may not have read the request.
	lossSlack = 200 * time.Millisecond
	// cancelShare of the jobs are cancelled.
	cancelShare = 0.1
	// thinkMax is the longest pause between two jobs of a caller.
	thinkMax = 1200 * time.Millisecond
	// lookPause is the pause between two looks at a job.
	lookPause = 300 * time.Millisecond
)

// client is one caller with its own connections.
type client struct {
	s      *site
	r      *rand.Rand
	claims bool // it claims the guarantee of its workspace
	c      *caller.Client
	t      *http.Transport
}

func (s *site) newClient(r *rand.Rand, claims bool) *client {
	t := &http.Transport{MaxIdleConnsPerHost: 4}
	return &client{s: s, r: r, claims: claims, c: caller.New(t), t: t}
}

// run submits jobs one after another until ctx ends, and follows each to its end in
// the background of the run.
func (c *client) run(ctx, life context.Context) {
	for ctx.Err() == nil {
		rec, q := c.draw()
		if c.submit(life, rec, q) {
			c.follow(life, rec, q)
		}
		select {
		case <-ctx.Done():
		case <-time.After(between(c.r, 0, thinkMax)):
		}
	}
	c.t.CloseIdleConnections()
}

// draw draws a job.
func (c *client) draw() (*jobRecord, caller.Queue) {
	kind := queueFill
	work := between(c.r, 100*time.Millisecond, 1500*time.Millisecond)
	j := caller.Job{ID: fmt.Sprintf("%016x", c.r.Uint64())}
	step := caller.Step{Tasks: 1 + c.r.IntN(6), Accelerators: 1, Checkpointable: c.r.IntN(2) == 0}
	switch draw := c.r.IntN(4); {
	case c.claims:
		kind, step = queueShort, caller.Step{Tasks: 2, Accelerators: accelerators, Gang: c.r.IntN(2) == 0}
		work = between(c.r, 50*time.Millisecond, 600*time.Millisecond)
	case draw == 0:
		kind, step = queueShort, caller.Step{Tasks: 1 + c.r.IntN(4), Accelerators: 1 + c.r.IntN(4), Gang: true}
		work = between(c.r, 50*time.Millisecond, 500*time.Millisecond)
	case draw == 1:
		kind, step = queueLong, caller.Step{Tasks: 1 + c.r.IntN(2), Accelerators: accelerators, Gang: true, Checkpointable: c.r.IntN(2) == 0}
		work = between(c.r, 500*time.Millisecond, 4*time.Second)
	}
	step.EstimateMillis = int64(float64(work.Milliseconds()) * (0.5 + c.r.Float64()))
	j.Steps = []caller.Step{step}
	if kind.Name == queueFill.Name && c.r.IntN(3) == 0 {
		next := step
		next.After = []int{0}
		j.Steps = append(j.Steps, next)
	}
	j.Payload = fmt.Sprintf(`{"RunMillis": %d, "Result": %q}`, work.Milliseconds(), j.ID)
	key := otherKey
	if c.claims {
		key = claimKey
	}
	return &jobRecord{job: j, claim: c.claims}, caller.Queue{Host: kind.Host, Prefix: kind.Prefix, Key: key}
}

// entry returns one of the entries.
func (c *client) entry() *machine { return c.s.entries[c.r.IntN(len(c.s.entries))] }

// submit submits a job until an answer decides, and reports whether it may be there.
func (c *client) submit(ctx context.Context, rec *jobRecord, q caller.Queue) bool {
	for range tries {
		sent := time.Now()
		c.s.hist.update(rec, func(r *jobRecord) {
			if r.sent.IsZero() {
				r.sent = sent
			}
		})
		resp, err := c.call(ctx, c.entry(), func(ctx context.Context, address string) (caller.Response, error) {
			return c.c.Submit(ctx, address, q, rec.job)
		})
		if ctx.Err() != nil {
			c.s.hist.update(rec, func(r *jobRecord) { r.undecided = true })
			return false
		}
		pause := resp.RetryAfter
		c.s.hist.update(rec, func(r *jobRecord) {
			switch {
			case err == nil && resp.OK():
				r.accepted = time.Now()
			case err == nil && resp.Status != http.StatusGatewayTimeout && resp.Status != http.StatusBadGateway:
				r.refused++
			default:
				r.undecided = true
			}
		})
		if err == nil && resp.OK() {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
	}
	return false
}

// follow looks a job up until it has ended, and cancels some.
func (c *client) follow(ctx context.Context, rec *jobRecord, q caller.Queue) {
	if !c.claims && c.r.Float64() < cancelShare {
		c.cancel(ctx, rec, q)
	}
	for ctx.Err() == nil && !c.look(ctx, rec, q) {
		select {
		case <-ctx.Done():
		case <-time.After(lookPause):
		}
	}
}

// look looks a job up once and reports whether it has ended.
func (c *client) look(ctx context.Context, rec *jobRecord, q caller.Queue) bool {
	resp, err := c.call(ctx, c.entry(), func(ctx context.Context, address string) (caller.Response, error) {
		return c.c.State(ctx, address, q, rec.job.ID)
	})
	if err != nil || ctx.Err() != nil {
		return false
	}
	final := false
	c.s.hist.update(rec, func(r *jobRecord) {
		switch {
		case resp.Status == http.StatusGone && !r.accepted.IsZero():
			c.s.hist.violations = append(c.s.hist.violations, "lost: "+rec.job.ID+" was accepted and is unknown")
			final = true
		case !resp.OK():
		case isFinal(r.state) && resp.State != r.state:
			c.s.hist.violations = append(c.s.hist.violations, fmt.Sprintf("mixed: %s was shown as %s and then as %s", rec.job.ID, r.state, resp.State))
		default:
			r.state, r.shown = resp.State, time.Now()
			if final = isFinal(r.state); final {
				r.ended = r.shown
			}
		}
	})
	return final
}

func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

func (c *client) cancel(ctx context.Context, rec *jobRecord, q caller.Queue) {
	time.Sleep(between(c.r, 0, time.Second))
	for range tries {
		sent := time.Now()
		c.s.hist.update(rec, func(r *jobRecord) {
			if r.cancelled.IsZero() {
				r.cancelled = sent
			}
		})
		resp, err := c.call(ctx, c.entry(), func(ctx context.Context, address string) (caller.Response, error) {
			return c.c.Cancel(ctx, address, q, rec.job.ID)
		})
		if err == nil && (resp.OK() || resp.Status == http.StatusGone) {
			c.s.hist.update(rec, func(r *jobRecord) { r.cancelAck = time.Now() })
			return
		}
	}
}

// call makes a call to an entry, and notes one that a leaving process has cut.
func (c *client) call(ctx context.Context, m *machine, do func(ctx context.Context, address string) (caller.Response, error)) (caller.Response, error) {
	boot, _ := m.program.life()
	sent := time.Now()
	cctx, cancel := context.WithTimeout(ctx, callLimit)
	defer cancel()
	resp, err := do(cctx, m.address)
	now := time.Now()
	if err == nil || ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return resp, err
	}
	after, leaving := m.program.life()
	if after == boot && !leaving.IsZero() && leaving.Add(-stableTime).Before(sent) && now.Sub(sent) > lossSlack &&
		c.s.hist.isCalmBut(sent, now, faultLeave, faultRoll, faultReload) {
		c.s.hist.violate("graceful", fmt.Sprintf("%s has left and cut a call after %v: %v", m.program.name, now.Sub(sent), err))
	}
	return resp, err
}

// probeLoop shows again and again which configuration the entries have in force.
func (c *client) probeLoop(ctx context.Context) {
	for ctx.Err() == nil {
		m := c.entry()
		boot, _ := m.program.life()
		versions := c.s.known()
		v := versions[c.r.IntN(len(versions))]
		if c.r.IntN(2) == 0 {
			v = versions[len(versions)-1]
		}
		sent := time.Now()
		resp, err := c.call(ctx, m, func(ctx context.Context, address string) (caller.Response, error) {
			return c.c.Waiting(ctx, address, caller.Queue{Host: queueExtra.Host, Prefix: queueExtra.Prefix, Key: v.key})
		})
		if after, _ := m.program.life(); err == nil && after == boot {
			c.s.hist.addProbe(probe{entry: m.program.name, boot: boot, sent: sent, status: resp.Status, key: v.key})
		}
		select {
		case <-ctx.Done():
		case <-time.After(lookPause / 2):
		}
	}
}
