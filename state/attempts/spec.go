package attempts

import (
	"strconv"
	"time"
)

// ID names one try to run a job.
type ID struct {
	Job    string
	Number uint32
}

// String returns the ID as job/number.
func (id ID) String() string {
	return id.Job + "/" + strconv.FormatUint(uint64(id.Number), 10)
}

// ClassShort is the class of the tasks that may take the slots of the lane.
const ClassShort = "short"

// Spec describes an attempt on this target. It does not change after Admit.
type Spec struct {
	ID        ID
	Workspace string
	Kind      string
	Class     string
	Slots     int           // on this target
	Tasks     int           // that share the slots
	KeepFree  int           // slots that stay free for short work after admission
	Limit     time.Duration // run time after which the task is stopped; 0 for none
	Lent      bool          // runs beyond its workspace's guarantee
	Index     int           // place of this target in Members
	Hub       int           // place of the hub in Members
	Members   []Member      // empty for a job with a single task
}

// Member is the place of one task of a gang.
type Member struct {
	Target      string
	Address     string
	Incarnation uint64
}

// IsGang reports whether the attempt was reserved as a gang.
func (s Spec) IsGang() bool { return len(s.Members) > 0 }

// IsHub reports whether this target decides for the whole attempt.
func (s Spec) IsHub() bool { return !s.IsGang() || s.Index == s.Hub }

// Phase is the stage of an attempt.
type Phase uint8

// Phases of an attempt. The phase of the hub's record is that of the whole gang,
// the phase of another member's record is that of its own task.
const (
	None    Phase = iota // not known
	Held                 // reserved, not released
	Running              // released
	Ran                  // ended with a whole answer
	NotRun               // refused now and later; no worker ran it
	Stopped              // may have run, has no answer
)

var phaseNames = [...]string{"None", "Held", "Running", "Ran", "NotRun", "Stopped"}

// String returns the name of the phase.
func (p Phase) String() string { return phaseNames[p] }

// IsEnded reports whether the phase is final.
func (p Phase) IsEnded() bool { return p >= Ran }

// Code is the reason for a refusal. The values are those of the refusal codes in
// the protocol of the target.
type Code uint8

// Codes of refusals.
const (
	CodeNone Code = iota
	CodeBusy
	CodeLeaving
	CodeSession
	CodeIncarnation
	CodeFenced
	CodeGeneration
	CodeWorker
	CodeLapsed
	CodeMember
	CodeInvalid
	CodeCanceled
	CodeNotReady
)

// Part is the result of one member.
type Part struct {
	Body   []byte
	Failed bool
	Error  string
	Tasks  int // that the body holds results of
}

// Stop asks for the stop of an attempt.
type Stop struct {
	Code       Code          // of the refusal if the attempt was not released
	Reason     string        // shown to the caller
	Checkpoint time.Duration // time for a checkpoint before the stop; 0 for none
	Preempted  bool          // stopped for a guarantee holder
}

// Status is a copy of the state of an attempt.
type Status struct {
	Spec       Spec
	Phase      Phase
	Code       Code
	Reason     string
	Preempted  bool
	Parts      []Part // in member order; set in phase Ran
	Admitted   time.Time
	Deadline   time.Time // end of the reservation while held
	Released   time.Time // zero if never released
	Ended      time.Time
	Checkpoint time.Time // last checkpoint, zero if none
	Stopping   *Stop     // set once a stop was asked for
	Local      LocalPhase
	Slots      int             // still taken on this target
	Verdict    Verdict         // of the hub
	Members    []MemberStatus  // of the hub
	Changed    <-chan struct{} // closed at the next change
}

// LocalPhase is the stage of the task on this target's own worker.
type LocalPhase uint8

// Local phases.
const (
	LocalHeld     LocalPhase = iota // not released on the worker
	LocalReleased                   // may run
	LocalGone                       // no longer on the worker
)
