package matrix

import (
	"encoding/json"
	"strings"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/protocol/callerapi"
)

// request is one unit of work that a caller asks for. Its label is in the
// payload and in the answer, so that an execution is traced to it.
type request struct {
	label         string
	workspace     string
	kind          string
	key           string // empty: each try has a label of its own
	parts         int    // size of the gang
	slots         int    // on each worker
	run           time.Duration
	async         bool
	nonIdempotent bool
	lent          bool // runs beyond its workspace's guarantee
	claim         bool // claims its workspace's guarantee
	at            int  // index of the entry that is called first
	size          int  // least size of each part of the answer in bytes
}

// told is one response, or the failure to get one.
type told struct {
	label      string
	req        request
	entry      string
	lookup     bool // of a lookup or a cancellation, not of a submission
	start, end time.Time
	resp       callerapi.Response
	err        string // of a call without a response
}

// execution is user code that ran on a worker.
type execution struct {
	worker string
	target string
	label  string
	ID     string // of the task
	Run    int64
	Life   string    // ID of the worker's life
	Start  time.Time // the worker carried out the start
	Began  time.Time // zero if the work never began
	End    time.Time // zero while it runs
	Ended  string
	// Void is when the lease lapsed or the worker's life ended while its end was
	// still listed; zero if neither happened.
	Void time.Time
}

// held is a configuration generation that a process came to hold.
type held struct {
	process    string
	generation uint64
	at         time.Time
}

// leave is a graceful shutdown of a process.
type leave struct {
	process string
	from    time.Time
	until   time.Time // the process had ended; zero while it runs
}

// drain is a worker that leaves.
type drain struct {
	worker string
	life   string
	from   time.Time // its target process has acknowledged it
}

// history is all that a run was seen to do.
type history struct {
	mu       sync.Mutex
	requests map[string]request // by label
	told     []told
	ran      []execution
	held     []held
	accepted []held // generations, when the head row was written
	leaves   []leave
	drains   []drain
	touched  map[string]bool // hosts that a fault struck, other than by a graceful shutdown
	faults   []time.Time     // starts of faults
	struck   []string        // what the faults were
	active   int             // faults that have not ended
	waves    int             // waves of cancellations
	canceled map[string]bool // labels that somebody cancels
	changes  []string        // kinds that accepted changes added
	kinds    []string        // in the configuration at the end
	faultEnd time.Time       // of the last fault
	ended    time.Time       // of the run
	slots    []string        // what runs or waits at the end although nothing should
	pending  []string        // requests without an outcome at the bound
	live     []string        // processes that run at the end
	log      string          // of all processes, if MATRIX_LOG is set
}

func newHistory() *history {
	return &history{requests: make(map[string]request), touched: make(map[string]bool), canceled: make(map[string]bool)}
}

func (h *history) add(f func(h *history)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(h)
}

// payload returns the payload of a request. Its answer has the label.
func payload(label string, run time.Duration, size int) json.RawMessage {
	b, _ := json.Marshal(map[string]any{
		"RunMillis": run.Milliseconds(), "Result": map[string]string{"Label": label, "Filler": strings.Repeat("x", size)},
	})
	return b
}

// labelIn returns the label of a payload or an answer.
func labelIn(b []byte) string {
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
