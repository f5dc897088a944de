package matrix

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/protocol/callerapi"
)

// request is one unit of work that a caller requests. Its label is part of the
// payload and of the answer, so that executions and answers can be matched with it.
type request struct {
	label           string
	workspace       string
	kind            string
	key             string // if empty, each attempt has a label of its own
	parts           int    // size of the gang
	slots           int    // accelerators on each worker
	runTime         time.Duration
	async           bool
	nonIdempotent   bool
	beyondGuarantee bool          // runs beyond its workspace's guarantee
	claim           bool          // claims its workspace's guarantee
	entryIndex      int           // index of the entry that is called first
	minPartBytes    int           // least size of each part of the answer in bytes
	crash           time.Duration // after which the first task crashes its worker; 0 if it does not
}

// callRecord is one call with its response or error.
type callRecord struct {
	label       string
	req         request
	entry       string
	existingJob bool // a lookup or a cancellation, not a submission
	cancels     bool // a cancellation
	start, end  time.Time
	resp        callerapi.Response
	err         string // if the call had no response
}

// execution is one run of a task on a worker.
type execution struct {
	worker      string
	dataCentre  string
	target      string
	label       string
	TaskID      string // name of the task, which begins with the job's ID
	Run         int64
	Incarnation string    // ID of the worker's incarnation
	Start       time.Time // the worker carried out the start order
	Began       time.Time // the work began; zero if it never did
	End         time.Time // zero if it had not ended
	EndReason   string
	// VoidAt is worker.Record.Void.
	VoidAt time.Time
	// CrashesWorker, Excess and CapacityAge are as in worker.Record.
	CrashesWorker, Excess bool
	CapacityAge           time.Duration
}

// configRecord is a configuration generation that a process put in force or that the
// store accepted.
type configRecord struct {
	process    string // empty for the store
	generation uint64
	at         time.Time
}

// shutdown is one graceful shutdown of a process.
type shutdown struct {
	process   string // host
	requested time.Time
	exited    time.Time // zero while the process runs
}

// drain is one worker that was told to leave.
type drain struct {
	worker      string
	incarnation string
	requested   time.Time
}

// evacuationRecord is the time in which a data centre was evacuated.
type evacuationRecord struct {
	dataCentre string
	requested  time.Time // when the request was acknowledged
	released   time.Time // when the withdrawal was first sent; zero if it was not
}

// history records what was observed of one run of a scenario.
type history struct {
	mu                sync.Mutex
	requests          map[string]request // by label
	calls             []callRecord
	executions        []execution
	heldConfigs       []configRecord
	acceptedConfigs   []configRecord // when the row of the current configuration was written
	shutdowns         []shutdown
	drains            []drain
	evacuations       []evacuationRecord
	affected          map[string]bool // hosts affected by a fault; a graceful shutdown is none
	faultStarts       []time.Time     // when each fault began
	faultDescriptions []string        // one for each fault
	activeFaults      int             // number of faults that have not ended
	cancelBursts      int             // number of cancel bursts
	canceled          map[string]bool // labels with a requested cancellation
	addedKinds        []string        // kinds that were added by accepted changes
	finalKinds        []string        // kinds of the configuration at the end
	lastFaultEnd      time.Time       // zero before the first fault and while one is active
	runEnd            time.Time       // when the run of the scenario ended
	leftovers         []string        // descriptions of runs and waiting rows that remain at the end
	pending           []string        // requests, jobs and changes without an outcome within the bound
	liveEntries       []string        // entries that run at the end
	log               string          // log lines of all processes, if MATRIX_LOG is set
}

func newHistory() *history {
	return &history{requests: make(map[string]request), affected: make(map[string]bool), canceled: make(map[string]bool)}
}

// update calls f with the history locked.
func (h *history) update(f func(h *history)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h)
}

// payload returns a payload with the given run time and a result that has the label
// and at least minBytes.
func payload(label string, runTime time.Duration, minBytes int) json.RawMessage {
	return request{runTime: runTime, minPartBytes: minBytes}.payload(label)
}

// payload returns the payload of the request's tasks, whose result has the label.
func (r request) payload(label string) json.RawMessage {
	b, _ := json.Marshal(map[string]any{
		"RunMillis": r.runTime.Milliseconds(), "CrashMillis": r.crash.Milliseconds(),
		"Result": map[string]string{"Label": label, "Filler": strings.Repeat("x", r.minPartBytes)},
	})
	return b
}

// labelOf returns the label of a payload or of a part of an answer, or "".
func labelOf(b []byte) string {
	var p struct {
		Label  string
		Result struct{ Label string }
	}
	if json.Unmarshal(b, &p) != nil {
		return ""
	}
	if p.Label != "" {
		return p.Label
	}
	return p.Result.Label
}
