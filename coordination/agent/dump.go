package agent

import "time"

// State is the state of an agent in a dump of the process.
type State struct {
	Worker      string // ID; empty if no worker is known
	Born        int64
	Pool        string
	Rack        string
	Draining    bool
	Gone        bool
	Epoch       uint64 // highest seen
	Planner     string
	Contact     string // time since the planner's last call
	Fence       int64
	Confirmed   int64      // fencing token of the last answered hold
	LeaseCap    WorkerTime // time on the worker's clock up to which leases may be renewed
	WorkerClock WorkerTime
	Silent      string // time since the last answered hold was sent
	Seen        int64  // number of the last end that the planner has recorded
	Running     []RunState
	Ended       []EndState
	InDoubt     int // number of starts whose outcome is unknown
}

// RunState is a run that the worker has listed as running.
type RunState struct {
	Task       string
	Run        int64
	Percent    int64
	Checkpoint string
}

// EndState is the end of a run that the worker has listed.
type EndState struct {
	Number int64
	Task   string
	Run    int64
	How    string
}

// State returns the current state.
func (a *Agent) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	st := State{
		Worker: a.info.Incarnation.GetWorker(), Born: a.info.Incarnation.GetBorn(), Pool: a.info.Pool, Rack: a.info.Rack,
		Draining: a.info.Draining, Gone: a.gone, Epoch: a.epoch, Planner: a.planner, Fence: a.state.fence,
		Confirmed: a.state.confirmedFence, LeaseCap: a.state.leaseCap, WorkerClock: a.state.clock, Seen: a.state.seenEnd, InDoubt: len(a.state.unknownStarts),
	}
	if !a.lastContact.IsZero() {
		st.Contact = time.Since(a.lastContact).String()
	}
	if !a.state.lastAnsweredSent.IsZero() {
		st.Silent = time.Since(a.state.lastAnsweredSent).String()
	}
	for _, r := range a.state.running {
		st.Running = append(st.Running, RunState{r.GetTask(), r.GetRun(), r.GetPercent(), r.GetCheckpoint()})
	}
	for _, e := range a.state.ended {
		st.Ended = append(st.Ended, EndState{e.GetNumber(), e.GetTask(), e.GetRun(), e.GetHow()})
	}
	return st
}
