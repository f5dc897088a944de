//go:build review3

package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/state/job"
)

// playManyEnds kills the process that plans shortly before more small tasks end on a worker than the
// worker lists at a time.
func playManyEnds(ctx context.Context, s *site, trouble bool) error {
	const jobs, tasks, runTime = 4, 200, 8 * time.Second
	id := func(i int) string { return fmt.Sprintf("%016x", 0xc0+i) }
	for i := range jobs {
		err := s.submit(ctx, 0, "cut-check", id(i), map[string]any{
			"Spec": payload(runTime), "Steps": []any{map[string]any{"Count": tasks, "Cpu": 100, "MemMb": 50, "EstMs": runTime.Milliseconds()}},
		})
		if err != nil {
			return err
		}
	}
	var busiest *host
	most := func() int {
		n := 0
		for _, h := range s.hosts {
			if r := len(h.worker.RunningTasks()); r > n {
				n, busiest = r, h
			}
		}
		return n
	}
	if !await(ctx, runTime-2*time.Second, func() bool { return most() == jobs*tasks }) {
		return fmt.Errorf("only %d tasks run on one worker", most())
	}
	first := time.Now()
	for _, r := range s.runs.Records() {
		if r.Arrived.Before(first) {
			first = r.Arrived
		}
	}
	s.rec.add("%d tasks run on the worker of %s; %s plans", most(), busiest.name, s.planner())
	time.Sleep(time.Until(first.Add(runTime - 300*time.Millisecond)))
	if trouble {
		i := slices.IndexFunc(s.hosts, func(h *host) bool { return h.name == s.planner() })
		if i < 0 {
			return errors.New("nobody plans")
		}
		p := s.hosts[i].target
		p.signal(syscall.SIGKILL)
		_ = p.cmd.Wait()
		s.rec.add("%s, which plans, was killed", p.name)
		time.Sleep(500 * time.Millisecond)
		if err := p.start(); err != nil {
			return err
		}
		s.rec.add("%s was started again", p.name)
	}
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

// judgeOnce checks that no task has run twice at once, or again after it was done.
func (s *site) judgeOnce() error {
	records := s.runs.Records()
	left := int64(0)
	for _, h := range s.hosts {
		left += h.endsLeft.Load()
	}
	s.rec.add("%d runs; %d ends have not been taken note of", len(records), left)
	if left > 0 {
		return errors.New("some ends have not been taken note of yet")
	}
	broken := worker.CheckOnce(records, func(job.TaskName) int { return 1 }, time.Now())
	if len(broken) == 0 {
		return nil
	}
	for _, b := range broken[:min(len(broken), 5)] {
		s.rec.add("%s", b)
		s.addRuns(strings.Fields(b)[3])
	}
	return fmt.Errorf("%w: TWICE: %d times", errBroken, len(broken))
}
