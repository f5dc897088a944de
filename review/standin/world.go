package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds of the site mog-brno.
const (
	holdMax     = 6 * time.Second
	stopTime    = 900 * time.Millisecond
	graceTime   = 6 * time.Second
	visibleTime = 3 * time.Second
	finishTime  = 14 * time.Second
	reclaimTime = 3400 * time.Millisecond
)

var bounds = map[string]any{
	"Bounds.GraceS": 6, "Bounds.ConfigApplyMs": 2000, "Bounds.HoldMaxMs": holdMax.Milliseconds(), "Bounds.StopMs": stopTime.Milliseconds(),
	"Bounds.GangMs": 3000, "Bounds.status_s": 120, "Bounds.RestoreMs": 100, "Bounds.FarX": 3,
}

// step and job are what a consumer hands in.
type step struct {
	Count       int    `json:"Count"`
	Cpu         int    `json:"Cpu,omitempty"`
	MemMb       int    `json:"MemMb,omitempty"`
	Gpu         int    `json:"Gpu,omitempty"`
	EstMs       int    `json:"EstMs,omitempty"`
	Requires    string `json:"Requires,omitempty"`
	LongRunning bool   `json:"LongRunning,omitempty"`
	Checkpoint  bool   `json:"Checkpointable,omitempty"`
}

type job struct {
	Spec  string `json:"Spec"`
	Steps []step `json:"Steps"`
}

// unit is a work unit of a job that a consumer has sent.
type unit struct {
	spec  string
	need  amount
	lasts bool
}

// world is a small deployment: the platform, its machines and consumers, all stand-ins, and the
// project's own programs as separate processes.
type world struct {
	rec     *recorder
	repo    string
	dir     string // temporary
	trouble bool
	store   *store
	client  *http.Client
	config  map[string]any
	version int

	entry    *process
	front    string // address for consumers
	readyAt  string
	machines []*machine
	targets  []*process

	mu      sync.Mutex
	jobs    map[string]job
	plans   func(task string, run int64) plan
	records []*runRecord
}

// process is one of the project's programs.
type process struct {
	w    *world
	name string
	args []string

	mu   sync.Mutex
	cmd  *exec.Cmd
	done chan struct{} // closed when it has ended
}

// firstPort and ports are the range of the ports in use, which is below that of outgoing connections.
const (
	firstPort = 15_000
	ports     = 15_000
)

// freeAddresses returns n loopback addresses on which nothing listens.
func freeAddresses(n int) ([]string, error) {
	var out []string
	for range 20 * n {
		lis, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if err != nil {
			continue
		}
		defer func() { _ = lis.Close() }()
		if out = append(out, lis.Addr().String()); len(out) == n {
			return out, nil
		}
	}
	return nil, errors.New("too few free ports")
}

func portOf(address string) int {
	n, _ := strconv.Atoi(address[strings.LastIndexByte(address, ':')+1:])
	return n
}

// spec describes one machine of a case.
type spec struct {
	gpu    int
	labels []string
	linked bool // planners reach its target process through a link
}

const (
	service = "klikova"
	host    = "jobs.example"
)

// tenant is a tenant of the operator's configuration, with one key.
type tenant struct {
	name       string
	key        string
	guaranteed int
}

var (
	tenantOne = tenant{name: "tenant-1", key: "key-1"}
	tenantTwo = tenant{name: "tenant-2", key: "key-2", guaranteed: 8}
)

// newWorld starts the platform, one entry, and a machine with a worker and a target process for
// each of the given specs. plans says how runs go.
func newWorld(rec *recorder, repo, dir string, trouble bool, specs []spec, routes []route, plans func(string, int64) plan) (*world, error) {
	st, err := newStore(rec)
	if err != nil {
		return nil, err
	}
	w := &world{rec: rec, repo: repo, dir: dir, trouble: trouble, store: st, client: &http.Client{}, jobs: make(map[string]job), plans: plans}
	w.setRoutes(routes)
	addrs, err := freeAddresses(4 + 4*len(specs))
	if err != nil {
		return nil, err
	}
	w.front, w.readyAt = addrs[0], addrs[1]
	fields := map[string]any{
		"Node": "front-a-1", "Zone": "zone-a", "Ip": "127.0.0.1", "PortRange.0": portOf(addrs[2]), "PortRange.1": portOf(addrs[3]),
		"Listen.Front": addrs[0], "Listen.Ready": addrs[1], "platform.Addr": st.lis.Addr().String(),
	}
	if w.entry, err = w.newProcess("front-a-1", "entry", "deploy/entry.json.tmpl", fields); err != nil {
		return nil, err
	}
	for i, s := range specs {
		a := addrs[4+4*i:]
		m := &machine{
			w: w, name: fmt.Sprintf("side-a-%d", i+1), zone: "zone-a", labels: append([]string{"a", "r1-1"}, s.labels...), service: service,
			room: amount{64_000, 262_144, s.gpu}, app: a[0], control: a[1],
		}
		w.machines = append(w.machines, m)
		fields := map[string]any{
			"Node": m.name, "Zone": "zone-a", "Ip": "127.0.0.1", "PortRange.0": portOf(a[2]), "PortRange.1": portOf(a[3]),
			"Listen.Control": a[1], "app": a[0], "platform.Addr": st.lis.Addr().String(),
		}
		p, err := w.newProcess(m.name, "target", "deploy/target.json.tmpl", fields)
		if err != nil {
			return nil, err
		}
		if s.linked {
			if m.link, err = p.putLink(a[2]); err != nil {
				return nil, err
			}
		}
		w.targets = append(w.targets, p)
	}
	for _, p := range append([]*process{w.entry}, w.targets...) {
		if err := p.start(); err != nil {
			return nil, err
		}
	}
	for _, m := range w.machines {
		if _, err := m.boot(); err != nil {
			return nil, err
		}
	}
	return w, w.awaitReady()
}

// route is a queue of the operator's configuration.
type route struct {
	name     string
	priority int
	attempts int
}

// setRoutes writes the operator's configuration.
func (w *world) setRoutes(routes []route) {
	w.version += 3
	list := []map[string]any{}
	for _, r := range routes {
		list = append(list, map[string]any{
			"Name": r.name, "Host": host, "PathPrefix": "/" + r.name + "/", "Type": "non_idempotent", "TimeoutMs": 3000, "SloMs": 3000,
			"Priority": r.priority, "Backend": service, "Attempts": r.attempts, "Stretch": 3.0, "Public": false,
		})
	}
	tenants := []map[string]any{}
	for _, t := range []tenant{tenantOne, tenantTwo} {
		tenants = append(tenants, map[string]any{"Name": t.name, "ApiKeys": []string{t.key}, "Priority": 1, "Guaranteed": map[string]any{"Gpu": t.guaranteed}})
	}
	w.store.put("op", "config", map[string]any{
		"Version": w.version, "Routes": list,
		"Services": []map[string]any{{"Name": service, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": true, "Spare": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  tenants,
	})
}

func (w *world) newProcess(name, role, template string, fields map[string]any) (*process, error) {
	for k, v := range bounds {
		fields[k] = v
	}
	path, err := writeSettings(w.repo, template, w.dir, name, fields)
	return &process{w: w, name: name, args: []string{role, "--settings", path}}, err
}

// putLink puts a link in front of the address at which other processes reach this one.
func (p *process) putLink(address string) (*link, error) {
	free, err := freeAddresses(1)
	if err != nil {
		return nil, err
	}
	path := p.args[2]
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	b = bytes.Replace(b, []byte("{"), []byte(`{"ReachedAt": "`+free[0]+`",`), 1)
	if err := os.WriteFile(path, b, 0o600); err != nil {
		return nil, err
	}
	return newLink(free[0], address)
}

// start starts the process with the command of the deploy file.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.w.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command("target/medlargrade", p.args...)
	cmd.Dir, cmd.Stdout, cmd.Stderr = p.w.repo, log, log
	// The platform gives a process these variables only.
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.cmd, p.done = cmd, done
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	p.w.rec.printf("process %s starts", p.name)
	return nil
}

// stop sends SIGTERM, and SIGKILL after the grace time, and waits for the end.
func (p *process) stop() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Signal(syscall.SIGTERM)
	p.w.rec.printf("process %s gets SIGTERM", p.name)
	select {
	case <-done:
	case <-time.After(graceTime):
		_ = cmd.Process.Kill()
		<-done
	}
	p.w.rec.printf("process %s has ended", p.name)
}

// kill sends SIGKILL and waits for the end.
func (p *process) kill() {
	p.mu.Lock()
	cmd, done := p.cmd, p.done
	p.mu.Unlock()
	_ = cmd.Process.Kill()
	<-done
	p.w.rec.printf("process %s was killed", p.name)
}

// close ends all processes and workers.
func (w *world) close() {
	var wg sync.WaitGroup
	for _, p := range append([]*process{w.entry}, w.targets...) {
		if p != nil {
			wg.Go(p.stop)
		}
	}
	wg.Wait()
	for _, m := range w.machines {
		m.mu.Lock()
		k := m.worker
		m.mu.Unlock()
		if k != nil {
			k.end("the case is over")
		}
	}
}

// awaitReady waits until the entry is ready and a planner has reached all workers.
func (w *world) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		req, _ := http.NewRequest(http.MethodGet, "http://"+w.readyAt+"/medlargrade/ready", http.NoBody)
		ready := strings.HasPrefix(w.do(req), "200")
		for _, m := range w.machines {
			k := m.current()
			k.mu.Lock()
			ready = ready && k.fence > 0
			k.mu.Unlock()
		}
		if ready {
			time.Sleep(time.Second)
			w.rec.printf("the deployment is ready")
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the deployment was not ready in time")
}

func (m *machine) current() *worker {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.worker
}

// do makes a call and returns the status and the body of the answer, or the error.
func (w *world) do(req *http.Request) string {
	ctx, cancel := context.WithTimeout(req.Context(), 4*time.Second)
	defer cancel()
	resp, err := w.client.Do(req.WithContext(ctx))
	if err != nil {
		return "no answer: " + err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, 1<<20))
	if err != nil {
		return "no answer: " + err.Error()
	}
	return fmt.Sprintf("%d %s", resp.StatusCode, bytes.TrimSpace(body))
}

// call makes a call of a consumer of a tenant and records it.
func (w *world) call(t tenant, method, path string, body any) string {
	var b []byte
	if body != nil {
		b, _ = json.Marshal(body)
	}
	req, _ := http.NewRequest(method, "http://"+w.front+path, bytes.NewReader(b))
	req.Host = host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Authorization", "Token "+t.key)
	req.Header.Set("Deadline-Ms", "3000")
	answer := w.do(req)
	w.rec.printf("consumer of %s %s %s %s -> %s", t.name, method, path, b, answer)
	return answer
}

// submit hands a job in until it is accepted.
func (w *world) submit(t tenant, queue, id string, j job) error {
	w.mu.Lock()
	w.jobs[id] = j
	w.mu.Unlock()
	for range 5 {
		if strings.HasPrefix(w.call(t, http.MethodPost, "/"+queue+"/"+id, j), "2") {
			return nil
		}
		time.Sleep(time.Second)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state returns the state of a job that a consumer is told, or the whole answer if it is not 200.
func (w *world) state(t tenant, queue, id string) string {
	answer := w.call(t, http.MethodGet, "/"+queue+"/"+id, nil)
	var body struct {
		State string `json:"State"`
	}
	if text, ok := strings.CutPrefix(answer, "200 "); ok && json.Unmarshal([]byte(text), &body) == nil {
		return body.State
	}
	return answer
}

// unit returns a work unit by its name, ID.K.STEP.INDEX.
func (w *world) unit(task string) (unit, bool) {
	f := strings.Split(task, ".")
	if len(f) != 4 {
		return unit{}, false
	}
	w.mu.Lock()
	j, ok := w.jobs[f[0]]
	w.mu.Unlock()
	i, err := strconv.Atoi(f[2])
	if !ok || err != nil || i >= len(j.Steps) {
		return unit{}, false
	}
	s := j.Steps[i]
	return unit{j.Spec, amount{s.Cpu, s.MemMb, s.Gpu}, s.LongRunning}, true
}

func (w *world) planOf(task string, run int64) plan { return w.plans(task, run) }

func (w *world) addRecord(r *runRecord) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.records = append(w.records, r)
	w.rec.printf("RUN %s run %d begins on %s", r.task, r.number, r.worker)
}

func (w *world) endRecord(r *runRecord, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r.end, r.how = time.Now(), how
	w.rec.printf("RUN %s run %d on %s: %s", r.task, r.number, r.worker, how)
}

// noteEnd records that an end is taken note of. lapsedAt is when the worker's lease last lapsed.
func (w *world) noteEnd(r *runRecord, lapsedAt time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !lapsedAt.After(r.end) {
		r.notedAt = time.Now()
	}
}

// runsOf returns copies of the records of the runs of a work unit, in the order of their starts.
func (w *world) runsOf(task string) []runRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []runRecord
	for _, r := range w.records {
		if r.task == task {
			out = append(out, *r)
		}
	}
	return out
}

// awaitRun waits until a run of a work unit is in progress and returns its record.
func (w *world) awaitRun(task string, limit time.Duration) (runRecord, error) {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, r := range w.runsOf(task) {
			if r.end.IsZero() {
				return r, nil
			}
		}
	}
	return runRecord{}, fmt.Errorf("%s did not start within %v", task, limit)
}

// machineOf returns the machine with a name.
func (w *world) machineOf(name string) *machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// targetOf returns the target process beside a machine.
func (w *world) targetOf(name string) *process {
	for i, m := range w.machines {
		if m.name == name {
			return w.targets[i]
		}
	}
	return nil
}

// overlaps describes the spans in which two runs of a work unit were in progress at the same time.
func (w *world) overlaps(task string) []string {
	var out []string
	runs := w.runsOf(task)
	for i, a := range runs {
		for _, b := range runs[i+1:] {
			end := time.Now()
			if !a.end.IsZero() && a.end.Before(end) {
				end = a.end
			}
			if !b.end.IsZero() && b.end.Before(end) {
				end = b.end
			}
			if d := end.Sub(b.start); d > 0 {
				out = append(out, fmt.Sprintf("%s: run %d on %s and run %d on %s at the same time, from %.3f s for %.3f s",
					task, a.number, a.worker, b.number, b.worker, w.rec.since(b.start), d.Seconds()))
			}
		}
	}
	return out
}
