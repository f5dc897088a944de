package planner

import (
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/contention"
	"github.com/medlargrade/medlargrade/coordination/interference"
	"github.com/medlargrade/medlargrade/coordination/speed"
	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// Settings are the parameters of a Planner.
type Settings struct {
	StopTime    time.Duration // upper bound on the time from a stop order to the end of the run
	GangWait    time.Duration // how long a gang member waits for the other members
	FarFactor   float64       // slowdown of a task far from its data or its peers; not used by the planner
	RestoreTime time.Duration // time to restore a run from a checkpoint
	// Retention is how long the rows of a job are kept after its end; 0 keeps them
	// forever.
	Retention time.Duration
	// Evacuation is the time within which a request to evacuate a data centre must be in force;
	// 0 for no limit on the age of the requests.
	Evacuation time.Duration
	Policy     Policy
	Metrics    *metrics.Set // nil for none
}

// Policy selects between scheduling policies. The zero value is the default policy.
type Policy struct {
	// NoHeadroom lets work that is not urgent use all accelerators.
	NoHeadroom bool `json:",omitempty"`
	// LearnSpeeds learns how fast each worker is, and uses it for predictions and placement.
	LearnSpeeds bool `json:",omitempty"`
	// FairShares orders the units of a priority by the use of their workspaces.
	FairShares bool `json:",omitempty"`
	// AdaptiveRoom keeps as much capacity free for urgent work as recently arrived.
	AdaptiveRoom bool `json:",omitempty"`
	// WeighVictims weighs what is stopped for urgent work against what that gains.
	WeighVictims bool `json:",omitempty"`
	// Backfill reserves capacity for units that have waited long.
	Backfill bool `json:",omitempty"`
	// PublishLoad writes a summary of the queues for the entries.
	PublishLoad bool `json:",omitempty"`
	// Interference keeps tasks apart that slow each other down.
	Interference bool `json:",omitempty"`
}

// Planner schedules the jobs of one shard. It is not safe for concurrent use.
type Planner struct {
	settings Settings
	log      zerolog.Logger
	config   *configuration.Snapshot
	centres  dataCentres

	jobs          map[string]*jobState
	jobsLoaded    bool // all recorded jobs have been added
	targets       map[string]*target
	sortedTargets []*target          // targets, sorted by name
	suspects      map[*task]struct{} // tasks that may have crashed workers
	// isolated holds the targets on which suspects have just been started, with their jobs.
	isolated map[*target]*jobState
	// claims are placements that wait until other runs have ended.
	claims []*claim
	// usageByWorkspace caches, for each workspace, the accelerators in use or claimed by
	// work that counts against its guarantee; nil if it must be recomputed.
	usageByWorkspace map[string]int
	// allUseByWorkspace holds the accelerators in use by all work of each workspace that is not
	// being stopped. It is valid while usageByWorkspace is.
	allUseByWorkspace map[string]int

	// percentReported is set once any worker has reported a change of a run's percentage.
	percentReported bool

	needsPass     bool                             // a change may allow work to start
	lastPass      time.Time                        // when the last pass was made
	latest        time.Time                        // of the last report or call of Plan
	eligibleCache map[requirement]*eligibleTargets // valid within a pass

	dirty         map[*occurrence]time.Time // occurrences whose rows must be written, and by when; zero for at once
	orders        map[string][]Order        // by target, not yet in a batch
	unackedEnds   map[*target]struct{}      // targets with run ends that have been handled since the last batch
	runTimeRatios runTimeRatios
	toDelete      []*jobState          // removed jobs whose rows must be deleted
	tombstones    map[string]tombstone // by job ID

	speeds          *speed.Learner // nil unless Policy.LearnSpeeds is set
	speedsRow       []byte         // as last written or read
	speedsWrittenAt time.Time
	arrivals        *contention.Arrivals   // of urgent work; nil unless Policy.AdaptiveRoom is set
	interference    *interference.Detector // nil unless Policy.Interference is set
	room            roomState              // valid within a pass
	rooms           map[string]*roomOfPool

	reservations     []*reservation // in the order of their creation
	reservationsHold bool           // in the current pass
	fair             *shareState    // nil unless Policy.FairShares is set
}

// New returns a planner without jobs and targets.
func New(settings Settings, log zerolog.Logger) *Planner {
	if settings.Metrics == nil {
		settings.Metrics = metrics.NewSet()
	}
	p := &Planner{
		settings: settings, log: log, jobs: make(map[string]*jobState), targets: make(map[string]*target),
		dirty: make(map[*occurrence]time.Time), orders: make(map[string][]Order), unackedEnds: make(map[*target]struct{}),
		runTimeRatios: make(runTimeRatios), suspects: make(map[*task]struct{}), isolated: make(map[*target]*jobState), tombstones: make(map[string]tombstone),
	}
	if settings.Policy.LearnSpeeds {
		p.speeds = speed.New()
	}
	if settings.Policy.Interference {
		p.interference = interference.New()
	}
	return p
}

// SetLoaded tells the planner that all recorded jobs have been added. Until then it
// ignores the reports of targets: the end of a run that is not loaded yet would be
// acknowledged and lost.
func (p *Planner) SetLoaded() { p.jobsLoaded = true }

// endRecordDelay is how long the end of a run that doesn't complete its occurrence may wait to be
// recorded. The tasks of a large step end at about the same time, and each row has the state of
// all of them. A worker keeps an end until it is recorded; if the worker and the planner are both
// lost before, the task runs again.
const endRecordDelay = 200 * time.Millisecond

// markDirty marks the row of an occurrence to be written with the next batch.
func (p *Planner) markDirty(o *occurrence) { p.dirty[o] = time.Time{} }

// markDirtyBy marks the row of an occurrence to be written by a time at the latest.
func (p *Planner) markDirtyBy(o *occurrence, by time.Time) {
	if earlier, ok := p.dirty[o]; !ok || by.Before(earlier) {
		p.dirty[o] = by
	}
}

// SetConfig sets the current configuration.
func (p *Planner) SetConfig(s *configuration.Snapshot) {
	if s != p.config {
		p.config, p.usageByWorkspace, p.needsPass = s, nil, true
		p.SetConfigAge(0, p.settings.Evacuation == 0)
	}
}

// Order is an order to start or stop a run.
type Order struct {
	Message *agentrpc.Order
	Task    string
	Run     int
	Stop    bool

	run *run // nil if no row records the run
}

// TargetOrders are the orders for one incarnation of a target's worker.
type TargetOrders struct {
	Target      string
	Incarnation *agentrpc.Life
	Orders      []Order
}

// Batch is the outcome of a pass.
type Batch struct {
	Writes    []table.Write
	Deletions []table.Deletion
	// Orders may be sent once the rows are committed.
	Orders []TargetOrders
	// EndAcks holds, by target, the number of the highest run end that is recorded once the
	// rows are committed.
	EndAcks map[string]EndAck
}

// EndAck is the number of the highest run end that is recorded for one incarnation of a
// worker.
type EndAck struct {
	Incarnation *agentrpc.Life
	End         int64 // number of the end, as in agentrpc.RunEnd; 0 for none
}

// Empty reports whether the batch has nothing to write, send or acknowledge.
func (b Batch) Empty() bool {
	return len(b.Writes) == 0 && len(b.Deletions) == 0 && len(b.Orders) == 0 && len(b.EndAcks) == 0
}

// resources is an amount of worker capacity.
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

// isNegative reports whether s is negative in any part.
func (s resources) isNegative() bool { return s.cpu < 0 || s.memory < 0 || s.accelerators < 0 }

// taskResources returns the resources that a task of a step reserves on a worker. Fillers
// reserve no processors: they use those that other tasks leave idle.
func taskResources(s *job.Step) resources {
	out := resources{s.CPU, s.MemoryMB, s.Accelerators}
	if s.Filler {
		out.cpu = 0
	}
	return out
}
