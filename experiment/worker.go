package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
)

// How a run ends, as workers report it. A crash ends runs with "", which is not reported
// to the planner.
const (
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	endBroken  = "broken"
	endAlone   = "alone"
)

// worker is a simulated worker together with its agent.
type worker struct {
	sim           *simulation
	name          string
	rack          string
	born          int64 // incarnation
	down          bool
	draining      bool
	goneAt        time.Duration // when it is lost, if it drains
	speed         float64       // relative to the nominal one
	slowdown      float64       // factor of the duration of work; 0 for none
	hanging       bool
	failsRuns     bool
	runs          map[string]*run
	pendingEnds   []*agentrpc.RunEnd
	lastEnd       int64 // number of the newest end
	lastPoll      int64 // number of the newest report, as agents count their polls
	reportPending bool  // a report is scheduled
}

// run is one run of a task on a worker.
type run struct {
	worker        *worker
	d             *simJob
	task          job.TaskName
	name          string
	number        int
	spec          job.Step
	gang          *gang
	work          time.Duration // total, on a healthy worker with the best placement
	workDone      time.Duration // at updatedAt; restoring a checkpoint counts as negative work
	restoredWork  time.Duration // work of the checkpoint that the run started from
	updatedAt     time.Duration
	history       []workPoint   // the work done at the beginning and at each change of the speed
	beganAt       time.Duration // when it began to work; -1 if it has not
	placeFactor   float64       // slowdown by its placement
	fails         bool
	failAfterWork time.Duration // the work after which it fails, if fails is set
	ended         bool
	endVersion    int  // incremented to cancel the scheduled end
	waits         bool // it is done and waits for slower members of its gang
}

// workPoint is the work that a run had done at a time.
type workPoint struct {
	at, work time.Duration
}

// gang is one run of all tasks of a gang.
type gang struct {
	members []*run
	ended   bool
}

type gangKey struct {
	job    string
	step   int
	number int
}

func (w *worker) inUse() (cpu, memory, accelerators int) {
	for _, r := range w.runs {
		cpu += r.spec.CPU
		memory += r.spec.MemoryMB
		accelerators += r.spec.Accelerators
	}
	return cpu, memory, accelerators
}

// execute executes an order and returns its result.
func (w *worker) execute(o planner.Order) *agentrpc.OrderResult {
	if o.Stop {
		if r := w.runs[o.Task]; r != nil && r.number == o.Run {
			w.sim.afterFunc(millis(w.sim.load.Site.StopMillis), func() { r.end(endStopped) })
		}
		return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_DONE, Look: w.lastPoll + 1}
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_DONE}
	}
	name, err := job.ParseTaskName(o.Task)
	d := w.sim.jobs[name.Job]
	if err != nil || d == nil {
		return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_REFUSED, Reason: "malformed"}
	}
	spec := d.job.Steps[name.Step]
	cpu, memory, accelerators := w.inUse()
	s := w.sim.load.Site
	if cpu+spec.CPU > s.CPU || memory+spec.MemoryMB > s.MemoryMB || accelerators+spec.Accelerators > s.Accelerators {
		w.sim.result.Refused++
		return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_REFUSED, Reason: "room"}
	}
	w.start(o, name, d, spec)
	return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_DONE}
}

func (w *worker) start(o planner.Order, name job.TaskName, d *simJob, spec job.Step) {
	w.sim.result.Starts++
	r := &run{worker: w, d: d, task: name, name: o.Task, number: o.Run, spec: spec, work: d.work[name.Step][name.Index], beganAt: -1, placeFactor: 1}
	if c := o.Message.GetStart().GetCheckpoint(); c != "" {
		var n int64
		if _, err := fmt.Sscanf(c, "at-%d", &n); err == nil {
			r.restoredWork = time.Duration(n)
			r.workDone = r.restoredWork - millis(w.sim.load.Site.RestoreMillis)
		}
	}
	if d.alwaysFails || w.sim.random.Float64() < d.kind.FailureShare {
		r.fails, r.failAfterWork = true, time.Duration(w.sim.random.Float64()*float64(r.work))
	}
	w.changeRuns(func() { w.runs[o.Task] = r })
	w.scheduleReport()
	if !spec.Gang || spec.Tasks == 1 {
		r.begin()
		return
	}
	key := gangKey{name.Job, name.Step, o.Run}
	g := w.sim.gangs[key]
	if g == nil {
		g = &gang{}
		w.sim.gangs[key] = g
		w.sim.afterFunc(millis(w.sim.load.Site.GangWaitMillis), func() {
			if len(g.members) < spec.Tasks {
				for _, m := range slices.Clone(g.members) {
					m.end(endAlone)
				}
			}
		})
	}
	r.gang = g
	g.members = append(g.members, r)
	if len(g.members) == spec.Tasks {
		g.begin()
	}
}

// begin starts the work of a gang. Its members have the work of the longest and end together,
// when the slowest is done.
func (g *gang) begin() {
	longest, apart := time.Duration(0), false
	for _, m := range g.members {
		longest = max(longest, m.work)
		apart = apart || m.worker.rack != g.members[0].worker.rack
	}
	for _, m := range g.members {
		m.work = longest
		if apart && m.spec.SameRack {
			m.placeFactor = m.worker.sim.load.Site.FarFactor
		}
		m.begin()
	}
}

// done reports whether all members have done their work.
func (g *gang) done() bool {
	return !slices.ContainsFunc(g.members, func(m *run) bool { return !m.waits })
}

// reportedProgress returns the progress that a run reports.
func (r *run) reportedProgress() time.Duration {
	if r.gang == nil || !r.worker.sim.load.Site.GangsReportTogether {
		return r.progress()
	}
	least := r.progress()
	for _, m := range r.gang.members {
		least = min(least, m.progress())
	}
	return least
}

func (r *run) begin() {
	if r.ended {
		return
	}
	r.beganAt, r.updatedAt = r.worker.sim.now, r.worker.sim.now
	r.history = append(r.history, workPoint{r.beganAt, r.workDone})
	r.schedule()
}

// speed returns the work done per unit of time.
func (r *run) speed() float64 {
	if r.worker.hanging {
		return 0
	}
	return r.worker.speed / (r.placeFactor * max(r.worker.slowdown, 1) * r.worker.interference(r))
}

// interference returns the slowdown of a run by what runs beside it.
func (w *worker) interference(r *run) float64 {
	factor := 1.0
	for _, x := range w.sim.load.Site.Interference {
		if x.Kind != r.d.kind.Name {
			continue
		}
		for _, o := range w.runs {
			if o != r && o.d.kind.Name == x.Beside {
				factor *= x.Factor
				break
			}
		}
	}
	return factor
}

// changeRuns changes the runs of the worker with f, which may change the speed of the others.
func (w *worker) changeRuns(f func()) {
	if len(w.sim.load.Site.Interference) == 0 {
		f()
		return
	}
	w.update(f)
}

// progress returns the work done so far.
func (r *run) progress() time.Duration {
	if r.beganAt < 0 || r.ended {
		return r.workDone
	}
	return min(r.workDone+time.Duration(float64(r.worker.sim.now-r.updatedAt)*r.speed()), r.work)
}

// schedule schedules the end of the run at its current speed and cancels the end that
// was scheduled before.
func (r *run) schedule() {
	r.endVersion++
	endVersion := r.endVersion
	speed := r.speed()
	if r.beganAt < 0 || speed == 0 || r.waits {
		return
	}
	targetWork, how := r.work, endDone
	if r.fails && r.failAfterWork > r.workDone {
		targetWork, how = r.failAfterWork, endFailed
	}
	if r.worker.failsRuns {
		targetWork, how = r.workDone, endFailed
	}
	r.worker.sim.afterFunc(time.Duration(float64(targetWork-r.workDone)/speed), func() {
		if r.endVersion != endVersion {
			return
		}
		if how == endDone && r.gang != nil {
			r.waits = true
			if !r.gang.done() {
				return
			}
		}
		r.end(how)
	})
}

// update changes the state of the worker with f and reschedules the ends of its runs.
func (w *worker) update(f func()) {
	for _, r := range w.runs {
		r.workDone, r.updatedAt = r.progress(), w.sim.now
		if r.beganAt >= 0 {
			r.history = append(r.history, workPoint{r.updatedAt, r.workDone})
		}
	}
	f()
	for _, name := range sortedNames(w.runs) {
		w.runs[name].schedule()
	}
	w.scheduleReport()
}

func sortedNames(runs map[string]*run) []string {
	out := make([]string, 0, len(runs))
	for name := range runs {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// end ends a run and with it the other members of its gang.
func (r *run) end(how string) {
	if r.ended {
		return
	}
	r.workDone = r.progress()
	r.ended = true
	r.endVersion++
	if !r.worker.down {
		r.worker.lastEnd++
		r.worker.pendingEnds = append(r.worker.pendingEnds, &agentrpc.RunEnd{
			Number: r.worker.lastEnd, Task: r.name, Run: int64(r.number), How: how, Checkpoint: r.checkpoint(how == endStopped),
		})
	}
	r.countWaste(how)
	r.worker.changeRuns(func() { delete(r.worker.runs, r.name) })
	r.worker.scheduleReport()
	if r.gang == nil || r.gang.ended {
		return
	}
	r.gang.ended = true
	for _, m := range slices.Clone(r.gang.members) {
		if how == endDone {
			m.end(endDone)
		} else {
			m.end(endBroken)
		}
	}
}

// countWaste counts stopped runs and adds the core-seconds that a stopped, broken or lost
// run occupied, less those that its checkpoint saves. Failed runs are not counted.
func (r *run) countWaste(how string) {
	switch how {
	case endStopped:
		r.worker.sim.result.Stopped++
	case endDone, endFailed:
		return
	}
	if r.beganAt < 0 {
		return
	}
	keptUntil := r.beganAt
	if c := r.checkpoint(how == endStopped); c != "" {
		kept := time.Duration(0)
		if _, err := fmt.Sscanf(c, "at-%d", &kept); err == nil && kept > r.restoredWork {
			keptUntil = r.reachedAt(kept)
		}
	}
	r.worker.sim.result.Wasted += (r.worker.sim.now - keptUntil).Seconds() * coreEquivalent(r.spec)
}

// reachedAt returns when the run had done an amount of work, which it has done by now.
func (r *run) reachedAt(work time.Duration) time.Duration {
	points := append(slices.Clip(r.history), workPoint{r.worker.sim.now, r.workDone})
	for i, p := range points[1:] {
		if p.work >= work {
			from := points[i]
			share := float64(work-from.work) / float64(max(p.work-from.work, 1))
			return from.at + time.Duration(share*float64(p.at-from.at))
		}
	}
	return r.worker.sim.now
}

// checkpoint returns the newest checkpoint, or "" if there is none. A run that is
// stopped makes one of all its work. A checkpoint is "at-" and the work that it saves, in
// nanoseconds.
func (r *run) checkpoint(atStop bool) string {
	if !r.spec.Checkpointable {
		return ""
	}
	n := r.progress()
	if !atStop {
		interval := millis(r.worker.sim.load.Site.CheckpointMillis)
		if interval <= 0 {
			return ""
		}
		n -= n % interval
	}
	if n = max(n, r.restoredWork); n <= 0 {
		return ""
	}
	return fmt.Sprintf("at-%d", int64(n))
}

// reportDelay is the delay from a change on a worker to its report to the planner.
const reportDelay = 2 * time.Millisecond

// scheduleReport reports the state of the worker after reportDelay. Changes until then
// share one report.
func (w *worker) scheduleReport() {
	if w.reportPending {
		return
	}
	w.reportPending = true
	w.sim.afterFunc(reportDelay, func() {
		w.reportPending = false
		w.report()
		w.sim.requestPass()
	})
}

// report reports the state of the worker to the planner.
func (w *worker) report() {
	if w.down {
		w.sim.planner.SetConnected(w.name, false)
		return
	}
	w.lastPoll++
	s := w.sim.load.Site
	in := &agentrpc.WatchReply{Listed: true, Look: w.lastPoll, Ended: w.pendingEnds, Boot: 1, Worker: &agentrpc.Worker{
		Life: &agentrpc.Life{Worker: fmt.Sprintf("%s-%d", w.name, w.born), Born: w.born}, Pool: pool,
		Cpu: int64(s.CPU), MemoryMb: int64(s.MemoryMB), Accelerators: int64(s.Accelerators),
		Labels: []string{"a", w.rack}, Rack: w.rack, Draining: w.draining, RemainingMillis: max(w.goneAt-w.sim.now, 0).Milliseconds(),
	}}
	for _, name := range sortedNames(w.runs) {
		r := w.runs[name]
		percent := int64(0)
		if r.work > 0 {
			percent = int64(100 * max(r.reportedProgress(), 0) / r.work)
		}
		in.Running = append(in.Running, &agentrpc.RunStatus{
			Task: r.name, Run: int64(r.number), Checkpoint: r.checkpoint(false), Percent: percent,
		})
	}
	w.sim.planner.Report(w.name, in, w.sim.clock())
}

// dropRecordedEnds drops the pending ends that the planner has recorded.
func (w *worker) dropRecordedEnds(ack planner.EndAck) {
	if ack.Incarnation.GetBorn() != w.born {
		return
	}
	w.pendingEnds = slices.DeleteFunc(slices.Clone(w.pendingEnds), func(e *agentrpc.RunEnd) bool { return e.GetNumber() <= ack.End })
}

// crash ends all runs on the worker without reporting their ends.
func (w *worker) crash() {
	w.down = true
	for _, name := range sortedNames(w.runs) {
		// The run may have ended already, with another member of its gang.
		if r := w.runs[name]; r != nil {
			r.end("")
		}
	}
	w.pendingEnds = nil
	w.scheduleReport()
}

// restart starts a new incarnation of the worker.
func (w *worker) restart() {
	w.born++
	w.down, w.draining, w.lastEnd = false, false, 0
	w.scheduleReport()
}

func compareNames(x, y *worker) int { return cmp.Compare(x.name, y.name) }
