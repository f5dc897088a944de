package scheduler

import (
	"time"

	"github.com/medlargrade/medlargrade/coordination/guarantee"
	"github.com/medlargrade/medlargrade/coordination/health"
	"github.com/medlargrade/medlargrade/state/targets"
)

// State is the whole state of an entry, for operators.
type State struct {
	Entry       string
	Incarnation uint64
	Generation  uint64
	Ready       bool
	Leaving     bool
	Targets     []TargetState
	Workspaces  []WorkspaceState
	Tasks       []targets.Task
	Jobs        []JobState
}

// TargetState is what an entry knows of a target.
type TargetState struct {
	targets.Target
	Health   string
	KeepFree int // slots kept for short work
}

// WorkspaceState is the use of a workspace.
type WorkspaceState struct {
	Workspace string
	Queued    int
	guarantee.Use
}

// JobState is a job that the entry works on or has ended lately.
type JobState struct {
	Workspace string
	Key       string
	Job       string
	State     string
	Attempt   uint32
	Targets   []string
	Age       string
}

// Summary is the part of the state that operators watch.
func (s *Scheduler) Summary() State {
	now := time.Now()
	ps := s.plan.newPass(now)
	cfg := s.peers.Config.Current()
	st := State{
		Entry: s.set.Entry, Incarnation: s.set.Incarnation, Generation: cfg.Generation,
		Ready: s.peers.Config.IsReady(), Leaving: s.requests.isDraining(), Tasks: s.plan.view.Tasks(now),
	}
	for _, t := range s.plan.view.Live(now) {
		st.Targets = append(st.Targets, TargetState{
			Target: t, Health: healthName(s.plan.health.State(t.Name, now)), KeepFree: ps.keep[t.Name],
		})
	}
	for _, w := range cfg.Config.Workspaces() {
		st.Workspaces = append(st.Workspaces, WorkspaceState{
			Workspace: w.Name(), Queued: s.plan.queue.Len(w.Name()), Use: ps.ledger.Use(w.Name()),
		})
	}
	return st
}

// Dump returns the whole state.
func (s *Scheduler) Dump() State {
	st := s.Summary()
	for _, j := range s.jobs.List("") {
		r := j.Record()
		st.Jobs = append(st.Jobs, JobState{
			Workspace: j.Workspace(), Key: j.Key(), Job: j.ID(), State: string(r.State),
			Attempt: r.Attempt, Targets: r.Members, Age: time.Since(j.Created()).Round(time.Millisecond).String(),
		})
	}
	return st
}

func healthName(s health.State) string {
	switch s {
	case health.Healthy:
		return "Healthy"
	case health.Paused:
		return "Probation"
	case health.ProbeDue:
		return "ProbeDue"
	}
	return "Unknown"
}
