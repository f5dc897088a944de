package overview

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/evacuation"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// Overview is the state of a shard.
type Overview struct {
	ConfigVersion uint64
	Evacuated     []evacuation.Request `json:",omitempty"` // data centres in which nothing more is started
	Planner       Planner
	Targets       []Target
	Workspaces    []Workspace
	Jobs          []Job // that have not ended
	Ended         int   // number of ended occurrences that are still recorded
	// Malformed names the rows that can't be decoded, as TABLE/KEY. The rest of the overview
	// says nothing of them.
	Malformed []string `json:",omitempty"`
}

// Planner is the owner of the shard.
type Planner struct {
	Name    string // empty if nobody owns the shard
	Address string
	Epoch   uint64
	Age     string // time since the owner's last write of its row
}

// Target is a target that has registered in the store.
type Target struct {
	Name    string
	Address string
	Silent  bool // does not respond to the planner
	Runs    int  // number of recorded runs that are not known to have ended
}

// Workspace is the resource usage of a workspace.
type Workspace struct {
	Name       string
	Guaranteed int // accelerators
	InUse      int // accelerators
	Waiting    int // number of occurrences that have not started or ended
}

// Job is one occurrence of a job that has not ended.
type Job struct {
	ID           string
	Occurrence   int
	Workspace    string
	Kind         string
	State        job.State
	Tasks        int
	Done         int
	Running      int
	Accelerators int // in use
	Failures     int // number of failed runs
	Crashes      int // number of recent crashes of workers that ran a task
}

// Read reads the state of a shard. If snap is nil, the overview has no
// configuration version and no guarantees.
func Read(ctx context.Context, s table.Store, part string, snap *configuration.Snapshot) (Overview, error) {
	var o Overview
	usage := make(map[string]*Workspace)
	if snap != nil {
		o.ConfigVersion, o.Evacuated = snap.Version, snap.Evacuations().Requests()
		for _, w := range snap.Config.Workspaces() {
			usage[w.Name()] = &Workspace{Name: w.Name(), Guaranteed: w.GuaranteedSlots()}
		}
	}
	runsByTarget := make(map[string]int)
	if err := o.readJobs(ctx, s, part, usage, runsByTarget); err != nil {
		return Overview{}, err
	}
	if err := o.readShard(ctx, s, part, runsByTarget); err != nil {
		return Overview{}, err
	}
	for _, w := range usage {
		o.Workspaces = append(o.Workspaces, *w)
	}
	slices.SortFunc(o.Workspaces, func(x, y Workspace) int { return cmp.Compare(x.Name, y.Name) })
	slices.Sort(o.Malformed)
	return o, nil
}

// addMalformed records a row that can't be decoded.
func (o *Overview) addMalformed(r table.Row) { o.Malformed = append(o.Malformed, r.Table+"/"+r.Key) }

// readShard reads the owner and the targets.
func (o *Overview) readShard(ctx context.Context, s table.Store, part string, runsByTarget map[string]int) error {
	owner, err := s.Read(ctx, table.Range{Table: shard.TableShard, Part: part})
	if err != nil {
		return fmt.Errorf("read the owner of the shard: %w", err)
	}
	silentTargets := make(map[string]int64)
	if len(owner.Rows) > 0 {
		if row, err := shard.DecodeOwner(owner.Rows[0].Value); err != nil {
			o.addMalformed(owner.Rows[0])
		} else {
			age := owner.Now - time.Duration(row.BeatMillis)*time.Millisecond
			o.Planner = Planner{Name: row.Name, Address: row.Address, Epoch: row.Epoch, Age: age.String()}
			silentTargets = row.Silent
		}
	}
	targets, err := table.ReadAll(ctx, s, table.Range{Table: shard.TableTargets, Part: part})
	if err != nil {
		return fmt.Errorf("read the targets: %w", err)
	}
	for _, r := range targets.Rows {
		t, err := shard.DecodeTarget(r.Value)
		if err != nil {
			o.addMalformed(r)
			continue
		}
		_, silent := silentTargets[r.Key]
		o.Targets = append(o.Targets, Target{Name: r.Key, Address: t.Address, Silent: silent, Runs: runsByTarget[r.Key]})
	}
	return nil
}

// readJobs reads the jobs with their progress. It adds to usage and runsByTarget.
func (o *Overview) readJobs(ctx context.Context, s table.Store, part string, usage map[string]*Workspace, runsByTarget map[string]int) error {
	progress, err := table.ReadAll(ctx, s, table.Range{Table: job.TableProgress, Part: part})
	if err != nil {
		return fmt.Errorf("read the progress of the jobs: %w", err)
	}
	byJob := make(map[string][]job.Progress)
	for _, r := range progress.Rows {
		p, err := job.DecodeProgress(r.Value)
		if err != nil {
			o.addMalformed(r)
			continue
		}
		byJob[p.Job] = append(byJob[p.Job], p)
	}
	jobs, err := table.ReadAll(ctx, s, table.Range{Table: job.TableJobs, Part: part})
	if err != nil {
		return fmt.Errorf("read the jobs: %w", err)
	}
	for _, r := range jobs.Rows {
		if _, cancel := job.ParseJobsKey(r.Key); cancel {
			continue
		}
		j, err := job.Decode(r.Value)
		if err != nil {
			o.addMalformed(r)
			continue
		}
		w := usage[j.Workspace]
		if w == nil {
			w = &Workspace{Name: j.Workspace}
			usage[j.Workspace] = w
		}
		if len(byJob[j.ID]) == 0 {
			byJob[j.ID] = []job.Progress{job.NewProgress(j, 0)}
		}
		for _, p := range byJob[j.ID] {
			o.addOccurrence(j, p, w, runsByTarget)
		}
	}
	return nil
}

// addOccurrence adds one occurrence of a job to the overview, to w and to
// runsByTarget.
func (o *Overview) addOccurrence(j job.Job, p job.Progress, w *Workspace, runsByTarget map[string]int) {
	occ := Job{ID: j.ID, Occurrence: p.Occurrence, Workspace: j.Workspace, Kind: j.Kind, State: p.State}
	for i, s := range p.Steps {
		occ.Failures += s.Failures
		for _, t := range s.Tasks {
			occ.Tasks++
			occ.Failures += t.Failures
			occ.Crashes += len(t.Crashes)
			if t.Done {
				occ.Done++
			}
			for _, a := range t.Active {
				occ.Running++
				runsByTarget[a.Place.Target]++
				if i < len(j.Steps) {
					occ.Accelerators += j.Steps[i].Accelerators
				}
			}
		}
	}
	w.InUse += occ.Accelerators
	if p.State.Final() {
		o.Ended++
		return
	}
	if !p.Begun {
		w.Waiting++
	}
	o.Jobs = append(o.Jobs, occ)
}
