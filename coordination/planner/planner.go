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
	cfg      Settings
	log      zerolog.Logger
	snapshot *configuration.Snapshot

	jobs          map[string]*jobState
	jobsLoaded    bool // all recorded jobs have been added
	targets       map[string]*target
	sortedTargets []*target // the targets in the order of their names
	// claims are placements that wait for the ends of stopped runs.
	claims []*claim
	// usageByWorkspace is what each workspace uses of its guarantee; nil if it must be computed anew.
	usageByWorkspace map[string]int

	// progressReported reports whether a worker has listed progress of a run.
	progressReported bool

	needsPass     bool                             // something has changed that may let work start
	lastPass      time.Time                        // when the last whole pass was made
	eligibleCache map[requirement]*eligibleTargets // of the pass under way

	dirty          map[*occurrence]struct{} // rows to write
	waitingRowKeys []string                 // keys in job.TableWaiting to remove
	orders         map[string][]Order       // by target, of this batch
	endAcks        map[string]Seen          // by target, ends that may be forgotten
	runTimes       runTimeRatios
	toDelete       []*jobState          // whose rows are to be removed
	tombstones     map[string]tombstone // by the IDs of jobs
}

// New returns a planner without jobs and targets.
func New(cfg Settings, log zerolog.Logger) *Planner {
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewSet()
	}
	return &Planner{
		cfg: cfg, log: log, jobs: make(map[string]*jobState), targets: make(map[string]*target),
		dirty: make(map[*occurrence]struct{}), orders: make(map[string][]Order), endAcks: make(map[string]Seen),
		runTimes: make(runTimeRatios), tombstones: make(map[string]tombstone),
	}
}

// Loaded says that all recorded jobs have been added. Before, reports of targets are
// not taken: an end that no run is known for would be forgotten.
func (p *Planner) Loaded() { p.jobsLoaded = true }

// SetConfig sets the configuration in force.
func (p *Planner) SetConfig(s *configuration.Snapshot) {
	if s != p.snapshot {
		p.snapshot, p.usageByWorkspace, p.needsPass = s, nil, true
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

// resources is an amount of a worker's capacity.
type resources struct {
	cpu          int // thousandths of a core
	memory       int // MB
	accelerators int
}

func (s resources) plus(o resources) resources {
	return resources{s.cpu + o.cpu, s.memory + o.memory, s.accelerators + o.accelerators}
}

func (s resources) minus(o resources) resources {
	return resources{s.cpu - o.cpu, s.memory - o.memory, s.accelerators - o.accelerators}
}

// holds reports whether o fits into s.
func (s resources) holds(o resources) bool {
	return o.cpu <= s.cpu && o.memory <= s.memory && o.accelerators <= s.accelerators
}

// taskResources returns what a task of a step takes of a worker. Fillers use what the
// others leave of the processors.
func taskResources(s *job.Step) resources {
	out := resources{s.CPU, s.MemoryMB, s.Accelerators}
	if s.Filler {
		out.cpu = 0
	}
	return out
}
