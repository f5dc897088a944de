package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/medlargrade/medlargrade/standin/caller"
	"github.com/medlargrade/medlargrade/standin/worker"
)

const (
	// restartShare is the share of the runs with random faults in which a worker is reborn.
	restartShare = 0.3
	// A worker is cut off for restartCutMin to restartCutMax before it crashes, and as long after it has
	// started again. Some of the cuts are over within the two attempts at an order, and some are not.
	restartCutMin = 50 * time.Millisecond
	restartCutMax = 700 * time.Millisecond
	// rebornDowntime is the time between the crash and the next start.
	rebornDowntime = 20 * time.Millisecond
	// restartPauseMax is the longest time between two restarts in a run that has only these faults.
	restartPauseMax = 1200 * time.Millisecond
	// minOfHardwareType is how many workers of each hardware type remain.
	minOfHardwareType = 2
)

const (
	// manyEndsAt is when the jobs are submitted. For 17.6 s after its start, a target's process lets
	// leases lapse before it passes on ends of which it can't be certain; a lapse excuses a second run.
	manyEndsAt = 20 * time.Second
	// manyEndsJobs jobs of manyEndsTasks tasks run on one worker for manyEndsRunTime. It lists 500 ends
	// at a time, so that the first list is cut.
	manyEndsJobs    = 4
	manyEndsTasks   = 200
	manyEndsRunTime = 8 * time.Second
	// manyEndsKillBefore is how long before the first end the process that plans is killed. Its successor
	// is to see no list before most tasks have ended.
	manyEndsKillBefore = 50 * time.Millisecond
)

// drawRestarts draws restarts of workers that follow one another closely.
func drawRestarts(r *rand.Rand, length time.Duration) []fault {
	var out []fault
	for at := randDuration(r, faultFreeMin, faultFreeMax); at < length; at += randDuration(r, 0, restartPauseMax) {
		out = append(out, drawRestart(r, at))
	}
	return out
}

func drawRestart(r *rand.Rand, at time.Duration) fault {
	return fault{
		at: at, duration: randDuration(r, restartCutMin, restartCutMax), kind: faultWorkerReborn,
		selector: r.IntN(maxSelector), variant: r.IntN(maxSelector),
	}
}

// drawManyEnds draws the one fault of its kind in a run.
func drawManyEnds(r *rand.Rand, length time.Duration) []fault {
	at := min(manyEndsAt+randDuration(r, 0, faultFreeMin), length)
	return []fault{{at: at, kind: faultManyEnds, selector: r.IntN(maxSelector), variant: r.IntN(maxSelector)}}
}

// hardwareTypeOf returns the hardware type of a worker at the start of a run. In a run with many ends
// each worker has one of its own, so that jobs can select it.
func (cfg Config) hardwareTypeOf(i int) string {
	switch {
	case cfg.ManyEnds:
		return workerName(i)
	case cfg.WorkerRestarts:
		return hardwareTypes[i%len(hardwareTypes)]
	}
	return hardwareTypes[0]
}

var hardwareTypes = []string{"a", "b"}

// reborn cuts a worker off from its target, crashes it behind the cut and starts it again under its ID.
// The returned function ends the cut. What it held back is lost.
func (s *site) reborn(f fault) (end func()) {
	i := f.selector % len(s.workers)
	m, w := s.targets[i], s.workers[i]
	ends := []func(){m.worker.Impose(linkFault{state: linkSilent}), m.report.Impose(linkFault{state: linkSilent})}
	time.Sleep(f.duration)
	w.Crash()
	if s.cfg.WorkerRestarts && f.variant%2 == 0 {
		s.changeHardwareType(i)
	}
	time.Sleep(rebornDowntime)
	w.Restart(false)
	return func() {
		m.worker.ResetOpen()
		m.report.ResetOpen()
		callAll(ends)()
	}
}

// changeHardwareType gives the next incarnation of a worker the other hardware type, if enough workers
// of its own remain.
func (s *site) changeHardwareType(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	own := s.hardware[i]
	left := 0
	for _, h := range s.hardware {
		if h == own {
			left++
		}
	}
	if left <= minOfHardwareType {
		return
	}
	s.hardware[i] = hardwareTypes[(slices.Index(hardwareTypes, own)+1)%len(hardwareTypes)]
	s.workers[i].SetHardwareType(s.hardware[i])
}

// manyEnds runs more small tasks on a worker than it lists ends at a time, and kills the process that
// plans, beside another worker, shortly before they end. It returns when their jobs have ended, which
// may be after ctx.
func (s *site) manyEnds(ctx context.Context, f fault) {
	planner := s.plannerIndex()
	if planner < 0 {
		s.history.addViolation("processes", "no process plans")
		return
	}
	i := (planner + 1 + f.selector%(len(s.workers)-1)) % len(s.workers)
	c := s.newClient(randomOf(s.cfg.Seed, restartStream), true) // It cancels no jobs.
	defer c.transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.cfg.Finish)
	defer cancel()
	queue := caller.Queue{Host: queueFill.Host, Prefix: queueFill.Prefix, Key: unguaranteedKey}
	var jobs []*jobRecord
	for k := range manyEndsJobs {
		j := caller.Job{
			ID: fmt.Sprintf("%016x", 0xe0+k), Payload: fmt.Sprintf(`{"RunMillis": %d}`, manyEndsRunTime.Milliseconds()),
			Steps: []caller.Step{{Tasks: manyEndsTasks, CPU: 100, MemoryMB: 50, EstimateMillis: manyEndsRunTime.Milliseconds(), Label: workerName(i)}},
		}
		rec := &jobRecord{job: j}
		if !c.submit(ctx, rec, queue) {
			s.history.addViolation("lost", j.ID+" was not accepted")
			return
		}
		jobs = append(jobs, rec)
	}
	for len(s.workers[i].RunningTasks()) < manyEndsJobs*manyEndsTasks {
		if ctx.Err() != nil {
			s.history.addViolation("lost", "the tasks did not run at the same time")
			return
		}
		time.Sleep(plannerBusyPoll)
	}
	time.Sleep(time.Until(firstStart(s.workerSite.Records(), jobs[0].job.ID).Add(manyEndsRunTime - manyEndsKillBefore)))
	s.targets[planner].program.signal(syscall.SIGKILL)
	for _, rec := range jobs {
		c.follow(ctx, rec, queue)
	}
	if ctx.Err() != nil {
		s.history.addViolation("lost", "a job with many tasks has not ended")
	}
}

// firstStart returns when the first run of a job was started.
func firstStart(records []worker.Record, id string) time.Time {
	i := slices.IndexFunc(records, func(r worker.Record) bool { return len(r.Task) > len(id) && r.Task[:len(id)] == id })
	return records[i].Arrived
}
