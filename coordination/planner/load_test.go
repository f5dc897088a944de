package planner

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/state/job"
)

// Guards against a load that misses or invents work or capacity, and against one that is
// published before all jobs are known.
func TestLoad(t *testing.T) {
	h := newHarness(t, 2) // 2 workers of 8 accelerators
	for i := range 6 {
		h.addJob(newJob(fmt.Sprintf("j%d", i), "urgent", job.Step{Tasks: 2, Accelerators: 4, EstimateMillis: 10_000, Gang: true}))
	}
	in, ok := h.p.Load(h.now, time.Minute)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Check(t, in.Pools[testPool], qt.Equals, admission.Capacity{Total: 16})
	qt.Check(t, in.Pools[""], qt.Equals, admission.Capacity{Total: 16})
	qt.Check(t, in.Running, qt.HasLen, 2)
	qt.Check(t, in.Waiting, qt.HasLen, 4)
	row := admission.Summarize(in)
	k, _ := row.Kind("urgent")
	// 4 gangs of 8 accelerators and what runs take 10 s each.
	qt.Check(t, k, qt.DeepEquals, admission.KindLoad{
		Queue: "urgent", Tasks: 8, WorkMillis: 320_000, Drain: 16, WaitMillis: [4]int64{20_000, 21_250, 25_625, 30_000},
	})
	qt.Check(t, row.ConfigVersion, qt.Equals, uint64(1))

	for _, x := range h.workers {
		h.p.SetConnected(x.worker.GetLife().GetWorker()[:3], false)
	}
	in, _ = h.p.Load(h.now, time.Minute)
	// They may come back with what they run, and until then the wait would be overestimated.
	qt.Check(t, in.Pools[testPool], qt.Equals, admission.Capacity{Total: 16})

	fresh := New(testSettings(), h.p.log)
	fresh.SetConfig(testConfig())
	_, ok = fresh.Load(h.now, time.Minute)
	qt.Check(t, ok, qt.IsFalse)
}

// BenchmarkLoad measures the row of the load, which is made once a second.
func BenchmarkLoad(b *testing.B) {
	for _, n := range []int{100, 460} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			p, now := benchPlanner(b, n)
			p.AddJob(newJob("gang", "long", job.Step{Tasks: 64, Accelerators: 16, Gang: true}), nil, now)
			for b.Loop() {
				in, _ := p.Load(now, time.Minute)
				admission.Summarize(in).Encode()
			}
		})
	}
}
