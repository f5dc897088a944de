package job

import (
	"encoding/json"
	"fmt"

	"github.com/medlargrade/medlargrade/state/table"
)

// State is the state of a job or of one occurrence.
type State string

// States of a job or an occurrence. All but Queued and Running are final.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
	// Expired is the state of a job that was not started before its deadline.
	Expired State = "expired"
	// Lost is the state of an at-most-once job that was not completed and can't be
	// started again, because a run may have had effects.
	Lost State = "lost"
)

// Final reports whether s is a final state. The empty State is not.
func (s State) Final() bool { return s != Queued && s != Running && s != "" }

// Incarnation identifies one incarnation of a worker.
type Incarnation struct {
	Target string // name of the target, which stays the same for a machine
	Worker string // the worker's ID
	Born   int64  // Unix time of the worker's start in milliseconds; distinguishes incarnations of one ID
}

// Run is a recorded run that is not known to have ended.
type Run struct {
	Number int
	Place  Incarnation
	// ConfirmedAfterMillis is the time from the acceptance of the job until the run was
	// known to run; 0 if it was not when the row was written. It is recorded only for jobs
	// with a limit.
	ConfirmedAfterMillis int64 `json:",omitempty"`
}

// Task is the recorded state of one task.
type Task struct {
	LastRun    int    `json:",omitempty"` // highest run number used
	Active     []Run  `json:",omitempty"`
	Done       bool   `json:",omitempty"` // a run completed the task
	Failures   int    `json:",omitempty"` // number of failed runs
	Checkpoint string `json:",omitempty"`
	// Result is the result of the run that completed the task. ResultObject is the
	// key of the object that holds it instead if it is too large for the row.
	Result       []byte  `json:",omitempty"`
	ResultObject string  `json:",omitempty"`
	Error        string  `json:",omitempty"` // of the last failed run
	Crashes      []Crash `json:",omitempty"` // recent ones
}

// Crash is the unannounced end of a worker that ran a task, or may have run it.
type Crash struct {
	Worker string // the worker's ID
	Born   int64  // as in Incarnation
	// AfterMillis is the time from the acceptance of the job to the crash, at least 1.
	AfterMillis int64
	// AtStart is set if the worker crashed soon after it had started the task, and nothing
	// else explains the crash.
	AtStart bool `json:",omitempty"`
}

// StepProgress is the recorded state of one step.
type StepProgress struct {
	Failures int `json:",omitempty"` // number of failed runs of the gang
	Tasks    []Task
}

// Progress is the recorded state of one occurrence of a job.
type Progress struct {
	Job        string
	Occurrence int
	State      State
	Begun      bool `json:",omitempty"` // whether a task has been started
	// ElapsedMillis is the time from the first start of a task to the final state.
	ElapsedMillis int64 `json:",omitempty"`
	// StartedAfterMillis and EndedAfterMillis are the times from the acceptance of the job
	// to the first start of a task and to the final state; 0 before, and if not recorded.
	StartedAfterMillis int64 `json:",omitempty"`
	EndedAfterMillis   int64 `json:",omitempty"`
	Steps              []StepProgress
}

// NewProgress returns the progress of a queued occurrence, no task of which has been
// started.
func NewProgress(j Job, occurrence int) Progress {
	p := Progress{Job: j.ID, Occurrence: occurrence, State: Queued, Steps: make([]StepProgress, len(j.Steps))}
	for i, s := range j.Steps {
		p.Steps[i].Tasks = make([]Task, s.Tasks)
	}
	return p
}

// Encode returns the encoding of p, which may be longer than a row; see EncodeRow.
func (p Progress) Encode() []byte { return table.EncodeValue(p) }

// DecodeProgress decodes the value of a row in TableProgress.
func DecodeProgress(value []byte) (Progress, error) {
	var p Progress
	if err := json.Unmarshal(value, &p); err != nil {
		return Progress{}, fmt.Errorf("decode progress: %w", err)
	}
	return p, nil
}

// CombineStates returns the state of a job from the states of its recorded
// occurrences. total is the number of all occurrences of the job. One failed, lost,
// cancelled or expired occurrence, in this order of precedence, determines the state
// of the job.
func CombineStates(recorded []State, total int) State {
	count := make(map[State]int)
	for _, s := range recorded {
		count[s]++
	}
	switch {
	case count[Failed] > 0:
		return Failed
	case count[Lost] > 0:
		return Lost
	case count[Cancelled] > 0:
		return Cancelled
	case count[Expired] > 0:
		return Expired
	case count[Completed] == total:
		return Completed
	case count[Running]+count[Completed] > 0:
		return Running
	}
	return Queued
}
