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

// Size of the site. Two racks in two data centres leave a gang of three to spare
// a target, and a lost rack leaves half of the site.
const (
	entryCount  = 2
	targetCount = 4
	slotCount   = 4
	rackSize    = 2
)

// Bounds of the workers.
const (
	leaseMax = 10 * time.Second
	stopTime = 400 * time.Millisecond
)

const (
	platformHost = "10.3.0.1"
	callerHost   = "10.4.0.1"
	operatorHost = "10.5.0.1"
)

// Site is a whole site in a synctest bubble.
type Site struct {
	t        *testing.T
	net      *pipenet.Network
	obs      *observer
	hist     *history
	platform *platform.Server
	entries  []*proc
	targets  []*proc
	site     *worker.Site
	workers  []*worker.Worker
	cfg      operator.Config

	revival sync.Mutex // so that two faults that end together start a process once

	mu    sync.Mutex
	log   bytes.Buffer
	stops []func()
	wg    sync.WaitGroup // of what the site runs beside the processes
}

// proc is a process that can be killed and started again under its address.
type proc struct {
	name string
	host string
	run  func(ctx context.Context, network process.Network) error

	mu     sync.Mutex
	plug   *plug
	cancel context.CancelFunc
	done   chan struct{}
	all    sync.WaitGroup // every incarnation
}

func newSite(t *testing.T) *Site {
	s := &Site{t: t, net: new(pipenet.Network), obs: newObserver(), hist: newHistory()}
	s.platform = platform.New(platform.Settings{}, zerolog.Nop())
	s.serve(platformHost, s.platform, s.sawWrite)
	s.site = worker.NewSite(func(id string) (job.Job, bool) { return s.platform.Job(process.ShardPart, id) })
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
	s.apply(0, s.cfg)
	for _, p := range s.procs() {
		s.start(p)
	}
	s.waitReady()
	return s
}

// addWorker starts a worker that reports to the target beside it.
func (s *Site) addWorker(i int) {
	client := s.net.Host(workerHost(i)).HTTPClient()
	w := worker.New(s.site, worker.Settings{
		Name: fmt.Sprintf("w%d", i+1), Pool: "workers", DataCentre: fmt.Sprintf("dc%d", i/rackSize+1), Rack: rackOf(i),
		Accelerators: slotCount, Address: workerHost(i) + ":80", Report: targetHost(i) + ":3", StopTime: stopTime,
		LeaseMax: leaseMax,
	}, client, zerolog.Nop())
	s.workers = append(s.workers, w)
	s.serve(workerHost(i), w, nil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		w.Run(ctx)
	}()
	s.stops = append(s.stops, func() {
		cancel()
		<-done
		w.Crash()
		client.CloseIdleConnections()
	})
}

// lifeOf names one life of a worker.
func lifeOf(id string, born int64) string { return fmt.Sprintf("%s@%d", id, born) }

func entryHost(i int) string  { return fmt.Sprintf("10.0.0.%d", i+1) }
func targetHost(i int) string { return fmt.Sprintf("10.1.0.%d", i+1) }
func workerHost(i int) string { return fmt.Sprintf("10.2.0.%d", i+1) }

// workerOf returns the host of the worker beside a target.
func workerOf(target string) string { return strings.Replace(target, "10.1.", "10.2.", 1) }

// targetOf returns the host of the target beside a worker.
func targetOf(worker string) string { return strings.Replace(worker, "10.2.", "10.1.", 1) }

func rackOf(i int) string { return fmt.Sprintf("dc%d-r1", i/rackSize+1) }

func (s *Site) serve(host string, h http.Handler, seen func(string, []byte, int)) {
	stop, err := s.net.Host(host).ServeHTTP(host+":80", observed(s.obs, host, h, seen))
	if err != nil {
		s.t.Fatal(err)
	}
	s.stops = append(s.stops, stop)
}

func bounds() process.Bounds {
	b := process.DefaultBounds()
	b.LeaseMax, b.StopTime = process.Duration(leaseMax), process.Duration(stopTime)
	return b
}

func (s *Site) newEntry(i int) *proc {
	set := process.DefaultEntrySettings()
	set.Name = fmt.Sprintf("e%d", i+1)
	set.DataCentre = fmt.Sprintf("dc%d", i+1)
	set.CallerAddress, set.OperatorAddress = entryHost(i)+":1", entryHost(i)+":3"
	set.Platform = "http://" + platformHost + ":80"
	set.Bounds = bounds()
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
	set.Bounds = bounds()
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

// runLimit bounds the run time of the tasks of short kinds.
const runLimit = 30 * time.Second

// siteConfig guarantees most of the site to the workspace home, and guest nothing.
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
		WithKind(operator.NewKind("guest", "batch", operator.ClassFill).WithIdempotent(true).WithLimit(time.Hour))
}

// store returns a client of the platform for an operator.
func (s *Site) store() (table.Store, func()) {
	client := newPlug(s.net.Host(operatorHost), s.obs).network().HTTPClient()
	return platformclient.NewStore(client, "http://"+platformHost+":80"), client.CloseIdleConnections
}

func (s *Site) apply(expected uint64, cfg operator.Config) {
	store, done := s.store()
	defer done()
	if _, err := configuration.Apply(s.t.Context(), store, expected, cfg); err != nil {
		s.t.Fatal(err)
	}
}

func (s *Site) start(p *proc) {
	ctx, cancel := context.WithCancel(context.Background())
	pl := newPlug(s.net.Host(p.host), s.obs)
	done := make(chan struct{})
	p.mu.Lock()
	p.plug, p.cancel, p.done = pl, cancel, done
	p.mu.Unlock()
	p.all.Go(func() {
		defer close(done)
		if err := p.run(ctx, pl.network()); err != nil && !pl.isPulled() && !errors.Is(err, context.Canceled) {
			s.logLine([]byte(fmt.Sprintf("%s ended: %v\n", p.name, err)))
		}
	})
}

func (p *proc) state() (*plug, context.CancelFunc, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plug, p.cancel, p.done
}

// isUp reports whether the process runs and is not leaving the network.
func (p *proc) isUp() bool {
	pl, _, done := p.state()
	select {
	case <-done:
		return false
	default:
		return !pl.isPulled()
	}
}

// kill ends a process at once. Its peers see their connections reset, or with
// silent nothing at all.
func (s *Site) kill(p *proc, silent bool) {
	pl, cancel, _ := p.state()
	pl.pull(func() {
		if silent {
			s.net.Freeze(p.host, pipenet.Any)
		} else {
			s.net.Reset(p.host, pipenet.Any)
		}
	})
	cancel()
}

// revive starts a process again that was killed or has ended.
func (s *Site) revive(p *proc) {
	s.revival.Lock()
	defer s.revival.Unlock()
	if !p.isUp() {
		s.start(p)
	}
}

// stop ends a process gracefully and returns when it has ended.
func (s *Site) stop(p *proc) {
	_, cancel, done := p.state()
	at := time.Now()
	i := 0
	s.hist.add(func(h *history) {
		i = len(h.leaves)
		h.leaves = append(h.leaves, leave{process: p.host, from: at})
	})
	cancel()
	<-done
	s.hist.add(func(h *history) { h.leaves[i].until = time.Now() })
}

// close ends everything. The bubble reports goroutines that are left.
func (s *Site) close() {
	s.wg.Wait()
	s.hist.add(func(h *history) {
		h.ended = time.Now()
		for _, r := range s.site.Records() {
			i := slices.IndexFunc(s.targets, func(p *proc) bool { return p.name[1:] == r.Target[1:] })
			h.ran = append(h.ran, execution{
				worker: workerHost(i), target: targetHost(i), label: labelIn([]byte(r.Payload)), ID: r.Task, Run: r.Run, Life: lifeOf(r.Worker, r.Born),
				Start: r.Arrived, Began: r.Began, End: r.Ended, Ended: r.How, Void: r.Void,
			})
		}
	})
	for _, p := range s.procs() {
		_, cancel, _ := p.state()
		cancel()
	}
	for _, p := range s.procs() {
		p.all.Wait()
	}
	for _, stop := range s.stops {
		stop()
	}
	s.platform.Wait()
}

func (s *Site) logger(name string) zerolog.Logger {
	return zerolog.New(logWriter{s, name}).Level(zerolog.InfoLevel).With().Timestamp().Str("Process", name).Logger()
}

type logWriter struct {
	s    *Site
	name string
}

// Write records the configuration that an entry comes to hold.
func (w logWriter) Write(b []byte) (int, error) {
	if strings.HasPrefix(w.name, "e") && bytes.Contains(b, []byte(fmt.Sprintf(`"Event":%d,`, configuration.EventInForce))) {
		var line struct{ Version uint64 }
		if json.Unmarshal(b, &line) == nil {
			w.s.hist.add(func(h *history) {
				h.held = append(h.held, held{process: w.name, generation: line.Version, at: time.Now()})
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

// sawWrite notes accepted configurations.
func (s *Site) sawWrite(path string, body []byte, status int) {
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
		s.hist.add(func(h *history) { h.accepted = append(h.accepted, held{generation: version, at: time.Now()}) })
	}
}

// dump returns the state of a process over its operators' interface.
func (s *Site) dump(p *proc, address string, into any) error {
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

// planner returns the target process that plans the site, or the first one.
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

// waitReady waits until every entry knows the configuration and the planner every
// worker.
func (s *Site) waitReady() {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		var st process.TargetState
		if s.dump(s.planner(), ":2/dump", &st) != nil || st.Owner == nil {
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
			ready = ready && s.dump(e, ":3/dump", &es) == nil && es.Ready == ""
		}
		if ready {
			return
		}
	}
	s.t.Fatal("the site did not become ready")
}
