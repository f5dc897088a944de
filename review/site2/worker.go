package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// spec is the text that the client of this program gives its jobs: the time that a task takes, or
// whether it runs until it is stopped.
type spec struct {
	Ms    int64
	Lasts bool
	Text  string `json:",omitempty"` // makes the text longer
}

// workerRun is a run on a worker.
type workerRun struct {
	task    string
	run     int64
	spec    spec
	began   time.Time
	endsAt  time.Time // zero for one that lasts
	stopAt  time.Time // when a stop takes effect; zero for none
	res     need
	noteHow string
}

type need struct{ cpu, mem, gpu int }

// worker is a stand-in for a worker, one machine through several lives. It guards its capacity.
type worker struct {
	site    *site
	name    string // of the machine
	rack    string
	labels  []string
	addr    string // fixed for all lives
	control string // address for heartbeats
	cap     need
	holdMax time.Duration
	stop    time.Duration

	mu       sync.Mutex
	up       bool
	id       string
	born     int64
	lives    int
	boot     time.Time
	seq      uint64
	fence    int64
	leaseEnd time.Time
	runs     map[string]*workerRun
	ended    [][]any
	endNo    int64
	stopped  map[string]int64 // highest run stopped or ended, by task
	changed  chan struct{}
	srv      *http.Server
	cancel   context.CancelFunc
}

// start begins a life.
func (w *worker) start() {
	lis, err := net.Listen("tcp", w.addr)
	if err != nil {
		panic(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lives++
	w.up, w.id, w.born, w.boot = true, fmt.Sprintf("i-%s-%d", w.name, w.lives), time.Now().UnixMilli(), time.Now()
	w.seq, w.fence, w.leaseEnd = 0, 0, time.Time{}
	w.runs, w.ended, w.endNo, w.stopped = map[string]*workerRun{}, nil, 0, map[string]int64{}
	w.changed = make(chan struct{})
	ctx, cancel := context.WithCancel(context.Background())
	w.cancel = cancel
	w.srv = &http.Server{Handler: w}
	go func(s *http.Server) { _ = s.Serve(lis) }(w.srv)
	go w.beat(ctx)
	go w.tick(ctx)
	w.site.record("worker %s up as %s", w.name, w.id)
}

// crash ends a life at once: its runs are gone and its address has no listener.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		return
	}
	w.up = false
	w.cancel()
	for _, r := range w.runs {
		w.site.record("worker %s crashes with %s run %d after %d ms", w.name, r.task, r.run, time.Since(r.began).Milliseconds())
		w.site.over(r.task, r.run, "crashed")
	}
	w.runs = map[string]*workerRun{}
	_ = w.srv.Close()
}

func (w *worker) clock() int64 { return time.Since(w.boot).Milliseconds() + 1000 }

func (w *worker) beat(ctx context.Context) {
	client := &http.Client{Timeout: time.Second}
	for ctx.Err() == nil {
		w.mu.Lock()
		w.seq++
		b, _ := json.Marshal(map[string]any{
			"Backend": pool, "Addr": w.addr, "Zone": "zone-a", "Version": "v1", "Slots": 8, "State": "ready", "ColdLeftMs": 0,
			"Capacity": map[string]int{"Cpu": w.cap.cpu, "MemMb": w.cap.mem, "Gpu": w.cap.gpu},
			"Labels":   append([]string{"a", w.rack}, w.labels...), "ClockMs": w.clock(), "Seq": w.seq, "born": w.born, "Machine": w.name,
		})
		id := w.id
		w.mu.Unlock()
		req, _ := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+w.control+"/medlargrade/instances/"+id, bytes.NewReader(b))
		req.Header.Set("Content-Type", "application/json")
		pause := 1500 * time.Millisecond
		if resp, err := client.Do(req); err == nil {
			_ = resp.Body.Close()
		} else {
			pause = 300 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// tick ends the runs that are due.
func (w *worker) tick(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(10 * time.Millisecond)
		w.mu.Lock()
		if ctx.Err() == nil {
			w.dueLocked(time.Now())
		}
		w.mu.Unlock()
	}
}

func (w *worker) dueLocked(now time.Time) {
	for _, r := range w.runs {
		switch {
		case now.After(w.leaseEnd):
			w.endLocked(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.endLocked(r, "stopped")
		case !r.endsAt.IsZero() && now.After(r.endsAt):
			w.endLocked(r, "done")
		}
	}
}

func (w *worker) endLocked(r *workerRun, how string) {
	delete(w.runs, r.task)
	w.endNo++
	w.ended = append(w.ended, []any{w.endNo, r.task, r.run, how, ""})
	w.stopped[r.task] = max(w.stopped[r.task], r.run)
	close(w.changed)
	w.changed = make(chan struct{})
	w.site.record("worker %s ends %s run %d: %s", w.name, r.task, r.run, how)
	w.site.over(r.task, r.run, how)
}

func (w *worker) usedLocked() need {
	var n need
	for _, r := range w.runs {
		n.cpu, n.mem, n.gpu = n.cpu+r.res.cpu, n.mem+r.res.mem, n.gpu+r.res.gpu
	}
	return n
}

// free returns the number of accelerators that no run on a worker uses.
func (s *site) free() int {
	n := 0
	for _, w := range s.workers {
		w.mu.Lock()
		if w.up {
			n += w.cap.gpu - w.usedLocked().gpu
		}
		w.mu.Unlock()
	}
	return n
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, req *http.Request) {
	var m struct {
		Task           string
		Run            int64
		Spec           string
		UntilMs        int64
		Fence          int64
		LastSeen       int64
		WaitMs         int64
		LastCheckpoint string
	}
	if err := json.NewDecoder(req.Body).Decode(&m); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.up {
		panic(http.ErrAbortHandler)
	}
	if id := req.Header.Get("Expect-Instance"); id != "" && id != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	refuse := func(reason string) {
		reply(rw, http.StatusConflict, map[string]any{"ClockMs": w.clock(), "born": w.born, "Reason": reason})
	}
	if m.Fence < w.fence {
		refuse("fence")
		return
	}
	w.fence = m.Fence
	w.dueLocked(time.Now())
	extend := func() {
		if m.UntilMs > 0 {
			until := min(m.UntilMs, w.clock()+w.holdMax.Milliseconds())
			if t := w.boot.Add(time.Duration(until-1000) * time.Millisecond); t.After(w.leaseEnd) {
				w.leaseEnd = t
			}
		}
	}
	switch strings.TrimPrefix(req.URL.Path, "/medlargrade/") {
	case "run-start":
		if r := w.runs[m.Task]; r != nil && r.run == m.Run {
			extend()
			reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born})
			return
		}
		if m.Run <= w.stopped[m.Task] || w.runs[m.Task] != nil {
			extend()
			refuse("old")
			return
		}
		res, ok := w.site.sent(m.Task, m.Spec)
		if !ok {
			w.site.record("worker %s: start of %s run %d, which nobody sent", w.name, m.Task, m.Run)
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		used := w.usedLocked()
		if used.cpu+res.cpu > w.cap.cpu || used.mem+res.mem > w.cap.mem || used.gpu+res.gpu > w.cap.gpu {
			extend()
			refuse("room")
			return
		}
		if m.UntilMs <= w.clock() {
			refuse("late")
			return
		}
		extend()
		var sp spec
		_ = json.Unmarshal([]byte(m.Spec), &sp)
		r := &workerRun{task: m.Task, run: m.Run, spec: sp, began: time.Now(), res: res}
		if !sp.Lasts {
			r.endsAt = r.began.Add(time.Duration(sp.Ms) * time.Millisecond)
		}
		w.runs[m.Task] = r
		w.site.record("worker %s starts %s run %d (fence %d)", w.name, m.Task, m.Run, m.Fence)
		w.site.began(m.Task, m.Run, w.name)
		reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born})
	case "run-stop":
		r := w.runs[m.Task]
		switch {
		case r != nil && r.run == m.Run:
			if r.stopAt.IsZero() {
				r.stopAt = time.Now().Add(w.stop / 2)
			}
		case r == nil:
			w.stopped[m.Task] = max(w.stopped[m.Task], m.Run)
		}
		reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born})
	case "pace":
		reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born})
	case "hold":
		extend()
		for len(w.ended) > 0 && w.ended[0][0].(int64) <= m.LastSeen {
			w.site.noted(w.ended[0][1].(string), w.ended[0][2].(int64), w.ended[0][3].(string))
			w.ended = w.ended[1:]
		}
		id := w.id
		deadline := time.Now().Add(time.Duration(min(m.WaitMs, 2000)) * time.Millisecond)
		for len(w.ended) == 0 && time.Now().Before(deadline) && w.up && w.id == id {
			changed := w.changed
			w.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Until(deadline)):
			case <-req.Context().Done():
			}
			w.mu.Lock()
			if req.Context().Err() != nil {
				return
			}
		}
		if !w.up || w.id != id {
			panic(http.ErrAbortHandler)
		}
		w.dueLocked(time.Now())
		running := [][]any{}
		for _, r := range w.runs {
			percent := 100
			if !r.spec.Lasts {
				percent = int(min(100, 100*time.Since(r.began).Milliseconds()/max(r.spec.Ms, 1)))
			}
			running = append(running, []any{r.task, r.run, "", percent, 0})
		}
		ended := [][]any{}
		ended = append(ended, w.ended[:min(len(w.ended), 500)]...)
		reply(rw, http.StatusOK, map[string]any{"ClockMs": w.clock(), "born": w.born, "Running": running, "Ended": ended})
	default:
		rw.WriteHeader(http.StatusNotFound)
	}
}
