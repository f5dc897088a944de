package agent

import "time"

// State is the state of an agent as its dump shows it.
type State struct {
	Worker      string // ID of the life; empty if none is known
	Born        int64
	Pool        string
	Rack        string
	Draining    bool
	Gone        bool
	Epoch       uint64 // highest seen
	Planner     string
	Contact     string // how long ago the planner called last
	Fence       int64
	Confirmed   int64 // fencing token that the worker has confirmed
	LeaseCap    Clock // latest time on the worker's clock up to which leases are renewed
	WorkerClock Clock
	Silent      string // time since the call that the worker answered last was sent
	Seen        int64  // highest end that is recorded
	Running     []RunState
	Ended       []EndState
	InDoubt     int // starts whose outcome is unknown
}

// RunState is a run that the worker lists.
type RunState struct {
	Task       string
	Run        int64
	Percent    int64
	Checkpoint string
}

// EndState is an end that the worker lists.
type EndState struct {
	Number int64
	Task   string
	Run    int64
	How    string
}

// State returns the present state.
func (a *Agent) State() State {
	a.mu.Lock()
	defer a.mu.Unlock()
	st := State{
		Worker: a.info.Life.GetWorker(), Born: a.info.Life.GetBorn(), Pool: a.info.Pool, Rack: a.info.Rack,
		Draining: a.info.Draining, Gone: a.gone, Epoch: a.epoch, Planner: a.planner, Fence: a.life.fence,
		Confirmed: a.life.confirmed, LeaseCap: a.life.cap, WorkerClock: a.life.clock, Seen: a.life.seen, InDoubt: len(a.life.doubt),
	}
	if !a.contact.IsZero() {
		st.Contact = time.Since(a.contact).String()
	}
	if !a.life.answered.IsZero() {
		st.Silent = time.Since(a.life.answered).String()
	}
	for _, r := range a.life.running {
		st.Running = append(st.Running, RunState{r.GetTask(), r.GetRun(), r.GetPercent(), r.GetCheckpoint()})
	}
	for _, e := range a.life.ended {
		st.Ended = append(st.Ended, EndState{e.GetNumber(), e.GetTask(), e.GetRun(), e.GetHow()})
	}
	return st
}
