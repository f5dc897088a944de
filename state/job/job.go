package job

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/state/table"
)

// Tables of the store. All rows of one shard are in one part, so that one
// transaction can change them atomically.
const (
	// TableJobs holds a Job under its ID and a Cancellation under CancelKey.
	TableJobs = "Jobs"
	// TableProgress holds a Progress under ProgressKey.
	TableProgress = "Progress"
	// TableWaiting holds an empty row under Job.WaitingKey for each accepted job of
	// which no task has been started.
	TableWaiting = "Waiting"
	// TableIdempotencyKeys holds the ID of a job under IdempotencyRowKey, for jobs
	// with an idempotency key.
	TableIdempotencyKeys = "Keys"
	// TableEarlyCancellations holds an EarlyCancellations under each ID that was
	// cancelled while no job was recorded under it.
	TableEarlyCancellations = "EarlyCancellations"
)

// Job is an accepted job. It is immutable.
type Job struct {
	ID        string
	Workspace string
	Kind      string
	Queue     string `json:",omitempty"` // name of the queue, if it differs from Kind
	Pool      string // name of the pool of workers that may run the tasks, as configured at acceptance
	Payload   string `json:",omitempty"` // passed to each task unchanged
	Steps     []Step
	// Times is the number of occurrences of a recurring job; 0 for a job that
	// runs once. Occurrence k is due at StartMillis + k * IntervalMillis.
	Times          int   `json:",omitempty"`
	StartMillis    int64 `json:",omitempty"` // Unix time in milliseconds
	IntervalMillis int64 `json:",omitempty"`
	// AcceptedMillis is the time of the store's monotonic clock shortly before the
	// job was accepted.
	AcceptedMillis int64
	// RequestID is the request ID of the call that recorded the job; empty if it
	// had none.
	RequestID string `json:",omitempty"`
	// Token identifies the submission that wrote the row. It distinguishes the
	// row from those that other submissions of the same ID would have written.
	Token string
	// Key is the idempotency key of the submission; empty if it had none.
	Key string `json:",omitempty"`
	// PayloadObject is the key of the object that holds the payload if that is too
	// large for the row.
	PayloadObject string `json:",omitempty"`
	// AtMostOnce prevents another start of the job once a run may have had effects.
	AtMostOnce bool `json:",omitempty"`
	// DeadlineMillis is the time of the store's monotonic clock from which on the
	// job is no longer started; 0 for none. In the argument of intake's Service.Submit,
	// it is relative to the submission.
	DeadlineMillis int64 `json:",omitempty"`
	// LimitMillis is the maximum run time of a task; 0 for none.
	LimitMillis int64 `json:",omitempty"`
	// Attempts is the number of failures of a task at which the job fails, as configured for its
	// kind at acceptance; 0 if the kind set none. It applies once the kind has been removed.
	Attempts int `json:",omitempty"`
}

// Step is a number of identical tasks of a job. Speculative, Image and LatencyMillis are
// recorded from the submission; the planner does not use them.
type Step struct {
	Tasks          int
	CPU            int    `json:",omitempty"` // thousandths of a core for each task
	MemoryMB       int    `json:",omitempty"`
	Accelerators   int    `json:",omitempty"`
	EstimateMillis int64  `json:",omitempty"` // declared run time; possibly inaccurate by a large factor
	After          []int  `json:",omitempty"` // indexes of earlier steps that must be done first
	Gang           bool   `json:",omitempty"` // the tasks make progress only while all of them run
	SameRack       bool   `json:",omitempty"` // the tasks are slow if spread over several racks
	SameWorker     bool   `json:",omitempty"` // all tasks must be placed on one worker
	Label          string `json:",omitempty"` // label that a worker must have; empty for none
	DataRack       string `json:",omitempty"` // rack of the data; tasks are slow on any other rack
	MaxPerWorker   int    `json:",omitempty"` // 0 for no limit
	Checkpointable bool   `json:",omitempty"`
	Speculative    bool   `json:",omitempty"` // duplicate runs of a task are allowed; the first to finish counts
	LongRunning    bool   `json:",omitempty"` // runs until the job is cancelled
	Image          string `json:",omitempty"` // tasks of the same image have similar characteristics
	// LatencyMillis is the upper bound of the tail latency of a long-running task.
	LatencyMillis int64 `json:",omitempty"`
	// Filler tasks use CPU capacity that the other tasks on the worker leave unused.
	Filler bool `json:",omitempty"`
	// MayMiss is the disruption budget: the maximum number of long-running tasks of
	// the step that may be unavailable at once because of scheduling decisions; 0 for no such
	// decision.
	MayMiss int `json:",omitempty"`
}

// Estimate returns the declared run time.
func (s Step) Estimate() time.Duration { return time.Duration(s.EstimateMillis) * time.Millisecond }

// Tasks returns the number of tasks of all steps.
func (j Job) Tasks() int {
	n := 0
	for _, s := range j.Steps {
		n += s.Tasks
	}
	return n
}

// LargestGang returns the number of tasks of the largest gang, or 0 if the job has none.
func (j Job) LargestGang() int {
	n := 0
	for _, s := range j.Steps {
		if s.Gang {
			n = max(n, s.Tasks)
		}
	}
	return n
}

// Occurrences returns the number of occurrences of the job, at least 1.
func (j Job) Occurrences() int { return max(j.Times, 1) }

// Due returns the wall-clock time from which on an occurrence may start. It returns
// false if the job does not recur and so may start at once.
func (j Job) Due(occurrence int) (time.Time, bool) {
	if j.Times == 0 {
		return time.Time{}, false
	}
	return time.UnixMilli(j.StartMillis + int64(occurrence)*j.IntervalMillis), true
}

// Encode returns the value of the job's row.
func (j Job) Encode() []byte { return table.EncodeValue(j) }

// Decode decodes the value of a job's row. A row that the planner could not work with is an
// error.
func Decode(value []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(value, &j); err != nil {
		return Job{}, fmt.Errorf("decode job: %w", err)
	}
	if err := j.checkSteps(); err != nil {
		return Job{}, fmt.Errorf("decode job %s: %w", j.ID, err)
	}
	return j, nil
}

// Cancellation is the value of the row under CancelKey.
type Cancellation struct {
	RequestID string `json:",omitempty"` // request ID of the call that cancelled the job
}

// Encode returns the value of the row.
func (c Cancellation) Encode() []byte { return table.EncodeValue(c) }

const cancelSuffix = "/cancel"

// CancelKey returns the key of a job's Cancellation in TableJobs.
func CancelKey(id string) string { return id + cancelSuffix }

// ParseJobsKey returns the job ID of a key in TableJobs and whether the key is that
// of a Cancellation.
func ParseJobsKey(key string) (id string, cancel bool) { return strings.CutSuffix(key, cancelSuffix) }

// ProgressKey returns the key of an occurrence's Progress in TableProgress.
func ProgressKey(id string, occurrence int) string { return id + "/" + strconv.Itoa(occurrence) }

// RowRange returns the bounds of a job's keys in TableJobs and in TableProgress.
// The upper bound is exclusive: '0' is the byte after '/', so that the range has id and
// all keys that begin with id + "/".
func RowRange(id string) (from, to string) { return id, id + "0" }

// IdempotencyRowKey returns the key in TableIdempotencyKeys of the job with an
// idempotency key.
func IdempotencyRowKey(workspace, key string) string { return workspace + "/" + key }

// ParseIdempotencyRowKey returns the idempotency key of a row of the workspace.
func ParseIdempotencyRowKey(workspace, rowKey string) string {
	return strings.TrimPrefix(rowKey, workspace+"/")
}

// IdempotencyRowRange returns the bounds of a workspace's keys in
// TableIdempotencyKeys that follow the idempotency key after. An empty after selects
// all of them. The upper bound is exclusive: '0' is the byte after '/'.
func IdempotencyRowRange(workspace, after string) (from, to string) {
	if after != "" {
		return IdempotencyRowKey(workspace, after) + "\x00", workspace + "0"
	}
	return workspace + "/", workspace + "0"
}

// DeriveID derives the ID of a job from its workspace and idempotency key.
func DeriveID(workspace, key string) string {
	h := sha256.Sum256([]byte(workspace + "\x00" + key))
	return hex.EncodeToString(h[:8])
}

// WaitingKey returns the key of the job's row in TableWaiting.
func (j Job) WaitingKey() string {
	if j.Queue != "" {
		return j.Queue + "/" + j.ID
	}
	return j.Kind + "/" + j.ID
}

// WaitingRange returns the bounds of a queue's keys in TableWaiting. The upper bound
// is exclusive: '0' is the byte after '/'.
func WaitingRange(queue string) (from, to string) { return queue + "/", queue + "0" }

// TaskName identifies a task of an occurrence of a job.
type TaskName struct {
	Job        string
	Occurrence int
	Step       int
	Index      int
}

// String returns the form "job.occurrence.step.index".
func (n TaskName) String() string {
	return n.Job + "." + strconv.Itoa(n.Occurrence) + "." + strconv.Itoa(n.Step) + "." + strconv.Itoa(n.Index)
}

// ParseTaskName parses a task name in the form that TaskName.String returns.
func ParseTaskName(s string) (TaskName, error) {
	f := strings.Split(s, ".")
	if len(f) != 4 || f[0] == "" {
		return TaskName{}, fmt.Errorf("task name %q is not of the form job.occurrence.step.index", s)
	}
	var n [3]int
	for i, part := range f[1:] {
		v, err := strconv.Atoi(part)
		if err != nil || v < 0 {
			return TaskName{}, fmt.Errorf("task name %q has the invalid number %q", s, part)
		}
		n[i] = v
	}
	return TaskName{f[0], n[0], n[1], n[2]}, nil
}
