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
// transaction can change them together.
const (
	// TableJobs has a Job under its ID and a Cancellation under CancelKey.
	TableJobs = "Jobs"
	// TableProgress has a Progress under ProgressKey.
	TableProgress = "Progress"
	// TableWaiting has an empty row under Job.WaitingKey for each accepted job of
	// which no task has been started.
	TableWaiting = "Waiting"
	// TableKeys has the ID of a job under KeysKey, for jobs with a key.
	TableKeys = "Keys"
)

// Job is an accepted job. It never changes.
type Job struct {
	ID        string
	Workspace string
	Kind      string
	Queue     string `json:",omitempty"` // name of the queue, if it is not that of the kind
	Pool      string // workers that may run the tasks, as configured at acceptance
	Payload   string `json:",omitempty"` // passed to each task as it is
	Steps     []Step
	// Times is the number of occurrences of a recurring job; 0 for a job that
	// runs once. Occurrence k is due at StartMillis + k * IntervalMillis.
	Times          int   `json:",omitempty"`
	StartMillis    int64 `json:",omitempty"` // Unix time
	IntervalMillis int64 `json:",omitempty"`
	// AcceptedMillis is the store's steady clock shortly before the acceptance.
	AcceptedMillis int64
	// RequestID is that of the call that recorded the job; empty if it had none.
	RequestID string `json:",omitempty"`
	// Token tells apart the writes of one ID by several submissions.
	Token string
	// Key is the idempotency key of a job that was submitted under one.
	Key string `json:",omitempty"`
	// PayloadObject is the key of the object that holds a payload that is too large
	// for the row.
	PayloadObject string `json:",omitempty"`
	// AtMostOnce jobs are not started again once a run may have had effects.
	AtMostOnce bool `json:",omitempty"`
	// DeadlineMillis is the store's steady clock from which on the job is not
	// started any more; 0 for none.
	DeadlineMillis int64 `json:",omitempty"`
	// LimitMillis bounds the run time of a task; 0 for none.
	LimitMillis int64 `json:",omitempty"`
}

// Step is a number of equal tasks.
type Step struct {
	Tasks          int
	CPU            int    `json:",omitempty"` // thousandths of a core, each task
	MemoryMB       int    `json:",omitempty"`
	Accelerators   int    `json:",omitempty"`
	EstimateMillis int64  `json:",omitempty"` // declared run time; may be far off
	After          []int  `json:",omitempty"` // steps that must be done first
	Gang           bool   `json:",omitempty"` // the tasks only work together
	SameRack       bool   `json:",omitempty"` // slow on more than one rack
	SameWorker     bool   `json:",omitempty"` // runs on one worker only
	Label          string `json:",omitempty"` // that the worker must have
	DataRack       string `json:",omitempty"` // slow on any other rack
	MaxPerWorker   int    `json:",omitempty"` // 0 for no limit
	Checkpointable bool   `json:",omitempty"`
	Speculative    bool   `json:",omitempty"` // copies may run; the first to finish counts
	LongRunning    bool   `json:",omitempty"` // runs until the job is cancelled
	Image          string `json:",omitempty"` // tasks of one image behave alike
	// LatencyMillis is the tail latency below which a long-running task must stay.
	LatencyMillis int64 `json:",omitempty"`
	// Filler tasks use what the others on the worker leave of its processors.
	Filler bool `json:",omitempty"`
	// MayMiss is how many long-running tasks of the step may be unavailable at
	// once through decisions of the scheduler.
	MayMiss int `json:",omitempty"`
}

// Estimate returns the declared run time.
func (s Step) Estimate() time.Duration { return time.Duration(s.EstimateMillis) * time.Millisecond }

// Occurrences returns how often the job runs.
func (j Job) Occurrences() int { return max(j.Times, 1) }

// Due returns the wall-clock time at which an occurrence may start, and false if
// it may start at once.
func (j Job) Due(occurrence int) (time.Time, bool) {
	if j.Times == 0 {
		return time.Time{}, false
	}
	return time.UnixMilli(j.StartMillis + int64(occurrence)*j.IntervalMillis), true
}

// Encode returns the value of the job's row.
func (j Job) Encode() []byte { return table.EncodeValue(j) }

// Decode returns the job of a row's value.
func Decode(value []byte) (Job, error) {
	var j Job
	if err := json.Unmarshal(value, &j); err != nil {
		return Job{}, fmt.Errorf("decode job: %w", err)
	}
	return j, nil
}

// Cancellation is the value of the row under CancelKey.
type Cancellation struct {
	RequestID string `json:",omitempty"` // of the caller that cancelled
}

// Encode returns the value of the row.
func (c Cancellation) Encode() []byte { return table.EncodeValue(c) }

const cancelSuffix = "/cancel"

// CancelKey returns the key of the row in TableJobs that cancels a job.
func CancelKey(id string) string { return id + cancelSuffix }

// ParseJobsKey returns the job's ID of a key in TableJobs and whether the row is
// its cancellation.
func ParseJobsKey(key string) (id string, cancel bool) { return strings.CutSuffix(key, cancelSuffix) }

// ProgressKey returns the key of an occurrence in TableProgress.
func ProgressKey(id string, occurrence int) string { return id + "/" + strconv.Itoa(occurrence) }

// KeyRange returns the bounds of the keys in TableJobs and TableProgress that
// belong to a job.
func KeyRange(id string) (from, to string) { return id, id + "0" } // '0' follows '/'

// KeysKey returns the key of a job in TableKeys.
func KeysKey(workspace, key string) string { return workspace + "/" + key }

// KeysRange returns the bounds of the keys in TableKeys of a workspace, after a
// key.
func KeysRange(workspace, after string) (from, to string) {
	if after != "" {
		return KeysKey(workspace, after) + "\x00", workspace + "0"
	}
	return workspace + "/", workspace + "0"
}

// IDOf returns the ID of the job of a workspace under an idempotency key.
func IDOf(workspace, key string) string {
	h := sha256.Sum256([]byte(workspace + "\x00" + key))
	return hex.EncodeToString(h[:8])
}

// WaitingKey returns the key of the job in TableWaiting.
func (j Job) WaitingKey() string {
	if j.Queue != "" {
		return j.Queue + "/" + j.ID
	}
	return j.Kind + "/" + j.ID
}

// WaitingRange returns the bounds of the keys in TableWaiting of a queue.
func WaitingRange(queue string) (from, to string) { return queue + "/", queue + "0" }

// TaskName names a task of an occurrence of a job.
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

// ParseTaskName parses the form of TaskName.String.
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
