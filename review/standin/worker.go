package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatPeriod = 1500 * time.Millisecond
	// workerTick is how often a worker looks at its runs.
	workerTick = 10 * time.Millisecond
	// startupTime is how long a long-running work unit is not at work after its start.
	startupTime = 200 * time.Millisecond
)

type amount struct {
	Cpu   int `json:"Cpu"`
	MemMb int `json:"MemMb"`
	Gpu   int `json:"Gpu"`
}

func (a amount) plus(b amount) amount { return amount{a.Cpu + b.Cpu, a.MemMb + b.MemMb, a.Gpu + b.Gpu} }

func (a amount) holds(b amount) bool { return b.Cpu <= a.Cpu && b.MemMb <= a.MemMb && b.Gpu <= a.Gpu }

// plan says how a run goes: it ends after the given time, or never if that is 0.
type plan struct {
	after time.Duration
	how   string // done or failed
	// checkpoint is the length of the run's checkpoints in bytes; 0 for none.
	checkpoint int
}

// unitRun is one run of a work unit on a worker.
type unitRun struct {
	task    string
	number  int64
	need    amount
	lasts   bool
	started time.Time
	plan    plan
	stopAt  time.Time // when a stop takes effect; zero for none
}

// saveTime is the work after which a run has a new checkpoint.
const saveTime = time.Second

// saved returns the newest checkpoint of a run, or "" if it has none.
func (r *unitRun) saved() string {
	n := int(time.Since(r.started) / saveTime)
	if r.plan.checkpoint == 0 || n == 0 {
		return ""
	}
	return fmt.Sprintf("%0*x", r.plan.checkpoint, n)
}

// runRecord is what a worker has run, for the check at the end of a case.
type runRecord struct {
	task    string
	number  int64
	worker  string
	machine string
	start   time.Time
	end     time.Time // zero while it runs
	how     string
	// notedAt is when the end was taken note of; zero if it was not, or if the worker's lease lapsed
	// between the two.
	notedAt time.Time
}

type ended struct {
	n      int64
	task   string
	number int64
	how    string
	saved  string
}

// machine is a place for one worker at a time, beside a target process.
type machine struct {
	w       *world
	name    string
	zone    string
	labels  []string
	room    amount
	service string
	app     string // address of the worker on it
	control string // address to which the worker sends its heartbeats
	link    *link  // before the target process; nil for none

	mu     sync.Mutex
	worker *worker // nil while none runs
	lives  int
}

// worker is one life of a worker.
type worker struct {
	m      *machine
	id     string
	born   time.Time
	lis    net.Listener
	srv    *http.Server
	cancel context.CancelFunc
	done   chan struct{}

	mu       sync.Mutex
	ready    bool // says ready, not draining
	refusing bool // unhealthy: refuses orders to start with 503
	seq      int
	fence    int64
	until    time.Duration // lease end on the worker's clock
	lapsedAt time.Time     // when the lease last lapsed; zero if it never has
	hasLease bool          // the lease has not lapsed since it was last extended
	// late decides whether a hold gets no answer and is carried out after the returned time, with its
	// lease counted from then; nil if none is.
	late     func() time.Duration
	runs     map[string]*unitRun
	highest  map[string]int64 // run number up to which starts of a work unit are rejected
	ended    []ended
	endCount int64
	ends     chan struct{} // closed and replaced with each end
	records  map[string]*runRecord
}

// boot starts a worker on the machine, with a new id.
func (m *machine) boot() (*worker, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var lis net.Listener
	var err error
	for range 50 {
		if lis, err = net.Listen("tcp", m.app); err == nil {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if err != nil {
		return nil, err
	}
	m.lives++
	ctx, cancel := context.WithCancel(context.Background())
	k := &worker{
		m: m, id: fmt.Sprintf("i-%s-%d", m.name, m.lives), born: time.Now(), lis: lis, cancel: cancel, done: make(chan struct{}), ready: true,
		runs: make(map[string]*unitRun), highest: make(map[string]int64), ends: make(chan struct{}), records: make(map[string]*runRecord),
	}
	m.worker = k
	mux := http.NewServeMux()
	mux.HandleFunc("POST /medlargrade/run-start", k.order(k.serveStart))
	mux.HandleFunc("POST /medlargrade/run-stop", k.order(k.serveStop))
	mux.HandleFunc("POST /medlargrade/hold", k.serveHold)
	mux.HandleFunc("POST /medlargrade/pace", k.order(func(http.ResponseWriter, orderMessage) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	k.srv = &http.Server{Handler: mux}
	go func() { _ = k.srv.Serve(lis) }()
	go k.live(ctx)
	m.w.rec.printf("worker %s starts on %s", k.id, m.name)
	return k, nil
}

// live advances the runs and sends heartbeats until the worker ends.
func (k *worker) live(ctx context.Context) {
	defer close(k.done)
	tick := time.NewTicker(workerTick)
	defer tick.Stop()
	next := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		k.advance()
		if !time.Now().Before(next) {
			next = time.Now().Add(heartbeatPeriod)
			go k.beat()
		}
	}
}

func (k *worker) clock() time.Duration { return time.Since(k.born) + time.Second }

// heartbeat returns the body of the next heartbeat.
func (k *worker) heartbeat() []byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.seq++
	state := "ready"
	if !k.ready {
		state = "draining"
	}
	b, _ := json.Marshal(map[string]any{
		"Backend": k.m.service, "Addr": k.m.app, "Zone": k.m.zone, "Version": "v1", "Slots": 8, "State": state, "ColdLeftMs": 0,
		"Capacity": k.m.room, "Labels": k.m.labels, "ClockMs": k.clock().Milliseconds(), "Seq": k.seq, "born": k.born.UnixMilli(), "Machine": k.m.name,
	})
	return b
}

// beat sends a heartbeat, and reports whether it was acknowledged.
func (k *worker) beat() bool { return k.m.w.sendBeat(k.m, k.id, k.heartbeat()) }

// end ends the worker: everything that runs on it terminates.
func (k *worker) end(why string) {
	k.cancel()
	<-k.done
	_ = k.srv.Close()
	k.m.mu.Lock()
	if k.m.worker == k {
		k.m.worker = nil
	}
	k.m.mu.Unlock()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.m.w.rec.printf("worker %s ends: %s", k.id, why)
	for task := range k.runs {
		k.finishLocked(task, "ended with its worker", false)
	}
}

// leave is a planned end: the worker says that it drains, then that it leaves, and ends.
func (k *worker) leave(drain time.Duration) {
	k.mu.Lock()
	k.ready = false
	k.mu.Unlock()
	k.beat()
	time.Sleep(drain)
	req, _ := http.NewRequest(http.MethodDelete, "http://"+k.m.control+"/medlargrade/instances/"+k.id, http.NoBody)
	status := k.m.w.do(req)
	k.m.w.rec.printf("worker %s says that it leaves: %s", k.id, status)
	k.end("it was taken away")
}

func (k *worker) setRefusing(v bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.refusing = v
}

// idle reports whether the worker runs nothing.
func (k *worker) idle() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.runs) == 0
}

type orderMessage struct {
	Task    string `json:"Task"`
	Run     int64  `json:"Run"`
	Spec    string `json:"Spec"`
	UntilMs int64  `json:"UntilMs"`
	Fence   int64  `json:"Fence"`
}

// order wraps the handler of an order with what all orders have in common.
func (k *worker) order(handle func(http.ResponseWriter, orderMessage) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in orderMessage
		if k.isOtherBoot(r) {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		if json.NewDecoder(r.Body).Decode(&in) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		k.mu.Lock()
		status, reason := http.StatusConflict, "fence"
		if in.Fence >= k.fence {
			k.fence = in.Fence
			status, reason = handle(w, in)
		}
		name := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
		k.m.w.rec.printf("worker %s: %s %s run %d fence %d -> %d %s", k.id, name, in.Task, in.Run, in.Fence, status, reason)
		body := map[string]any{"ClockMs": k.clock().Milliseconds()}
		if reason != "" {
			body["Reason"] = reason
		}
		k.mu.Unlock()
		writeJSON(w, status, body)
	}
}

func (k *worker) isOtherBoot(r *http.Request) bool {
	want := r.Header.Get("Expect-Instance")
	return want != "" && want != k.id
}

func (k *worker) extendLocked(untilMs int64) {
	until := min(time.Duration(untilMs)*time.Millisecond, k.clock()+holdMax)
	k.until = max(k.until, until)
	k.hasLease = k.until > k.clock()
}

func (k *worker) serveStart(_ http.ResponseWriter, in orderMessage) (int, string) {
	if k.refusing {
		return http.StatusServiceUnavailable, ""
	}
	if r, ok := k.runs[in.Task]; ok && r.number == in.Run {
		return http.StatusOK, ""
	}
	if in.Run <= k.highest[in.Task] {
		k.extendLocked(in.UntilMs)
		return http.StatusConflict, "old"
	}
	if time.Duration(in.UntilMs)*time.Millisecond <= k.clock() {
		return http.StatusConflict, "late"
	}
	u, ok := k.m.w.unit(in.Task)
	if !ok || u.spec != in.Spec {
		k.m.w.rec.printf("worker %s is told to start %s with a Spec that no consumer sent", k.id, in.Task)
		return http.StatusBadRequest, ""
	}
	var used amount
	for _, r := range k.runs {
		used = used.plus(r.need)
	}
	k.extendLocked(in.UntilMs)
	if !k.m.room.holds(used.plus(u.need)) {
		return http.StatusConflict, "room"
	}
	now := time.Now()
	k.runs[in.Task] = &unitRun{task: in.Task, number: in.Run, need: u.need, lasts: u.lasts, started: now, plan: k.m.w.planOf(in.Task, in.Run)}
	rec := &runRecord{task: in.Task, number: in.Run, worker: k.id, machine: k.m.name, start: now}
	k.records[in.Task] = rec
	k.m.w.addRecord(rec)
	return http.StatusOK, ""
}

func (k *worker) serveStop(_ http.ResponseWriter, in orderMessage) (int, string) {
	k.highest[in.Task] = max(k.highest[in.Task], in.Run)
	if r, ok := k.runs[in.Task]; ok && r.number <= in.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime / 2)
	}
	return http.StatusOK, ""
}

func (k *worker) serveHold(w http.ResponseWriter, r *http.Request) {
	var in struct {
		UntilMs  int64 `json:"UntilMs"`
		Fence    int64 `json:"Fence"`
		LastSeen int64 `json:"LastSeen"`
		WaitMs   int64 `json:"WaitMs"`
	}
	if k.isOtherBoot(r) {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	k.mu.Lock()
	if delay := k.lateBy(); delay > 0 {
		k.holdLateLocked(in.UntilMs, in.Fence, delay)
		k.mu.Unlock()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if in.Fence < k.fence {
		clock := k.clock().Milliseconds()
		k.mu.Unlock()
		writeJSON(w, http.StatusConflict, map[string]any{"ClockMs": clock, "Reason": "fence"})
		return
	}
	k.fence = in.Fence
	if in.UntilMs > 0 {
		k.extendLocked(in.UntilMs)
	}
	for len(k.ended) > 0 && k.ended[0].n <= in.LastSeen {
		e := k.ended[0]
		k.m.w.rec.printf("worker %s: the end of %s run %d (%s) is taken note of", k.id, e.task, e.number, e.how)
		k.m.w.noteEnd(k.records[e.task], k.lapsedAt)
		k.ended = k.ended[1:]
	}
	if len(k.ended) == 0 && in.WaitMs > 0 {
		ends := k.ends
		k.mu.Unlock()
		t := time.NewTimer(time.Duration(min(in.WaitMs, 2000)) * time.Millisecond)
		select {
		case <-ends:
		case <-t.C:
		case <-r.Context().Done():
		}
		t.Stop()
		k.mu.Lock()
	}
	running, over := [][]any{}, [][]any{}
	for _, task := range k.tasksLocked() {
		x := k.runs[task]
		running = append(running, []any{x.task, x.number, x.saved(), x.percent(), 0})
	}
	for _, e := range k.ended[:min(len(k.ended), 500)] {
		over = append(over, []any{e.n, e.task, e.number, e.how, e.saved})
	}
	body := map[string]any{"ClockMs": k.clock().Milliseconds(), "born": k.born.UnixMilli(), "Running": running, "Ended": over}
	k.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func (k *worker) lateBy() time.Duration {
	if k.late == nil {
		return 0
	}
	return k.late()
}

// holdLateLocked carries out a hold after a delay. Its lease is as long as it was when it was sent.
func (k *worker) holdLateLocked(untilMs, fence int64, delay time.Duration) {
	left := time.Duration(untilMs)*time.Millisecond - k.clock()
	k.m.w.rec.printf("worker %s: a hold with fence %d and a lease of %v gets no answer; it is carried out %v later", k.id, fence, left, delay)
	time.AfterFunc(delay, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if fence < k.fence {
			k.m.w.rec.printf("worker %s: the late hold with fence %d does nothing", k.id, fence)
			return
		}
		k.fence = fence
		if untilMs > 0 {
			k.extendLocked((k.clock() + left).Milliseconds())
		}
		k.m.w.rec.printf("worker %s: the late hold is carried out; the lease lasts for %v", k.id, k.until-k.clock())
	})
}

func (k *worker) tasksLocked() []string {
	var out []string
	for t := range k.runs {
		out = append(out, t)
	}
	sort.Strings(out)
	return out
}

func (r *unitRun) percent() int {
	since := time.Since(r.started)
	switch {
	case r.lasts && since < startupTime:
		return 0
	case r.lasts || r.plan.after == 0:
		return 100
	}
	return int(min(100*since/r.plan.after, 100))
}

// advance ends the runs whose time has come, and all of them once the lease has lapsed.
func (k *worker) advance() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.hasLease && k.clock() > k.until {
		k.hasLease, k.lapsedAt = false, now
		k.m.w.rec.printf("worker %s: the lease has lapsed", k.id)
	}
	for _, task := range k.tasksLocked() {
		r := k.runs[task]
		switch {
		case k.clock() > k.until:
			k.finishLocked(task, "lapsed", true)
		case !r.stopAt.IsZero() && !now.Before(r.stopAt):
			k.finishLocked(task, "stopped", true)
		case r.plan.after > 0 && now.Sub(r.started) >= r.plan.after:
			k.finishLocked(task, r.plan.how, true)
		}
	}
}

// finishLocked ends the run of a work unit, and lists the end if the worker goes on.
func (k *worker) finishLocked(task, how string, list bool) {
	r := k.runs[task]
	delete(k.runs, task)
	k.highest[task] = max(k.highest[task], r.number)
	k.m.w.endRecord(k.records[task], how)
	if !list {
		return
	}
	k.endCount++
	k.ended = append(k.ended, ended{n: k.endCount, task: task, number: r.number, how: how, saved: r.saved()})
	close(k.ends)
	k.ends = make(chan struct{})
}

// sendBeat sends a heartbeat to the Control address of a machine.
func (w *world) sendBeat(m *machine, id string, body []byte) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+m.control+"/medlargrade/instances/"+id, bytes.NewReader(body))
	req.Header.Set("Content-Type", "application/json")
	return strings.HasPrefix(w.do(req), "200")
}
