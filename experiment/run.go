package experiment

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/state/job"
)

// Options of a run.
type Options struct {
	Seed uint64
	// Policy is the policy of the planner. The zero value selects its defaults.
	Policy planner.Policy
	Log    zerolog.Logger // of the planner
}

// Run simulates a load.
func Run(l Load, o Options) Result {
	sim := newSimulation(l, o)
	sim.run()
	return sim.result
}

// simulation is the state of a run. All its work is done in events in the order of
// simulated time.
type simulation struct {
	load        Load
	random      *rand.Rand
	planner     *planner.Planner
	start       time.Time
	now         time.Duration // since the start
	events      eventQueue
	lastSeq     int
	workers     map[string]*worker
	workerNames []string
	jobs        map[string]*simJob
	gangs       map[gangKey]*gang
	committing  bool // a transaction of the store is in progress
	passPending bool // a planning pass must follow the transaction
	result      Result
}

const (
	// passInterval is the time between two periodic planning passes.
	passInterval = 200 * time.Millisecond
	// reportInterval is the time between two periodic reports of a worker.
	reportInterval = time.Second
)

func newSimulation(l Load, o Options) *simulation {
	s := l.Site
	sim := &simulation{
		load: l, random: rand.New(rand.NewPCG(o.Seed, 0)), start: time.Unix(1_800_000_000, 0), //nolint:gosec // reproducible draws
		workers: make(map[string]*worker), jobs: make(map[string]*simJob), gangs: make(map[gangKey]*gang),
		planner: planner.New(planner.Settings{
			StopTime: millis(s.StopMillis), GangWait: millis(s.GangWaitMillis), FarFactor: s.FarFactor,
			RestoreTime: millis(s.RestoreMillis), Policy: o.Policy,
		}, o.Log),
	}
	sim.planner.SetConfig(configuration.NewSnapshot(1, l.config()))
	sim.planner.SetLoaded()
	for i, speed := range s.speeds(o.Seed) {
		w := &worker{sim: sim, speed: speed, name: fmt.Sprintf("w%03d", i), rack: fmt.Sprintf("r%03d", i/s.PerRack), born: 1, runs: make(map[string]*run)}
		sim.workers[w.name] = w
		sim.workerNames = append(sim.workerNames, w.name)
	}
	return sim
}

func (sim *simulation) clock() time.Time { return sim.start.Add(sim.now) }

// afterFunc schedules f to be called after d of simulated time.
func (sim *simulation) afterFunc(d time.Duration, f func()) {
	sim.lastSeq++
	heap.Push(&sim.events, event{at: sim.now + max(d, 0), seq: sim.lastSeq, f: f})
}

func (sim *simulation) run() {
	end := seconds(sim.load.LengthSeconds + sim.load.FinishSeconds)
	for _, name := range sim.workerNames {
		sim.workers[name].scheduleReport()
		sim.repeat(reportInterval, end, sim.workers[name].scheduleReport)
	}
	sim.repeat(passInterval, end, sim.requestPass)
	for _, d := range sim.load.jobs(sim.random.Uint64()) {
		sim.jobs[d.job.ID] = d
		sim.afterFunc(d.at, func() { sim.submit(d) })
	}
	for _, t := range sim.load.Troubles {
		sim.scheduleTrouble(t)
	}
	for len(sim.events) > 0 && sim.events[0].at <= end {
		e := heap.Pop(&sim.events).(event) //nolint:forcetypeassert // the queue has only events
		sim.now = e.at
		e.f()
	}
	sim.result.summarize(sim.load, sim.jobs)
}

// repeat schedules f to be called every d until end.
func (sim *simulation) repeat(d, end time.Duration, f func()) {
	sim.afterFunc(d, func() {
		f()
		if sim.now+d <= end {
			sim.repeat(d, end, f)
		}
	})
}

func (sim *simulation) submit(d *simJob) {
	sim.planner.AddJob(d.job, nil, sim.clock())
	sim.requestPass()
	if d.cancelAfter > 0 {
		sim.afterFunc(d.cancelAfter, func() {
			sim.planner.Cancel(d.job.ID, sim.clock())
			sim.requestPass()
		})
	}
}

// requestPass runs a planning pass now, or after the transaction in progress.
func (sim *simulation) requestPass() {
	if sim.committing {
		sim.passPending = true
		return
	}
	b := sim.planner.Plan(sim.clock())
	if len(b.Writes)+len(b.Deletions) == 0 {
		sim.execute(b)
		return
	}
	sim.committing = true
	sim.afterFunc(millis(sim.load.Site.CommitMillis), func() {
		sim.committing = false
		sim.recordProgress(b)
		sim.execute(b)
		if sim.passPending {
			sim.passPending = false
			sim.requestPass()
		}
	})
}

// recordProgress passes the job states that a batch writes to the result.
func (sim *simulation) recordProgress(b planner.Batch) {
	for _, w := range b.Writes {
		if w.Table != job.TableProgress {
			continue
		}
		pr, err := job.DecodeProgress(w.Value)
		if err != nil {
			panic(fmt.Sprintf("experiment: decode progress row %s: %v", w.Key, err))
		}
		sim.result.recordProgress(sim.jobs[pr.Job], pr, sim.now)
	}
}

// execute sends the acknowledgements and orders of a batch to the workers.
func (sim *simulation) execute(b planner.Batch) {
	for name, ack := range b.EndAcks {
		sim.workers[name].dropRecordedEnds(ack)
	}
	for _, t := range b.Orders {
		w := sim.workers[t.Target]
		// The planner returns stops in no fixed order. Without sorting, floating-point sums
		// differ in their last digits between runs with the same seed.
		slices.SortStableFunc(t.Orders, func(x, y planner.Order) int { return cmp.Compare(x.Task, y.Task) })
		for _, o := range t.Orders {
			if !sim.planner.OrderValid(t.Target, o) {
				continue
			}
			sim.afterFunc(millis(sim.load.Site.OrderMillis), func() {
				if w.down || t.Incarnation.GetBorn() != w.born {
					return
				}
				sim.planner.HandleOrderResult(t.Target, t.Incarnation, o, w.execute(o), sim.clock())
				sim.requestPass()
			})
		}
	}
}

// scheduleTrouble schedules a fault of randomly chosen workers. Workers that are down
// or drain are not chosen.
func (sim *simulation) scheduleTrouble(t Trouble) {
	sim.afterFunc(seconds(t.AtSeconds), func() {
		var affected []*worker
		for _, n := range sim.random.Perm(len(sim.workerNames)) {
			if w := sim.workers[sim.workerNames[n]]; len(affected) < t.Workers && !w.down && !w.draining {
				affected = append(affected, w)
			}
		}
		slices.SortFunc(affected, compareNames)
		for _, w := range affected {
			sim.applyTrouble(w, t)
		}
	})
}

func (sim *simulation) applyTrouble(w *worker, t Trouble) {
	var begin, end func()
	switch t.What {
	case TroubleSlow:
		begin, end = func() { w.slowdown = t.Factor }, func() { w.slowdown = 0 }
	case TroubleHang:
		begin, end = func() { w.hanging = true }, func() { w.hanging = false }
	case TroubleFail:
		begin, end = func() { w.failsRuns = true }, func() { w.failsRuns = false }
	case TroubleDrain:
		begin, end = func() { w.draining, w.goneAt = true, sim.now+seconds(t.ForSeconds) }, w.crash
	case TroubleCrash:
		w.crash()
		sim.afterFunc(seconds(t.ForSeconds), w.restart)
		return
	}
	w.update(begin)
	sim.afterFunc(seconds(t.ForSeconds), func() { w.update(end) })
}

// event is a call at a simulated time. Events with the same time run in the order in
// which they were scheduled.
type event struct {
	at  time.Duration
	seq int
	f   func()
}

// eventQueue is a min-heap of events by time and sequence number.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) } //nolint:forcetypeassert // only events are pushed

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
