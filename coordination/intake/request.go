package intake

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// maxGang is the largest number of tasks of a request.
	maxGang = 64
	// inlinePayload is the size up to which a payload is kept in the row of its job,
	// in bytes. A row has 64 KiB, and JSON may escape each byte.
	inlinePayload = 8 << 10
	// storeRetry is when a caller that was refused for want of the store returns.
	storeRetry = 5 * time.Second
	// notReadyRetry is when a caller that came before the configuration returns.
	notReadyRetry = time.Second
)

// Request is a job of one step, as the callers' API has it.
type Request struct {
	Workspace    string
	Kind         string
	Workers      int
	Accelerators int
	Adjacent     operator.Adjacency
	Declared     time.Duration // run time that the caller expects; 0 if unknown
	Deadline     time.Duration // from the submission until the latest start; 0 for none
	Idempotent   *bool         // nil leaves it to the kind
	Key          string        // idempotency key; empty for a generated one
	Payload      []byte
}

func (r Request) shape() operator.Shape {
	return operator.NewShape(r.Workers, r.Accelerators).WithAdjacency(r.Adjacent)
}

// Config gives access to the configuration in force.
type Config interface {
	Snapshot() *configuration.Snapshot
}

// Requests serves the callers' API: requests with a workspace, a kind and a key.
// Its methods are safe for concurrent use.
type Requests struct {
	jobs    *Service
	cfg     Config
	objects table.Objects
	waiters *waiters
	leaving chan struct{}
}

// NewRequests returns the service of the callers' API over the jobs.
func NewRequests(jobs *Service, cfg Config, objects table.Objects) *Requests {
	return &Requests{
		jobs: jobs, cfg: cfg, objects: objects, waiters: newWaiters(jobs.store), leaving: make(chan struct{}),
	}
}

// Leave refuses new requests and ends the waits of those in progress. It must be
// called once at most.
func (q *Requests) Leave() { close(q.leaving) }

// Close ends what outlives calls. No call may be in progress.
func (q *Requests) Close() { q.waiters.close() }

func (q *Requests) isLeaving() bool {
	select {
	case <-q.leaving:
		return true
	default:
		return false
	}
}

func refuse(reason outcome.Reason, retry time.Duration, detail string) outcome.NotRun {
	return outcome.NotRun{Reason: reason, Detail: detail, RetryAfter: retry}
}

// Submit records a request and waits up to wait for its end.
func (q *Requests) Submit(ctx context.Context, r Request, wait time.Duration) (Status, error) {
	j, refusal := q.resolve(r)
	if refusal == nil {
		refusal = q.queueFull(ctx, j)
	}
	if refusal != nil {
		return Status{Workspace: r.Workspace, Key: r.Key, Outcome: *refusal}, nil
	}
	st := Status{Workspace: j.Workspace, Key: j.Key, Job: j.ID}
	if len(r.Payload) > inlinePayload {
		j.Payload, j.PayloadObject = "", "payload-"+j.ID+"-"+j.Token
		if err := q.objects.PutObject(ctx, j.PayloadObject, r.Payload); err != nil {
			st.Outcome = refuse(outcome.ReasonStoreDown, storeRetry, "the payload could not be stored")
			return st, nil
		}
	}
	switch res := q.jobs.Submit(ctx, j).(type) {
	case Refused:
		st.Outcome = refuse(outcome.ReasonStoreDown, storeRetry, "the request could not be recorded")
		return st, nil
	case Undecided:
		st.Outcome = outcome.Unknown{Detail: "the store did not say whether the request was recorded"}
		return st, nil
	case Accepted:
		if res.Repeated {
			if same, err := q.sameRequest(ctx, j, r.Payload); err != nil || !same {
				return keyConflict(st, err), nil
			}
		}
	}
	return q.await(ctx, j.ID, wait)
}

func keyConflict(st Status, err error) Status {
	if err != nil {
		st.Outcome = outcome.Unknown{Detail: "the job could not be read"}
		return st
	}
	st.Outcome = refuse(outcome.ReasonKeyConflict, 0, "the idempotency key belongs to another request")
	return st
}

// resolve checks a request against the configuration and returns its job.
func (q *Requests) resolve(r Request) (job.Job, *outcome.NotRun) {
	no := func(n outcome.NotRun) (job.Job, *outcome.NotRun) { return job.Job{}, &n }
	if q.isLeaving() {
		return no(refuse(outcome.ReasonLeaving, time.Second, "the entry is shutting down"))
	}
	snap := q.cfg.Snapshot()
	if snap == nil {
		return no(refuse(outcome.ReasonNotReady, notReadyRetry, "the entry does not know the current configuration"))
	}
	if _, ok := snap.Workspace(r.Workspace); !ok {
		return no(refuse(outcome.ReasonInvalid, 0, fmt.Sprintf("unknown workspace %q", r.Workspace)))
	}
	kind, ok := snap.Kind(r.Workspace, r.Kind)
	if !ok {
		return no(refuse(outcome.ReasonInvalid, 0, fmt.Sprintf("unknown kind %q of workspace %q", r.Kind, r.Workspace)))
	}
	idempotent := kind.Idempotent()
	if r.Idempotent != nil {
		if *r.Idempotent && !idempotent {
			return no(refuse(outcome.ReasonInvalid, 0, fmt.Sprintf("kind %q is not idempotent", r.Kind)))
		}
		idempotent = *r.Idempotent
	}
	shape := r.shape()
	if shape.Workers() > maxGang {
		return no(refuse(outcome.ReasonNeverFits, 0, fmt.Sprintf("a gang has at most %d tasks", maxGang)))
	}
	if site := snap.Config.Site(); site.Workers() > 0 && !site.Fits(shape) {
		return no(refuse(outcome.ReasonNeverFits, 0, "the shape does not fit the empty site"))
	}
	if r.Key == "" {
		r.Key = rand.Text()
	}
	return newJob(r, kind, idempotent), nil
}

func newJob(r Request, kind operator.Kind, idempotent bool) job.Job {
	j := job.Job{
		ID: job.IDOf(r.Workspace, r.Key), Workspace: r.Workspace, Kind: kind.Name(), Queue: kind.Queue(), Pool: kind.Pool(),
		Payload: string(r.Payload), Token: rand.Text(), Key: r.Key, AtMostOnce: !idempotent,
		LimitMillis: kind.Limit().Milliseconds(),
		Steps: []job.Step{{
			Tasks: r.Workers, Accelerators: r.Accelerators, EstimateMillis: r.Declared.Milliseconds(), Gang: r.Workers > 1,
			SameRack: r.Adjacent == operator.AdjacentRack, SameWorker: r.Adjacent == operator.AdjacentWorker,
		}},
	}
	if r.Deadline > 0 {
		// Submit sets the time of acceptance; until then this is relative to it.
		j.DeadlineMillis = max(r.Deadline.Milliseconds(), 1)
	}
	return j
}

// queueFull refuses a request whose workspace has as many waiting jobs of the kind
// as it may have.
func (q *Requests) queueFull(ctx context.Context, j job.Job) *outcome.NotRun {
	w, _ := q.cfg.Snapshot().Workspace(j.Workspace)
	n, err := q.jobs.Waiting(ctx, j.Queue)
	if err != nil {
		r := refuse(outcome.ReasonStoreDown, storeRetry, "the request could not be recorded")
		return &r
	}
	if n < min(w.QueueLimit(), waitingLimit) {
		return nil
	}
	r := refuse(outcome.ReasonQueueFull, retryAfter, fmt.Sprintf("%d jobs of the kind wait", n))
	return &r
}

// sameRequest reports whether the recorded job of the ID was submitted by the same
// request.
func (q *Requests) sameRequest(ctx context.Context, j job.Job, payload []byte) (bool, error) {
	f, err := q.jobs.find(ctx, j.ID)
	if err != nil {
		return false, err
	}
	old := f.job
	if old.PayloadObject != "" {
		body, err := q.objects.GetObject(ctx, old.PayloadObject)
		if err != nil {
			return false, fmt.Errorf("read payload of job %s: %w", j.ID, err)
		}
		old.Payload = string(body)
	}
	return old.Workspace == j.Workspace && old.Key == j.Key && old.Kind == j.Kind && old.AtMostOnce == j.AtMostOnce &&
		bytes.Equal([]byte(old.Payload), payload) && len(old.Steps) == 1 && sameStep(old.Steps[0], j.Steps[0]), nil
}

func sameStep(x, y job.Step) bool {
	return x.Tasks == y.Tasks && x.Accelerators == y.Accelerators && x.EstimateMillis == y.EstimateMillis &&
		x.SameRack == y.SameRack && x.SameWorker == y.SameWorker
}

// Lookup describes a job and waits up to wait for its end.
func (q *Requests) Lookup(ctx context.Context, workspace, key string, wait time.Duration) (Status, error) {
	return q.await(ctx, job.IDOf(workspace, key), wait)
}

// Cancel asks for the end of a job and describes it.
func (q *Requests) Cancel(ctx context.Context, workspace, key string) (Status, error) {
	id := job.IDOf(workspace, key)
	if err := q.jobs.Cancel(ctx, id, ""); err != nil {
		return Status{}, err
	}
	return q.await(ctx, id, 0)
}

// List describes up to limit jobs of a workspace with keys after the given one,
// in the order of their keys and without their answers.
func (q *Requests) List(ctx context.Context, workspace, after string, limit int) ([]Status, error) {
	from, to := job.KeysRange(workspace, after)
	p, err := q.jobs.gate.read(ctx, table.Range{Table: job.TableKeys, Part: q.jobs.part, From: from, To: to, Limit: limit})
	if err != nil {
		return nil, fmt.Errorf("list jobs of %s: %w", workspace, err)
	}
	out := make([]Status, 0, len(p.Rows))
	for _, r := range p.Rows[:min(len(p.Rows), limit)] {
		f, err := q.jobs.find(ctx, string(r.Value))
		if errors.Is(err, ErrNoJob) {
			continue
		}
		if err != nil {
			return nil, err
		}
		st, err := q.describe(ctx, f, false)
		if err != nil {
			return nil, err
		}
		out = append(out, st)
	}
	return out, nil
}
