//go:build review3

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/standin/worker"
)

var cases = map[string]caseSpec{
	"loop":   {siteSettings{workers: 11, entries: 1}, playCrashLoop},
	"gone":   {siteSettings{workers: 11, entries: 1}, playWorkerGone},
	"life":   {siteSettings{workers: 11, entries: 1}, playNextLife},
	"kind":   {siteSettings{workers: 11, entries: 1}, playOtherKind},
	"budget": {siteSettings{workers: 7, entries: 1}, playTwoCutOff},
	"saved":  {siteSettings{workers: 3, entries: 1}, playLongCheckpoints},
	"ends":   {siteSettings{workers: 4, entries: 1}, playManyEnds},
}

// payload returns the payload of a job whose tasks run for the given time on a stand-in worker.
func payload(run time.Duration) string { return fmt.Sprintf(`{"RunMillis":%d}`, run.Milliseconds()) }

// occupy lets all workers but one run a task with more than half of their accelerators, and returns the
// one.
func (s *site) occupy(ctx context.Context) (*host, error) {
	for i := range len(s.hosts) - 1 {
		err := s.submit(ctx, 0, "cut-check", fmt.Sprintf("%016x", 0xa0+i), map[string]any{
			"Spec": payload(2 * time.Minute), "Steps": []any{map[string]any{"Count": 1, "Cpu": 15000, "MemMb": 31000, "Gpu": 5, "EstMs": 120000}},
		})
		if err != nil {
			return nil, err
		}
	}
	idle := func() []*host {
		return slices.DeleteFunc(slices.Clone(s.hosts), func(h *host) bool { return len(h.worker.RunningTasks()) > 0 })
	}
	if !await(ctx, 10*time.Second, func() bool { return len(idle()) == 1 }) {
		return nil, errors.New("the workers are not in use")
	}
	return idle()[0], nil
}

// hostOf returns the host whose worker runs a task, or nil.
func (s *site) hostOf(task string) *host {
	i := slices.IndexFunc(s.hosts, func(h *host) bool { return slices.Contains(h.worker.RunningTasks(), task) })
	if i < 0 {
		return nil
	}
	return s.hosts[i]
}

// planner returns the name of the target process that plans.
func (s *site) planner() string {
	var row struct{ Name string }
	value, _ := s.store.Value("Shard", process.ShardPart, "Owner")
	_ = json.Unmarshal(value, &row)
	return row.Name
}

// submitLasting hands in a job of tasks that run until it is cancelled, and waits until they run.
func (s *site) submitLasting(ctx context.Context, id string, step map[string]any) error {
	step["LongRunning"], step["EstMs"] = true, 1000
	count, _ := step["Count"].(int)
	if err := s.submit(ctx, 0, "roll-nest", id, map[string]any{"Spec": payload(time.Hour), "Steps": []any{step}}); err != nil {
		return err
	}
	running := func() bool {
		n := 0
		for _, h := range s.hosts {
			for _, t := range h.worker.RunningTasks() {
				if strings.HasPrefix(t, id) {
					n++
				}
			}
		}
		return n == count
	}
	if !await(ctx, 10*time.Second, running) {
		return errors.New("the lasting job does not run")
	}
	return nil
}

// playCrashLoop lets one worker of eleven go down and up by turns while it is the only one with room
// for a lasting job.
func playCrashLoop(ctx context.Context, s *site, trouble bool) error {
	free, err := s.occupy(ctx)
	if err != nil {
		return err
	}
	const id = "00000000000000b1"
	if err := s.submitLasting(ctx, id, map[string]any{"Count": 1, "Cpu": 52000, "MemMb": 140000, "Gpu": 8}); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if trouble {
		// The worker is down for half of each period of 1.4 s, for 6.5 s.
		const half = 700 * time.Millisecond
		for end := time.Now().Add(6500*time.Millisecond - half); time.Now().Before(end); {
			s.crashWorker(free)
			time.Sleep(half)
			if err := s.restartWorker(free, false); err != nil {
				return err
			}
			time.Sleep(half)
		}
		s.rec.add("the worker stays up from now on")
	}
	time.Sleep(25 * time.Second)
	state, status := s.state(ctx, 0, "roll-nest", id)
	s.rec.add("GET /roll-nest/%s -> %d %s", id, status, state)
	s.addRuns(id)
	failed := 0
	for _, r := range s.runsOf(id) {
		if r.How == worker.EndFailed {
			failed++
		}
	}
	switch {
	case (state == "failed" || state == "cancelled") && failed == 0:
		return fmt.Errorf("%w: LOST: a lasting job that nobody has cancelled is shown as %q, and none of its %d runs has ended \"failed\"", errBroken, state, len(s.runsOf(id)))
	case state != "running":
		return fmt.Errorf("the job is %q", state)
	}
	return nil
}

const (
	// lastingAfter is how long after its last run a lasting task must run again, and lastingFor how
	// long it may have nothing running from then on, by the rule LOST.
	lastingAfter = 6 * time.Second
	lastingFor   = 3 * time.Second
)

// playWorkerGone loses the worker of a lasting task for good, while ten others have nothing to do.
func playWorkerGone(ctx context.Context, s *site, trouble bool) error {
	const id, task = "00000000000000b1", "00000000000000b1.0.0.0"
	if err := s.submitLasting(ctx, id, map[string]any{"Count": 1, "Cpu": 52000, "MemMb": 140000, "Gpu": 8}); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		s.crashWorker(s.hostOf(task))
	}
	time.Sleep(20 * time.Second)
	state, status := s.state(ctx, 0, "roll-nest", id)
	s.rec.add("GET /roll-nest/%s -> %d %s", id, status, state)
	s.addRuns(id)
	runs := s.runsOf(id)
	for i, r := range runs {
		if r.Ended.IsZero() {
			continue
		}
		next := time.Now()
		if i+1 < len(runs) {
			next = runs[i+1].Arrived
		}
		if gap := next.Sub(r.Ended); gap > lastingAfter+lastingFor {
			return fmt.Errorf("%w: LOST: a lasting task had nothing running for %v after its last run, with ten idle workers", errBroken, gap.Round(time.Millisecond))
		}
	}
	return nil
}

// playTwoCutOff cuts two of seven target processes off that have workers with tasks of one step, of
// which one may be away.
func playTwoCutOff(ctx context.Context, s *site, trouble bool) error {
	const id = "00000000000000b1"
	if err := s.submitLasting(ctx, id, map[string]any{"Count": 3, "Cpu": 52000, "MemMb": 140000, "Gpu": 8, "MayMiss": 1}); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		var cut []*host
		for i := range 3 {
			if h := s.hostOf(fmt.Sprintf("%s.0.0.%d", id, i)); h.name != s.planner() && len(cut) < 2 {
				cut = append(cut, h)
			}
		}
		for _, h := range cut {
			h.agent.cut()
			h.store.cut()
			s.rec.add("%s is cut off from all other machines; its worker runs on", h.name)
		}
		time.Sleep(12 * time.Second)
		for _, h := range cut {
			h.agent.heal()
			h.store.heal()
			s.rec.add("%s is connected again", h.name)
		}
	}
	time.Sleep(10 * time.Second)
	s.addRuns(id)
	return s.judgeBudget(id, 1)
}

// judgeBudget checks that no stop has taken a task of a step away while mayMiss others were away
// because of stops.
func (s *site) judgeBudget(id string, mayMiss int) error {
	runs := s.runsOf(id)
	for _, r := range runs {
		if r.How != worker.EndStopped {
			continue
		}
		away := 0
		for _, other := range runs {
			if other.Task == r.Task || other.How != worker.EndStopped || other.Ended.After(r.Ended) {
				continue
			}
			back := slices.ContainsFunc(runs, func(x worker.Record) bool {
				return x.Task == other.Task && x.Run > other.Run && x.Arrived.Before(r.Ended)
			})
			if !back {
				away++
			}
		}
		if away >= mayMiss {
			return fmt.Errorf("%w: AVAIL: a stop has ended run %d of %s while %d other tasks of its step were away by stops", errBroken, r.Run, r.Task, away)
		}
	}
	return nil
}
