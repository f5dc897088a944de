package policybench

import (
	"container/heap"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/coordination/guarantee"
	"github.com/medlargrade/medlargrade/coordination/health"
	"github.com/medlargrade/medlargrade/coordination/placement"
	"github.com/medlargrade/medlargrade/coordination/runtimes"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/targets"
)

// sim is one run: the workers and one entry.
type sim struct {
	variant    variant
	load       *rand.Rand // draws the load, which is the same for all variants
	rng        *rand.Rand // draws what depends on decisions
	begin, now time.Time
	horizon    time.Duration
	events     events
	eventCount int
	workers    []*worker
	jobs       map[string]*job
	jobCount   int
	crestUntil time.Time
	figures    *figures

	cfg     operator.Config
	view    targets.View
	queue   *admission.Queue
	fifo    []*job // in place of queue without fair queues
	lane    admission.Lane
	retries admission.RetryBudget
	book    runtimes.Book
	tracker health.Tracker

	// State of the current pass.
	site    *placement.Site
	dirty   bool // site and ledger must be built anew
	ledger  *guarantee.Ledger
	misses  map[[2]string]int
	demand  int            // slots that short work uses or waits for
	waiting map[*job]bool  // long work without a place
	shorts  map[string]int // waiting short work by workspace
}

func newSim(v variant, c condition, seed uint64, horizon time.Duration) *sim {
	s := &sim{
		variant: v, load: rand.New(rand.NewPCG(seed, 1)), rng: rand.New(rand.NewPCG(seed, 2)), begin: time.Unix(0, 0), horizon: horizon,
		jobs: make(map[string]*job), cfg: config(), waiting: make(map[*job]bool), shorts: make(map[string]int),
		figures: newFigures(),
	}
	s.now, s.dirty = s.begin, true
	s.queue = admission.NewQueue(s.cfg)
	s.addWorkers(c.loss)
	s.addLoad(c.load)
	return s
}

func (s *sim) run() *figures {
	end := s.begin.Add(s.horizon)
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		s.step()
	}
	s.now = end
	for _, id := range slices.Sorted(maps.Keys(s.jobs)) {
		j := s.jobs[id]
		if !j.started.IsZero() {
			s.figures.work += float64(j.shape.Slots()) * s.now.Sub(j.started).Seconds()
		}
		if !j.claimed.IsZero() && j.started.IsZero() {
			s.figures.claimWait(s.now.Sub(j.claimed))
		}
		// Work that is still waiting counts with its wait so far, so that starving it
		// does not look like an improvement.
		if j.waiting {
			s.figures.completed(s, j)
		}
	}
	return s.figures
}

func (s *sim) step() {
	e := heap.Pop(&s.events).(event)
	s.now = e.at
	e.do()
}
