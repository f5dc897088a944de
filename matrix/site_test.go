package matrix

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/operator"
	platformclient "github.com/medlargrade/medlargrade/platform"
	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/standin/pipenet"
	"github.com/medlargrade/medlargrade/standin/platform"
	"github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

// Size of the site: two racks in two data centres. A gang of three leaves one target
// free, and the loss of a rack leaves half of the site.
const (
	entryCount  = 2
	targetCount = 4
	slotCount   = 4
	rackSize    = 2
)

// Bounds of the workers' leases and stops.
const (
	leaseMax = 10 * time.Second
	stopTime = 400 * time.Millisecond
)

const (
	platformHost = "10.3.0.1"
	callerHost   = "10.4.0.1"
	operatorHost = "10.5.0.1"
)

// Site is a complete site in a synctest bubble: processes, workers, platform, network.
type Site struct {
	t          *testing.T
	net        *pipenet.Network
	obs        *observer
	hist       *history
	platform   *platform.Server
	entries    []*proc
	targets    []*proc
	workerSite *worker.Site
	workers    []*worker.Worker
	cfg        operator.Config

	restartMu sync.Mutex // two faults that end at the same time restart a process once

	mu       sync.Mutex
	log      bytes.Buffer
	cleanups []func()
	wg       sync.WaitGroup // requests and other work of the scenario
}

// proc is a process that can be killed and restarted at the same address.
type proc struct {
	name string
	host string
	run  func(ctx context.Context, network process.Network) error

	mu           sync.Mutex
	network      *processNetwork
	cancel       context.CancelFunc
	done         chan struct{}
	incarnations sync.WaitGroup // all runs of the process
}

func newSite(t *testing.T) *Site {
	s := &Site{t: t, net: new(pipenet.Network), obs: newObserver(), hist: newHistory()}
	s.platform = platform.New(platform.Settings{}, zerolog.Nop())
	s.serve(platformHost, s.platform, s.recordAcceptedConfig)
	s.workerSite = worker.NewSite(func(id string) (job.Job, bool) { return s.platform.Job(process.ShardPart, id) })
	for i := range targetCount {
		s.addWorker(i)
	}
	for i := range entryCount {
		s.entries = append(s.entries, s.newEntry(i))
	}
	for i := range targetCount {
		s.targets = append(s.targets, s.newTarget(i))
	}
	s.cfg = siteConfig()
	s.applyConfig(0, s.cfg)
	for _, p := range s.procs() {
		s.start(p)
	}
	s.waitReady()
	return s
}

// addWorker starts the worker that reports to target i.
func (s *Site) addWorker(i int) {
	client := s.net.Host(workerHost(i)).HTTPClient()
	w := worker.New(s.workerSite, worker.Settings{
		Name: fmt.Sprintf("w%d", i+1), Pool: "workers", DataCentre: dataCentreName(i), Rack: rackName(i),
		Accelerators: slotCount, Address: workerHost(i) + ":80", ReportAddress: targetHost(i) + ":3", StopTime: stopTime,
		LeaseMax: leaseMax, NoAdmissionCheck: i%2 == 1,
	}, client, zerolog.Nop())
	s.workers = append(s.workers, w)
	s.serve(workerHost(i), w, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	s.cleanups = append(s.cleanups, func() {
		cancel()
		<-done
		w.Crash()
		client.CloseIdleConnections()
	})
}

// incarnationID identifies one incarnation of a worker.
func incarnationID(id string, born int64) string { return fmt.Sprintf("%s@%d", id, born) }

func entryHost(i int) string  { return fmt.Sprintf("10.0.0.%d", i+1) }
func targetHost(i int) string { return fmt.Sprintf("10.1.0.%d", i+1) }
func workerHost(i int) string { return fmt.Sprintf("10.2.0.%d", i+1) }

// workerHostOf returns the host of a target's worker.
func workerHostOf(target string) string { return strings.Replace(target, "10.1.", "10.2.", 1) }

// targetHostOf returns the host of a worker's target, or the host itself if it is not
// that of a worker.
func targetHostOf(worker string) string { return strings.Replace(worker, "10.2.", "10.1.", 1) }

func dataCentreName(i int) string { return fmt.Sprintf("dc%d", i/rackSize+1) }

func rackName(i int) string { return fmt.Sprintf("dc%d-r1", i/rackSize+1) }

func (s *Site) serve(host string, h http.Handler, onRequest func(string, []byte, int)) {
	stop, err := s.net.Host(host).ServeHTTP(host+":80", observeRequests(s.obs, host, h, onRequest))
	if err != nil {
		s.t.Fatal(err)
	}
	s.cleanups = append(s.cleanups, stop)
}

func processBounds() process.Bounds {
	b := process.DefaultBounds()
	b.LeaseMax, b.StopTime, b.Evacuation = process.Duration(leaseMax), process.Duration(stopTime), process.Duration(evacuationBound)
	return b
}

func (s *Site) newEntry(i int) *proc {
	set := process.DefaultEntrySettings()
	set.Name = fmt.Sprintf("e%d", i+1)
	set.DataCentre = fmt.Sprintf("dc%d", i+1)
	set.CallerAddress, set.OperatorAddress = entryHost(i)+":1", entryHost(i)+":3"
	set.RouteAddress = entryHost(i) + ":4"
	set.Platform = "http://" + platformHost + ":80"
	set.Bounds, set.Policy.Admission = processBounds(), true
	return &proc{name: set.Name, host: entryHost(i), run: func(ctx context.Context, n process.Network) error {
		return process.RunEntry(ctx, set, n, s.logger(set.Name))
	}}
}

func (s *Site) newTarget(i int) *proc {
	set := process.DefaultTargetSettings()
	set.Name = fmt.Sprintf("t%d", i+1)
	set.DataCentre = fmt.Sprintf("dc%d", i/rackSize+1)
	set.Address, set.OperatorAddress, set.ReportAddress = targetHost(i)+":1", targetHost(i)+":2", targetHost(i)+":3"
	set.Worker = "http://" + workerHost(i) + ":80"
	set.Platform = "http://" + platformHost + ":80"
	set.Bounds, set.Policy.PublishLoad = processBounds(), true
	return &proc{name: set.Name, host: targetHost(i), run: func(ctx context.Context, n process.Network) error {
		return process.RunTarget(ctx, set, n, s.logger(set.Name))
	}}
}

func (s *Site) procs() []*proc { return append(append([]*proc{}, s.entries...), s.targets...) }

func (s *Site) procAt(host string) *proc {
	for _, p := range s.procs() {
		if p.host == host {
			return p
		}
	}
	return nil
}

// runLimit is the limit on the run time of tasks of short kinds.
const runLimit = 30 * time.Second

// siteConfig guarantees most of the site to workspace home, and nothing to guest.
func siteConfig() operator.Config {
	site := operator.NewSite("matrix").WithSlotsPerWorker(slotCount)
	for d := range targetCount / rackSize {
		name := fmt.Sprintf("dc%d", d+1)
		site = site.WithDataCentre(operator.NewDataCentre(name).WithRack(name+"-r1", rackSize))
	}
	return operator.NewConfig(site).
		WithWorkspace(operator.NewWorkspace("home").WithGuarantee(operator.NewShape(3, 3)).WithGuarantee(operator.NewShape(2, 1))).
		WithWorkspace(operator.NewWorkspace("guest")).
		WithKind(operator.NewKind("home", "ask", operator.ClassShort).WithIdempotent(true).WithLimit(runLimit)).
		WithKind(operator.NewKind("home", "order", operator.ClassShort).WithLimit(runLimit)).
		WithKind(operator.NewKind("home", "plan", operator.ClassLong).WithIdempotent(true).WithLimit(time.Hour)).
		WithKind(operator.NewKind("home", "tasks", operator.ClassFill).WithIdempotent(true).WithLimit(time.Hour).
			WithRoute(operator.Route{Host: taskQueue.Host, Prefix: taskQueue.Prefix, Public: true})).
		WithKind(operator.NewKind("guest", "batch", operator.ClassFill).WithIdempotent(true).WithLimit(time.Hour))
}

// operatorStore returns an operator's client of the store and a function that closes it.
func (s *Site) operatorStore() (table.Store, func()) {
	client := newProcessNetwork(s.net.Host(operatorHost), s.obs).network().HTTPClient()
	return platformclient.NewStore(client, "http://"+platformHost+":80"), client.CloseIdleConnections
}

func (s *Site) applyConfig(expected uint64, cfg operator.Config) {
	store, done := s.operatorStore()
	defer done()
	if _, err := configuration.Apply(s.t.Context(), store, expected, cfg); err != nil {
		s.t.Fatal(err)
	}
}

func (s *Site) start(p *proc) {
	ctx, cancel := context.WithCancel(context.Background())
	n := newProcessNetwork(s.net.Host(p.host), s.obs)
	done := make(chan struct{})
	p.mu.Lock()
	p.network, p.cancel, p.done = n, cancel, done
	p.mu.Unlock()
	p.incarnations.Go(func() {
		defer close(done)
		if err := p.run(ctx, n.network()); err != nil && !n.isDisconnected() && !errors.Is(err, context.Canceled) {
			s.logLine([]byte(fmt.Sprintf("%s ended with an error: %v\n", p.name, err)))
		}
	})
}

// current returns the present run of the process: its network, the function that shuts
// it down, and a channel that is closed when it has ended.
func (p *proc) current() (*processNetwork, context.CancelFunc, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.network, p.cancel, p.done
}

// isUp reports whether the process runs and is connected to the network.
func (p *proc) isUp() bool {
	n, _, done := p.current()
	select {
	case <-done:
		return false
	default:
		return !n.isDisconnected()
	}
}

// kill ends a process immediately. Its peers see their connections reset; if silent is
// set, they see nothing.
func (s *Site) kill(p *proc, silent bool) {
	n, cancel, _ := p.current()
	n.disconnect(func() {
		if silent {
			s.net.Freeze(p.host, pipenet.Any)
		} else {
			s.net.Reset(p.host, pipenet.Any)
		}
	})
	cancel()
}

// restart starts a process again if it was killed or has ended.
func (s *Site) restart(p *proc) {
	s.restartMu.Lock()
	defer s.restartMu.Unlock()
	if !p.isUp() {
		s.start(p)
	}
}

// stop shuts a process down gracefully and returns when it has ended.
func (s *Site) stop(p *proc) {
	_, cancel, done := p.current()
	at := time.Now()
	i := 0
	s.hist.update(func(h *history) {
		i = len(h.shutdowns)
		h.shutdowns = append(h.shutdowns, shutdown{process: p.host, requested: at})
	})
	cancel()
	<-done
	s.hist.update(func(h *history) { h.shutdowns[i].exited = time.Now() })
}

// close records the executions and ends all processes and stand-ins. The bubble reports
// goroutines that remain.
func (s *Site) close() {
	s.wg.Wait()
	s.hist.update(func(h *history) {
		h.runEnd = time.Now()
		for _, r := range s.workerSite.Records() {
			i := slices.IndexFunc(s.targets, func(p *proc) bool { return p.name[1:] == r.Target[1:] })
			h.executions = append(h.executions, execution{
				worker: workerHost(i), dataCentre: dataCentreName(i), target: targetHost(i), label: labelOf([]byte(r.Payload)), TaskID: r.Task, Run: r.Run, Incarnation: incarnationID(r.Worker, r.Born),
				Start: r.Arrived, Began: r.Began, End: r.Ended, EndReason: r.How, VoidAt: r.Void,
				CrashesWorker: r.CrashesWorker, Excess: r.Excess, CapacityAge: r.CapacityAge,
			})
		}
	})
	for _, p := range s.procs() {
		_, cancel, _ := p.current()
		cancel()
	}
	for _, p := range s.procs() {
		p.incarnations.Wait()
	}
	for _, stop := range s.cleanups {
		stop()
	}
	s.platform.WaitForLateTransactions()
}

func (s *Site) logger(name string) zerolog.Logger {
	return zerolog.New(logWriter{s, name}).Level(zerolog.InfoLevel).With().Timestamp().Str("Process", name).Logger()
}

// logWriter receives the log of one process.
type logWriter struct {
	s    *Site
	name string
}

// Write records each configuration that an entry puts in force, and keeps the line if
// MATRIX_LOG is set.
func (w logWriter) Write(b []byte) (int, error) {
	if strings.HasPrefix(w.name, "e") && bytes.Contains(b, []byte(fmt.Sprintf(`"Event":%d,`, configuration.EventInForce))) {
		var line struct{ Version uint64 }
		if json.Unmarshal(b, &line) == nil {
			w.s.hist.update(func(h *history) {
				h.heldConfigs = append(h.heldConfigs, configRecord{process: w.name, generation: line.Version, at: time.Now()})
			})
		}
	}
	w.s.logLine(b)
	return len(b), nil
}

func (s *Site) logLine(b []byte) {
	if os.Getenv("MATRIX_LOG") == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(&s.log, "%8.3f %s", float64(time.Now().UnixMilli()%1e8)/1e3, b)
}

// recordAcceptedConfig records the configuration that a request to the store has made
// the current one.
func (s *Site) recordAcceptedConfig(path string, body []byte, status int) {
	if status != http.StatusOK || !slices.Contains(httpSteps(path, body), "row-"+configuration.Table) {
		return
	}
	row, ok := s.platform.Row(configuration.Table, "", configuration.CurrentKey)
	if !ok {
		return
	}
	value, err := base64.StdEncoding.DecodeString(row.Value)
	if err != nil {
		return
	}
	if version, _, err := configuration.DecodeStored(value); err == nil {
		s.hist.update(func(h *history) {
			h.acceptedConfigs = append(h.acceptedConfigs, configRecord{generation: version, at: time.Now()})
		})
	}
}

// readDump decodes the state that a process serves at its operators' address.
func (s *Site) readDump(p *proc, address string, into any) error {
	client := s.net.Host(operatorHost).HTTPClient()
	defer client.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+p.host+address, nil)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	return json.NewDecoder(resp.Body).Decode(into)
}

// planner returns the target process that the store names as owner of the shard, or the
// first target.
func (s *Site) planner() *proc {
	if row, ok := s.platform.Row(shard.TableShard, process.ShardPart, shard.OwnerKey); ok {
		if value, err := base64.StdEncoding.DecodeString(row.Value); err == nil {
			if owner, err := shard.DecodeOwner(value); err == nil {
				for _, p := range s.targets {
					if p.name == owner.Name {
						return p
					}
				}
			}
		}
	}
	return s.targets[0]
}

// waitReady waits until every entry is ready and the planner lists every worker.
func (s *Site) waitReady() {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		var st process.TargetState
		if s.readDump(s.planner(), ":2/dump", &st) != nil || st.Owner == nil {
			continue
		}
		listed := 0
		for _, t := range st.Owner.Plan.Targets {
			if t.Listed {
				listed++
			}
		}
		ready := listed == targetCount
		for _, e := range s.entries {
			var es process.EntryState
			ready = ready && s.readDump(e, ":3/dump", &es) == nil && es.Ready == ""
		}
		if ready {
			return
		}
	}
	s.t.Fatal("the site did not become ready")
}
