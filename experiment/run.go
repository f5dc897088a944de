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
	// Policy is what the planner decides by; the zero value for its defaults.
	Policy planner.Policy
	Log    zerolog.Logger // of the planner
}

// Run plays a load.
func Run(l Load, o Options) Result {
	p := newPlayer(l, o)
	p.play()
	return p.result
}

// player is the state of a run. Everything happens in events of simulated time.
type player struct {
	load    Load
	random  *rand.Rand
	planner *planner.Planner
	base    time.Time
	now     time.Duration // since the start
	events  queue
	count   int
	workers map[string]*worker
	names   []string
	jobs    map[string]*drawn
	gangs   map[gangKey]*gang
	busy    bool // a transaction is under way
	wanted  bool // a pass is wanted after it
	result  Result
}

const (
	// tick is the longest time between two passes.
	tick = 200 * time.Millisecond
	// refresh is how often workers report their progress without news.
	refresh = time.Second
)

func newPlayer(l Load, o Options) *player {
	s := l.Site
	p := &player{
		load: l, random: rand.New(rand.NewPCG(o.Seed, 0)), base: time.Unix(1_800_000_000, 0), //nolint:gosec // reproducible draws
		workers: make(map[string]*worker), jobs: make(map[string]*drawn), gangs: make(map[gangKey]*gang),
		planner: planner.New(planner.Settings{
			StopTime: millis(s.StopMillis), GangWait: millis(s.GangWaitMillis), FarFactor: s.FarFactor,
			RestoreTime: millis(s.RestoreMillis), Policy: o.Policy,
		}, o.Log),
	}
	p.planner.SetConfig(configuration.NewSnapshot(1, l.config()))
	p.planner.SetLoaded()
	for i := range s.Workers {
		w := &worker{p: p, name: fmt.Sprintf("w%03d", i), rack: fmt.Sprintf("r%03d", i/s.PerRack), born: 1, runs: make(map[string]*run)}
		p.workers[w.name] = w
		p.names = append(p.names, w.name)
	}
	return p
}

func (p *player) clock() time.Time { return p.base.Add(p.now) }

// after lets f happen later.
func (p *player) after(d time.Duration, f func()) {
	p.count++
	heap.Push(&p.events, event{at: p.now + max(d, 0), n: p.count, f: f})
}

func (p *player) play() {
	end := seconds(p.load.LengthSeconds + p.load.FinishSeconds)
	for _, name := range p.names {
		p.workers[name].reportSoon()
		p.every(refresh, end, p.workers[name].reportSoon)
	}
	p.every(tick, end, p.wantPass)
	for _, d := range p.load.jobs(p.random.Uint64()) {
		p.jobs[d.job.ID] = d
		p.after(d.at, func() { p.submit(d) })
	}
	for _, t := range p.load.Troubles {
		p.trouble(t)
	}
	for len(p.events) > 0 && p.events[0].at <= end {
		e := heap.Pop(&p.events).(event) //nolint:forcetypeassert // the queue has only events
		p.now = e.at
		e.f()
	}
	p.result.finish(p.load, p.jobs)
}

// every lets f happen again and again.
func (p *player) every(d, end time.Duration, f func()) {
	p.after(d, func() {
		f()
		if p.now+d <= end {
			p.every(d, end, f)
		}
	})
}

func (p *player) submit(d *drawn) {
	p.planner.AddJob(d.job, nil, p.clock())
	p.wantPass()
	if d.cancel > 0 {
		p.after(d.cancel, func() {
			p.planner.Cancel(d.job.ID, p.clock())
			p.wantPass()
		})
	}
}

// wantPass makes a pass now, or after the transaction that is under way.
func (p *player) wantPass() {
	if p.busy {
		p.wanted = true
		return
	}
	b := p.planner.Plan(p.clock())
	if len(b.Writes)+len(b.Deletions) == 0 {
		p.carryOut(b)
		return
	}
	p.busy = true
	p.after(millis(p.load.Site.CommitMillis), func() {
		p.busy = false
		p.record(b)
		p.carryOut(b)
		if p.wanted {
			p.wanted = false
			p.wantPass()
		}
	})
}

// record takes the recorded states of jobs.
func (p *player) record(b planner.Batch) {
	for _, w := range b.Writes {
		pr, err := job.DecodeProgress(w.Value)
		if err != nil {
			panic(fmt.Sprintf("experiment: row of %s: %v", w.Key, err))
		}
		p.result.record(p.jobs[pr.Job], pr, p.now)
	}
}

// carryOut passes on what a batch says.
func (p *player) carryOut(b planner.Batch) {
	for name, seen := range b.EndAcks {
		p.workers[name].forget(seen)
	}
	for _, t := range b.Orders {
		w := p.workers[t.Target]
		// The planner gives stops in no order. A fixed one makes runs repeat to the last
		// digit of their sums.
		slices.SortStableFunc(t.Orders, func(x, y planner.Order) int { return cmp.Compare(x.Task, y.Task) })
		for _, o := range t.Orders {
			if !p.planner.OrderValid(t.Target, o) {
				continue
			}
			p.after(millis(p.load.Site.OrderMillis), func() {
				if w.down || t.Incarnation.GetBorn() != w.born {
					return
				}
				p.planner.HandleOrderResult(t.Target, t.Incarnation, o, w.carryOut(o), p.clock())
				p.wantPass()
			})
		}
	}
}

// trouble lets a trouble strike workers that are drawn from the seed.
func (p *player) trouble(t Trouble) {
	p.after(seconds(t.AtSeconds), func() {
		var hit []*worker
		for _, n := range p.random.Perm(len(p.names)) {
			if w := p.workers[p.names[n]]; len(hit) < t.Workers && !w.down && !w.drains {
				hit = append(hit, w)
			}
		}
		slices.SortFunc(hit, byName)
		for _, w := range hit {
			p.strike(w, t)
		}
	})
}

func (p *player) strike(w *worker, t Trouble) {
	var begin, end func()
	switch t.What {
	case TroubleSlow:
		begin, end = func() { w.slow = t.Factor }, func() { w.slow = 0 }
	case TroubleHang:
		begin, end = func() { w.hangs = true }, func() { w.hangs = false }
	case TroubleFail:
		begin, end = func() { w.fails = true }, func() { w.fails = false }
	case TroubleDrain:
		begin, end = func() { w.drains, w.leaves = true, p.now+seconds(t.ForSeconds) }, w.crash
	case TroubleCrash:
		w.crash()
		p.after(seconds(t.ForSeconds), w.restart)
		return
	}
	w.change(begin)
	p.after(seconds(t.ForSeconds), func() { w.change(end) })
}

// event is something that happens at a time. Events of one time happen in the order
// in which they were planned.
type event struct {
	at time.Duration
	n  int
	f  func()
}

// queue is a heap of events.
type queue []event

func (q queue) Len() int { return len(q) }

func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].n < q[j].n
}

func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *queue) Push(x any) { *q = append(*q, x.(event)) } //nolint:forcetypeassert // only events are pushed

// Pop implements heap.Interface.
func (q *queue) Pop() any {
	old := *q
	e := old[len(old)-1]
	*q = old[:len(old)-1]
	return e
}
