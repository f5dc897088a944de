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
	// guaranteedAccelerators is the guarantee of the workspace "claims": two workers.
	guaranteedAccelerators = 2 * accelerators
	// callTimeout is how long a caller waits for a response, and maxAttempts how often
	// it submits or cancels one job.
	callTimeout = 3 * time.Second
	maxAttempts = 4
	// unreadRequestSlack is how long after a request was sent a process that shuts down
	// may close the connection without a response, since it may not have read the request.
	unreadRequestSlack = 200 * time.Millisecond
	// cancelShare is the share of jobs that are cancelled.
	cancelShare = 0.1
	// abandonShare is the share of submissions without a conclusive response after which the
	// caller cancels the job instead of submitting it again.
	abandonShare = 0.3
	// crashShare is the share of jobs whose first task crashes the workers that start it.
	crashShare = 0.04
	// labelShare is the share of jobs that require a hardware type, of the callers that have such jobs.
	labelShare = 0.7
	// thinkTimeMax is the longest pause between two jobs of a caller.
	thinkTimeMax = 1200 * time.Millisecond
	// pollInterval is the pause between two lookups of a job.
	pollInterval = 300 * time.Millisecond
	// maxSecondLook is the longest pause before a job that has ended is looked up again.
	maxSecondLook = 2 * time.Second
)

// client is one caller with its own connections. It is not safe for concurrent use.
type client struct {
	site          *site
	random        *rand.Rand
	usesGuarantee bool       // its jobs use the guarantee of its workspace
	labels        *rand.Rand // source of the jobs that require a hardware type; nil for none
	api           *caller.Client
	transport     *http.Transport
}

func (s *site) newClient(random *rand.Rand, usesGuarantee bool) *client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	return &client{site: s, random: random, usesGuarantee: usesGuarantee, api: caller.New(transport), transport: transport}
}

// run submits jobs one after another until loadCtx ends. It follows each accepted job
// until the job or runCtx has ended.
func (c *client) run(loadCtx, runCtx context.Context) {
	for loadCtx.Err() == nil {
		rec, q := c.draw()
		if c.submit(runCtx, rec, q) {
			c.follow(runCtx, rec, q)
		}
		select {
		case <-loadCtx.Done():
		case <-time.After(randDuration(c.random, 0, thinkTimeMax)):
		}
	}
	c.transport.CloseIdleConnections()
}

// draw returns a random job and the queue it is submitted to.
func (c *client) draw() (*jobRecord, caller.Queue) {
	queue := queueFill
	work := randDuration(c.random, 100*time.Millisecond, 1500*time.Millisecond)
	j := caller.Job{ID: fmt.Sprintf("%016x", c.random.Uint64())}
	step := caller.Step{Tasks: 1 + c.random.IntN(6), Accelerators: 1, Checkpointable: c.random.IntN(2) == 0}
	switch choice := c.random.IntN(4); {
	case c.usesGuarantee:
		queue, step = queueShort, caller.Step{Tasks: 2, Accelerators: accelerators, Gang: c.random.IntN(2) == 0}
		work = randDuration(c.random, 50*time.Millisecond, 600*time.Millisecond)
	case choice == 0:
		queue, step = queueShort, caller.Step{Tasks: 1 + c.random.IntN(4), Accelerators: 1 + c.random.IntN(4), Gang: true}
		work = randDuration(c.random, 50*time.Millisecond, 500*time.Millisecond)
	case choice == 1:
		queue, step = queueLong, caller.Step{Tasks: 1 + c.random.IntN(2), Accelerators: accelerators, Gang: true, Checkpointable: c.random.IntN(2) == 0}
		work = randDuration(c.random, 500*time.Millisecond, 4*time.Second)
	}
	if c.labels != nil && c.labels.Float64() < labelShare {
		queue = queueFill
		step = caller.Step{Tasks: 1 + c.labels.IntN(2), Accelerators: accelerators, Label: hardwareTypes[c.labels.IntN(len(hardwareTypes))]}
		work = randDuration(c.labels, 50*time.Millisecond, 400*time.Millisecond)
	}
	step.EstimateMillis = int64(float64(work.Milliseconds()) * (0.5 + c.random.Float64()))
	j.Steps = []caller.Step{step}
	if queue.Name == queueFill.Name && c.random.IntN(3) == 0 {
		next := step
		next.After = []int{0}
		j.Steps = append(j.Steps, next)
	}
	crash := time.Duration(0)
	if !c.usesGuarantee && c.random.Float64() < crashShare {
		crash = randDuration(c.random, time.Millisecond, work/4)
	}
	j.Payload = fmt.Sprintf(`{"RunMillis": %d, "CrashMillis": %d, "Result": %q}`, work.Milliseconds(), crash.Milliseconds(), j.ID)
	key := unguaranteedKey
	if c.usesGuarantee {
		key = guaranteedKey
	}
	return &jobRecord{job: j, usesGuarantee: c.usesGuarantee}, caller.Queue{Host: queue.Host, Prefix: queue.Prefix, Key: key}
}

// randomEntry returns an entry at random.
func (c *client) randomEntry() *machine { return c.site.entries[c.random.IntN(len(c.site.entries))] }

// submit submits a job up to maxAttempts times and reports whether it was accepted.
func (c *client) submit(ctx context.Context, rec *jobRecord, q caller.Queue) bool {
	for range maxAttempts {
		submittedAt := time.Now()
		c.site.history.update(rec, func(r *jobRecord) {
			if r.submittedAt.IsZero() {
				r.submittedAt = submittedAt
			}
		})
		resp, err := c.call(ctx, c.randomEntry(), func(ctx context.Context, address string) (caller.Response, error) {
			return c.api.Submit(ctx, address, q, rec.job)
		})
		if ctx.Err() != nil {
			c.site.history.update(rec, func(r *jobRecord) { r.outcomeUnknown = true })
			return false
		}
		retryAfter := resp.RetryAfter
		unknown := err != nil || resp.Status == http.StatusGatewayTimeout || resp.Status == http.StatusBadGateway
		c.site.history.update(rec, func(r *jobRecord) {
			switch {
			case err == nil && resp.OK():
				r.acceptedAt = time.Now()
			case unknown:
				r.outcomeUnknown = true
			default:
				r.refusals++
			}
		})
		if err == nil && resp.OK() {
			return true
		}
		if unknown && c.random.Float64() < abandonShare {
			c.cancel(ctx, rec, q)
			return false
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(retryAfter):
		}
	}
	return false
}

// follow polls a job until it or ctx has ended. It first cancels a share of the jobs. Some
// time after the end it looks the job up once more, from an entry that may be another one.
func (c *client) follow(ctx context.Context, rec *jobRecord, q caller.Queue) {
	if !c.usesGuarantee && c.random.Float64() < cancelShare {
		c.cancel(ctx, rec, q)
	}
	for ctx.Err() == nil && !c.poll(ctx, rec, q) {
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	select {
	case <-ctx.Done():
	case <-time.After(randDuration(c.random, pollInterval, maxSecondLook)):
		c.poll(ctx, rec, q)
	}
}

// poll looks a job up once and reports whether it has ended or been lost.
func (c *client) poll(ctx context.Context, rec *jobRecord, q caller.Queue) bool {
	resp, err := c.call(ctx, c.randomEntry(), func(ctx context.Context, address string) (caller.Response, error) {
		return c.api.State(ctx, address, q, rec.job.ID)
	})
	if err != nil || ctx.Err() != nil {
		return false
	}
	ended := false
	c.site.history.update(rec, func(r *jobRecord) {
		// update holds the lock that addViolation takes, so violations are appended directly.
		var violation string
		if ended, violation = r.observe(resp, time.Now()); violation != "" {
			c.site.history.violations = append(c.site.history.violations, violation)
		}
	})
	return ended
}

// observe records the response to a lookup. It reports whether the job has ended or been
// lost, and returns the violation that the response shows, or "".
func (r *jobRecord) observe(resp caller.Response, now time.Time) (ended bool, violation string) {
	switch {
	case resp.Status == http.StatusGone && !r.acceptedAt.IsZero():
		return true, "lost: " + r.job.ID + " was accepted but is unknown now"
	case !resp.OK():
		return false, ""
	case isFinal(r.state) && resp.State != r.state:
		return true, fmt.Sprintf("mixed: %s changed its final state from %s to %s", r.job.ID, r.state, resp.State)
	case isFinal(r.state):
		return true, ""
	}
	r.state, r.stateSeenAt = resp.State, now
	if isFinal(r.state) {
		r.finalSeenAt = now
	}
	return isFinal(r.state), ""
}

func isFinal(state string) bool {
	return state == "completed" || state == "failed" || state == "cancelled"
}

func (c *client) cancel(ctx context.Context, rec *jobRecord, q caller.Queue) {
	time.Sleep(randDuration(c.random, 0, time.Second))
	for range maxAttempts {
		sent := time.Now()
		c.site.history.update(rec, func(r *jobRecord) {
			if r.cancelSentAt.IsZero() {
				r.cancelSentAt = sent
			}
		})
		resp, err := c.call(ctx, c.randomEntry(), func(ctx context.Context, address string) (caller.Response, error) {
			return c.api.Cancel(ctx, address, q, rec.job.ID)
		})
		if err == nil && (resp.OK() || resp.Status == http.StatusGone) {
			c.site.history.update(rec, func(r *jobRecord) {
				r.cancelAckedAt, r.cancelledEarly = time.Now(), resp.Status == http.StatusGone
			})
			return
		}
	}
}

// call makes a call to an entry. It records a violation if a process that shuts down
// without other faults cuts the call.
func (c *client) call(ctx context.Context, m *machine, send func(ctx context.Context, address string) (caller.Response, error)) (caller.Response, error) {
	boot, _ := m.program.currentBoot()
	sent := time.Now()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	resp, err := send(callCtx, m.address)
	now := time.Now()
	if err == nil || ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded) {
		return resp, err
	}
	bootAfter, termSentAt := m.program.currentBoot()
	// A call counts if it was sent after the SIGTERM or less than settleTime before it.
	if bootAfter == boot && !termSentAt.IsZero() && termSentAt.Add(-settleTime).Before(sent) && now.Sub(sent) > unreadRequestSlack &&
		c.site.history.faultFreeExcept(sent, now, faultTerm, faultRollingTerm, faultReload) {
		c.site.history.addViolation("graceful", fmt.Sprintf("%s shut down and cut a call after %v: %v", m.program.name, now.Sub(sent), err))
	}
	return resp, err
}

// probeConfig sends probes to random entries until ctx ends.
func (c *client) probeConfig(ctx context.Context) {
	for ctx.Err() == nil {
		m := c.randomEntry()
		boot, _ := m.program.currentBoot()
		versions := c.site.writtenVersions()
		v := versions[c.random.IntN(len(versions))]
		if c.random.IntN(2) == 0 {
			v = versions[len(versions)-1]
		}
		sent := time.Now()
		resp, err := c.call(ctx, m, func(ctx context.Context, address string) (caller.Response, error) {
			return c.api.ProbeQueue(ctx, address, caller.Queue{Host: queueExtra.Host, Prefix: queueExtra.Prefix, Key: v.changingKey})
		})
		if bootAfter, _ := m.program.currentBoot(); err == nil && bootAfter == boot {
			c.site.history.addProbe(probe{entry: m.program.name, boot: boot, sent: sent, status: resp.Status, key: v.changingKey})
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval / 2):
		}
	}
}
