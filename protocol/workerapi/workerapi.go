package workerapi

// Paths of the protocol. The actions on a task are PathTasks, "/", the escaped
// ID, and one of the actions.
const (
	PathTasks  = "/tasks"  // POST LaunchRequest, answered with TaskReply
	PathLeases = "/leases" // POST LeaseRequest, answered with LeaseReply
	PathUsage  = "/usage"  // GET, answered with Usage

	ActionRelease    = "/release"    // POST; the held task starts
	ActionCheckpoint = "/checkpoint" // POST; answered when the checkpoint is complete
	ActionThrottle   = "/throttle"   // POST; the task runs slower from now on
	ActionStop       = "/stop"       // POST; answered when the task has stopped

	// QueryWait is the query parameter of GET /tasks/{id}: the milliseconds
	// to wait for the end of the task.
	QueryWait = "WaitMillis"
)

// MaxBody is the largest body of a request or a reply, in bytes.
const MaxBody = 64 << 20

// LaunchRequest gives a task to the worker. A task ID is taken once only.
type LaunchRequest struct {
	ID          string
	Slots       int    // at least 1
	Held        bool   // the task waits for its release
	LeaseMillis int64  // at least 1; the task is stopped when it has passed without renewal
	LimitMillis int64  `json:",omitempty"` // the task is stopped after running this long; 0 for no limit
	Payload     []byte // base64 in JSON
	WaitMillis  int64  `json:",omitempty"` // the reply waits this long for the end of the task
	Workspace   string `json:",omitempty"`
	Kind        string `json:",omitempty"`
}

// State is the state of a task.
type State string

// States of a task. Done and Stopped are final.
const (
	StateHeld    State = "Held"
	StateRunning State = "Running"
	StateDone    State = "Done"    // ran to its end, with success or failure
	StateStopped State = "Stopped" // ended before its end
)

// Reasons for StateStopped.
const (
	StopRequested = "Requested" // by POST /tasks/{id}/stop
	StopLease     = "Lease"     // the lease lapsed
	StopLimit     = "Limit"     // the task ran longer than its limit
	StopShutdown  = "Shutdown"  // the worker shut down
)

// TaskReply describes a task.
type TaskReply struct {
	ID       string
	State    State
	Failed   bool   `json:",omitempty"` // with StateDone: the task failed by itself
	Error    string `json:",omitempty"` // of a failed task
	Body     []byte `json:",omitempty"` // result of a task that is done; base64 in JSON
	Stop     string `json:",omitempty"` // reason for StateStopped
	NeverRan bool   `json:",omitempty"` // with StateStopped: no user code ran

	RunMillis        int64 `json:",omitempty"` // since the start of user code
	CheckpointMillis int64 `json:",omitempty"` // work that the last checkpoint holds
}

// LeaseRequest renews the leases of tasks.
type LeaseRequest struct {
	IDs         []string
	LeaseMillis int64 // at least 1
}

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	Lost []string // tasks that are unknown or stopped; those that are done are not lost
}

// Usage is the worker's use at a moment in the past.
type Usage struct {
	Slots     int   // of the worker
	UsedSlots int   // by held and running tasks
	Held      int   // tasks
	Running   int   // tasks
	AgeMillis int64 // how old the report is
}

// Code is the reason for a refusal.
type Code string

// Codes of refusals.
const (
	CodeInvalid    Code = "Invalid"    // malformed request
	CodeBusy       Code = "Busy"       // not enough free slots
	CodeDuplicate  Code = "Duplicate"  // the task ID was launched before
	CodeUnknown    Code = "Unknown"    // the worker does not know the task
	CodeNotRunning Code = "NotRunning" // the task's state does not allow the action
	CodeDown       Code = "Down"       // the worker takes no tasks
)

// ErrorReply answers a request that was refused.
type ErrorReply struct {
	Code  Code
	Error string
}
