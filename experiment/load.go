package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"time"

	"github.com/medlargrade/medlargrade/operator"
)

// Load is a site with the work that its callers submit.
type Load struct {
	Site       Site
	Workspaces []Workspace
	Kinds      []Kind
	// Swing is the amplitude of the sinusoidal rate of submissions as a share of its
	// mean, with a period of PeriodSeconds.
	Swing         float64
	PeriodSeconds float64
	// Jobs are submitted for LengthSeconds. The run ends FinishSeconds later.
	LengthSeconds float64
	FinishSeconds float64
	Bursts        []Burst   `json:",omitempty"`
	Troubles      []Trouble `json:",omitempty"`
}

// Site is the simulated site, which has racks of identical workers.
type Site struct {
	Workers      int
	PerRack      int
	CPU          int // thousandths of a core, of each worker
	MemoryMB     int
	Accelerators int

	StopMillis       int64 // time from the order to stop a run to its end
	GangWaitMillis   int64
	CheckpointMillis int64   // work between two checkpoints of a run; 0 for checkpoints at stops only
	RestoreMillis    int64   // work to restore a checkpoint
	FarFactor        float64 // factor of the duration of a gang that needs one rack and spans several
	CommitMillis     int64   // duration of a transaction of the store
	OrderMillis      int64   // delay from the planner to a worker
	WastePrice       float64 // worth of a core-second of wasted work

	// Speeds are the speeds of workers, relative to the nominal one; all have speed 1 if it is
	// empty. The speed of each worker is drawn.
	Speeds []SpeedShare `json:",omitempty"`
	// Interference slows the runs of a kind down while another kind runs on the same worker.
	Interference []Interference `json:",omitempty"`
	// GangsReportTogether makes the members of a gang report the progress of the gang, which is
	// that of its slowest member, instead of their own.
	GangsReportTogether bool `json:",omitempty"`
}

// Interference is the factor of the duration of work of a kind beside another one. The factors of
// several neighbours are multiplied, but several runs of one kind count once.
type Interference struct {
	Kind   string
	Beside string
	Factor float64
}

// SpeedShare is a speed that a share of the workers has.
type SpeedShare struct {
	Speed float64
	Share float64
}

// Workspace is a workspace whose callers submit jobs.
type Workspace struct {
	Name       string
	Share      float64 // of all submissions
	Guaranteed int     // accelerators
}

// Kind is a kind of jobs.
type Kind struct {
	Name     string
	Priority int // 0 is the highest
	Attempts int
	// The objective is the time from submission to end within which a job earns its full
	// Worth: Stretch times its critical path, plus ObjectiveMillis.
	Stretch         float64
	ObjectiveMillis int64
	Worth           float64 // of a job that ends within its objective, before scaling by its work
	LateWorth       float64 // of one that ends within lateFactor times its objective
	PerSecond       float64 // mean rate of submissions

	Steps Draw // number of steps, each of which depends on the one before
	Tasks Draw // number of tasks of a step
	Work  Draw // milliseconds of each task
	// A share of TailShare of the jobs has TailFactor times the work.
	TailShare  float64 `json:",omitempty"`
	TailFactor float64 `json:",omitempty"`
	// Uneven is the spread of the work of a step's tasks, and EstimateSpread that of the
	// declared time around the mean work. Both are of the logarithm.
	Uneven         float64 `json:",omitempty"`
	EstimateSpread float64 `json:",omitempty"`

	CPU          int
	MemoryMB     int
	Accelerators []int // values for each task, one of which is drawn for each job

	// GangShare is the share of steps that are gangs, among those with several tasks that
	// need at most maxGangShare of the site. SameRackShare is the share of gangs that need
	// one rack, among those that need at most maxRackShare of a rack.
	GangShare           float64 `json:",omitempty"`
	SameRackShare       float64 `json:",omitempty"`
	CheckpointableShare float64 `json:",omitempty"` // share of jobs whose runs make checkpoints
	ApartShare          float64 `json:",omitempty"` // share of steps limited to 1 or 2 tasks on a worker
	FailureShare        float64 `json:",omitempty"` // share of runs that fail
	HopelessShare       float64 `json:",omitempty"` // share of jobs that always fail
	CancelShare         float64 `json:",omitempty"` // share of jobs cancelled within 4 s of submission
}

// Draw is a log-normal distribution whose values are capped at Max if Max is positive.
type Draw struct {
	Mean   float64
	Spread float64 `json:",omitempty"` // of the logarithm
	Max    float64 `json:",omitempty"`
}

// Burst multiplies the rate of submissions of a kind for a time.
type Burst struct {
	Kind       string
	AtSeconds  float64
	ForSeconds float64
	Factor     float64
}

// Trouble is a fault of workers, which are chosen at random.
type Trouble struct {
	What       string // one of the Trouble constants
	AtSeconds  float64
	ForSeconds float64
	Workers    int     // number of affected workers
	Factor     float64 // of TroubleSlow
}

// Values of Trouble.What.
const (
	TroubleSlow  = "slow"  // work takes Factor times as long
	TroubleHang  = "hang"  // runs make no progress
	TroubleFail  = "fail"  // runs fail at once
	TroubleCrash = "crash" // the worker loses its runs and restarts at the end
	TroubleDrain = "drain" // the worker announces that it leaves, and is lost at the end
)

// ParseLoad reads a load from JSON and checks it. It rejects unknown fields.
func ParseLoad(text []byte) (Load, error) {
	var l Load
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(&l); err != nil {
		return Load{}, fmt.Errorf("parse load: %w", err)
	}
	if err := l.check(); err != nil {
		return Load{}, fmt.Errorf("check load: %w", err)
	}
	return l, nil
}

func (l Load) check() error {
	var errs []error
	require := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	s := l.Site
	require(s.Workers > 0 && s.PerRack > 0, "Site: Workers and PerRack must be positive")
	require(s.CPU > 0 && s.MemoryMB > 0 && s.Accelerators > 0, "Site: CPU, MemoryMB and Accelerators must be positive")
	require(s.FarFactor >= 1, "Site.FarFactor is %g, must be at least 1", s.FarFactor)
	shares := 0.0
	for i, x := range s.Speeds {
		require(x.Speed >= minSpeed && x.Speed <= maxSpeed, "Site.Speeds[%d]: Speed is %g, must be between %g and %g", i, x.Speed, minSpeed, maxSpeed)
		require(x.Share > 0, "Site.Speeds[%d]: Share must be positive", i)
		shares += x.Share
	}
	require(len(s.Speeds) == 0 || math.Abs(shares-1) < 1e-6, "Site.Speeds: the shares add up to %g, not 1", shares)
	require(l.LengthSeconds > 0, "LengthSeconds must be positive")
	require(l.Swing >= 0 && l.Swing <= 1, "Swing is %g, must be between 0 and 1", l.Swing)
	require(l.Swing == 0 || l.PeriodSeconds > 0, "PeriodSeconds must be positive")
	require(len(l.Workspaces) > 0, "Workspaces is empty")
	require(len(l.Kinds) > 0, "Kinds is empty")
	kindNames := make(map[string]bool)
	for i, k := range l.Kinds {
		kindNames[k.Name] = true
		require(k.Name != "", "Kinds[%d]: Name is empty", i)
		require(k.Work.Mean > 0 && k.Tasks.Mean > 0 && k.Steps.Mean > 0, "Kinds[%d]: the means of Work, Tasks and Steps must be positive", i)
		require(k.CPU <= s.CPU && k.MemoryMB <= s.MemoryMB, "Kinds[%d]: a task needs more CPU or memory than a worker has", i)
		for _, a := range k.Accelerators {
			require(a <= s.Accelerators, "Kinds[%d]: a task needs %d accelerators, a worker has %d", i, a, s.Accelerators)
		}
	}
	for i, x := range s.Interference {
		require(kindNames[x.Kind] && kindNames[x.Beside], "Site.Interference[%d]: unknown kind %q or %q", i, x.Kind, x.Beside)
		require(x.Factor >= 1, "Site.Interference[%d]: Factor is %g, must be at least 1", i, x.Factor)
	}
	for i, b := range l.Bursts {
		require(kindNames[b.Kind], "Bursts[%d]: unknown kind %q", i, b.Kind)
	}
	for i, t := range l.Troubles {
		switch t.What {
		case TroubleSlow, TroubleHang, TroubleFail, TroubleCrash, TroubleDrain:
		default:
			require(false, "Troubles[%d]: unknown trouble %q", i, t.What)
		}
	}
	return errors.Join(errs...)
}

// minSpeed and maxSpeed bound the speeds of workers.
const (
	minSpeed = 0.1
	maxSpeed = 10.0
)

// pool is the name of the only pool of simulated sites.
const pool = "pool"

// config returns the configuration that the planner uses for the load.
func (l Load) config() operator.Config {
	cfg := operator.NewConfig(operator.NewSite("experiment")).WithPool(operator.NewPool(pool))
	for _, w := range l.Workspaces {
		cfg = cfg.WithWorkspace(operator.NewWorkspace(w.Name).WithExtraGuaranteedAccelerators(w.Guaranteed))
	}
	kinds := make([]operator.Kind, len(l.Kinds))
	for i, k := range l.Kinds {
		kinds[i] = operator.NewKind("", k.Name, operator.ClassLong).WithPool(pool).WithPriority(k.Priority).
			WithAttempts(k.Attempts).WithObjective(k.Stretch, time.Duration(k.ObjectiveMillis)*time.Millisecond)
	}
	return cfg.WithKinds(kinds)
}

func millis(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
