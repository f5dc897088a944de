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

// How a run ends, as workers say it.
const (
	endDone    = "done"
	endFailed  = "failed"
	endStopped = "stopped"
	endBroken  = "broken"
	endAlone   = "alone"
)

// worker is a simulated worker with its agent.
type worker struct {
	p       *player
	name    string
	rack    string
	born    int64
	down    bool
	drains  bool
	leaves  time.Duration // when it is gone, if it drains
	slow    float64       // factor of the time that work takes
	hangs   bool
	fails   bool
	runs    map[string]*run
	ended   []*agentrpc.RunEnd
	ends    int64
	look    int64
	pending bool // a report is under way
}

// run is one run on a worker.
type run struct {
	w       *worker
	d       *drawn
	task    job.TaskName
	name    string
	number  int
	spec    job.Step
	gang    *gang
	work    time.Duration // in all, on a sound worker near its data
	done    time.Duration // up to since
	saved   time.Duration // before this run
	since   time.Duration
	began   time.Duration // when it began to work; -1 before
	factor  float64       // of its place
	fails   bool
	failsAt time.Duration // of its work
	over    bool
	version int // of its next end
}

// gang is one run of a gang.
type gang struct {
	members []*run
	over    bool
}

type gangKey struct {
	job    string
	step   int
	number int
}

func (w *worker) size() (cpu, memory, accelerators int) {
	for _, r := range w.runs {
		cpu += r.spec.CPU
		memory += r.spec.MemoryMB
		accelerators += r.spec.Accelerators
	}
	return cpu, memory, accelerators
}

// carryOut carries out an order.
func (w *worker) carryOut(o planner.Order) *agentrpc.OrderResult {
	if o.Stop {
		if r := w.runs[o.Task]; r != nil && r.number == o.Run {
			w.p.after(millis(w.p.load.Site.StopMillis), func() { r.end(endStopped) })
		}
		return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_DONE, Look: w.look + 1}
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_DONE}
	}
	name, err := job.ParseTaskName(o.Task)
	d := w.p.jobs[name.Job]
	if err != nil || d == nil {
		return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_REFUSED, Reason: "malformed"}
	}
	spec := d.job.Steps[name.Step]
	cpu, memory, accelerators := w.size()
	s := w.p.load.Site
	if cpu+spec.CPU > s.CPU || memory+spec.MemoryMB > s.MemoryMB || accelerators+spec.Accelerators > s.Accelerators {
		w.p.result.Refused++
		return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_REFUSED, Reason: "room"}
	}
	w.start(o, name, d, spec)
	return &agentrpc.OrderResult{Outcome: agentrpc.Outcome_DONE}
}

func (w *worker) start(o planner.Order, name job.TaskName, d *drawn, spec job.Step) {
	w.p.result.Starts++
	r := &run{w: w, d: d, task: name, name: o.Task, number: o.Run, spec: spec, work: d.work[name.Step][name.Index], began: -1, factor: 1}
	if c := o.Message.GetStart().GetCheckpoint(); c != "" {
		var n int64
		if _, err := fmt.Sscanf(c, "at-%d", &n); err == nil {
			r.saved = time.Duration(n)
			r.done = r.saved - millis(w.p.load.Site.RestoreMillis)
		}
	}
	if d.hopeless || w.p.random.Float64() < d.kind.FailureShare {
		r.fails, r.failsAt = true, time.Duration(w.p.random.Float64()*float64(r.work))
	}
	w.runs[o.Task] = r
	w.reportSoon()
	if !spec.Gang || spec.Tasks == 1 {
		r.begin()
		return
	}
	key := gangKey{name.Job, name.Step, o.Run}
	g := w.p.gangs[key]
	if g == nil {
		g = &gang{}
		w.p.gangs[key] = g
		w.p.after(millis(w.p.load.Site.GangWaitMillis), func() {
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

// begin lets a gang work. Its members end together, with the longest.
func (g *gang) begin() {
	longest, apart := time.Duration(0), false
	for _, m := range g.members {
		longest = max(longest, m.work)
		apart = apart || m.w.rack != g.members[0].w.rack
	}
	for _, m := range g.members {
		m.work = longest
		if apart && m.spec.SameRack {
			m.factor = m.w.p.load.Site.FarFactor
		}
		m.begin()
	}
}

func (r *run) begin() {
	if r.over {
		return
	}
	r.began, r.since = r.w.p.now, r.w.p.now
	r.schedule()
}

// speed returns the work that is done in a unit of time.
func (r *run) speed() float64 {
	if r.w.hangs {
		return 0
	}
	return 1 / (r.factor * max(r.w.slow, 1))
}

// progress returns the work that has been done.
func (r *run) progress() time.Duration {
	if r.began < 0 || r.over {
		return r.done
	}
	return min(r.done+time.Duration(float64(r.w.p.now-r.since)*r.speed()), r.work)
}

// schedule plans the end of the run at its present speed.
func (r *run) schedule() {
	r.version++
	version := r.version
	speed := r.speed()
	if r.began < 0 || speed == 0 {
		return
	}
	until, how := r.work, endDone
	if r.fails && r.failsAt > r.done {
		until, how = r.failsAt, endFailed
	}
	if r.w.fails {
		until, how = r.done, endFailed
	}
	r.w.p.after(time.Duration(float64(until-r.done)/speed), func() {
		if r.version == version {
			r.end(how)
		}
	})
}

// change applies a change of the worker to its runs.
func (w *worker) change(f func()) {
	for _, r := range w.runs {
		r.done, r.since = r.progress(), w.p.now
	}
	f()
	for _, name := range sortedNames(w.runs) {
		w.runs[name].schedule()
	}
	w.reportSoon()
}

func sortedNames(runs map[string]*run) []string {
	out := make([]string, 0, len(runs))
	for name := range runs {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// end ends a run.
func (r *run) end(how string) {
	if r.over {
		return
	}
	r.done = r.progress()
	r.over = true
	r.version++
	if !r.w.down {
		r.w.ends++
		r.w.ended = append(r.w.ended, &agentrpc.RunEnd{
			Number: r.w.ends, Task: r.name, Run: int64(r.number), How: how, Checkpoint: r.checkpoint(how == endStopped),
		})
	}
	r.waste(how)
	delete(r.w.runs, r.name)
	r.w.reportSoon()
	if r.gang == nil || r.gang.over {
		return
	}
	r.gang.over = true
	for _, m := range slices.Clone(r.gang.members) {
		if how == endDone {
			m.end(endDone)
		} else {
			m.end(endBroken)
		}
	}
}

// waste counts the work of a run that has no use.
func (r *run) waste(how string) {
	switch how {
	case endStopped:
		r.w.p.result.Stopped++
	case endDone, endFailed:
		return
	}
	if r.began < 0 {
		return
	}
	lost := r.w.p.now - r.began
	if c := r.checkpoint(how == endStopped); c != "" {
		kept := time.Duration(0)
		if _, err := fmt.Sscanf(c, "at-%d", &kept); err == nil {
			lost -= time.Duration(float64(kept-r.saved) / max(r.speed(), 0.01))
		}
	}
	r.w.p.result.Wasted += max(lost, 0).Seconds() * cores(r.spec)
}

// checkpoint returns the newest checkpoint; one is made at a stop.
func (r *run) checkpoint(now bool) string {
	if !r.spec.Checkpointable {
		return ""
	}
	n := r.progress()
	if !now {
		n -= n % millis(r.w.p.load.Site.CheckpointMillis)
	}
	if n = max(n, r.saved); n <= 0 {
		return ""
	}
	return fmt.Sprintf("at-%d", int64(n))
}

// reportDelay is how long news of a worker takes to the planner.
const reportDelay = 2 * time.Millisecond

// reportSoon reports the state of the worker shortly.
func (w *worker) reportSoon() {
	if w.pending {
		return
	}
	w.pending = true
	w.p.after(reportDelay, func() {
		w.pending = false
		w.report()
		w.p.wantPass()
	})
}

// report tells the planner the state of the worker.
func (w *worker) report() {
	if w.down {
		w.p.planner.SetConnected(w.name, false)
		return
	}
	w.look++
	s := w.p.load.Site
	in := &agentrpc.WatchReply{Listed: true, Look: w.look, Ended: w.ended, Boot: 1, Worker: &agentrpc.Worker{
		Life: &agentrpc.Life{Worker: fmt.Sprintf("%s-%d", w.name, w.born), Born: w.born}, Pool: pool,
		Cpu: int64(s.CPU), MemoryMb: int64(s.MemoryMB), Accelerators: int64(s.Accelerators),
		Labels: []string{"a", w.rack}, Rack: w.rack, Draining: w.drains, RemainingMillis: max(w.leaves-w.p.now, 0).Milliseconds(),
	}}
	for _, name := range sortedNames(w.runs) {
		r := w.runs[name]
		percent := int64(0)
		if r.work > 0 {
			percent = int64(100 * max(r.progress(), 0) / r.work)
		}
		in.Running = append(in.Running, &agentrpc.RunStatus{
			Task: r.name, Run: int64(r.number), Checkpoint: r.checkpoint(false), Percent: percent,
		})
	}
	w.p.planner.Report(w.name, in, w.p.clock())
}

// forget drops the ends that are recorded.
func (w *worker) forget(seen planner.EndAck) {
	if seen.Incarnation.GetBorn() != w.born {
		return
	}
	w.ended = slices.DeleteFunc(slices.Clone(w.ended), func(e *agentrpc.RunEnd) bool { return e.GetNumber() <= seen.End })
}

// crash ends everything on the worker without a word.
func (w *worker) crash() {
	w.down = true
	for _, name := range sortedNames(w.runs) {
		// The end of one member of a gang ends the others on the worker.
		if r := w.runs[name]; r != nil {
			r.end("")
		}
	}
	w.ended = nil
	w.reportSoon()
}

// restart begins a new life.
func (w *worker) restart() {
	w.born++
	w.down, w.drains, w.ends = false, false, 0
	w.reportSoon()
}

func byName(x, y *worker) int { return cmp.Compare(x.name, y.name) }
