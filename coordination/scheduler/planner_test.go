package scheduler

import (
	"context"
	"fmt"
	"os"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configsync"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/targets"
)

// fixedConfig is a configuration of which each look may show a new generation.
type fixedConfig struct {
	config     operator.Config
	generation atomic.Uint64
}

func (c *fixedConfig) Current() configsync.Snapshot {
	return configsync.Snapshot{Generation: c.generation.Load(), Config: c.config}
}
func (c *fixedConfig) Changed() <-chan struct{} { return nil }
func (c *fixedConfig) IsReady() bool            { return true }
func (c *fixedConfig) Learn(uint64)             {}

// newTestPlanner returns a planner with the first example configuration and n
// live targets of eight slots, three to a rack.
func newTestPlanner(tb testing.TB, n int) (*planner, *fixedConfig) {
	tb.Helper()
	body, err := os.ReadFile("../../examples/quillfold/config.json")
	qt.Assert(tb, err, qt.IsNil)
	cfg, err := operator.Parse(body)
	qt.Assert(tb, err, qt.IsNil)
	config := &fixedConfig{config: cfg}
	config.generation.Store(1)
	s := New(Settings{Entry: "e1"}, Peers{Config: config}, zerolog.Nop(), metrics.NewSet())
	tb.Cleanup(s.Close)
	for i := range n {
		s.plan.view.Apply(testReport(i, 1), time.Now())
	}
	return s.plan, config
}

func testReport(i int, sequence uint64) targets.Report {
	return targets.Report{
		Target: fmt.Sprintf("t%d", i), Address: fmt.Sprintf("10.0.%d.%d:1", i/250, i%250), DataCentre: fmt.Sprintf("dc%d", i/480),
		Rack: fmt.Sprintf("dc%d-r%d", i/480, i/3), Incarnation: 1, Sequence: sequence,
		Slots: 8, Connections: 64, Free: 8, Ready: true, Generation: 1,
	}
}

// testRun returns a run of a new job of the kind.
func testRun(tb testing.TB, p *planner, r Request) *run {
	tb.Helper()
	sp, refusal := resolve(r, p.s.peers.Config.Current().Config)
	qt.Check(tb, refusal, qt.IsNil)
	j, err := p.s.newJob(sp, false)
	qt.Check(tb, err, qt.IsNil)
	return &run{s: p.s, job: j, spec: sp}
}

// Guards against a freeze of the entry when requests are queued, given up and
// planned at the same time while the configuration changes: the locks of the
// planner and of its queue must be taken in one order.
func TestPlannerUnderConcurrentRequests(t *testing.T) {
	p, config := newTestPlanner(t, 1)
	ctx, cancel := context.WithCancel(context.Background())
	var loops, callers sync.WaitGroup
	loops.Go(func() { p.run(ctx) })
	for caller := range 32 {
		callers.Go(func() {
			for range 100 {
				r := testRun(t, p, Request{Workspace: "roller", Kind: "cut-check", Workers: 1, Accelerators: 1, Adjacent: operator.AdjacentNone})
				limit := time.Minute
				if caller%4 == 0 {
					limit = 50 * time.Microsecond // given up, mostly while it waits
					config.generation.Add(1)
				}
				wait, stop := context.WithTimeout(ctx, limit)
				where, refusal := p.acquire(wait, &waiter{run: r, number: 1})
				stop()
				if refusal == nil {
					p.release(r, where, notRunResult{})
				}
			}
		})
	}
	done := make(chan struct{})
	go func() {
		callers.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("the planner is stuck")
	}
	cancel()
	loops.Wait()
	qt.Check(t, p.queue.Len(""), qt.Equals, 0)
	qt.Check(t, p.waiters, qt.HasLen, 0)
	qt.Check(t, p.freeSlots(), qt.Equals, 8.0)
}
