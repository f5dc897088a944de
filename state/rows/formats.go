package rows

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
)

// Tables of the platform's table service.
const (
	TableConfig = "Config" // Head and Change/<generation>
	TableJob    = "Job"    // <workspace>/<key>
	TableQueue  = "Queue"  // <entry>/<workspace>/<key>
	TableEntry  = "Entry"  // <entry>
	TableEnded  = "Ended"  // <workspace>/<key> of jobs that have ended
)

// HeadKey is the key of the configuration's head row.
const HeadKey = "Head"

// ChangeKey returns the key of the change that made the given generation.
// Generations are padded so that keys sort by generation.
func ChangeKey(generation uint64) string { return fmt.Sprintf("Change/%020d", generation) }

// SnapshotKey returns the object key of a whole configuration. The token tells
// the snapshots of racing operators apart.
func SnapshotKey(generation uint64, token string) string {
	return fmt.Sprintf("Config/%d/%s", generation, token)
}

// JobKey returns the key of a recorded job.
func JobKey(workspace, key string) string { return workspace + "/" + key }

// QueueKey returns the key of a job's place in an entry's queue.
func QueueKey(entry, workspace, key string) string { return entry + "/" + workspace + "/" + key }

// EndedKey returns the key of the row that marks a job as ended.
func EndedKey(workspace, key string) string { return JobKey(workspace, key) }

// AnswerKey returns the object key of an answer that is too large for its row.
func AnswerKey(job string, attempt uint32) string { return fmt.Sprintf("Answer/%s/%d", job, attempt) }

// NewToken returns a random token for one write.
func NewToken() string { return rand.Text() }

// Head is the head row of the configuration.
type Head struct {
	Generation  uint64
	Token       string // of the write that made this generation
	SnapshotKey string // object with the whole configuration
}

// JobState is the recorded state of a job.
type JobState string

// States of a recorded job. Ran, NotRun and Unknown are final.
const (
	JobQueued     JobState = "Queued"     // no attempt is under way
	JobDispatched JobState = "Dispatched" // the current attempt may run
	JobRan        JobState = "Ran"
	JobNotRun     JobState = "NotRun"
	JobUnknown    JobState = "Unknown"
)

// Job is the row of a recorded job.
type Job struct {
	Token   string // of the last write
	ID      string
	State   JobState
	Request json.RawMessage // the caller's request
	Digest  uint64          // of the request, to tell a reused key
	Created int64           // Unix milliseconds; for listings, and to tell a young job from an old one

	// The owner: the entry that makes attempts.
	Entry            string
	EntryIncarnation uint64
	// Attached is set while a caller waits at the owner. Nobody else makes
	// attempts for an attached job unless its caller sends the request again, so
	// the owner may say that it did not run before that is recorded.
	Attached bool
	// MayHaveRun is set once an attempt was lost. The job can then no longer be
	// reported as not run.
	MayHaveRun bool

	// The latest attempt; set from Dispatched on.
	Attempt        uint32
	Hub            string // target name
	HubAddress     string
	HubIncarnation uint64
	HubUptime      int64    // milliseconds, of the hub's process before the attempt was sent
	Members        []string // target names

	// The end; set with a final state.
	Reason      string // NotRun, Unknown
	Detail      string
	RetryMillis int64
	Parts       [][]byte // Ran; empty if AnswerKey is set
	AnswerKey   string
	Failed      bool
	Error       string
	RunMillis   int64
}

// Final reports whether the job has ended.
func (j Job) Final() bool {
	switch j.State {
	case JobRan, JobNotRun, JobUnknown:
		return true
	case JobQueued, JobDispatched:
		return false
	}
	return false
}

// Queue is the row of a job's place in an entry's queue.
type Queue struct {
	Token     string
	Workspace string
	Key       string
}

// Ended marks a job that has ended, so that its row is removed after a time.
type Ended struct {
	Token     string // of the final job row
	Workspace string
	Key       string
}

// Entry is the row by which an entry shows that it is alive. Observers watch
// Beat change on their own clock and never compare clocks.
type Entry struct {
	Token       string
	Address     string
	Incarnation uint64
	Beat        uint64
}

// Encode returns the JSON form of a row value.
func Encode(v any) ([]byte, error) {
	b, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode row: %w", err)
	}
	return b, nil
}

// Decode fills v from the value of a row.
func Decode(row Row, v any) error {
	if err := json.Unmarshal(row.Value, v); err != nil {
		return fmt.Errorf("decode row %s: %w", row.Key, err)
	}
	return nil
}
