package scheduler

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configsync"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/jobs"
	"github.com/medlargrade/medlargrade/state/rows"
	"github.com/medlargrade/medlargrade/state/rows/rowstest"
	"github.com/medlargrade/medlargrade/state/targets"
)

// fixedConfig is a configuration that is known from the start.
type fixedConfig struct {
	*configsync.Holder
}

func (fixedConfig) IsReady() bool { return true }
func (fixedConfig) Learn(uint64)  {}

func testScheduler(t *testing.T) *Scheduler {
	t.Helper()
	site := operator.NewSite("s").WithDataCentre(operator.NewDataCentre("dc").WithRack("r", 2))
	holder := new(configsync.Holder)
	holder.Advance(configsync.Snapshot{Generation: 1, Config: operator.NewConfig(site).
		WithWorkspace(operator.NewWorkspace("ws")).
		WithKind(operator.NewKind("ws", "k", operator.ClassShort).WithIdempotent(true))})
	s := New(Settings{Entry: "e1"}, Peers{Store: rowstest.New(), Config: fixedConfig{holder}}, zerolog.Nop(), metrics.NewSet())
	return s
}

// Guards against a deadlock between jobs that enter the queue, jobs that leave it
// and a pass that offers them: the locks of the planner and of its queue were taken
// in both orders.
func TestPlannerUnderConcurrentUse(t *testing.T) {
	s := testScheduler(t)
	sp, refusal := resolve(Request{Workspace: "ws", Kind: "k", Workers: 1, Accelerators: 1, Adjacent: operator.AdjacentNone}, s.peers.Config.Current().Config)
	qt.Assert(t, refusal, qt.IsNil)
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	s.background(s.plan.run)
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			for n := range 200 {
				id := fmt.Sprintf("j%d-%d", i, n)
				r := &run{s: s, spec: sp, job: jobs.New(id, "ws", id, rows.Job{ID: id})}
				short, stop := context.WithTimeout(ctx, time.Duration(n%5)*time.Millisecond)
				where, _ := s.plan.acquire(short, &waiter{run: r, number: 1, front: n%3 == 0})
				if len(where.members) > 0 {
					s.plan.release(r, where, lostResult{})
				}
				stop()
			}
		})
		wg.Go(func() {
			for n := range 200 {
				s.plan.view.Apply(targets.Report{
					Target: fmt.Sprintf("t%d", i%2), Address: "a", DataCentre: "dc", Rack: "r", Incarnation: 1,
					Sequence: uint64(n + 1), Slots: 8, Free: 8, Ready: true,
				}, time.Now())
				s.Summary()
				s.plan.kick()
			}
		})
	}
	done := make(chan struct{})
	go func() { wg.Wait(); close(done) }()
	select {
	case <-done:
		s.Close()
	case <-ctx.Done():
		t.Fatal("the planner is stuck") // Close would wait for it.
	}
}
