package overview

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// Overview is the state of a shard.
type Overview struct {
	ConfigVersion uint64
	Planner       Planner
	Targets       []Target
	Workspaces    []Workspace
	Jobs          []Job // that have not ended
	Ended         int   // occurrences that have ended and are still recorded
}

// Planner is the owner of the shard.
type Planner struct {
	Name    string // empty if nobody owns the shard
	Address string
	Epoch   uint64
	Age     string // of the last write
}

// Target is an announced target.
type Target struct {
	Name    string
	Address string
	Silent  bool // does not answer the planner
	Runs    int  // recorded and not known to have ended
}

// Workspace is the use of a workspace.
type Workspace struct {
	Name       string
	Guaranteed int // accelerators
	InUse      int
	Waiting    int // jobs of which no task has been started
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
	Failures     int
}

// Read reads the state of a shard. The configuration may be nil.
func Read(ctx context.Context, s table.Store, part string, snap *configuration.Snapshot) (Overview, error) {
	var o Overview
	use := make(map[string]*Workspace)
	if snap != nil {
		o.ConfigVersion = snap.Version
		for _, w := range snap.Config.Workspaces() {
			use[w.Name()] = &Workspace{Name: w.Name(), Guaranteed: w.GuaranteedSlots()}
		}
	}
	runs := make(map[string]int)
	if err := o.readJobs(ctx, s, part, use, runs); err != nil {
		return Overview{}, err
	}
	if err := o.readShard(ctx, s, part, runs); err != nil {
		return Overview{}, err
	}
	for _, w := range use {
		o.Workspaces = append(o.Workspaces, *w)
	}
	slices.SortFunc(o.Workspaces, func(x, y Workspace) int { return cmp.Compare(x.Name, y.Name) })
	return o, nil
}

// readShard reads the owner and the targets.
func (o *Overview) readShard(ctx context.Context, s table.Store, part string, runs map[string]int) error {
	owner, err := s.Read(ctx, table.Range{Table: shard.TableShard, Part: part})
	if err != nil {
		return fmt.Errorf("read the owner of the shard: %w", err)
	}
	silent := make(map[string]int64)
	if len(owner.Rows) > 0 {
		row, err := shard.DecodeOwner(owner.Rows[0].Value)
		if err != nil {
			return err
		}
		age := owner.Now - time.Duration(row.BeatMillis)*time.Millisecond
		o.Planner = Planner{Name: row.Name, Address: row.Address, Epoch: row.Epoch, Age: age.String()}
		silent = row.Silent
	}
	targets, err := table.ReadAll(ctx, s, table.Range{Table: shard.TableTargets, Part: part})
	if err != nil {
		return fmt.Errorf("read the targets: %w", err)
	}
	for _, r := range targets.Rows {
		t, err := shard.DecodeTarget(r.Value)
		if err != nil {
			return err
		}
		_, isSilent := silent[r.Key]
		o.Targets = append(o.Targets, Target{Name: r.Key, Address: t.Address, Silent: isSilent, Runs: runs[r.Key]})
	}
	return nil
}

// readJobs reads the jobs with their progress.
func (o *Overview) readJobs(ctx context.Context, s table.Store, part string, use map[string]*Workspace, runs map[string]int) error {
	progress, err := table.ReadAll(ctx, s, table.Range{Table: job.TableProgress, Part: part})
	if err != nil {
		return fmt.Errorf("read the progress of the jobs: %w", err)
	}
	byJob := make(map[string][]job.Progress)
	for _, r := range progress.Rows {
		p, err := job.DecodeProgress(r.Value)
		if err != nil {
			return err
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
			return err
		}
		w := use[j.Workspace]
		if w == nil {
			w = &Workspace{Name: j.Workspace}
			use[j.Workspace] = w
		}
		if len(byJob[j.ID]) == 0 {
			byJob[j.ID] = []job.Progress{job.NewProgress(j, 0)}
		}
		for _, p := range byJob[j.ID] {
			o.add(j, p, w, runs)
		}
	}
	return nil
}

// add adds one occurrence.
func (o *Overview) add(j job.Job, p job.Progress, w *Workspace, runs map[string]int) {
	out := Job{ID: j.ID, Occurrence: p.Occurrence, Workspace: j.Workspace, Kind: j.Kind, State: p.State}
	for i, s := range p.Steps {
		out.Failures += s.Failures
		for _, t := range s.Tasks {
			out.Tasks++
			out.Failures += t.Failures
			if t.Done {
				out.Done++
			}
			for _, a := range t.Active {
				out.Running++
				runs[a.Place.Target]++
				if i < len(j.Steps) {
					out.Accelerators += j.Steps[i].Accelerators
				}
			}
		}
	}
	w.InUse += out.Accelerators
	if p.State.Final() {
		o.Ended++
		return
	}
	if !p.Begun {
		w.Waiting++
	}
	o.Jobs = append(o.Jobs, out)
}
