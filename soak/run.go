package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const sigCont = syscall.SIGCONT

// Config of a run.
type Config struct {
	Binary  string        // of the programs
	Dir     string        // for settings and logs; must exist
	Seed    uint64        // of all that is drawn
	Length  time.Duration // of the load
	Entries int
	Targets int
	Callers int
	// Finish is how long accepted jobs may take after the last fault.
	Finish time.Duration
}

// Defaults of a run.
const (
	DefaultLength  = 30 * time.Second
	DefaultEntries = 2
	DefaultTargets = 6
	DefaultCallers = 8
	// DefaultFinish allows for the leases of a lost worker, two changes of the owner
	// and the work that waits then.
	DefaultFinish = 45 * time.Second
)

// Report is what a run has come to.
type Report struct {
	Seed       uint64
	Faults     []string // in the order of their times
	Jobs       int
	Accepted   int
	Runs       int // of tasks
	Calls      int
	Memory     int // peak of a process in MB
	Violations []string
}

// String returns one line.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d faults, %d jobs, %d accepted, %d runs, %d calls, %d MB, %d violations",
		r.Seed, len(r.Faults), r.Jobs, r.Accepted, r.Runs, r.Calls, r.Memory, len(r.Violations))
}

// startBound is how long the programs may take until the first call is served.
const startBound = 30 * time.Second

// Run plays a run. The error says why it could not be played.
func Run(ctx context.Context, cfg Config) (Report, error) {
	h := newHistory()
	s, err := newSite(ctx, cfg, h)
	if err != nil {
		return Report{}, fmt.Errorf("start the site: %w", err)
	}
	defer s.close()
	if err := s.awaitStart(ctx); err != nil {
		return Report{}, err
	}
	r := rand.New(rand.NewPCG(cfg.Seed, 0)) //nolint:gosec // reproducible draws
	faults := drawFaults(r, cfg.Length)
	life, end := context.WithCancel(ctx)
	defer end()
	load, stop := context.WithTimeout(life, cfg.Length)
	defer stop()
	var wg sync.WaitGroup
	for i := range cfg.Callers {
		c := s.newClient(rand.New(rand.NewPCG(cfg.Seed, uint64(i)+1)), i == 0) //nolint:gosec // reproducible draws
		wg.Go(func() { c.run(load, life) })
	}
	probes := s.newClient(rand.New(rand.NewPCG(cfg.Seed, uint64(cfg.Callers)+1)), false) //nolint:gosec // reproducible draws
	wg.Go(func() { probes.probeLoop(load) })
	memory := 0
	wg.Go(func() { memory = s.watchMemory(load) })
	s.play(load, faults)
	<-load.Done()
	s.heal()
	done := make(chan struct{})
	go func() {
		defer close(done)
		wg.Wait()
	}()
	select {
	case <-done:
	case <-time.After(cfg.Finish):
		for _, id := range h.open() {
			h.violate("lost", fmt.Sprintf("%s is not at its end %v after the last fault", id, cfg.Finish))
		}
	}
	end()
	<-done
	return s.judge(faults, memory), nil
}

// awaitStart waits until every entry serves.
func (s *site) awaitStart(ctx context.Context) error {
	c := s.newClient(rand.New(rand.NewPCG(0, 0)), false) //nolint:gosec // no secret
	defer c.t.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, startBound)
	defer cancel()
	for _, m := range s.entries {
		for {
			_, q := c.draw()
			cctx, done := context.WithTimeout(ctx, time.Second)
			resp, err := c.c.Waiting(cctx, m.address, q)
			done()
			if err == nil && resp.OK() {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("entry %s does not serve: status %d, %w", m.program.name, resp.Status, err)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// play lets the faults strike until ctx ends.
func (s *site) play(ctx context.Context, faults []fault) {
	begin := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(begin.Add(f.at))):
		}
		wg.Go(func() {
			over := s.hist.begin(f)
			defer over()
			end := s.strike(f)
			defer end()
			select {
			case <-ctx.Done():
			case <-time.After(f.long):
			}
		})
	}
}

// memoryPeriod is how often the memory of the programs is looked at.
const memoryPeriod = time.Second

// watchMemory returns the peak of a program in MB.
func (s *site) watchMemory(ctx context.Context) int {
	peak := 0
	for ctx.Err() == nil {
		for _, m := range slices.Concat(s.entries, s.targets) {
			peak = max(peak, m.program.memoryMB())
		}
		select {
		case <-ctx.Done():
		case <-time.After(memoryPeriod):
		}
	}
	return peak
}

// judge returns the report of a run whose callers have ended.
func (s *site) judge(faults []fault, memory int) Report {
	now := time.Now()
	records := s.workSite.Records()
	for _, m := range slices.Concat(s.entries, s.targets) {
		m.program.mu.Lock()
		for _, x := range m.program.exits {
			s.hist.violate("processes", x)
		}
		m.program.mu.Unlock()
	}
	if memory > memoryBound {
		s.hist.violate("memory", fmt.Sprintf("a process has taken %d MB", memory))
	}
	r := Report{
		Seed: s.cfg.Seed, Jobs: len(s.hist.jobs), Runs: len(records), Calls: s.hist.calls, Memory: memory,
		Violations: s.hist.check(records, s.known(), now),
	}
	for _, f := range faults {
		r.Faults = append(r.Faults, f.String())
	}
	for _, j := range s.hist.jobs {
		if !j.accepted.IsZero() {
			r.Accepted++
		}
	}
	slices.Sort(r.Violations)
	r.Violations = slices.CompactFunc(r.Violations, strings.EqualFold)
	return r
}
