//go:build review3

package main

import (
	"context"
	"fmt"
	"time"
)

// playOtherKind lets a worker crash behind a short cut and start again under its Id as one of another
// kind, while a job is handed in that needs the kind that it had.
func playOtherKind(ctx context.Context, s *site, trouble bool) error {
	h := s.hosts[2]
	h.endReports()
	s.crashWorker(h)
	if err := s.startWorker(ctx, h, "b"); err != nil {
		return err
	}
	id, born := h.worker.Incarnation()
	s.rec.add("the worker of %s is now %s of kind b, born %d; no other worker is of this kind", h.name, id, born)
	time.Sleep(4 * time.Second)
	kinds := map[int64]string{born: "b"}
	const job = "00000000000000b1"
	if trouble {
		h.app.cut()
		h.report.cut()
		s.rec.add("the worker of %s is cut off from all machines", h.name)
		time.Sleep(100 * time.Millisecond)
	}
	err := s.submit(ctx, 0, "cut-check", job, map[string]any{
		"Spec":  payload(3 * time.Second),
		"Steps": []any{map[string]any{"Count": 1, "Cpu": 15000, "MemMb": 31000, "Gpu": 1, "EstMs": 3000, "Requires": "b"}},
	})
	if err != nil {
		return err
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		h.endReports()
		s.crashWorker(h)
		time.Sleep(100 * time.Millisecond)
		if err := s.startWorker(ctx, h, "a"); err != nil {
			return err
		}
		id, born := h.worker.Incarnation()
		kinds[born] = "a"
		s.rec.add("the worker of %s has started again as %s of kind a, born %d", h.name, id, born)
		time.Sleep(100 * time.Millisecond)
		h.app.heal()
		h.report.heal()
		s.rec.add("the worker is connected again")
	}
	time.Sleep(10 * time.Second)
	s.addRuns(job)
	for _, r := range s.runsOf(job) {
		if kinds[r.Born] != "b" {
			return fmt.Errorf("%w: ROUTE: run %d of %s, which requires the label b, was started on %s, born %d, which has the label a",
				errBroken, r.Run, r.Task, r.Worker, r.Born)
		}
	}
	return nil
}
