package worker

import (
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/protocol/workerapi"
)

// Defaults of Settings.
const (
	DefaultSlots            = 8
	DefaultCheckpointMillis = 500
	DefaultStopMillis       = 100
	DefaultUsageLagMillis   = 2000
	DefaultRetentionMillis  = 10 * 60 * 1000
	DefaultThrottleFactor   = 10
)

// Settings of a Worker. A field that is 0 stands for its default; a negative
// time stands for none.
type Settings struct {
	Slots            int
	CheckpointMillis int64   // time that a checkpoint takes
	StopMillis       int64   // time that a stop takes once user code runs
	UsageLagMillis   int64   // age of the usage that is reported
	RetentionMillis  int64   // time for which the results of ended tasks are kept
	ThrottleFactor   float64 // by which a throttled task is slower
}

// Worker is the stand-in. It is an http.Handler and safe for concurrent use.
type Worker struct {
	log                                      zerolog.Logger
	handler                                  http.Handler
	slots                                    int
	throttleFactor                           float64
	checkpointTime, stopTime, lag, retention time.Duration

	mu        sync.Mutex // guards all below; never held over a wait
	closed    bool
	faults    Faults
	cutLifted chan struct{} // closed when the cut is lifted; nil without a cut
	tasks     map[string]*task
	ended     []*task // in order of their ends
	seen      map[string]bool
	history   []*Record
	usage     workerapi.Usage // at present
	samples   []sample
}

// New returns a worker without tasks. Close releases its timers.
func New(s Settings, log zerolog.Logger) *Worker {
	w := &Worker{
		log:            log,
		slots:          DefaultSlots,
		throttleFactor: DefaultThrottleFactor,
		checkpointTime: duration(s.CheckpointMillis, DefaultCheckpointMillis),
		stopTime:       duration(s.StopMillis, DefaultStopMillis),
		lag:            duration(s.UsageLagMillis, DefaultUsageLagMillis),
		retention:      duration(s.RetentionMillis, DefaultRetentionMillis),
		tasks:          make(map[string]*task),
		seen:           make(map[string]bool),
	}
	if s.Slots > 0 {
		w.slots = s.Slots
	}
	if s.ThrottleFactor > 0 {
		w.throttleFactor = s.ThrottleFactor
	}
	r := chi.NewRouter()
	r.Get("/fault", w.getFaults)
	r.Post("/fault", w.postFaults)
	r.Get("/history", w.getHistory)
	r.Group(func(r chi.Router) {
		r.Use(w.receive)
		r.Post(workerapi.PathTasks, w.launch)
		r.Get(workerapi.PathTasks+"/{id}", w.wait)
		r.Post(workerapi.PathTasks+"/{id}"+workerapi.ActionRelease, w.release)
		r.Post(workerapi.PathTasks+"/{id}"+workerapi.ActionCheckpoint, w.checkpoint)
		r.Post(workerapi.PathTasks+"/{id}"+workerapi.ActionThrottle, w.throttle)
		r.Post(workerapi.PathTasks+"/{id}"+workerapi.ActionStop, w.stop)
		r.Post(workerapi.PathLeases, w.renew)
		r.Get(workerapi.PathUsage, w.getUsage)
	})
	w.handler = r
	return w
}

func duration(ms, fallback int64) time.Duration {
	if ms == 0 {
		ms = fallback
	}
	return millis(max(ms, 0))
}

// ServeHTTP serves one request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.handler.ServeHTTP(rw, r) }

// Close ends all tasks at once, like the loss of the machine, and refuses new
// ones.
func (w *Worker) Close() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.closed = true
	for _, t := range w.tasks {
		if t.final() {
			continue
		}
		end := EndStopped
		if t.record == nil {
			t.neverRan = true
			end = EndNone
		}
		t.stopping = workerapi.StopShutdown
		w.endLocked(t, workerapi.StateStopped, end)
	}
}
