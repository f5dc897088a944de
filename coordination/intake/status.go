package intake

import (
	"context"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/state/job"
)

// Status is the status of a request.
type Status struct {
	Workspace string
	Key       string
	Job       string // job ID; empty if the request was refused before it was assigned
	State     job.State
	Outcome   outcome.Outcome // nil while the job has not ended
}

// await returns the status of a job once it has ended, wait has passed or the service
// is draining.
func (q *Requests) await(ctx context.Context, id string, wait time.Duration) (Status, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changed, unsubscribe := q.notifier.subscribe(id)
		rec, err := q.jobs.readJob(ctx, id)
		if err != nil || rec.state.Final() || wait <= 0 {
			unsubscribe()
			if err != nil {
				return Status{}, err
			}
			return q.statusOf(ctx, rec, true)
		}
		select {
		case <-changed:
		case <-timer.C:
			wait = 0
		case <-q.draining:
			wait = 0
		case <-ctx.Done():
			unsubscribe()
			return Status{}, ctx.Err()
		}
		unsubscribe()
	}
}

// statusOf returns the status of a job. The results of a completed job are included
// only if withAnswer is set.
func (q *Requests) statusOf(ctx context.Context, rec jobRecord, withAnswer bool) (Status, error) {
	st := Status{Workspace: rec.job.Workspace, Key: rec.job.Key, Job: rec.job.ID, State: rec.state}
	// The job of a request has only one occurrence.
	elapsed := time.Duration(0)
	started := false
	if len(rec.progress) > 0 {
		elapsed = time.Duration(rec.progress[0].ElapsedMillis) * time.Millisecond
		started = rec.progress[0].Begun
	}
	switch rec.state {
	case job.Completed:
		ran := outcome.Ran{Elapsed: elapsed}
		if withAnswer {
			results, err := q.results(ctx, rec.progress)
			if err != nil {
				return Status{}, err
			}
			ran.Answer.Parts = results
		}
		st.Outcome = ran
	case job.Failed:
		st.Outcome = outcome.Ran{
			Answer: outcome.Answer{Parts: make([][]byte, countTasks(rec.progress)), Failed: true, Error: firstTaskError(rec.progress)}, Elapsed: elapsed,
		}
	case job.Cancelled:
		st.Outcome = outcome.Unknown{Detail: "stopped after it was started: canceled by the caller"}
		if !started {
			st.Outcome = notRun(outcome.ReasonCanceled, 0, "canceled before it started")
		}
	case job.Expired:
		st.Outcome = notRun(outcome.ReasonDeadline, 0, "the deadline passed before a start")
	case job.Lost:
		st.Outcome = outcome.Unknown{Detail: "the worker or the contact with it was lost after the start"}
	case job.Queued, job.Running:
	}
	return st, nil
}

// results returns the results of all tasks in task order.
func (q *Requests) results(ctx context.Context, progress []job.Progress) ([][]byte, error) {
	var results [][]byte
	for _, p := range progress {
		for _, s := range p.Steps {
			for _, t := range s.Tasks {
				body := t.Result
				if t.ResultObject != "" {
					var err error
					if body, err = q.objects.GetObject(ctx, t.ResultObject); err != nil {
						return nil, fmt.Errorf("read result of job %s: %w", p.Job, err)
					}
				}
				results = append(results, body)
			}
		}
	}
	return results, nil
}

func countTasks(progress []job.Progress) int {
	n := 0
	for _, p := range progress {
		for _, s := range p.Steps {
			n += len(s.Tasks)
		}
	}
	return n
}

func firstTaskError(progress []job.Progress) string {
	for _, p := range progress {
		for _, s := range p.Steps {
			for _, t := range s.Tasks {
				if t.Error != "" {
					return t.Error
				}
			}
		}
	}
	return ""
}
