//go:build review3

package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/standin/platform"
	"github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/state/job"
)

// Settings of the deployment, those of quillfold-cut-grown.
const (
	leaseMax      = 10 * time.Second
	stopTime      = 400 * time.Millisecond
	gangWait      = 4 * time.Second
	saveInterval  = 500 * time.Millisecond
	restoreTime   = 250 * time.Millisecond
	heartbeat     = 1500 * time.Millisecond
	configInForce = 3 * time.Second
	poolName      = "nester"
	hostName      = "quillfold.example"
	apiKey        = "key-roller"
)

// readyTimeout bounds the start of all programs.
const readyTimeout = 5 * time.Second

// siteSettings are the settings of a site.
type siteSettings struct {
	workers, entries int
}

// site is a small deployment on loopback.
type site struct {
	dir          string
	rec          *record
	store        *platform.Server
	storeAddress string
	runs         *worker.Site
	hosts        []*host
	entries      []*entryProcess
	client       *http.Client
	closers      []func()
	wg           sync.WaitGroup
}

// host is a machine with a worker and its target process.
type host struct {
	name    string
	id      string // of the worker without the number of its incarnation
	rack    string
	kind    string // of the worker
	worker  *worker.Worker
	address string // of the worker
	target  *program
	front   *http.Server // of the worker; closed while it is down
	agent   *link        // from planners to the target process
	store   *link        // from the target process to the store
	app     *link        // from the target process to the worker
	report  *link        // from the worker to the target process
	// endsLeft is how many ends the worker kept when it was last asked: those that have not been taken
	// note of.
	endsLeft        atomic.Int64
	endReports      context.CancelFunc // ends the heartbeats of the worker
	longCheckpoints atomic.Bool        // the worker's checkpoints have checkpointBytes
	// logHold is called with each hold and its answer; nil for no call.
	logHold atomic.Pointer[func(request string, status int, answer string)]
}

// entryProcess is an entry.
type entryProcess struct {
	*program
	route, ready string // addresses
}

func newSite(ctx context.Context, cfg siteSettings, rec *record) (*site, error) {
	s := &site{rec: rec, store: platform.New(platform.Settings{}, zerolog.Nop()), client: &http.Client{}}
	var err error
	if s.dir, err = os.MkdirTemp("", "review3-"); err != nil {
		return s, fmt.Errorf("create a folder: %w", err)
	}
	s.runs = worker.NewSite(func(id string) (job.Job, bool) { return s.store.Job(process.ShardPart, id) })
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return s, fmt.Errorf("listen: %w", err)
	}
	srv := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
	s.wg.Go(func() { _ = srv.Serve(lis) })
	s.closers = append(s.closers, func() { _ = srv.Close() })
	s.storeAddress = lis.Addr().String()
	if err := s.writeConfig(); err != nil {
		return s, err
	}
	for i := range cfg.workers {
		if err := s.addHost(ctx, i); err != nil {
			return s, err
		}
	}
	for i := range cfg.entries {
		if err := s.addEntry(i); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady(ctx)
}

// writeConfig writes the operator's configuration.
func (s *site) writeConfig() error {
	route := func(name string, priority, attempts int, stretch float64, sloMillis int) map[string]any {
		return map[string]any{
			"Name": name, "Host": hostName, "PathPrefix": "/" + name + "/", "Backend": poolName, "Priority": priority,
			"Attempts": attempts, "Stretch": stretch, "SloMs": sloMillis,
		}
	}
	b, err := json.Marshal(map[string]any{
		"Version":  3,
		"Routes":   []any{route("roll-nest", 1, 3, 3, 1000), route("cut-check", 0, 2, 1.5, 300), route("offcut-renest", 2, 2, 3, 3000)},
		"Services": []any{map[string]any{"Name": poolName, "AdmissionCheck": true, "HealthPath": "/health", "MaxConns": 64}},
		"Tenants":  []any{map[string]any{"Name": "roller", "ApiKeys": []string{apiKey}, "Guaranteed": map[string]int{"Gpu": 0}}},
	})
	if err != nil {
		return fmt.Errorf("encode the configuration: %w", err)
	}
	s.store.Put("op", "config", b)
	return nil
}

// Ports below those that the system assigns to connections, so that nothing takes one while its
// program is not running.
const (
	firstPort = 12_000
	numPorts  = 18_000
)

// nextPort counts the ports that were tried. It starts at random, so that cases that run at the same
// time use different ports.
var nextPort = rand.N(numPorts)

// freeAddress returns a loopback address that nothing listens on and that was not returned before.
func freeAddress() (string, error) {
	for range numPorts {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort%numPorts)
		if lis, err := net.Listen("tcp", address); err == nil {
			_ = lis.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

func freeAddresses(n int) ([]string, error) {
	var out []string
	for range n {
		a, err := freeAddress()
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

func (s *site) addHost(ctx context.Context, i int) error {
	a, err := freeAddresses(4) // of reports, planners, operators and the worker
	if err != nil {
		return err
	}
	h := &host{name: fmt.Sprintf("side-nash-a-%d", i+1), id: fmt.Sprintf("i-%d", i+1), rack: fmt.Sprintf("r%d", i/6+1), address: a[3]}
	for _, l := range []struct {
		link     **link
		upstream string
	}{{&h.agent, a[1]}, {&h.store, s.storeAddress}, {&h.app, h.address}, {&h.report, a[0]}} {
		if *l.link, err = newLink(l.upstream); err != nil {
			return err
		}
		s.closers = append(s.closers, (*l.link).close)
	}
	if err := s.startWorker(ctx, h, "a"); err != nil {
		return err
	}
	h.target, err = newProgram(s.dir, "target", h.name, map[string]any{
		"Name": h.name, "DataCentre": "nash-a", "Address": a[1], "ReachedAt": h.agent.address(), "ReportAddress": a[0], "OperatorAddress": a[2],
		"Worker": "http://" + h.app.address(), "Platform": "http://" + h.store.address(), "Config": "platform",
		"Policy": map[string]bool{"LearnSpeeds": true, "AdaptiveRoom": true, "WeighVictims": true},
		"Bounds": map[string]any{
			"ConfigInForce": configInForce.String(), "LeaseMax": leaseMax.String(), "StopTime": stopTime.String(), "GangWait": gangWait.String(),
			"Retention": "120s", "Restore": restoreTime.String(), "FarFactor": 3,
		},
	})
	if err != nil {
		return err
	}
	s.hosts = append(s.hosts, h)
	s.closers = append(s.closers, h.target.kill)
	return h.target.start()
}

// startWorker starts the first incarnation of a new worker on a host. A worker that takes the place of
// another one on the host has its Id, but may be of another kind, which is its first label.
func (s *site) startWorker(ctx context.Context, h *host, kind string) error {
	h.kind = kind
	h.worker = worker.New(s.runs, worker.Settings{
		Name: h.id, Pool: poolName, DataCentre: "nash-a", Rack: h.rack, HardwareType: kind, CPU: 128_000, Accelerators: 8,
		Address: h.address, ReportAddress: h.report.address(), HeartbeatInterval: heartbeat, LeaseMax: leaseMax, StopTime: stopTime,
		GangWait: gangWait, CheckpointInterval: saveInterval, RestoreWork: restoreTime,
	}, &http.Client{}, zerolog.Nop())
	if err := s.serveWorker(h); err != nil {
		return err
	}
	ctx, h.endReports = context.WithCancel(ctx)
	s.closers = append(s.closers, h.endReports)
	w := h.worker
	s.wg.Go(func() { w.Run(ctx) })
	return nil
}

// serveWorker makes a worker listen at its address.
func (s *site) serveWorker(h *host) error {
	var lis net.Listener
	var err error
	for range 50 {
		if lis, err = net.Listen("tcp", h.address); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		return fmt.Errorf("listen on %s: %w", h.address, err)
	}
	h.front = &http.Server{Handler: h.serveLimited(), ReadHeaderTimeout: time.Minute}
	srv := h.front
	s.wg.Go(func() { _ = srv.Serve(lis) })
	s.closers = append(s.closers, func() { _ = srv.Close() })
	return nil
}

// crashWorker ends a worker with all that it runs. Its address refuses connections from then on.
func (s *site) crashWorker(h *host) {
	running := h.worker.RunningTasks()
	h.worker.Crash()
	_ = h.front.Close()
	s.rec.add("worker of %s crashed; it ran %v", h.name, running)
}

// restartWorker starts a worker again that has crashed. It has seen nothing of before.
func (s *site) restartWorker(h *host, newID bool) error {
	if err := s.serveWorker(h); err != nil {
		return err
	}
	h.worker.Restart(newID)
	id, _ := h.worker.Incarnation()
	s.rec.add("worker of %s started again as %s", h.name, id)
	return nil
}

func (s *site) addEntry(i int) error {
	a, err := freeAddresses(4) // of callers, routes, readiness and operators
	if err != nil {
		return err
	}
	name := fmt.Sprintf("front-nash-a-%d", i+1)
	p, err := newProgram(s.dir, "entry", name, map[string]any{
		"Name": name, "DataCentre": "nash-a", "CallerAddress": a[0], "RouteAddress": a[1], "ReadyAddress": a[2], "OperatorAddress": a[3],
		"Platform": "http://" + s.storeAddress, "Config": "platform", "DrainTime": "6s", "Bounds": map[string]any{"ConfigInForce": configInForce.String()},
	})
	if err != nil {
		return err
	}
	s.entries = append(s.entries, &entryProcess{p, a[1], a[2]})
	s.closers = append(s.closers, p.kill)
	return p.start()
}

// awaitReady waits until the entries are ready and all workers are known to the planner.
func (s *site) awaitReady(ctx context.Context) error {
	begin := time.Now()
	for _, e := range s.entries {
		for {
			status, _, err := s.request(ctx, http.MethodGet, "http://"+e.ready+"/medlargrade/ready", nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if time.Since(begin) > readyTimeout {
				return errors.New("the entries do not get ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	for len(s.store.Rows("Targets", process.ShardPart)) < len(s.hosts) {
		if time.Since(begin) > readyTimeout {
			return errors.New("some target processes do not start")
		}
		time.Sleep(50 * time.Millisecond)
	}
	// Workers send a heartbeat each 1.5 s.
	time.Sleep(4 * time.Second)
	s.rec.add("%d entries and %d workers are ready; logs in %s", len(s.entries), len(s.hosts), s.dir)
	return nil
}

// close ends everything that the site has started.
func (s *site) close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
	s.wg.Wait()
	if os.Getenv("KEEP") == "" && s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}
