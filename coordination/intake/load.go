package intake

import (
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/state/job"
)

// checkLoad returns a refusal if the job certainly can't be served in time, by what the planner
// has published.
func (s *Service) checkLoad(j job.Job, d admission.Demand) *Refused {
	if s.controller == nil {
		return nil
	}
	// Without the store's clock, the age of the row is not known. It counts from 0 then, so
	// that a row is from the future.
	storeNow, _ := s.clock.Now()
	v := s.controller.Check(d, storeNow, time.Now())
	s.set.GetOrCreateCounter(fmt.Sprintf(`medlargrade_admissions_total{kind=%q,workspace=%q,reason=%q}`, j.Kind, j.Workspace, v.Reason)).Inc()
	if !v.Refused {
		return nil
	}
	s.reportSubmission(j, "refused", errors.New(v.Detail()))
	k, _ := v.Row.Kind(d.Queue)
	s.log.Info().Int("Event", EventRefusedByLoad).Str("Job", j.ID).Str("RequestID", j.RequestID).Str("Kind", j.Kind).Str("Workspace", j.Workspace).
		Str("Reason", v.Reason).Dur("Wait", v.Wait).Dur("Limit", v.Limit).Dur("RetryAfter", v.RetryAfter).Int("Accelerators", d.Largest).
		Dur("RowAge", v.RowAge).Uint64("ConfigVersion", v.Row.ConfigVersion).Int("Tasks", k.Tasks).Int64("Work", k.WorkMillis).
		Int("Drain", k.Drain).Int("Free", k.Free).Msg("the job certainly can't be served in time; nothing of it is written")
	return &Refused{Reason: v.Detail(), RetryAfter: v.RetryAfter, Overloaded: true}
}

// refusedByOutage returns the refusal of a job because the store is unavailable.
func (s *Service) refusedByOutage(j job.Job, d admission.Demand, cause error) Refused {
	r := s.refused(j, ErrStoreDown, cause)
	if s.controller != nil {
		r.RetryAfter = admission.RetryAfterOutage(j.ID, d.Urgent, s.breaker.downFor())
	}
	return r
}
