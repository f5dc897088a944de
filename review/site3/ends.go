//go:build review3

package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"syscall"
	"time"

	"github.com/medlargrade/medlargrade/standin/worker"
)

// steadyAfter is how long the processes run before the load comes. For 22.7 s after its start, a target
// process lets leases lapse before it passes on ends of which it can't be certain, and a lapse excuses a
// second run.
const steadyAfter = 25 * time.Second

// playManyEnds kills the process that plans shortly before more small tasks end on a worker than the
// worker lists at a time. It plans on another machine than that of the worker.
func playManyEnds(ctx context.Context, s *site, trouble bool) error {
	const jobs, tasks, runTime = 4, 200, 8 * time.Second
	h := s.hosts[slices.IndexFunc(s.hosts, func(h *host) bool { return h.name != s.planner() })]
	h.endReports()
	s.crashWorker(h)
	if err := s.startWorker(ctx, h, "b"); err != nil {
		return err
	}
	s.rec.add("the worker of %s is of kind b, as no other", h.name)
	time.Sleep(steadyAfter)
	id := func(i int) string { return fmt.Sprintf("%016x", 0xc0+i) }
	for i := range jobs {
		err := s.submit(ctx, 0, "cut-check", id(i), map[string]any{
			"Spec": payload(runTime),
			"Steps": []any{map[string]any{
				"Count": tasks, "Cpu": 100, "MemMb": 50, "EstMs": runTime.Milliseconds(), "Requires": "b",
			}},
		})
		if err != nil {
			return err
		}
	}
	if !await(ctx, runTime-2*time.Second, func() bool { return len(h.worker.RunningTasks()) == jobs*tasks }) {
		return fmt.Errorf("only %d tasks run", len(h.worker.RunningTasks()))
	}
	first := time.Now()
	for _, r := range s.runs.Records() {
		if r.Arrived.Before(first) {
			first = r.Arrived
		}
	}
	s.rec.add("%d tasks run on the worker of %s; %s plans", jobs*tasks, h.name, s.planner())
	if s.planner() == h.name {
		return errors.New("the process beside the worker plans")
	}
	time.Sleep(time.Until(first.Add(runTime - 300*time.Millisecond)))
	if trouble {
		p := s.hosts[slices.IndexFunc(s.hosts, func(h *host) bool { return h.name == s.planner() })].target
		p.signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
		s.rec.add("%s, which plans, was killed", p.name)
		time.Sleep(500 * time.Millisecond)
		if err := p.start(); err != nil {
			return err
		}
		s.rec.add("%s was started again", p.name)
	}
	time.Sleep(500 * time.Millisecond)
	noted := await(ctx, 8*time.Second, func() bool { return h.endsLeft.Load() == 0 && len(h.worker.RunningTasks()) == 0 })
	s.rec.add("all ends on the worker of %s have been taken note of: %t", h.name, noted)
	for i := range jobs {
		state := ""
		await(ctx, 40*time.Second, func() bool {
			state, _ = s.state(ctx, 0, "cut-check", id(i))
			return state == "completed" || state == "failed"
		})
		s.rec.add("GET /cut-check/%s -> %s", id(i), state)
	}
	time.Sleep(3 * time.Second)
	return s.judgeOnce()
}

// judgeOnce checks that no task was started after a run of it had ended done, unless the worker's lease
// lapsed before that end was taken note of.
func (s *site) judgeOnce() error {
	records := s.runs.Records()
	s.rec.add("%d runs", len(records))
	broken := make(map[string]struct{})
	for _, earlier := range records {
		if earlier.How != worker.EndDone || !earlier.Void.IsZero() {
			continue
		}
		for _, later := range records {
			if later.Task == earlier.Task && later.Run > earlier.Run && later.Arrived.After(earlier.Ended) {
				broken[later.Task] = struct{}{}
			}
		}
	}
	if len(broken) == 0 {
		return nil
	}
	tasks := slices.Sorted(maps.Keys(broken))
	for _, t := range tasks[:min(len(tasks), 5)] {
		s.addRuns(t)
	}
	return fmt.Errorf("%w: TWICE: %d units were started again after they had ended \"done\"", errBroken, len(tasks))
}
