package bench

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configsync"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/process"
	standinplatform "github.com/medlargrade/medlargrade/standin/platform"
	standinworker "github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/transport/caller"
	"github.com/medlargrade/medlargrade/transport/platform"
)

const (
	// startTimeout bounds the start of a site.
	startTimeout = 20 * time.Second
	// callTimeout bounds one call of a benchmark.
	callTimeout = 10 * time.Second
)

// site is one entry with targets, assembled as in the command, and the stand-ins
// that they need. All run in goroutines of the benchmark.
type site struct {
	callers  caller.Client
	platform string   // URL
	targets  []string // addresses of the Target service
	network  process.Network

	wg sync.WaitGroup

	mu   sync.Mutex
	open map[string]net.Listener // by address
}

// newSite starts a site with n targets, three to a rack, and waits until the
// entry has placed a job on it. The site stops with the benchmark.
func newSite(b *testing.B, n int) *site {
	b.Helper()
	s := &site{network: process.TCP()}
	standins, stopStandins := context.WithCancel(context.Background())
	entry, stopEntry := context.WithCancel(standins)
	targets, stopTargets := context.WithCancel(standins)
	var running, leaving sync.WaitGroup
	b.Cleanup(func() {
		stopEntry()
		running.Wait()
		stopTargets()
		leaving.Wait()
		stopStandins()
		s.wg.Wait()
	})

	log := zerolog.New(os.Stderr).Level(zerolog.ErrorLevel)
	platformAddress := s.serve(b, standins, standinplatform.New(standinplatform.Settings{}, log))
	set := process.DefaultEntrySettings()
	set.Name, set.DataCentre, set.Platform = "e1", "dc1", "http://"+platformAddress
	set.CallerAddress, set.TargetAddress, set.OperatorAddress = s.openAddress(b), s.openAddress(b), s.openAddress(b)
	running.Go(func() { reportError(b, process.RunEntry(entry, set, s.processNetwork(), log)) })
	for i := range n {
		t := process.DefaultTargetSettings()
		t.Name, t.DataCentre = fmt.Sprintf("t%d", i+1), "dc1"
		t.Rack = fmt.Sprintf("dc1-r%d", i/3+1)
		t.Address, t.OperatorAddress = s.openAddress(b), s.openAddress(b)
		w := standinworker.New(standinworker.Settings{RetentionMillis: 1000}, log)
		b.Cleanup(w.Close)
		t.Worker = "http://" + s.serve(b, standins, w)
		t.Entries = []string{set.TargetAddress}
		s.targets = append(s.targets, t.Address)
		leaving.Go(func() { reportError(b, process.RunTarget(targets, t, s.processNetwork(), log)) })
	}
	s.platform = set.Platform
	s.configure(b, s.platform)
	s.callers = caller.Client{Base: "http://" + set.CallerAddress, HTTP: &http.Client{
		Transport: &http.Transport{MaxIdleConnsPerHost: 256},
	}}
	s.awaitReady(b)
	return s
}

func reportError(b *testing.B, err error) {
	if err != nil {
		b.Errorf("process: %v", err)
	}
}

// serve serves h on a free port and returns the address.
func (s *site) serve(b *testing.B, ctx context.Context, h http.Handler) string { //nolint:revive // b is first in helpers of tests
	b.Helper()
	lis, err := s.network.Listen(ctx, "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s.wg.Go(func() { reportError(b, process.ServeHTTP(ctx, lis, h)) })
	return lis.Addr().String()
}

// openAddress opens a listener on a free port for a process that gets its network
// from processNetwork, and returns the address.
func (s *site) openAddress(b *testing.B) string {
	b.Helper()
	lis, err := s.network.Listen(context.Background(), "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open == nil {
		s.open = make(map[string]net.Listener)
	}
	s.open[lis.Addr().String()] = lis
	return lis.Addr().String()
}

// processNetwork returns a network that listens on the open listeners. A port that
// is closed in between can be taken by another connection.
func (s *site) processNetwork() process.Network {
	n := process.TCP()
	n.Listen = func(_ context.Context, address string) (net.Listener, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		lis, ok := s.open[address]
		if !ok {
			return nil, fmt.Errorf("no listener on %s", address)
		}
		delete(s.open, address)
		return lis, nil
	}
	return n
}

// configure applies the first example configuration.
func (s *site) configure(b *testing.B, platformURL string) {
	b.Helper()
	body, err := os.ReadFile("../examples/quillfold/config.json")
	if err != nil {
		b.Fatal(err)
	}
	cfg, err := operator.Parse(body)
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	store := platform.New(s.network.HTTP, platform.Settings{Address: platformURL})
	if _, err := configsync.Apply(ctx, store, 0, cfg); err != nil {
		b.Fatal(err)
	}
}

// awaitReady waits until enough requests in a row have run, so that all targets
// have reported and connections are open.
func (s *site) awaitReady(b *testing.B) {
	b.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if s.submit(shortRequest()) != nil {
			continue
		}
		time.Sleep(2500 * time.Millisecond) // more than a heartbeat period
		return
	}
	b.Fatal("site is not ready")
}
