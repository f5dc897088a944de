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
	// maxGangTasks is the largest number of tasks of a request.
	maxGangTasks = 64
	// maxInlineBytes is the largest payload that is kept in the row of its job; larger
	// ones are stored as objects. A row is limited to 64 KiB, and JSON may escape each
	// byte.
	maxInlineBytes = 8 << 10
	// storeDownRetryAfter is the retry delay given to a caller of the callers' API whose
	// request could not be recorded.
	storeDownRetryAfter = 5 * time.Second
	// notReadyRetryAfter is the retry delay given to a caller of the callers' API before
	// the entry has read its configuration.
	notReadyRetryAfter = time.Second
)

// Request is a request of the callers' API: a job of one step.
type Request struct {
	Workspace    string
	Kind         string
	Workers      int
	Accelerators int
	Adjacent     operator.Adjacency
	Declared     time.Duration // expected run time; 0 if unknown
	Deadline     time.Duration // time from the submission within which the job must start; 0 for none
	Idempotent   *bool         // nil for the default of the kind
	Key          string        // idempotency key; generated if empty
	Payload      []byte
}

func (r Request) shape() operator.Shape {
	return operator.NewShape(r.Workers, r.Accelerators).WithAdjacency(r.Adjacent)
}

// ConfigSource provides the current configuration.
type ConfigSource interface {
	Snapshot() *configuration.Snapshot
}

// Requests implements the callers' API, in which a request has a workspace, a kind and
// an idempotency key. Its methods are safe for concurrent use.
type Requests struct {
	jobs     *Service
	cfg      ConfigSource
	objects  table.Objects
	notifier *notifier
	draining chan struct{}
}

// NewRequests returns a service of the callers' API that records its jobs with jobs
// and stores large payloads in objects.
func NewRequests(jobs *Service, cfg ConfigSource, objects table.Objects) *Requests {
	return &Requests{
		jobs: jobs, cfg: cfg, objects: objects, notifier: newNotifier(jobs.store), draining: make(chan struct{}),
	}
}

// StartDrain makes the service refuse new requests and ends the waits of those in
// progress. It must be called at most once.
func (q *Requests) StartDrain() { close(q.draining) }

// Close stops the background watch of the store. No call may be in progress.
func (q *Requests) Close() { q.notifier.close() }

func (q *Requests) isDraining() bool {
	select {
	case <-q.draining:
		return true
	default:
		return false
	}
}

func notRun(reason outcome.Reason, retry time.Duration, detail string) outcome.NotRun {
	return outcome.NotRun{Reason: reason, Detail: detail, RetryAfter: retry}
}

// Submit records a request, waits up to wait for the end of its job and returns its
// status.
func (q *Requests) Submit(ctx context.Context, r Request, wait time.Duration) (Status, error) {
	j, refusal := q.resolve(r)
	if refusal == nil {
		refusal = q.checkQueueLimit(ctx, j)
	}
	if refusal != nil {
		return Status{Workspace: r.Workspace, Key: r.Key, Outcome: *refusal}, nil
	}
	st := Status{Workspace: j.Workspace, Key: j.Key, Job: j.ID}
	if len(r.Payload) > maxInlineBytes {
		j.Payload, j.PayloadObject = "", "payload-"+j.ID+"-"+j.Token
		if err := q.objects.PutObject(ctx, j.PayloadObject, r.Payload); err != nil {
			st.Outcome = notRun(outcome.ReasonStoreDown, storeDownRetryAfter, "the payload could not be stored")
			return st, nil
		}
	}
	switch res := q.jobs.Submit(ctx, j).(type) {
	case Refused:
		st.Outcome = notRun(outcome.ReasonStoreDown, storeDownRetryAfter, "the request could not be recorded")
		return st, nil
	case OutcomeUnknown:
		st.Outcome = outcome.Unknown{Detail: "the store did not say whether the request was recorded"}
		return st, nil
	case Accepted:
		if res.Duplicate {
			if same, err := q.sameRequest(ctx, j, r.Payload); err != nil || !same {
				return duplicateStatus(st, err), nil
			}
		}
	}
	return q.await(ctx, j.ID, wait)
}

// duplicateStatus returns the status of a submission whose job ID is already recorded
// for another request, or for one that could not be read because of err.
func duplicateStatus(st Status, err error) Status {
	if err != nil {
		st.Outcome = outcome.Unknown{Detail: "the job could not be read"}
		return st
	}
	st.Outcome = notRun(outcome.ReasonKeyConflict, 0, "the idempotency key belongs to another request")
	return st
}

// resolve checks a request against the configuration and returns its job.
func (q *Requests) resolve(r Request) (job.Job, *outcome.NotRun) {
	reject := func(n outcome.NotRun) (job.Job, *outcome.NotRun) { return job.Job{}, &n }
	if q.isDraining() {
		return reject(notRun(outcome.ReasonLeaving, time.Second, "the entry is shutting down"))
	}
	snap := q.cfg.Snapshot()
	if snap == nil {
		return reject(notRun(outcome.ReasonNotReady, notReadyRetryAfter, "the entry does not know the current configuration"))
	}
	if _, ok := snap.Workspace(r.Workspace); !ok {
		return reject(notRun(outcome.ReasonInvalid, 0, fmt.Sprintf("unknown workspace %q", r.Workspace)))
	}
	kind, ok := snap.Kind(r.Workspace, r.Kind)
	if !ok {
		return reject(notRun(outcome.ReasonInvalid, 0, fmt.Sprintf("unknown kind %q of workspace %q", r.Kind, r.Workspace)))
	}
	idempotent := kind.Idempotent()
	if r.Idempotent != nil {
		if *r.Idempotent && !idempotent {
			return reject(notRun(outcome.ReasonInvalid, 0, fmt.Sprintf("kind %q is not idempotent", r.Kind)))
		}
		idempotent = *r.Idempotent
	}
	shape := r.shape()
	if shape.Workers() > maxGangTasks {
		return reject(notRun(outcome.ReasonNeverFits, 0, fmt.Sprintf("a gang has at most %d tasks", maxGangTasks)))
	}
	if site := snap.Config.Site(); site.Workers() > 0 && !site.Fits(shape) {
		return reject(notRun(outcome.ReasonNeverFits, 0, "the shape does not fit the empty site"))
	}
	if r.Key == "" {
		r.Key = rand.Text()
	}
	return newJob(r, kind, idempotent), nil
}

func newJob(r Request, kind operator.Kind, idempotent bool) job.Job {
	j := job.Job{
		ID: job.DeriveID(r.Workspace, r.Key), Workspace: r.Workspace, Kind: kind.Name(), Queue: kind.Queue(), Pool: kind.Pool(),
		Payload: string(r.Payload), Token: rand.Text(), Key: r.Key, AtMostOnce: !idempotent,
		LimitMillis: kind.Limit().Milliseconds(),
		Steps: []job.Step{{
			Tasks: r.Workers, Accelerators: r.Accelerators, EstimateMillis: r.Declared.Milliseconds(), Gang: r.Workers > 1,
			SameRack: r.Adjacent == operator.AdjacentRack, SameWorker: r.Adjacent == operator.AdjacentWorker,
		}},
	}
	if r.Deadline > 0 {
		// Relative to the submission; Service.Submit adds the time of the store's clock.
		j.DeadlineMillis = max(r.Deadline.Milliseconds(), 1)
	}
	return j
}

// checkQueueLimit returns a refusal if the queue of the job is at the queue limit of
// its workspace or at maxQueueLimit, or if the queue cannot be read.
func (q *Requests) checkQueueLimit(ctx context.Context, j job.Job) *outcome.NotRun {
	w, _ := q.cfg.Snapshot().Workspace(j.Workspace)
	n, err := q.jobs.Waiting(ctx, j.Queue)
	if err != nil {
		r := notRun(outcome.ReasonStoreDown, storeDownRetryAfter, "the request could not be recorded")
		return &r
	}
	if n < min(w.QueueLimit(), maxQueueLimit) {
		return nil
	}
	r := notRun(outcome.ReasonQueueFull, defaultRetryAfter, fmt.Sprintf("%d jobs of the kind wait", n))
	return &r
}

// sameRequest reports whether the recorded job with the ID of j has the same content
// as j with the given payload.
func (q *Requests) sameRequest(ctx context.Context, j job.Job, payload []byte) (bool, error) {
	rec, err := q.jobs.readJob(ctx, j.ID)
	if err != nil {
		return false, err
	}
	recorded := rec.job
	if recorded.PayloadObject != "" {
		body, err := q.objects.GetObject(ctx, recorded.PayloadObject)
		if err != nil {
			return false, fmt.Errorf("read payload of job %s: %w", j.ID, err)
		}
		recorded.Payload = string(body)
	}
	return recorded.Workspace == j.Workspace && recorded.Key == j.Key && recorded.Kind == j.Kind && recorded.AtMostOnce == j.AtMostOnce &&
		bytes.Equal([]byte(recorded.Payload), payload) && len(recorded.Steps) == 1 && sameStep(recorded.Steps[0], j.Steps[0]), nil
}

func sameStep(x, y job.Step) bool {
	return x.Tasks == y.Tasks && x.Accelerators == y.Accelerators && x.EstimateMillis == y.EstimateMillis &&
		x.SameRack == y.SameRack && x.SameWorker == y.SameWorker
}

// Lookup waits up to wait for the end of a job and returns its status.
func (q *Requests) Lookup(ctx context.Context, workspace, key string, wait time.Duration) (Status, error) {
	return q.await(ctx, job.DeriveID(workspace, key), wait)
}

// Cancel records the cancellation of a job and returns its status, which shows the
// cancellation only after the planner has processed it.
func (q *Requests) Cancel(ctx context.Context, workspace, key string) (Status, error) {
	id := job.DeriveID(workspace, key)
	if err := q.jobs.Cancel(ctx, id, ""); err != nil {
		return Status{}, err
	}
	return q.await(ctx, id, 0)
}

// List returns the status of up to limit jobs of a workspace whose keys sort after the
// given one, in key order and without their answers.
func (q *Requests) List(ctx context.Context, workspace, after string, limit int) ([]Status, error) {
	from, to := job.IdempotencyRowRange(workspace, after)
	p, err := q.jobs.breaker.read(ctx, table.Range{Table: job.TableIdempotencyKeys, Part: q.jobs.part, From: from, To: to, Limit: limit})
	if err != nil {
		return nil, fmt.Errorf("list jobs of %s: %w", workspace, err)
	}
	out := make([]Status, 0, len(p.Rows))
	for _, r := range p.Rows[:min(len(p.Rows), limit)] {
		rec, err := q.jobs.readJob(ctx, string(r.Value))
		if errors.Is(err, ErrNoJob) {
			continue
		}
		if err != nil {
			return nil, err
		}
		st, err := q.statusOf(ctx, rec, false)
		if err != nil {
			return nil, err
		}
		out = append(out, st)
	}
	return out, nil
}
