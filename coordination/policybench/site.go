package policybench

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/health"
	"github.com/medlargrade/medlargrade/state/targets"
)

// Behaviour of the fake workers.
const (
	heartbeat        = 2 * time.Second
	messageTime      = time.Millisecond
	checkpointEvery  = 10 * time.Minute
	checkpointMax    = 3 * time.Second
	checkpointFails  = 0.2 // share of checkpoints on request that do not finish
	stopTime         = 500 * time.Millisecond
	restartTime      = 20 * time.Second // of work that starts again from a checkpoint
	deadDialTime     = 2 * time.Second
	singleLostAfter  = 6 * time.Second
	gangLostAfter    = 15 * time.Second
	lossDuration     = 2 * time.Hour
	badDuration      = time.Hour
	lostWorker       = 1
	badWorker        = 6
	badWorkerRunTime = 200 * time.Millisecond
)

// worker is a fake worker with its target process.
type worker struct {
	name        string
	rack        string
	incarnation uint64
	sequence    uint64
	free        int
	alive       bool
	bad         bool
	tasks       map[string]int // slots by job
}

type event struct {
	at  time.Time
	seq int // keeps events of one time in order
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, k int) bool {
	return e[i].at.Before(e[k].at) || e[i].at.Equal(e[k].at) && e[i].seq < e[k].seq
}
func (e events) Swap(i, k int) { e[i], e[k] = e[k], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

func (s *sim) at(t time.Time, do func()) {
	s.eventCount++
	heap.Push(&s.events, event{at: t, seq: s.eventCount, do: do})
}

func (s *sim) addWorkers(loss bool) {
	for i := range workers {
		s.workers = append(s.workers, &worker{
			name: fmt.Sprintf("t%02d", i), rack: rackName(i), incarnation: 1, free: slots, alive: true, tasks: make(map[string]int),
		})
	}
	s.heartbeats()
	bad := s.workers[badWorker]
	s.at(s.begin.Add(time.Duration(badAt*float64(s.horizon))), func() { bad.bad = true })
	s.at(s.begin.Add(time.Duration(badAt*float64(s.horizon))).Add(badDuration), func() { bad.bad = false })
	if loss {
		s.at(s.begin.Add(time.Duration(lossAt*float64(s.horizon))), func() { s.lose(s.workers[lostWorker]) })
	}
}

func (s *sim) worker(name string) *worker {
	for _, w := range s.workers {
		if w.name == name {
			return w
		}
	}
	return nil
}

// heartbeats sends full reports of all workers and runs the periodic work of the
// entry.
func (s *sim) heartbeats() {
	for _, w := range s.workers {
		if !w.alive {
			continue
		}
		w.sequence++
		r := targets.Report{
			Target: w.name, Rack: w.rack, Incarnation: w.incarnation, Sequence: w.sequence,
			Slots: slots, Free: w.free, Ready: true,
		}
		for id, n := range w.tasks {
			j := s.jobs[id]
			t := s.task(j, n)
			t.Run = s.now.Sub(j.started)
			t.SinceCheckpoint = t.Run % checkpointEvery
			r.Tasks = append(r.Tasks, t)
		}
		s.view.Apply(r, s.now)
	}
	s.periodic()
	s.at(s.now.Add(heartbeat), s.heartbeats)
}

// task returns the task of a job with n slots on one target.
func (s *sim) task(j *job, n int) targets.Task {
	return targets.Task{
		Job: j.id, Number: j.number, Workspace: j.workspace, Kind: j.kind, Class: string(j.class), Slots: n,
		Released: !j.started.IsZero(), Members: len(j.place), Hub: targets.Hub{Target: j.place[0].Target},
	}
}

// start launches all members of a dispatched job, or none.
func (s *sim) start(j *job) {
	if j.stopping { // chosen as a victim before it started
		j.stopping = false
		s.notRun(j)
		return
	}
	need := make(map[string]int)
	for _, m := range j.place {
		need[m.Target] += m.Slots
	}
	for name, n := range need {
		w := s.worker(name)
		if !w.alive {
			s.at(s.now.Add(deadDialTime), func() { s.notRun(j) })
			return
		}
		if w.free < n {
			s.figures.conflicts++
			s.notRun(j)
			return
		}
	}
	run, failedOn := j.remaining, ""
	for name, n := range need {
		w := s.worker(name)
		w.free -= n
		w.tasks[j.id] = n
		if w.bad {
			run, failedOn = min(run, badWorkerRunTime), name
		}
	}
	j.started = s.now
	s.figures.started(s, j)
	number := j.number
	s.at(s.now.Add(run), func() {
		if j.number == number && !j.started.IsZero() {
			s.end(j, failedOn)
		}
	})
}

// end ends the running attempt on its own. failedOn names the target on which a
// task failed, if any.
func (s *sim) end(j *job, failedOn string) {
	run := s.now.Sub(j.started)
	s.vacate(j)
	if failedOn != "" {
		s.figures.failed++
		s.failed(j, failedOn)
		return
	}
	s.figures.work += float64(j.shape.Slots()) * run.Seconds()
	s.figures.completed(s, j)
	delete(s.jobs, j.id)
	s.succeeded(j)
}

// halt stops the running attempt. saved is the part of its run that a checkpoint
// kept.
func (s *sim) halt(j *job, saved time.Duration) {
	if j.probe {
		j.probe = false
		s.tracker.ProbeAbandoned(j.place[0].Target)
	}
	run := s.now.Sub(j.started)
	s.figures.work += float64(j.shape.Slots()) * saved.Seconds()
	s.figures.lost += float64(j.shape.Slots()) * (run - saved + restartTime).Seconds()
	j.remaining = j.remaining - saved + restartTime
	s.vacate(j)
	if j.idempotent {
		s.requeue(j)
		return
	}
	s.figures.unknown++
	delete(s.jobs, j.id)
}

// vacate frees the slots of the running attempt on the workers.
func (s *sim) vacate(j *job) {
	for _, m := range j.place {
		w := s.worker(m.Target)
		if _, ok := w.tasks[j.id]; ok {
			w.free += w.tasks[j.id]
			delete(w.tasks, j.id)
		}
		s.view.Freed(m.Target, j.id, j.number, s.now)
	}
	s.site.Give(j.place)
	s.ledger.Remove(j.id, j.number)
	// Slots of preempted work may belong to a claim, which the site doesn't know.
	s.dirty = s.dirty || j.stopping
	j.started, j.stopping = time.Time{}, false
}

// preempt checkpoints and stops a victim for the next attempt of a claim, and
// returns the time of its end.
func (s *sim) preempt(j, claim *job) time.Time {
	s.figures.preemptions++
	j.stopping = true
	for _, m := range j.place {
		s.view.Preempted(m.Target, j.id, j.number, targets.ID(claim.id, claim.number+1), s.now)
	}
	end := s.now.Add(messageTime + time.Duration(s.rng.Float64()*float64(checkpointMax)) + stopTime)
	kept := s.rng.Float64() >= checkpointFails
	number := j.number
	s.at(end, func() {
		if j.number != number || j.started.IsZero() {
			return // ended by itself meanwhile
		}
		saved := s.now.Sub(j.started)
		if !kept || !j.idempotent {
			saved -= saved % checkpointEvery
		}
		s.halt(j, saved)
	})
	return end
}

// lose takes a worker away with all its tasks, and brings it back empty.
func (s *sim) lose(w *worker) {
	w.alive, s.dirty = false, true
	for _, id := range slices.Sorted(maps.Keys(w.tasks)) {
		j := s.jobs[id]
		number, saved := j.number, s.now.Sub(j.started)/checkpointEvery*checkpointEvery
		after := singleLostAfter
		if j.shape.Workers() > 1 {
			after = gangLostAfter
		}
		s.at(s.now.Add(after), func() {
			if j.number == number && !j.started.IsZero() {
				s.halt(j, saved)
			}
		})
	}
	s.at(s.now.Add(lossDuration), func() {
		w.alive, w.free, w.tasks = true, slots, make(map[string]int)
		w.incarnation++
		w.sequence = 0
		s.tracker.Forget(w.name)
	})
}

// succeeded and failed are what the entry learns from the end of an attempt.
func (s *sim) succeeded(j *job) {
	s.book.Observe(j.workspace, j.kind, j.declared, j.total, s.now)
	if j.probe {
		j.probe = false
		s.tracker.ProbeEnded(j.place[0].Target, j.workspace, j.kind, health.Succeeded, s.now)
	}
	for i, m := range j.place {
		if i == 0 || m.Target != j.place[i-1].Target {
			s.tracker.Observe(m.Target, j.workspace, j.kind, health.Succeeded, s.now)
		}
	}
	s.tracker.JobEnded(j.id)
	s.freed(j)
}

func (s *sim) failed(j *job, on string) {
	if j.probe {
		j.probe = false
		s.tracker.ProbeEnded(on, j.workspace, j.kind, health.Failed, s.now)
	}
	s.tracker.Observe(on, j.workspace, j.kind, health.Failed, s.now)
	v := s.tracker.JobFailed(j.id, on, j.workspace, j.kind, s.now)
	// A task that failed by itself has run, so the budget decides only on retries
	// of idempotent work.
	if !v.Retry || !j.idempotent || !s.retries.Retry(s.now) {
		s.figures.gaveUp++
		delete(s.jobs, j.id)
		s.tracker.JobEnded(j.id)
		s.freed(j)
		return
	}
	j.exclude = v.Exclude
	s.requeue(j)
}
