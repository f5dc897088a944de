package worker

import (
	"net/http"
	"time"

	"github.com/medlargrade/medlargrade/standin/jsonhttp"
)

// End is how a task that ran user code ended.
type End string

// Ends of tasks.
const (
	EndNone    End = ""        // still running
	EndDone    End = "Done"    // with a result
	EndFailed  End = "Failed"  // with an error
	EndStopped End = "Stopped" // before its end
)

// Record is the record of a task that ran user code.
type Record struct {
	ID        string
	Workspace string
	Kind      string
	Slots     int
	Held      bool      // launched held and released later
	Start     time.Time // of user code
	End       time.Time // zero while it runs
	Ended     End
	Stop      string // reason for EndStopped, one of workerapi's
}

// History answers GET /history.
type History struct {
	Records []Record // in order of their starts
}

// History returns the records of all tasks that ran user code, in order of
// their starts.
func (w *Worker) History() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	records := make([]Record, len(w.history))
	for i, r := range w.history {
		records[i] = *r
	}
	return records
}

func (w *Worker) getHistory(rw http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(rw, http.StatusOK, History{Records: w.History()})
}
