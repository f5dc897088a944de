package intake

import (
	"bytes"
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/admission"
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

// Requests implements the callers' API, in which a request has a workspace, a kind and
// an idempotency key. Its methods are safe for concurrent use.
type Requests struct {
	jobs     *Service
	cfg      configuration.Source
	objects  table.Objects
	notifier *notifier
	draining chan struct{}
}

// NewRequests returns a service of the callers' API that records its jobs with jobs
// and stores large payloads in objects.
func NewRequests(jobs *Service, cfg configuration.Source, objects table.Objects) *Requests {
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
// status. A request under a recorded key gets the status of the recorded job, whether or
// not the entry accepts new requests. Without the store, its outcome is unknown.
func (q *Requests) Submit(ctx context.Context, r Request, wait time.Duration) (Status, error) {
	if r.Key != "" {
		if st, found, err := q.submitRecorded(ctx, r, wait); found || err != nil {
			return st, err
		}
	}
	j, demand, refusal := q.check(ctx, r)
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
	mayCancel := func(workspace string) bool { return workspace == j.Workspace }
	switch res := q.jobs.Submit(ctx, j, demand, mayCancel).(type) {
	case Refused:
		if res.Cancelled {
			st.Outcome = notRun(outcome.ReasonCanceled, 0, res.Reason)
			return st, nil
		}
		if res.Overloaded {
			st.Outcome = notRun(outcome.ReasonQueueFull, res.RetryAfter, res.Reason)
			return st, nil
		}
		st.Outcome = notRun(outcome.ReasonStoreDown, storeDownRetryAfter, "the request could not be recorded")
		return st, nil
	case OutcomeUnknown:
		st.Outcome = outcome.Unknown{Detail: "the store did not say whether the request was recorded"}
		return st, nil
	case Accepted:
		if res.Duplicate {
			// Another submission has recorded the key since it was looked up.
			st, _, err := q.submitRecorded(ctx, r, wait)
			return st, err
		}
	}
	return q.await(ctx, j.ID, wait)
}

// Check returns the job that a submission of the request would record and the refusal that the
// submission would get now, or nil. It records nothing. The job has no ID if the request was
// refused before it was complete.
func (q *Requests) Check(ctx context.Context, r Request) (job.Job, *outcome.NotRun) {
	j, _, refusal := q.check(ctx, r)
	return j, refusal
}

// check is Check, and returns the demand by which admission decides.
func (q *Requests) check(ctx context.Context, r Request) (job.Job, admission.Demand, *outcome.NotRun) {
	j, demand, queueLimit, refusal := q.resolve(ctx, r)
	if refusal == nil {
		refusal = q.checkQueueLimit(ctx, j, queueLimit)
	}
	return j, demand, refusal
}

// submitRecorded returns the status of a submission whose key is recorded, and whether the
// submission is decided: it is not if the key is not recorded. If the recorded job can't be
// read, its outcome is unknown.
func (q *Requests) submitRecorded(ctx context.Context, r Request, wait time.Duration) (Status, bool, error) {
	st := Status{Workspace: r.Workspace, Key: r.Key, Job: job.DeriveID(r.Workspace, r.Key)}
	unknown := outcome.Unknown{Detail: "the store can't say whether the key is recorded; submit the request again under it", RetryAfter: storeDownRetryAfter}
	p, err := q.jobs.readJobRow(ctx, st.Job)
	if err != nil {
		st.Outcome = unknown
		return st, true, nil
	}
	if len(p.Rows) == 0 {
		return Status{}, false, nil
	}
	recorded, err := job.Decode(p.Rows[0].Value)
	if err != nil {
		return Status{}, true, fmt.Errorf("job %s: %w", st.Job, err)
	}
	same, err := q.sameRequest(ctx, recorded, r)
	switch {
	case err != nil:
		st.Outcome = unknown
		return st, true, nil
	case !same:
		st.Outcome = notRun(outcome.ReasonKeyConflict, 0, "the idempotency key belongs to another request")
		return st, true, nil
	}
	st, err = q.await(ctx, st.Job, wait)
	return st, true, err
}

// resolve checks a request against the configuration and returns its job, the job's demand and
// the queue limit of its workspace.
func (q *Requests) resolve(ctx context.Context, r Request) (job.Job, admission.Demand, int, *outcome.NotRun) {
	reject := func(n outcome.NotRun) (job.Job, admission.Demand, int, *outcome.NotRun) {
		return job.Job{}, admission.Demand{}, 0, &n
	}
	if q.isDraining() {
		return reject(notRun(outcome.ReasonLeaving, time.Second, "the entry is shutting down"))
	}
	snap := q.cfg.Current(ctx)
	if snap == nil {
		return reject(notRun(outcome.ReasonNotReady, notReadyRetryAfter, "the entry does not know the current configuration"))
	}
	workspace, ok := snap.Workspace(r.Workspace)
	if !ok {
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
	j := newJob(r, kind, idempotent)
	return j, admission.NewDemand(j, kind, workspace.GuaranteedSlots()), workspace.QueueLimit(), nil
}

func newJob(r Request, kind operator.Kind, idempotent bool) job.Job {
	j := job.Job{
		ID: job.DeriveID(r.Workspace, r.Key), Workspace: r.Workspace, Kind: kind.Name(), Queue: kind.Queue(), Pool: kind.Pool(),
		Payload: string(r.Payload), Token: rand.Text(), Key: r.Key, AtMostOnce: !idempotent,
		LimitMillis: kind.Limit().Milliseconds(), Attempts: kind.Attempts(),
		Steps: []job.Step{requestStep(r)},
	}
	if r.Deadline > 0 {
		// Relative to the submission; Service.Submit adds the time of the store's clock.
		j.DeadlineMillis = max(r.Deadline.Milliseconds(), 1)
	}
	return j
}

// requestStep returns the only step of the job of a request.
func requestStep(r Request) job.Step {
	return job.Step{
		Tasks: r.Workers, Accelerators: r.Accelerators, EstimateMillis: r.Declared.Milliseconds(), Gang: r.Workers > 1,
		SameRack: r.Adjacent == operator.AdjacentRack, SameWorker: r.Adjacent == operator.AdjacentWorker,
	}
}

// checkQueueLimit returns a refusal if the queue of the job is at the queue limit of
// its workspace, or if the queue cannot be read.
func (q *Requests) checkQueueLimit(ctx context.Context, j job.Job, limit int) *outcome.NotRun {
	n, err := q.jobs.waitingUpTo(ctx, j.Queue, limit)
	if err != nil {
		r := notRun(outcome.ReasonStoreDown, storeDownRetryAfter, "the request could not be recorded")
		return &r
	}
	if n < limit {
		return nil
	}
	r := notRun(outcome.ReasonQueueFull, defaultRetryAfter, fmt.Sprintf("%d jobs of the kind wait", n))
	return &r
}

// sameRequest reports whether a recorded job is that of a request: all but the deadline must
// be the same. A request that does not say whether it is idempotent matches either.
func (q *Requests) sameRequest(ctx context.Context, recorded job.Job, r Request) (bool, error) {
	if recorded.Workspace != r.Workspace || recorded.Key != r.Key || recorded.Kind != r.Kind ||
		r.Idempotent != nil && recorded.AtMostOnce == *r.Idempotent ||
		len(recorded.Steps) != 1 || !sameStep(recorded.Steps[0], requestStep(r)) {
		return false, nil
	}
	payload := []byte(recorded.Payload)
	if recorded.PayloadObject != "" {
		var err error
		if payload, err = q.objects.GetObject(ctx, recorded.PayloadObject); err != nil {
			return false, fmt.Errorf("read payload of job %s: %w", recorded.ID, err)
		}
	}
	return bytes.Equal(payload, r.Payload), nil
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
// cancellation only after the planner has processed it. It returns ErrNoJob if there is no
// such job; a later submission under the key is then refused as cancelled.
func (q *Requests) Cancel(ctx context.Context, workspace, key string) (Status, error) {
	id := job.DeriveID(workspace, key)
	if err := q.jobs.Cancel(ctx, id, Canceller{Workspace: workspace}, AnyJob); err != nil {
		return Status{}, err
	}
	return q.await(ctx, id, 0)
}

// List returns the status of up to limit jobs of a workspace whose keys sort after the
// given one, in key order and without their answers. next is the key after which the next
// page begins, or empty if there are no more jobs. A page may have fewer jobs than limit
// although there are more, because jobs are removed meanwhile.
func (q *Requests) List(ctx context.Context, workspace, after string, limit int) (page []Status, next string, err error) {
	from, to := job.IdempotencyRowRange(workspace, after)
	keys := table.Range{Table: job.TableIdempotencyKeys, Part: q.jobs.part, From: from, To: to, Limit: limit}
	p, err := q.jobs.read(ctx, keys, limit)
	if err != nil {
		return nil, "", fmt.Errorf("list jobs of %s: %w", workspace, err)
	}
	page = make([]Status, 0, len(p.Rows))
	for _, r := range p.Rows {
		rec, err := q.jobs.readJob(ctx, string(r.Value))
		if errors.Is(err, ErrNoJob) {
			continue
		}
		if err != nil {
			return nil, "", err
		}
		st, err := q.statusOf(ctx, rec, false)
		if err != nil {
			return nil, "", err
		}
		page = append(page, st)
	}
	if p.More {
		next = job.ParseIdempotencyRowKey(workspace, p.Rows[len(p.Rows)-1].Key)
	}
	return page, next, nil
}
