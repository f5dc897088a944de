package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	pool = "svc-a"
	host = "h1.example"
	// The keys of two tenants. The first is guaranteed guaranteedGPU accelerators, the other none.
	firstKey      = "key-one"
	secondKey     = "key-two"
	guaranteedGPU = 8
)

// The two queues, by their paths.
const (
	normalQueue = "/q1/" // priority 1
	urgentQueue = "/q0/" // priority 0
)

// step is a step of a job in the messages of the protocol.
type step struct {
	Count       int    `json:"Count"`
	CPU         int    `json:"Cpu"`
	Mem         int    `json:"MemMb"`
	GPU         int    `json:"Gpu,omitempty"`
	Est         int64  `json:"EstMs"`
	After       []int  `json:"After,omitempty"`
	LongRunning bool   `json:"LongRunning,omitempty"`
	Requires    string `json:"Requires,omitempty"`
	MayMiss     int    `json:"MayMiss,omitempty"`
}

// job is what a client has sent.
type job struct {
	id    string
	spec  string
	steps []step
}

// attempt is one run of a task, as its worker saw it.
type attempt struct {
	run    int64
	worker string
	began  time.Time
	how    string // "" while it runs
	ended  time.Time
	noted  time.Time // when the end was taken note of
}

// proc is a process of the project.
type proc struct {
	name     string
	cmd      *exec.Cmd
	log      *os.File
	store    *link // its path to the store
	agent    *link // the path of the others to it; nil for an entry
	settings string
	role     string
}

// site is a small deployment.
type site struct {
	dir     string // temporary folder
	bin     string
	started time.Time
	store   *store
	storeAt string
	workers []*worker
	targets []*proc
	entry   *proc
	front   string // address for clients
	key     string // of the tenant whose clients call; firstKey at the start

	mu       sync.Mutex
	out      *os.File
	jobs     map[string]job
	attempts map[string][]*attempt
}

// record writes a line of the record.
func (s *site) record(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.out, "%8.3f  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func (s *site) began(task string, run int64, worker string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts[task] = append(s.attempts[task], &attempt{run: run, worker: worker, began: time.Now()})
}

func (s *site) over(task string, run int64, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts[task] {
		if a.run == run && a.how == "" {
			a.how, a.ended = how, time.Now()
		}
	}
}

func (s *site) noted(task string, run int64, how string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.attempts[task] {
		if a.run == run && a.how == how && a.noted.IsZero() {
			a.noted = time.Now()
		}
	}
}

// history returns copies of the attempts at a task.
func (s *site) history(task string) []attempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []attempt
	for _, a := range s.attempts[task] {
		out = append(out, *a)
	}
	return out
}

// running returns the name of the worker that runs a task, or "".
func (s *site) running(task string) string {
	for _, a := range s.history(task) {
		if a.how == "" {
			return a.worker
		}
	}
	return ""
}

// sent returns what a task needs, and whether a client has sent it with this text.
func (s *site) sent(task, text string) (need, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := strings.Split(task, ".")
	if len(f) != 4 {
		return need{}, false
	}
	j, ok := s.jobs[f[0]]
	if !ok || j.spec != text {
		return need{}, false
	}
	var i int
	if _, err := fmt.Sscan(f[2], &i); err != nil || i >= len(j.steps) {
		return need{}, false
	}
	return need{j.steps[i].CPU, j.steps[i].Mem, j.steps[i].GPU}, true
}

// loopback is an address of the loopback range that this process chooses by chance, so that cases
// that run at the same time don't take each other's ports.
var loopback = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(200), rand.IntN(250), 2+rand.IntN(250))

var takenPorts sync.Map

// freePort returns an address with a port that is free. The port is below the range from which the
// system takes those of outgoing connections, so that it stays free until a process listens on it.
func freePort() string {
	for range 1000 {
		addr := fmt.Sprintf("%s:%d", loopback, 12_000+rand.IntN(18_000))
		if _, taken := takenPorts.LoadOrStore(addr, true); taken {
			continue
		}
		if l, err := net.Listen("tcp", addr); err == nil {
			_ = l.Close()
			return addr
		}
	}
	panic("no free port")
}

// bounds are those of a site's sheet.
type bounds struct{ holdMax, stop, gang, config time.Duration }

var (
	boundsMogBrno        = bounds{6 * time.Second, 900 * time.Millisecond, 3 * time.Second, 2 * time.Second}
	boundsQuillfoldGrown = bounds{10 * time.Second, 400 * time.Millisecond, 4 * time.Second, 3 * time.Second}
	boundsQuillfoldLarge = bounds{10 * time.Second, 400 * time.Millisecond, 5 * time.Second, 4 * time.Second}
)

func inMillis(d time.Duration) string { return fmt.Sprintf("%dms", d.Milliseconds()) }

// options of a deployment.
type options struct {
	workers int
	bounds  bounds
	labels  map[int][]string // further labels by index of the worker
}

// newSite starts the stand-ins and the project's processes, and waits until they serve.
func newSite(o options) (*site, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &site{
		dir: dir, bin: os.Getenv("MEDLARGRADE"), started: time.Now(), store: newStore(), out: os.Stdout, key: firstKey,
		jobs: map[string]job{}, attempts: map[string][]*attempt{},
	}
	lis, err := net.Listen("tcp", freePort())
	if err != nil {
		return s, err
	}
	s.storeAt = lis.Addr().String()
	go func() { _ = http.Serve(lis, s.store) }()
	s.configure(1)
	for i := range o.workers {
		name := fmt.Sprintf("side-a-%d", i+1)
		app, control, agent := freePort(), freePort(), freePort()
		p := &proc{name: name, role: "target", store: newLink(s.storeAt), agent: newLink(agent)}
		p.settings = s.write(name, map[string]any{
			"Name": name, "DataCentre": "zone-a", "Address": agent, "ReachedAt": p.agent.addr, "ReportAddress": control, "OperatorAddress": freePort(),
			"Worker": "http://" + app, "Platform": "http://" + p.store.addr, "Config": "platform",
			"Policy": map[string]any{"LearnSpeeds": true, "AdaptiveRoom": true, "WeighVictims": true},
			"Bounds": map[string]any{
				"ConfigInForce": inMillis(o.bounds.config), "LeaseMax": inMillis(o.bounds.holdMax), "StopTime": inMillis(o.bounds.stop),
				"GangWait": inMillis(o.bounds.gang), "Retention": "120s", "Restore": "250ms", "FarFactor": 3,
			},
		})
		s.targets = append(s.targets, p)
		s.workers = append(s.workers, &worker{
			site: s, name: name, rack: fmt.Sprintf("r1-%d", i/3+1), labels: o.labels[i], addr: app, control: control,
			cap: need{64000, 262144, 8}, holdMax: o.bounds.holdMax, stop: o.bounds.stop,
		})
	}
	s.front = freePort()
	ready := freePort()
	s.entry = &proc{name: "front-a-1", role: "entry", store: newLink(s.storeAt)}
	s.entry.settings = s.write("front-a-1", map[string]any{
		"Name": "front-a-1", "DataCentre": "zone-a", "CallerAddress": freePort(), "RouteAddress": s.front, "ReadyAddress": ready,
		"OperatorAddress": freePort(), "Platform": "http://" + s.entry.store.addr, "Config": "platform", "DrainTime": "6s",
		"Bounds": map[string]any{"ConfigInForce": inMillis(o.bounds.config)},
	})
	for _, p := range append([]*proc{s.entry}, s.targets...) {
		if err := s.startProc(p); err != nil {
			return s, err
		}
	}
	for _, w := range s.workers {
		w.start()
	}
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get("http://" + ready + "/medlargrade/ready")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK && s.owner() != "" {
			time.Sleep(3 * time.Second)
			s.record("the site is ready; %s plans", s.owner())
			return s, nil
		}
	}
	return s, fmt.Errorf("the site does not get ready")
}

func (s *site) write(name string, v any) string {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		panic(err)
	}
	path := filepath.Join(s.dir, name+".json")
	if err := os.WriteFile(path, b, 0o600); err != nil {
		panic(err)
	}
	return path
}

// configure writes the operator's configuration.
func (s *site) configure(version int) {
	s.store.put("op", "config", map[string]any{
		"Version": version,
		"Routes": []any{
			map[string]any{
				"Name": "r-one", "Host": host, "PathPrefix": normalQueue, "TimeoutMs": 3000, "Backend": pool, "Priority": 1, "Attempts": 3, "Stretch": 3.0, "SloMs": 1000,
			},
			map[string]any{
				"Name": "r-zero", "Host": host, "PathPrefix": urgentQueue, "TimeoutMs": 3000, "Backend": pool, "Priority": 0, "Attempts": 2, "Stretch": 1.5, "SloMs": 250,
			},
		},
		"Services": []any{map[string]any{"Name": pool, "HealthPath": "/health", "MaxConns": 64, "AdmissionCheck": true}},
		"Tenants": []any{
			map[string]any{"Name": "tenant-1", "ApiKeys": []string{firstKey}, "Guaranteed": map[string]int{"Gpu": guaranteedGPU}},
			map[string]any{"Name": "tenant-2", "ApiKeys": []string{secondKey}, "Guaranteed": map[string]int{"Gpu": 0}},
		},
		"Limits": map[string]any{},
	})
}

func (s *site) startProc(p *proc) error {
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.log = log
	p.cmd = exec.Command(s.bin, p.role, "--settings", p.settings)
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return p.cmd.Start()
}

// owner returns the name of the target that plans, by the store.
func (s *site) owner() string {
	var o struct{ Name string }
	if b := s.store.get("Shard", "0", "Owner"); b == nil || json.Unmarshal(b, &o) != nil {
		return ""
	}
	return o.Name
}

func (s *site) target(name string) *proc {
	for _, p := range s.targets {
		if p.name == name {
			return p
		}
	}
	return nil
}

func (s *site) worker(name string) *worker {
	for _, w := range s.workers {
		if w.name == name {
			return w
		}
	}
	return nil
}

// close ends everything that was started.
func (s *site) close() {
	for _, p := range append([]*proc{s.entry}, s.targets...) {
		if p != nil && p.cmd != nil && p.cmd.Process != nil {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
			_ = p.log.Close()
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		fmt.Fprintln(os.Stderr, "logs in", s.dir)
	}
}

// call makes a call of a client and returns the status and the body; status 0 is no answer.
func (s *site) call(method, path string, body any) (int, string) {
	return s.callWithin(method, path, body, 3*time.Second)
}

// callWithin is call by a client that waits for the answer for a given time.
func (s *site) callWithin(method, path string, body any, limit time.Duration) (int, string) {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, method, "http://"+s.front+path, bytes.NewReader(b))
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Token "+s.key)
	req.Header.Set("Deadline-Ms", fmt.Sprint(limit.Milliseconds()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		s.record("%s %s: no answer: %v", method, path, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	s.record("%s %s: %d %s", method, path, resp.StatusCode, strings.TrimSpace(string(text)))
	return resp.StatusCode, string(text)
}

// send remembers a job as sent and returns the body of its submission.
func (s *site) send(id string, sp spec, steps ...step) map[string]any {
	text, _ := json.Marshal(sp)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs[id] = job{id, string(text), steps}
	return map[string]any{"Spec": string(text), "Steps": steps}
}

// submit sends a job until it is accepted, at most five times.
func (s *site) submit(queue, id string, sp spec, steps ...step) bool {
	body := s.send(id, sp, steps...)
	for range 5 {
		if status, _ := s.call(http.MethodPost, queue+id, body); status/100 == 2 {
			return true
		}
		time.Sleep(time.Second)
	}
	return false
}

// state returns the state of a job, "410" or "".
func (s *site) state(queue, id string) string {
	status, body := s.call(http.MethodGet, queue+id, nil)
	if status == http.StatusGone {
		return "410"
	}
	var st struct{ State string }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &st) != nil {
		return ""
	}
	return st.State
}

// waiting returns the number of waiting jobs of a queue, or -1.
func (s *site) waiting(queue string) int {
	status, body := s.call(http.MethodGet, queue, nil)
	var st struct{ Waiting int }
	if status != http.StatusOK || json.Unmarshal([]byte(body), &st) != nil {
		return -1
	}
	return st.Waiting
}

// until waits until f is true, at most d.
func until(d time.Duration, f func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f() {
			return true
		}
	}
	return f()
}
