//go:build review3

package main

import (
	"context"
	"fmt"
	"time"
)

// playNextLife lets a worker crash behind a short cut and start again under its Id, while a job is handed
// in that only this worker can run.
func playNextLife(ctx context.Context, s *site, trouble bool) error {
	h := s.hosts[2]
	h.endReports()
	s.crashWorker(h)
	if err := s.startWorker(ctx, h, "b"); err != nil {
		return err
	}
	s.rec.add("the worker of %s is of kind b, as no other", h.name)
	time.Sleep(4 * time.Second)
	step := func(run time.Duration) map[string]any {
		return map[string]any{
			"Spec":  payload(run),
			"Steps": []any{map[string]any{"Count": 1, "Cpu": 15000, "MemMb": 31000, "Gpu": 1, "EstMs": run.Milliseconds(), "Requires": "b"}},
		}
	}
	// The worker has listed ends, and has been told that they are taken note of.
	for i := range 3 {
		id := fmt.Sprintf("%016x", 0xa1+i)
		if err := s.submit(ctx, 0, "cut-check", id, step(300*time.Millisecond)); err != nil {
			return err
		}
		done := await(ctx, 10*time.Second, func() bool {
			state, _ := s.state(ctx, 0, "cut-check", id)
			return state == "completed"
		})
		if !done {
			return fmt.Errorf("the job %s has not ended", id)
		}
	}
	time.Sleep(2 * time.Second)
	if trouble {
		h.app.cut()
		h.report.cut()
		s.rec.add("the worker of %s is cut off from all machines", h.name)
		time.Sleep(100 * time.Millisecond)
	}
	const id = "00000000000000b1"
	if err := s.submit(ctx, 0, "cut-check", id, step(600*time.Millisecond)); err != nil {
		return err
	}
	if trouble {
		time.Sleep(100 * time.Millisecond)
		h.endReports()
		s.crashWorker(h)
		time.Sleep(100 * time.Millisecond)
		if err := s.startWorker(ctx, h, "b"); err != nil {
			return err
		}
		// What the processes ask the next life of the worker is a part of the record.
		log := func(request string, status int, answer string) {
			s.rec.add("hold %s -> %d %s", request, status, answer)
		}
		h.logHold.Store(&log)
		worker, born := h.worker.Incarnation()
		s.rec.add("the worker of %s has started again as %s, born %d", h.name, worker, born)
		time.Sleep(100 * time.Millisecond)
		h.app.heal()
		h.report.heal()
		s.rec.add("the worker is connected again")
	}
	time.Sleep(4 * time.Second)
	h.logHold.Store(nil)
	time.Sleep(6 * time.Second)
	state, _ := s.state(ctx, 0, "cut-check", id)
	s.rec.add("GET /cut-check/%s -> %s", id, state)
	s.addRuns(id)
	return s.judgeOnce()
}
