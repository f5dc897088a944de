package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	adapter "github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/standin/caller"
	"github.com/medlargrade/medlargrade/standin/platform"
	"github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/state/job"
)

// Bounds of the workers and of the programs' settings. They are shorter than in
// production, so that a run covers more events in less time.
const (
	leaseMax          = 5 * time.Second
	stopTime          = 400 * time.Millisecond
	gangWait          = 3 * time.Second
	configInForce     = 2 * time.Second
	drainTime         = 6 * time.Second
	heartbeatInterval = 500 * time.Millisecond
)

const (
	workersPerRack = 3
	accelerators   = 8
	poolName       = "workers"
	// linkDelay is the delay of each read on a slow link.
	linkDelay = 150 * time.Millisecond
	// slowClockRate is the clock rate of every second worker. Clocks of workers may be
	// up to 2 % slow.
	slowClockRate = 0.98
)

// machine simulates a host: a program and the links that its connections pass through.
type machine struct {
	program *program
	address string // that callers or planners connect to
	store   *Link
	caller  *Link // of an entry
	agent   *Link // of a target
	worker  *Link
	report  *Link
}

func (m *machine) links() []*Link {
	var out []*Link
	for _, l := range []*Link{m.store, m.caller, m.agent, m.worker, m.report} {
		if l != nil {
			out = append(out, l)
		}
	}
	return out
}

// site is the set of programs, stand-ins and links of a run.
type site struct {
	cfg          Config
	platform     *platform.Server
	storeAddress string
	workerSite   *worker.Site
	workers      []*worker.Worker
	entries      []*machine
	targets      []*machine
	history      *history

	wg       sync.WaitGroup
	cleanups []func()

	mu       sync.Mutex // guards versions and their writes, and hardware
	versions []configVersion
	hardware []string // hardware type of each worker, from its next incarnation on
}

func newSite(ctx context.Context, cfg Config, h *history) (*site, error) {
	s := &site{cfg: cfg, history: h, platform: platform.New(platform.Settings{}, zerolog.Nop())}
	s.workerSite = worker.NewSite(func(id string) (job.Job, bool) { return s.platform.Job(process.ShardPart, id) })
	address, err := s.serve(ctx, "127.0.0.1:0", s.platform)
	if err != nil {
		return nil, err
	}
	s.storeAddress = address
	s.writeNextVersion()
	for i := range cfg.Targets {
		if err := s.addTarget(ctx, i); err != nil {
			s.close()
			return nil, err
		}
	}
	for i := range cfg.Entries {
		if err := s.addEntry(ctx, i); err != nil {
			s.close()
			return nil, err
		}
	}
	return s, nil
}

// serve starts an HTTP server for a stand-in and returns its address.
func (s *site) serve(ctx context.Context, address string, h http.Handler) (string, error) {
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", address)
	if err != nil {
		return "", fmt.Errorf("listen on %s: %w", address, err)
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	s.wg.Go(func() { _ = srv.Serve(lis) })
	s.cleanups = append(s.cleanups, func() { _ = srv.Close() })
	return lis.Addr().String(), nil
}

// Ports of the programs and the links. They are below the ephemeral ports, since the system could
// assign one of those to a connection while its program is down.
const (
	firstPort = 12_000
	numPorts  = 18_000
)

// nextPort counts the ports that were tried. It starts at a number that depends on the
// process ID, so that concurrent soak processes use different ports.
var nextPort atomic.Int64

func init() { nextPort.Store(int64(os.Getpid()) * 61) }

// listenOnFreePort returns a listener on a loopback address that nothing else listens on.
func listenOnFreePort(ctx context.Context) (net.Listener, error) {
	for range numPorts {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+nextPort.Add(1)%numPorts)
		var lc net.ListenConfig
		if lis, err := lc.Listen(ctx, "tcp", address); err == nil {
			return lis, nil
		}
	}
	return nil, errors.New("no free port")
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(ctx context.Context) (string, error) {
	lis, err := listenOnFreePort(ctx)
	if err != nil {
		return "", err
	}
	return lis.Addr().String(), lis.Close()
}

// newLink returns a link to an address. It is closed with the site.
func (s *site) newLink(ctx context.Context, address string) (*Link, error) {
	l, err := NewLink(ctx, address, linkDelay)
	if err != nil {
		return nil, fmt.Errorf("link to %s: %w", address, err)
	}
	s.cleanups = append(s.cleanups, l.Close)
	return l, nil
}

// bounds returns the bounds in the settings of the programs.
func bounds() process.Bounds {
	b := process.DefaultBounds()
	b.LeaseMax, b.StopTime, b.GangWait = process.Duration(leaseMax), process.Duration(stopTime), process.Duration(gangWait)
	b.ConfigInForce, b.Evacuation = process.Duration(configInForce), process.Duration(evacuationBound)
	return b
}

func workerName(i int) string { return fmt.Sprintf("w%d", i+1) }

// dataCentreName returns the name of the data centre of a worker. Each has one rack.
func dataCentreName(i int) string { return fmt.Sprintf("dc%d", i/workersPerRack+1) }

// addTarget starts a worker and its target process.
func (s *site) addTarget(ctx context.Context, i int) error {
	var addresses [3]string // for reports, planners and operators
	for k := range addresses {
		a, err := freeAddress(ctx)
		if err != nil {
			return err
		}
		addresses[k] = a
	}
	m := &machine{}
	var err error
	if m.report, err = s.newLink(ctx, addresses[0]); err != nil {
		return err
	}
	settings := worker.Settings{
		Name: workerName(i), Pool: poolName, DataCentre: dataCentreName(i), Rack: fmt.Sprintf("r%d", i/workersPerRack+1),
		// Address is not used: the target reaches its worker through a link.
		HardwareType: s.cfg.hardwareTypeOf(i), Accelerators: accelerators, Address: "127.0.0.1:1", ReportAddress: m.report.Address(), HeartbeatInterval: heartbeatInterval, LeaseMax: leaseMax,
		StopTime: stopTime, GangWait: gangWait, NoAdmissionCheck: i%2 == 1,
	}
	if i%2 == 0 {
		settings.ClockRate = slowClockRate
	}
	w := worker.New(s.workerSite, settings, &http.Client{}, zerolog.Nop())
	s.workers, s.hardware = append(s.workers, w), append(s.hardware, settings.HardwareType)
	address, err := s.serve(ctx, "127.0.0.1:0", w)
	if err != nil {
		return err
	}
	wctx, cancel := context.WithCancel(ctx)
	s.cleanups = append(s.cleanups, cancel)
	s.wg.Go(func() { w.Run(wctx) })
	links := []struct {
		link **Link
		to   string
	}{{&m.worker, address}, {&m.agent, addresses[1]}, {&m.store, s.storeAddress}}
	for _, l := range links {
		if *l.link, err = s.newLink(ctx, l.to); err != nil {
			return err
		}
	}
	ts := process.DefaultTargetSettings()
	ts.Name, ts.DataCentre = fmt.Sprintf("t%d", i+1), settings.DataCentre
	ts.ReportAddress, ts.Address, ts.OperatorAddress = addresses[0], addresses[1], addresses[2]
	ts.ReachedAt = m.agent.Address()
	ts.Worker, ts.Platform = "http://"+m.worker.Address(), "http://"+m.store.Address()
	ts.Config, ts.Bounds, ts.Policy.PublishLoad = process.SourcePlatform, bounds(), true
	m.address = m.agent.Address()
	return s.startProgram(ctx, m, "target", ts.Name, ts, &s.targets)
}

func (s *site) addEntry(ctx context.Context, i int) error {
	var addresses [3]string // for the callers' API, routes and operators
	for k := range addresses {
		a, err := freeAddress(ctx)
		if err != nil {
			return err
		}
		addresses[k] = a
	}
	m := &machine{}
	var err error
	if m.caller, err = s.newLink(ctx, addresses[1]); err != nil {
		return err
	}
	if m.store, err = s.newLink(ctx, s.storeAddress); err != nil {
		return err
	}
	es := process.DefaultEntrySettings()
	es.Name, es.DataCentre = fmt.Sprintf("e%d", i+1), "dc1"
	es.CallerAddress, es.RouteAddress, es.OperatorAddress = addresses[0], addresses[1], addresses[2]
	es.Platform, es.Config, es.Bounds = "http://"+m.store.Address(), process.SourcePlatform, bounds()
	es.DrainTime, es.Policy.Admission = process.Duration(drainTime), true
	m.address = m.caller.Address()
	return s.startProgram(ctx, m, "entry", es.Name, es, &s.entries)
}

func (s *site) startProgram(ctx context.Context, m *machine, role, name string, settings any, list *[]*machine) error {
	p, err := newProgram(s.cfg.Dir, s.cfg.Binary, role, name, settings)
	if err != nil {
		return err
	}
	m.program = p
	*list = append(*list, m)
	pctx, cancel := context.WithCancel(ctx)
	s.cleanups = append(s.cleanups, cancel, p.kill)
	s.wg.Go(func() { p.run(pctx) })
	return nil
}

// close stops everything that the site has started, in reverse order.
func (s *site) close() {
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
	s.wg.Wait()
}

// clearFaults ends all faults and lets stopped programs start again.
func (s *site) clearFaults() {
	s.platform.SetFaults(platform.Faults{})
	for _, w := range s.workers {
		w.SetFaults(worker.Faults{})
	}
	for _, list := range [][]*machine{s.entries, s.targets} {
		for _, m := range list {
			m.program.blockStart(false)
			m.program.signal(sigCont)
			for _, l := range m.links() {
				l.Clear()
			}
		}
	}
}

// drainWorker makes a worker announce that it leaves after the given time.
func (s *site) drainWorker(w *worker.Worker, notice time.Duration) {
	id, born := w.Incarnation()
	s.history.addDrain(drainNotice{worker: id, born: born, at: time.Now()})
	w.Drain(notice)
}

// configVersion is one version of the configuration.
type configVersion struct {
	number             uint64
	writtenAt, ackedAt time.Time // when its write began and when the store acknowledged it
	hasExtra           bool      // whether it has queueExtra
	changingKey        string    // key of the workspace "changing"
}

// Queues. queueExtra is in every second version only, the others are in all versions.
var (
	queueShort = caller.ConfigQueue{Name: "short", Host: "soak.example", Prefix: "/short/", Priority: 0, Attempts: 4, Stretch: 1.5, Objective: 300 * time.Millisecond}
	queueLong  = caller.ConfigQueue{Name: "long", Host: "soak.example", Prefix: "/long/", Priority: 1, Attempts: 4, Stretch: 3, Objective: time.Second}
	queueFill  = caller.ConfigQueue{Name: "fill", Host: "soak.example", Prefix: "/fill/", Priority: 2, Attempts: 4, Stretch: 3, Objective: 3 * time.Second}
	queueExtra = caller.ConfigQueue{Name: "extra", Host: "soak.example", Prefix: "/extra/", Priority: 2, Attempts: 4, Stretch: 3}
)

// Keys of two of the workspaces. "claims" has a guarantee, "other" has none and uses
// idle accelerators only. The key of the third, "changing", depends on the version.
const (
	guaranteedKey   = "key-claims"
	unguaranteedKey = "key-other"
)

// writeNextVersion writes a new version of the configuration to the store.
func (s *site) writeNextVersion() {
	s.mu.Lock()
	defer s.mu.Unlock()
	number := uint64(len(s.versions)) + 1
	v := configVersion{number: number, hasExtra: number%2 == 0, changingKey: fmt.Sprintf("key-%d", number/2)}
	cfg := caller.Config{Version: 3*number + number%2, Pool: poolName, Queues: []caller.ConfigQueue{queueShort, queueLong, queueFill}, Workspaces: []caller.ConfigWorkspace{
		{Name: "claims", Keys: []string{guaranteedKey}, Guaranteed: guaranteedAccelerators},
		{Name: "other", Keys: []string{unguaranteedKey}},
		{Name: "changing", Keys: []string{v.changingKey}},
	}}
	if v.hasExtra {
		cfg.Queues = append(cfg.Queues, queueExtra)
	}
	b, err := cfg.Encode()
	if err != nil {
		s.history.addViolation("configuration", err.Error())
		return
	}
	v.writtenAt = time.Now()
	s.platform.Put(adapter.OperatorTable, adapter.ConfigKey, b)
	v.ackedAt = time.Now()
	s.versions = append(s.versions, v)
}

// writtenVersions returns the versions that were written so far.
func (s *site) writtenVersions() []configVersion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]configVersion(nil), s.versions...)
}
