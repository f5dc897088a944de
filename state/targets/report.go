package targets

import (
	"strconv"
	"time"
)

// Constants of the view.
const (
	// Expiry is the time after its last report for which a target is live:
	// three heartbeat periods.
	Expiry = 6 * time.Second
	// EffectExpiry is the time after which an unconfirmed effect is dropped. By
	// then, the target has either reported it or is no longer live.
	EffectExpiry = 6 * time.Second
	// forgetAfter is the time after its last report for which a silent target
	// is remembered. It equals the result retention of a target.
	forgetAfter = 10 * time.Minute
)

// Report is the content of one heartbeat.
type Report struct {
	Target      string
	Address     string
	DataCentre  string
	Rack        string
	Incarnation uint64
	Sequence    uint64 // grows with each heartbeat of the incarnation
	Base        uint64 // sequence that the changes build on; 0 for a full report
	Generation  uint64
	Slots       int // in total
	Connections int // in total
	Free        int // slots without a held or running task
	Leaving     bool
	Ready       bool
	Tasks       []Task   // all tasks if Base is 0, otherwise new and changed ones
	Removed     []string // tasks that ended since Base, as Task.ID
	Results     []Result // all if Base is 0, otherwise the changed ones
}

// Hub is the target that decides for the gang of a task.
type Hub struct {
	Target      string
	Address     string
	Incarnation uint64
}

// Task is a held or running task: one member of an attempt.
type Task struct {
	Target          string // set by the view
	Job             string
	Number          uint32 // of the attempt
	Workspace       string
	Kind            string
	Class           string // "short", "long" or "fill"
	Slots           int    // on this target
	Lent            bool
	Released        bool
	Run             time.Duration // since the release
	SinceCheckpoint time.Duration // since the last checkpoint or the release
	Members         int           // size of the gang
	Hub             Hub
}

// ID returns the attempt of t as job/number.
func (t Task) ID() string { return ID(t.Job, t.Number) }

// ID returns the name of an attempt in Report.Removed.
func ID(job string, number uint32) string {
	return job + "/" + strconv.FormatUint(uint64(number), 10)
}

// Result counts the ended tasks of one workspace and kind since the target
// process started.
type Result struct {
	Workspace string
	Kind      string
	Succeeded uint64
	Failed    uint64
}

// Target is an immutable snapshot of one target. Free includes the entry's own
// recent effects.
type Target struct {
	Name        string
	Address     string
	DataCentre  string
	Rack        string
	Incarnation uint64
	Generation  uint64
	Slots       int
	Connections int
	Free        int
	Leaving     bool
	Ready       bool
	Heard       time.Time // when the last report arrived
	Results     []Result  // must not be changed; sorted by workspace and kind
}

// Accepts reports whether the target takes new work.
func (t Target) Accepts() bool { return t.Ready && !t.Leaving }
