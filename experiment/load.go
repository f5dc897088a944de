package experiment

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/operator"
)

// Load is a site with the work that its callers submit.
type Load struct {
	Site       Site
	Workspaces []Workspace
	Kinds      []Kind
	// Swing is the share by which the rate of submissions swings around its mean, with
	// a period of PeriodSeconds.
	Swing         float64
	PeriodSeconds float64
	// LengthSeconds is how long jobs are submitted; the run goes on until FinishSeconds
	// later.
	LengthSeconds float64
	FinishSeconds float64
	Bursts        []Burst   `json:",omitempty"`
	Troubles      []Trouble `json:",omitempty"`
}

// Site is the simulated site: racks of equal workers.
type Site struct {
	Workers      int
	PerRack      int
	CPU          int // thousandths of a core, each worker
	MemoryMB     int
	Accelerators int

	StopMillis       int64 // longest time from a stop to its end
	GangWaitMillis   int64
	CheckpointMillis int64 // work between two checkpoints
	RestoreMillis    int64
	FarFactor        float64
	CommitMillis     int64   // a transaction of the store
	OrderMillis      int64   // from the planner to a worker
	WastePrice       float64 // of a core-second of work that is thrown away, in worth
}

// Workspace is a submitter of jobs.
type Workspace struct {
	Name       string
	Share      float64 // of all submissions
	Guaranteed int     // accelerators
}

// Kind is a kind of work.
type Kind struct {
	Name            string
	Priority        int
	Attempts        int
	Stretch         float64 // of the objective
	ObjectiveMillis int64   // constant part of the objective
	Worth           float64 // of a job that ends within its objective
	LateWorth       float64 // of one that ends within three times its objective
	PerSecond       float64 // mean rate of submissions

	Steps Draw // number of steps, each after the one before
	Tasks Draw // of a step
	Work  Draw // milliseconds of each task
	// TailShare of the jobs take TailFactor times as long.
	TailShare  float64 `json:",omitempty"`
	TailFactor float64 `json:",omitempty"`
	// Uneven is the spread of the work of a job's tasks, and EstimateSpread that of
	// the declared time around the work.
	Uneven         float64 `json:",omitempty"`
	EstimateSpread float64 `json:",omitempty"`

	CPU          int
	MemoryMB     int
	Accelerators []int // drawn from, for each job

	GangShare           float64 `json:",omitempty"` // of steps of several tasks that take at most gangRoom of the site
	SameRackShare       float64 `json:",omitempty"` // of gangs that take at most rackRoom of a rack
	CheckpointableShare float64 `json:",omitempty"` // of jobs
	ApartShare          float64 `json:",omitempty"` // of steps with at most 1 or 2 tasks on a worker
	FailureShare        float64 `json:",omitempty"` // of runs that fail by their own fault
	HopelessShare       float64 `json:",omitempty"` // of jobs that always fail
	CancelShare         float64 `json:",omitempty"` // of jobs that are cancelled early
}

// Draw is a log-normal distribution, cut at Max.
type Draw struct {
	Mean   float64
	Spread float64 `json:",omitempty"` // of the logarithm
	Max    float64 `json:",omitempty"`
}

// Burst multiplies the rate of a kind for a while.
type Burst struct {
	Kind       string
	AtSeconds  float64
	ForSeconds float64
	Factor     float64
}

// Trouble is a fault of workers.
type Trouble struct {
	What       string // one of the Trouble constants
	AtSeconds  float64
	ForSeconds float64
	Workers    int // how many it strikes
	Factor     float64
}

// Troubles.
const (
	TroubleSlow  = "slow"  // Factor times slower
	TroubleHang  = "hang"  // what runs stands still
	TroubleFail  = "fail"  // everything that starts fails at once
	TroubleCrash = "crash" // the worker is gone for the time, and comes back empty
	TroubleDrain = "drain" // the worker takes no new work and is gone at the end of the time
)

// ParseLoad reads a load from JSON. All names must be known.
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
	demand := func(ok bool, format string, args ...any) {
		if !ok {
			errs = append(errs, fmt.Errorf(format, args...))
		}
	}
	s := l.Site
	demand(s.Workers > 0 && s.PerRack > 0, "Site: no workers")
	demand(s.CPU > 0 && s.MemoryMB > 0 && s.Accelerators > 0, "Site: workers without capacity")
	demand(s.FarFactor >= 1, "Site.FarFactor is %g, must be at least 1", s.FarFactor)
	demand(l.LengthSeconds > 0, "LengthSeconds must be positive")
	demand(l.Swing >= 0 && l.Swing <= 1, "Swing is %g, must be between 0 and 1", l.Swing)
	demand(l.Swing == 0 || l.PeriodSeconds > 0, "PeriodSeconds must be positive")
	demand(len(l.Workspaces) > 0, "no workspaces")
	demand(len(l.Kinds) > 0, "no kinds")
	known := make(map[string]bool)
	for i, k := range l.Kinds {
		known[k.Name] = true
		demand(k.Name != "", "Kinds[%d]: no name", i)
		demand(k.Work.Mean > 0 && k.Tasks.Mean > 0 && k.Steps.Mean > 0, "Kinds[%d]: no work", i)
		demand(k.CPU <= s.CPU && k.MemoryMB <= s.MemoryMB, "Kinds[%d]: a task is larger than a worker", i)
		for _, a := range k.Accelerators {
			demand(a <= s.Accelerators, "Kinds[%d]: %d accelerators, a worker has %d", i, a, s.Accelerators)
		}
	}
	for i, b := range l.Bursts {
		demand(known[b.Kind], "Bursts[%d]: unknown kind %q", i, b.Kind)
	}
	for i, t := range l.Troubles {
		switch t.What {
		case TroubleSlow, TroubleHang, TroubleFail, TroubleCrash, TroubleDrain:
		default:
			demand(false, "Troubles[%d]: unknown trouble %q", i, t.What)
		}
	}
	return errors.Join(errs...)
}

// pool is the name of the only pool of simulated sites.
const pool = "pool"

// config returns the configuration of the site.
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
