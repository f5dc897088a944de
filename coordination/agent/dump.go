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
	Epoch       uint64 // highest seen, also by RaiseEpoch
	Planner     string // of the last accepted Watch
	Contact     string // time since the start of the last accepted call or the end of the last Watch; empty before the first
	Fence       int64
	Confirmed   int64      // fencing token of the last answered hold
	LeaseCap    WorkerTime // time on the worker's clock up to which leases may be renewed
	WorkerClock WorkerTime
	Silent      string // time since the last answered hold was sent, or since the first one became possible
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
		Worker: a.heartbeat.Incarnation.GetWorker(), Born: a.heartbeat.Incarnation.GetBorn(), Pool: a.heartbeat.Pool, Rack: a.heartbeat.Rack,
		Draining: a.heartbeat.Draining, Gone: a.gone, Epoch: a.epoch, Planner: a.planner, Fence: a.state.fence,
		Confirmed: a.state.confirmedFence, LeaseCap: a.state.leaseCap, WorkerClock: a.state.clock, Seen: a.state.recordedEnd, InDoubt: len(a.state.unknownStarts),
	}
	if !a.lastContact.IsZero() {
		st.Contact = time.Since(a.lastContact).String()
	}
	if !a.state.answeredHoldSentAt.IsZero() {
		st.Silent = time.Since(a.state.answeredHoldSentAt).String()
	}
	for _, r := range a.state.running {
		st.Running = append(st.Running, RunState{r.GetTask(), r.GetRun(), r.GetPercent(), r.GetCheckpoint()})
	}
	for _, e := range a.state.ended {
		st.Ended = append(st.Ended, EndState{e.GetNumber(), e.GetTask(), e.GetRun(), e.GetHow()})
	}
	return st
}
