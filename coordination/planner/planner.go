package planner

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// Settings are what the planner must know of the workers.
type Settings struct {
	StopTime  time.Duration // longest time from a stop to its end
	GangWait  time.Duration // how long a member of a gang waits for the others
	FarFactor float64       // slow-down of work far from its data or its peers
	Restore   time.Duration // time that a start from a checkpoint takes
	// Retention is how long the rows of jobs are kept after their end; 0 for ever.
	Retention time.Duration
	Policy    Policy
	Metrics   *metrics.Set // nil for none
}

// Policy has the choices between ways to decide. The zero value is the default.
type Policy struct {
	// NoHeadroom lets work that is not urgent take all accelerators.
	NoHeadroom bool
}

// Planner is the state of one shard. It is not safe for concurrent use.
type Planner struct {
	cfg  Settings
	log  zerolog.Logger
	snap *configuration.Snapshot

	jobs    map[string]*jobState
	loaded  bool // all recorded jobs have been added
	targets map[string]*target
	byName  []*target // the targets in the order of their names
	// claims are placements that wait for the ends of stopped runs.
	claims []*claim
	// covered is the covered use by workspace; nil if it must be computed anew.
	covered map[string]int

	// progressListed reports whether a worker has listed progress of a run.
	progressListed bool

	news    bool                       // something has changed that may let work start
	passed  time.Time                  // when the last whole pass was made
	choices map[requirement]*selection // of the pass under way

	dirty   map[*occurrence]struct{} // rows to write
	begun   []string                 // keys in job.TableWaiting to remove
	orders  map[string][]Order       // by target, of this batch
	forgets map[string]Seen          // by target, ends that may be forgotten
	book    estimates
	old     []*jobState        // whose rows are to be removed
	removed map[string]removal // by the IDs of jobs
}

// New returns a planner without jobs and targets.
func New(cfg Settings, log zerolog.Logger) *Planner {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &Planner{
		cfg: cfg, log: log, jobs: make(map[string]*jobState), targets: make(map[string]*target),
		dirty: make(map[*occurrence]struct{}), orders: make(map[string][]Order), forgets: make(map[string]Seen),
		book: make(estimates), removed: make(map[string]removal),
	}
}

// Loaded says that all recorded jobs have been added. Before, reports of targets are
// not taken: an end that no run is known for would be forgotten.
func (p *Planner) Loaded() { p.loaded = true }

// SetConfig sets the configuration in force.
func (p *Planner) SetConfig(s *configuration.Snapshot) {
	if s != p.snap {
		p.snap, p.covered, p.news = s, nil, true
	}
}

// Order is an order for the agent of a target.
type Order struct {
	Message *agentrpc.Order
	Task    string
	Run     int
	Stop    bool

	run *run
}

// TargetOrders are the orders for one life of a target's worker.
type TargetOrders struct {
	Target string
	Life   *agentrpc.Life
	Orders []Order
}

// Batch is what a pass has decided.
type Batch struct {
	Writes    []table.Write
	Deletions []table.Deletion
	// Orders may be sent once the rows are written.
	Orders []TargetOrders
	// Seen has, for each target, the highest end that the rows include.
	Seen map[string]Seen
}

// Seen is the highest end that is recorded of one life of a worker.
type Seen struct {
	Life *agentrpc.Life
	End  int64
}

// Empty reports whether there is nothing to do.
func (b Batch) Empty() bool {
	return len(b.Writes) == 0 && len(b.Deletions) == 0 && len(b.Orders) == 0 && len(b.Seen) == 0
}

// size is an amount of a worker's capacity.
type size struct {
	cpu          int // thousandths of a core
	memory       int // MB
	accelerators int
}

func (s size) plus(o size) size {
	return size{s.cpu + o.cpu, s.memory + o.memory, s.accelerators + o.accelerators}
}

func (s size) minus(o size) size {
	return size{s.cpu - o.cpu, s.memory - o.memory, s.accelerators - o.accelerators}
}

// holds reports whether o fits into s.
func (s size) holds(o size) bool {
	return o.cpu <= s.cpu && o.memory <= s.memory && o.accelerators <= s.accelerators
}

// sizeOf returns what a task of a step takes of a worker. Fillers use what the
// others leave of the processors.
func sizeOf(s *job.Step) size {
	out := size{s.CPU, s.MemoryMB, s.Accelerators}
	if s.Filler {
		out.cpu = 0
	}
	return out
}
