package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/standin/jsonhttp"
)

// Defaults of Settings.
const (
	DefaultCPU          = 128_000
	DefaultMemoryMB     = 262_144
	DefaultAccelerators = 8
	DefaultHeartbeat    = 1500 * time.Millisecond
	DefaultLeaseMax     = 10 * time.Second
	DefaultStopTime     = 400 * time.Millisecond
	DefaultGangWait     = 3 * time.Second
	DefaultCheckpoint   = 500 * time.Millisecond
	DefaultRestore      = 250 * time.Millisecond
	reportTimeout       = time.Second
)

// Settings of a Worker. A field that is 0 stands for its default.
type Settings struct {
	Name         string // stays with the machine; IDs of lives are made of it
	Pool         string
	DataCentre   string
	Rack         string
	Kind         string // the first label; "a" if empty
	CPU          int
	MemoryMB     int
	Accelerators int
	Address      string // at which it is served, as it reports
	Report       string // IP:port of the target process
	Heartbeat    time.Duration
	LeaseMax     time.Duration
	StopTime     time.Duration
	GangWait     time.Duration
	Checkpoint   time.Duration
	Restore      time.Duration
	ClockRate    float64 // of the worker's clock against the time; 1 if 0
}

func (s Settings) withDefaults() Settings {
	ints := []struct {
		field *int
		value int
	}{{&s.CPU, DefaultCPU}, {&s.MemoryMB, DefaultMemoryMB}, {&s.Accelerators, DefaultAccelerators}}
	for _, f := range ints {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	times := []struct {
		field *time.Duration
		value time.Duration
	}{
		{&s.Heartbeat, DefaultHeartbeat},
		{&s.LeaseMax, DefaultLeaseMax},
		{&s.StopTime, DefaultStopTime},
		{&s.GangWait, DefaultGangWait},
		{&s.Checkpoint, DefaultCheckpoint},
		{&s.Restore, DefaultRestore},
	}
	for _, f := range times {
		if *f.field == 0 {
			*f.field = f.value
		}
	}
	if s.Kind == "" {
		s.Kind = "a"
	}
	if s.ClockRate == 0 {
		s.ClockRate = 1
	}
	return s
}

// Worker is the stand-in. It is an http.Handler and safe for concurrent use.
type Worker struct {
	site    *Site
	cfg     Settings
	client  *http.Client
	log     zerolog.Logger
	handler http.Handler

	// The site's lock guards the rest.
	faults      Faults
	idCount     int
	incarnation *incarnation
	down        bool
	drainEnd    time.Time     // when the worker ends; zero unless it drains
	reportNow   chan struct{} // closed and replaced when something is to be reported
}

// incarnation is one incarnation of a worker.
type incarnation struct {
	id          string
	born        int64
	start       time.Time
	clockRate   float64 // of the clock
	seq         uint64
	fence       int64
	leaseEnd    int64 // end of the lease on the worker's clock
	leaseTimer  *time.Timer
	runs        map[string]*run
	lastRun     map[string]int64 // highest run of each task that was stopped or has ended
	lastEnd     int64
	listedEnds  []runEnd
	endsChanged chan struct{} // closed and replaced with each end
}

type runEnd struct {
	number int64
	run    *run
	how    string
}

// New returns a worker that runs nothing.
func New(site *Site, cfg Settings, client *http.Client, log zerolog.Logger) *Worker {
	w := &Worker{site: site, cfg: cfg.withDefaults(), client: client, log: log, reportNow: make(chan struct{})}
	site.mu.Lock()
	w.startLocked(true)
	site.mu.Unlock()
	r := chi.NewRouter()
	r.Get("/fault", w.getFaults)
	r.Post("/fault", w.postFaults)
	r.Post("/drain", w.postDrain)
	r.Post("/crash", func(rw http.ResponseWriter, _ *http.Request) {
		w.Crash()
		jsonhttp.Write(rw, http.StatusOK, struct{}{})
	})
	r.Post("/restart", func(rw http.ResponseWriter, _ *http.Request) {
		w.Restart(true)
		jsonhttp.Write(rw, http.StatusOK, struct{}{})
	})
	r.Get("/history", func(rw http.ResponseWriter, _ *http.Request) { jsonhttp.Write(rw, http.StatusOK, w.site.Records()) })
	r.Group(func(r chi.Router) {
		r.Use(w.checkIncarnation)
		r.Post("/medlargrade/run-start", w.serveStart)
		r.Post("/medlargrade/run-stop", w.serveStop)
		r.Post("/medlargrade/pace", w.servePace)
		r.Post("/medlargrade/hold", w.serveHold)
		r.Get("/health", w.serveHealth)
	})
	w.handler = r
	return w
}

// ServeHTTP serves one request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) { w.handler.ServeHTTP(rw, r) }

// startLocked begins a new life, under a new ID or that of the last one.
func (w *Worker) startLocked(newID bool) {
	if newID || w.incarnation == nil {
		w.idCount++
	}
	w.incarnation = &incarnation{
		id: fmt.Sprintf("%s-%d", w.cfg.Name, w.idCount), born: w.site.nextBornLocked(), start: time.Now(), clockRate: w.cfg.ClockRate,
		runs: make(map[string]*run), lastRun: make(map[string]int64), endsChanged: make(chan struct{}),
	}
	w.down = false
	w.drainEnd = time.Time{}
	w.triggerReportLocked()
}

// Crash ends the worker without a word: nothing that ran there goes on.
func (w *Worker) Crash() {
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	w.crashLocked()
}

func (w *Worker) crashLocked() {
	w.down = true
	w.incarnation.voidEndsLocked()
	for _, r := range w.incarnation.runs {
		w.endLocked(r, endCrashed)
	}
	if w.incarnation.leaseTimer != nil {
		w.incarnation.leaseTimer.Stop()
	}
	w.notifyEndsLocked()
}

// Restart begins a new life, under a new ID or the one it had.
func (w *Worker) Restart(newID bool) {
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	if !w.down {
		w.crashLocked()
	}
	w.startLocked(newID)
}

// Drain makes the worker report that it is leaving. It ends after the given time.
func (w *Worker) Drain(d time.Duration) {
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	w.drainEnd = time.Now().Add(d)
	w.triggerReportLocked()
}

// Life returns the ID of the present life and the Unix time in milliseconds at which
// it began.
func (w *Worker) Life() (id string, born int64) {
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	return w.incarnation.id, w.incarnation.born
}

// Running returns the names of the tasks that run.
func (w *Worker) Running() []string {
	w.site.mu.Lock()
	defer w.site.mu.Unlock()
	var out []string
	for name := range w.incarnation.runs {
		out = append(out, name)
	}
	return out
}

// voidEndsLocked notes in the records that the listed ends no longer bind anyone.
func (inc *incarnation) voidEndsLocked() {
	for _, e := range inc.listedEnds {
		if r := e.run.record; r.Void.IsZero() {
			r.Void = time.Now()
		}
	}
}

func (w *Worker) notifyEndsLocked() {
	close(w.incarnation.endsChanged)
	w.incarnation.endsChanged = make(chan struct{})
}

func (w *Worker) triggerReportLocked() {
	close(w.reportNow)
	w.reportNow = make(chan struct{})
}

// clockLocked returns the worker's clock in milliseconds.
func (inc *incarnation) clockLocked() int64 {
	return int64(inc.clockRate*float64(time.Since(inc.start).Milliseconds())) + 1
}

// Run reports to the target process until ctx ends.
func (w *Worker) Run(ctx context.Context) {
	for ctx.Err() == nil {
		w.site.mu.Lock()
		reportNow, down, drainEnd := w.reportNow, w.down, w.drainEnd
		w.site.mu.Unlock()
		wait := w.cfg.Heartbeat
		if !down {
			w.report(ctx)
		}
		if !drainEnd.IsZero() {
			if remaining := time.Until(drainEnd); remaining <= 0 && !down {
				w.leave(ctx)
			} else if remaining > 0 {
				wait = min(wait, remaining)
			}
		}
		t := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-reportNow:
		case <-t.C:
		}
		t.Stop()
	}
}

// report sends a heartbeat.
func (w *Worker) report(ctx context.Context) {
	w.site.mu.Lock()
	inc := w.incarnation
	inc.seq++
	state := "ready"
	if !w.drainEnd.IsZero() {
		state = "draining"
	}
	heartbeat := map[string]any{
		"Backend": w.cfg.Pool, "Addr": w.cfg.Address, "Zone": w.cfg.DataCentre, "Version": "v1", "Slots": 8,
		"State": state, "ColdLeftMs": 0, "Labels": []string{w.cfg.Kind, w.cfg.Rack}, "Machine": w.cfg.Name,
		"Capacity": map[string]int{"Cpu": w.cfg.CPU, "MemMb": w.cfg.MemoryMB, "Gpu": w.cfg.Accelerators},
		"ClockMs":  inc.clockLocked(), "Seq": inc.seq, "born": inc.born,
	}
	if !w.drainEnd.IsZero() {
		heartbeat["RemainingMs"] = max(time.Until(w.drainEnd).Milliseconds(), 0)
	}
	w.site.mu.Unlock()
	w.sendReport(ctx, http.MethodPut, inc.id, heartbeat)
}

// leave tells the target process that the worker ends, and ends.
func (w *Worker) leave(ctx context.Context) {
	id, _ := w.Life()
	w.sendReport(ctx, http.MethodDelete, id, nil)
	w.Crash()
}

func (w *Worker) sendReport(ctx context.Context, method, id string, message any) {
	body, err := json.Marshal(message)
	if err != nil {
		w.log.Error().Int("Event", eventReportFailed).Err(err).Msg("heartbeat not encoded")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+w.cfg.Report+"/medlargrade/instances/"+id, bytes.NewReader(body))
	if err != nil {
		w.log.Error().Int("Event", eventReportFailed).Err(err).Msg("heartbeat not made")
		return
	}
	resp, err := w.client.Do(req)
	if err != nil {
		w.log.Debug().Int("Event", eventReportLost).Err(err).Msg("heartbeat not acknowledged")
		return
	}
	_ = resp.Body.Close()
}
