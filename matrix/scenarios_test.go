package matrix

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/standin/worker"
)

// scenario is a kind of work whose steps faults strike.
type scenario struct {
	name string
	// prepare brings the site into the state in which the work begins, before
	// steps count. It may be nil.
	prepare func(s *Site)
	// work begins the work. It returns once its requests have been sent; they go
	// on in goroutines of the site.
	work func(s *Site)
}

var scenarios = []scenario{
	{name: "short", work: func(s *Site) {
		for i := range 3 {
			s.do(ask(fmt.Sprintf("short-%d", i), 300*time.Millisecond))
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{name: "keyed", work: func(s *Site) {
		s.do(order("order-1", 500*time.Millisecond))
		time.Sleep(time.Second)
		s.do(order("order-2", 2*time.Second))
	}},
	{name: "async", work: func(s *Site) {
		s.do(plan("async-1", 1, 1, 3*time.Second))
		s.do(plan("async-2", 1, 1, time.Second))
	}},
	{name: "gang", work: func(s *Site) {
		s.do(plan("gang-1", 3, 3, 4*time.Second))
		time.Sleep(time.Second)
		s.do(ask("beside", 200*time.Millisecond))
	}},
	{name: "claim", prepare: fillWithLent, work: func(s *Site) {
		r := plan("claim-1", 3, 3, 3*time.Second)
		r.async, r.key, r.claim = false, "", true
		s.do(r)
	}},
	{name: "change", work: func(s *Site) {
		s.change("new-kind")
		s.do(ask("after-change", 200*time.Millisecond))
		time.Sleep(2 * time.Second)
	}},
	{name: "worker-leaves", prepare: func(s *Site) {
		s.do(plan("held-1", 1, 3, 8*time.Second))
		time.Sleep(time.Second)
	}, work: func(s *Site) {
		s.drain(s.busiest())
		for i := range 4 {
			s.do(ask(fmt.Sprintf("during-%d", i), 300*time.Millisecond))
			time.Sleep(500 * time.Millisecond)
		}
	}},
	{name: "target-restarts", prepare: func(s *Site) {
		s.do(plan("held-1", 1, 3, 6*time.Second))
		time.Sleep(time.Second)
	}, work: func(s *Site) {
		s.leave(s.busiest())
		s.do(ask("during", 300*time.Millisecond))
	}},
	{name: "entry-leaves", prepare: func(s *Site) {
		s.do(ask("waiting", 4*time.Second))
		s.do(plan("queued", 1, 1, 5*time.Second))
		time.Sleep(time.Second)
	}, work: func(s *Site) {
		s.leave(s.entries[0])
		s.do(order("order-1", 500*time.Millisecond))
	}},
	{name: "canceled", work: func(s *Site) {
		for i := range 3 {
			r := plan(fmt.Sprintf("canceled-%d", i), 1, 1, 5*time.Second)
			s.hist.add(func(h *history) { h.canceled[r.label] = true })
			s.do(r)
		}
		time.Sleep(time.Second)
		for i, r := range s.keyedRequests() {
			s.wg.Go(func() { s.cancel(r, s.entries[i%len(s.entries)]) })
		}
	}},
	{name: "planner-dies", prepare: func(s *Site) {
		s.do(plan("held", 1, 1, 3*time.Second))
		s.do(plan("held-gang", 3, 3, 3*time.Second))
		s.do(plan("later-gang", 3, 3, time.Second)) // waits for the first gang
		s.do(order("order-1", time.Second))
		time.Sleep(500 * time.Millisecond)
	}, work: func(s *Site) {
		p := s.planner()
		s.touch(p.host)
		s.hist.add((*history).faultBegins)
		s.kill(p, false)
		s.wg.Go(func() {
			time.Sleep(faultTime)
			s.revive(p)
			s.hist.add((*history).faultEnds)
		})
	}},
	{name: "planner-cut-off", prepare: func(s *Site) {
		s.do(plan("held", 1, 1, 3*time.Second))
		s.do(plan("held-gang", 3, 3, 3*time.Second))
		time.Sleep(500 * time.Millisecond)
	}, work: func(s *Site) {
		// The planner cannot write what it is asked for, and asks others to take over.
		p := s.planner()
		s.hist.add((*history).faultBegins)
		there, back := s.cut(p.host, platformHost), s.cut(platformHost, p.host)
		s.do(order("order-1", time.Second))
		s.do(plan("later", 1, 1, time.Second))
		s.wg.Go(func() {
			time.Sleep(faultTime)
			there()
			back()
			s.hist.add((*history).faultEnds)
		})
	}},
	{name: "all-die", prepare: func(s *Site) {
		s.do(plan("held", 1, 1, 3*time.Second))
		s.do(plan("held-gang", 3, 3, 4*time.Second))
		s.do(order("order-1", time.Second))
		time.Sleep(500 * time.Millisecond)
	}, work: func(s *Site) {
		s.hist.add((*history).faultBegins)
		for _, p := range s.procs() {
			s.touch(p.host)
			s.kill(p, false)
		}
		time.Sleep(time.Second)
		for _, p := range s.procs() {
			s.revive(p)
		}
		s.hist.add((*history).faultEnds)
	}},
	{name: "contention", work: func(s *Site) {
		// Callers of both entries ask for gangs of which one fits at a time.
		for i := range 4 {
			r := plan(fmt.Sprintf("rival-%d", i), 3, 3, time.Second)
			r.at = i
			s.do(r)
		}
	}},
	{name: "large", work: func(s *Site) {
		r := plan("large-1", 1, 1, 500*time.Millisecond)
		r.size = 40 << 10
		s.do(r)
	}},
}

// ask is a short idempotent request.
func ask(label string, run time.Duration) request {
	return request{label: label, workspace: "home", kind: "ask", parts: 1, slots: 1, run: run}
}

// order is a short request that runs at most once.
func order(key string, run time.Duration) request {
	return request{label: key, key: key, workspace: "home", kind: "order", parts: 1, slots: 1, run: run, nonIdempotent: true}
}

// plan is a long job to look up later.
func plan(key string, parts, slots int, run time.Duration) request {
	return request{label: key, key: key, workspace: "home", kind: "plan", parts: parts, slots: slots, run: run, async: true}
}

// lentRun is the run time of lent work: longer than a fault lasts, so that it
// is there to be reclaimed.
const lentRun = 25 * time.Second

// fillWithLent takes all accelerators.
func fillWithLent(s *Site) {
	for i := range targetCount * slotCount {
		s.do(request{
			label: fmt.Sprintf("lent-%d", i), workspace: "guest", kind: "batch", parts: 1, slots: 1, run: lentRun, lent: true,
		})
	}
	time.Sleep(2 * time.Second)
}

// leave begins the graceful shutdown of a process.
func (s *Site) leave(p *proc) {
	s.wg.Go(func() {
		if !p.isUp() {
			return
		}
		s.stop(p)
		s.revive(p)
	})
	time.Sleep(time.Millisecond)
}

// busiest returns the target whose worker has the most runs.
func (s *Site) busiest() *proc {
	best, runs := s.targets[0], -1
	for i, w := range s.workers {
		if n := len(w.Running()); n > runs {
			best, runs = s.targets[i], n
		}
	}
	return best
}

// workerOfTarget returns the worker beside a target.
func (s *Site) workerOfTarget(p *proc) *worker.Worker { return s.workers[slices.Index(s.targets, p)] }

// drainTime is how long a leaving worker serves on.
const drainTime = 4 * time.Second

// drain lets the worker beside a target leave. A new one comes in its place.
func (s *Site) drain(p *proc) {
	w := s.workerOfTarget(p)
	s.hist.add(func(h *history) {
		h.drains = append(h.drains, drain{worker: workerOf(p.host), life: lifeOf(w.Life()), from: time.Now()})
	})
	w.Drain(drainTime)
	s.wg.Go(func() {
		time.Sleep(drainTime + 2*time.Second)
		w.Restart(true)
	})
}

// change accepts a configuration with one more kind, like an operator who tries
// again until it is accepted.
func (s *Site) change(kind string) {
	s.wg.Go(func() { s.persistChange(kind) })
}

func (s *Site) persistChange(kind string) {
	for began := time.Now(); !s.overdue(request{}, began); time.Sleep(time.Second) {
		if s.tryChange(kind) {
			s.hist.add(func(h *history) { h.changes = append(h.changes, kind) })
			return
		}
	}
	s.hist.add(func(h *history) { h.pending = append(h.pending, "change "+kind) })
}

func (s *Site) tryChange(kind string) bool {
	store, done := s.store()
	defer done()
	ctx := s.t.Context()
	snap, err := configuration.Read(ctx, store)
	if err != nil {
		return false
	}
	if _, ok := snap.Config.Kind("home", kind); ok {
		return true // An earlier try took effect.
	}
	cfg := snap.Config.WithKind(operator.NewKind("home", kind, operator.ClassShort).WithIdempotent(true))
	_, err = configuration.Apply(ctx, store, snap.Version, cfg)
	var race *configuration.VersionConflictError
	if errors.As(err, &race) {
		return false
	}
	return err == nil
}
