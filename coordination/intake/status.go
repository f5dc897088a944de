package intake

import (
	"context"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/state/job"
)

// Status is what is known of a request.
type Status struct {
	Workspace string
	Key       string
	Job       string // ID; empty if the request was refused before it had one
	State     job.State
	Outcome   outcome.Outcome // nil while the job has not ended
}

// await describes a job once it has ended, or as it is when the time is over or
// the entry is leaving.
func (q *Requests) await(ctx context.Context, id string, wait time.Duration) (Status, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		news, forget := q.waiters.add(id)
		f, err := q.jobs.find(ctx, id)
		if err != nil || f.state.Final() || wait <= 0 {
			forget()
			if err != nil {
				return Status{}, err
			}
			return q.describe(ctx, f, true)
		}
		select {
		case <-news:
		case <-timer.C:
			wait = 0
		case <-q.leaving:
			wait = 0
		case <-ctx.Done():
			forget()
			return Status{}, ctx.Err()
		}
		forget()
	}
}

// describe returns the status of a job, with its answer if asked.
func (q *Requests) describe(ctx context.Context, f found, answer bool) (Status, error) {
	st := Status{Workspace: f.job.Workspace, Key: f.job.Key, Job: f.job.ID, State: f.state}
	elapsed := time.Duration(0)
	begun := false
	if len(f.progress) > 0 {
		elapsed = time.Duration(f.progress[0].ElapsedMillis) * time.Millisecond
		begun = f.progress[0].Begun
	}
	switch f.state {
	case job.Completed:
		ran := outcome.Ran{Elapsed: elapsed}
		if answer {
			parts, err := q.parts(ctx, f.progress)
			if err != nil {
				return Status{}, err
			}
			ran.Answer.Parts = parts
		}
		st.Outcome = ran
	case job.Failed:
		st.Outcome = outcome.Ran{
			Answer: outcome.Answer{Parts: make([][]byte, tasks(f.progress)), Failed: true, Error: firstError(f.progress)}, Elapsed: elapsed,
		}
	case job.Cancelled:
		st.Outcome = outcome.Unknown{Detail: "stopped after it was started: canceled by the caller"}
		if !begun {
			st.Outcome = refuse(outcome.ReasonCanceled, 0, "canceled before it started")
		}
	case job.Expired:
		st.Outcome = refuse(outcome.ReasonDeadline, 0, "the deadline passed before a start")
	case job.Lost:
		st.Outcome = outcome.Unknown{Detail: "the worker or the contact with it was lost after the start"}
	case job.Queued, job.Running:
	}
	return st, nil
}

// parts returns the results of all tasks in their order.
func (q *Requests) parts(ctx context.Context, progress []job.Progress) ([][]byte, error) {
	var parts [][]byte
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
				parts = append(parts, body)
			}
		}
	}
	return parts, nil
}

func tasks(progress []job.Progress) int {
	n := 0
	for _, p := range progress {
		for _, s := range p.Steps {
			n += len(s.Tasks)
		}
	}
	return n
}

func firstError(progress []job.Progress) string {
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
