package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/medlargrade/medlargrade/coordination/pause"
	adapter "github.com/medlargrade/medlargrade/platform"
)

const sigCont = syscall.SIGCONT

// Config is the configuration of a run.
type Config struct {
	Binary  string        // path of the medlargrade binary
	Dir     string        // for settings and logs; must exist
	Seed    uint64        // of the load and the faults
	Length  time.Duration // duration of the load
	Entries int
	Targets int
	Callers int
	// PlannerCuts makes cuts of the process that plans the only faults of the run. No data centre
	// is evacuated, so that its worker has runs in most cases.
	PlannerCuts bool
	// WorkerRestarts makes restarts of workers behind cuts the only faults of the run. Workers are of two
	// hardware types, which may change with a restart, and some jobs require one. No data centre is
	// evacuated.
	WorkerRestarts bool
	// ManyEnds makes one change of the process that plans beside more ends than a worker lists at a time
	// the only fault of the run. No data centre is evacuated.
	ManyEnds bool
	// Finish is how long accepted jobs may take after the last fault.
	Finish time.Duration
}

// Defaults of a Config.
const (
	DefaultLength  = 30 * time.Second
	DefaultEntries = 2
	DefaultTargets = 6
	DefaultCallers = 8
	// DefaultFinish allows for the leases of a lost worker, two changes of the shard's
	// owner and the work queued meanwhile.
	DefaultFinish = 45 * time.Second
)

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Faults     []string // in the order of their starts
	Jobs       int
	Accepted   int
	Runs       int // of tasks
	Calls      int
	Memory     int // largest peak of a process, in MB
	Violations []string
}

// String returns a one-line summary.
func (r Report) String() string {
	return fmt.Sprintf("seed %d: %d faults, %d jobs, %d accepted, %d runs, %d calls, %d MB, %d violations",
		r.Seed, len(r.Faults), r.Jobs, r.Accepted, r.Runs, r.Calls, r.Memory, len(r.Violations))
}

// startTimeout is how long the entries may take to serve their first calls.
const startTimeout = 30 * time.Second

// Run performs one run. It returns an error if the programs could not be started;
// violations are in the report.
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
	faults := faultsOf(cfg)
	runCtx, cancelRun := context.WithCancel(ctx)
	defer cancelRun()
	loadCtx, cancelLoad := context.WithTimeout(runCtx, cfg.Length)
	defer cancelLoad()
	var wg sync.WaitGroup
	for i := range cfg.Callers {
		c := s.newClient(randomOf(cfg.Seed, uint64(i)+1), i == 0) //nolint:gosec // not negative
		if cfg.WorkerRestarts && i > 0 {
			c.labels = randomOf(cfg.Seed, labelStream+uint64(i)) //nolint:gosec // not negative
		}
		wg.Go(func() { c.run(loadCtx, runCtx) })
	}
	prober := s.newClient(randomOf(cfg.Seed, uint64(cfg.Callers)+1), false) //nolint:gosec // not negative
	wg.Go(func() { prober.probeConfig(loadCtx) })
	if !cfg.PlannerCuts && !cfg.WorkerRestarts && !cfg.ManyEnds {
		wg.Go(func() { s.evacuateInTurn(loadCtx) })
	}
	peakMemory := 0
	wg.Go(func() { peakMemory = s.monitorMemory(loadCtx) })
	s.injectFaults(loadCtx, faults)
	<-loadCtx.Done()
	s.clearFaults()
	done := make(chan struct{})
	go func() {
		defer close(done)
		wg.Wait()
	}()
	select {
	case <-done:
	case <-time.After(cfg.Finish):
		for _, id := range h.unfinishedJobs() {
			h.addViolation("lost", fmt.Sprintf("%s has not ended %v after the last fault", id, cfg.Finish))
		}
	}
	cancelRun()
	<-done
	return s.report(faults, peakMemory), nil
}

// awaitStart waits until every entry serves calls.
func (s *site) awaitStart(ctx context.Context) error {
	c := s.newClient(randomOf(0, 0), false)
	defer c.transport.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, m := range s.entries {
		for {
			_, queue := c.draw()
			callCtx, cancelCall := context.WithTimeout(ctx, time.Second)
			resp, err := c.api.ProbeQueue(callCtx, m.address, queue)
			cancelCall()
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

// injectFaults injects each fault at its time until ctx ends. It returns when all
// injected faults have ended.
func (s *site) injectFaults(ctx context.Context, faults []fault) {
	start := time.Now()
	var wg sync.WaitGroup
	defer wg.Wait()
	for _, f := range faults {
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(f.at))):
		}
		wg.Go(func() {
			recordEnd := s.history.recordFault(f)
			defer recordEnd()
			end := s.inject(ctx, f)
			defer end()
			select {
			case <-ctx.Done():
			case <-time.After(f.duration):
			}
		})
	}
}

const (
	// evacuationTime is how long each data centre is evacuated: the bound, its slack and some
	// seconds that are checked.
	evacuationTime = evacuationBound + schedulingSlack + 4*time.Second
	// releasedTime is the time between two evacuations, in which all workers are used.
	releasedTime = 2 * time.Second
)

// evacuateInTurn evacuates one data centre after another until ctx ends. The other data centre
// has enough accelerators for all guarantees.
func (s *site) evacuateInTurn(ctx context.Context) {
	for first := 0; ctx.Err() == nil; first = (first + workersPerRack) % s.cfg.Targets {
		e := evacuation{dataCentre: dataCentreName(first)}
		for i := first; i < min(first+workersPerRack, s.cfg.Targets); i++ {
			e.workers = append(e.workers, workerName(i))
		}
		key := adapter.EvacuationPrefix + e.dataCentre
		s.platform.Put(adapter.OperatorTable, key, []byte("soak"))
		e.from = time.Now()
		end := s.history.recordEvacuation(e)
		pause.For(ctx, evacuationTime)
		end()
		s.platform.Remove(adapter.OperatorTable, key)
		pause.For(ctx, releasedTime)
	}
}

// memorySampleInterval is the time between two readings of the memory in use.
const memorySampleInterval = time.Second

// monitorMemory samples the memory of all programs until ctx ends and returns the
// largest peak in MB.
func (s *site) monitorMemory(ctx context.Context) int {
	peak := 0
	for ctx.Err() == nil {
		for _, m := range slices.Concat(s.entries, s.targets) {
			peak = max(peak, m.program.peakMemoryMB())
		}
		select {
		case <-ctx.Done():
		case <-time.After(memorySampleInterval):
		}
	}
	return peak
}

// report returns the report of a run whose callers have ended.
func (s *site) report(faults []fault, peakMemory int) Report {
	now := time.Now()
	records := s.workerSite.Records()
	for _, m := range slices.Concat(s.entries, s.targets) {
		m.program.mu.Lock()
		for _, failure := range m.program.failures {
			s.history.addViolation("processes", failure)
		}
		m.program.mu.Unlock()
	}
	if peakMemory > memoryBoundMB {
		s.history.addViolation("memory", fmt.Sprintf("a process used %d MB", peakMemory))
	}
	r := Report{
		Seed: s.cfg.Seed, Jobs: len(s.history.jobs), Runs: len(records), Calls: s.history.callCount, Memory: peakMemory,
		Violations: s.history.check(records, s.writtenVersions(), now),
	}
	for _, f := range faults {
		r.Faults = append(r.Faults, f.String())
	}
	for _, j := range s.history.jobs {
		if !j.acceptedAt.IsZero() {
			r.Accepted++
		}
	}
	slices.Sort(r.Violations)
	r.Violations = slices.CompactFunc(r.Violations, strings.EqualFold)
	return r
}
