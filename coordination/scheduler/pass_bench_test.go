package scheduler

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/targets"
)

// busyReport is the full report of a target with 16 slots and 11 or 12 running
// tasks, so that 7,400 targets run 84,000 tasks.
func busyReport(i int, sequence uint64) targets.Report {
	r := testReport(i, sequence)
	r.Slots = 16
	n := 11
	if i%5 < 2 {
		n = 12
	}
	for k := range n {
		r.Tasks = append(r.Tasks, targets.Task{
			Job: fmt.Sprintf("JOB%020d", i*16+k), Number: 1, Workspace: "pleated", Kind: "roll-nesting", Class: "long",
			Slots: 1, Released: true, Run: time.Duration(k) * time.Minute, Members: 1,
			Hub: targets.Hub{Target: r.Target, Address: r.Address, Incarnation: 1},
		})
	}
	r.Free = r.Slots - n
	return r
}

// newBusyPlanner returns a planner that has just heard from n busy targets.
func newBusyPlanner(b *testing.B, n int) *planner {
	b.Helper()
	p, _ := newTestPlanner(b, 0)
	p.configure()
	for i := range n {
		p.view.Apply(busyReport(i, 1), time.Now())
	}
	return p
}

// queueJob queues a job as acquire does, without waiting for its place.
func queueJob(b *testing.B, p *planner, class operator.Class, shape operator.Shape) *waiter {
	b.Helper()
	sp := spec{
		request: Request{Workspace: "roller", Kind: "cut-check", Workers: shape.Workers(), Accelerators: shape.Accelerators()},
		shape:   shape, class: class, idempotent: true,
	}
	j, err := p.s.newJob(sp, true)
	qt.Assert(b, err, qt.IsNil)
	w := &waiter{run: &run{s: p.s, job: j, spec: sp}, number: 1}
	w.granted = make(chan place, 1)
	_, refusal := p.enqueue(w, time.Now())
	qt.Assert(b, refusal, qt.IsNil)
	return w
}

// refresh keeps the targets live in a benchmark that lasts longer than the view's
// expiry.
func refresh(b *testing.B, p *planner, n int, sequence *uint64, last *time.Time) {
	if time.Since(*last) < 2*time.Second {
		return
	}
	b.StopTimer()
	*sequence++
	for i := range n {
		p.view.Apply(busyReport(i, *sequence), time.Now())
	}
	*last = time.Now()
	b.StartTimer()
}

var passSizes = []int{11, 308, 1000, 7400}

// BenchmarkPassGrant measures a pass that places the only waiting job: a short
// request, or a gang.
func BenchmarkPassGrant(b *testing.B) {
	jobs := []struct {
		name  string
		class operator.Class
		shape operator.Shape
	}{
		{"short", operator.ClassShort, operator.NewShape(1, 1)},
		{"gang=2", operator.ClassLong, operator.NewShape(2, 4)},
		{"gang=8", operator.ClassLong, operator.NewShape(8, 4)},
		{"gang=64", operator.ClassLong, operator.NewShape(64, 4)},
	}
	for _, n := range passSizes {
		for _, job := range jobs {
			if job.shape.Workers() > n {
				continue
			}
			b.Run(fmt.Sprintf("targets=%d/%s", n, job.name), func(b *testing.B) {
				p := newBusyPlanner(b, n)
				sequence, last := uint64(1), time.Now()
				for b.Loop() {
					refresh(b, p, n, &sequence, &last)
					w := queueJob(b, p, job.class, job.shape.WithAdjacency(operator.AdjacentNone))
					p.pass()
					select {
					case where := <-w.granted:
						for _, m := range where.members {
							p.view.Freed(m.target, w.run.job.ID(), 1, time.Now())
						}
					default:
						b.Fatal("the job was not placed")
					}
				}
			})
		}
	}
}

// BenchmarkPassWaiting measures a pass over jobs that don't fit: whole workers and
// one gang, which holds a place.
func BenchmarkPassWaiting(b *testing.B) {
	for _, n := range passSizes {
		for _, queued := range []int{1, 100, 500} {
			b.Run(fmt.Sprintf("targets=%d/queued=%d", n, queued), func(b *testing.B) {
				p := newBusyPlanner(b, n)
				queueJob(b, p, operator.ClassLong, operator.NewShape(2, 16).WithAdjacency(operator.AdjacentRack))
				for range queued - 1 {
					queueJob(b, p, operator.ClassFill, operator.NewShape(1, 16).WithAdjacency(operator.AdjacentNone))
				}
				sequence, last := uint64(1), time.Now()
				for b.Loop() {
					refresh(b, p, n, &sequence, &last)
					p.pass()
				}
				if got := p.queue.Len(""); got != queued {
					b.Fatalf("%d jobs wait, not %d", got, queued)
				}
			})
		}
	}
}
