package matrix

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/coordination/evacuation"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/state/table"
)

// scenario is a kind of work. Faults are injected at its steps.
type scenario struct {
	name string
	// prepare brings the site into the state in which the work starts, before
	// occurrences of steps are counted. It may be nil.
	prepare func(s *Site)
	// start starts the work. It returns once the requests have been started, which
	// continue in goroutines of the site.
	start func(s *Site)
}

// scenarios are all scenarios. New ones are added at the end; see firstScenarios.
var scenarios = []scenario{
	{name: "short", start: func(s *Site) {
		for i := range 3 {
			s.startRequest(askRequest(fmt.Sprintf("short-%d", i), 300*time.Millisecond))
			time.Sleep(100 * time.Millisecond)
		}
	}},
	{name: "keyed", start: func(s *Site) {
		s.startRequest(orderRequest("order-1", 500*time.Millisecond))
		time.Sleep(time.Second)
		s.startRequest(orderRequest("order-2", 2*time.Second))
	}},
	{name: "async", start: func(s *Site) {
		s.startRequest(planRequest("async-1", 1, 1, 3*time.Second))
		s.startRequest(planRequest("async-2", 1, 1, time.Second))
	}},
	{name: "gang", start: func(s *Site) {
		s.startRequest(planRequest("gang-1", 3, 3, 4*time.Second))
		time.Sleep(time.Second)
		s.startRequest(askRequest("beside", 200*time.Millisecond))
	}},
	{name: "claim", prepare: fillBeyondGuarantee, start: func(s *Site) {
		r := planRequest("claim-1", 3, 3, 3*time.Second)
		r.async, r.key, r.claim = false, "", true
		s.startRequest(r)
	}},
	{name: "change", start: func(s *Site) {
		s.startChange("new-kind")
		s.startRequest(askRequest("after-change", 200*time.Millisecond))
		time.Sleep(2 * time.Second)
	}},
	{name: "worker-leaves", prepare: func(s *Site) {
		s.startRequest(planRequest("held-1", 1, 3, 8*time.Second))
		time.Sleep(time.Second)
	}, start: func(s *Site) {
		s.drainAndReplace(s.busiest())
		for i := range 4 {
			s.startRequest(askRequest(fmt.Sprintf("during-%d", i), 300*time.Millisecond))
			time.Sleep(500 * time.Millisecond)
		}
	}},
	{name: "target-restarts", prepare: func(s *Site) {
		s.startRequest(planRequest("held-1", 1, 3, 6*time.Second))
		time.Sleep(time.Second)
	}, start: func(s *Site) {
		s.startGracefulRestart(s.busiest())
		s.startRequest(askRequest("during", 300*time.Millisecond))
	}},
	{name: "entry-leaves", prepare: func(s *Site) {
		s.startRequest(askRequest("waiting", 4*time.Second))
		s.startRequest(planRequest("queued", 1, 1, 5*time.Second))
		time.Sleep(time.Second)
	}, start: func(s *Site) {
		s.startGracefulRestart(s.entries[0])
		s.startRequest(orderRequest("order-1", 500*time.Millisecond))
	}},
	{name: "canceled", start: func(s *Site) {
		for i := range 3 {
			r := planRequest(fmt.Sprintf("canceled-%d", i), 1, 1, 5*time.Second)
			s.hist.update(func(h *history) { h.canceled[r.label] = true })
			s.startRequest(r)
		}
		time.Sleep(time.Second)
		for i, r := range s.keyedRequests() {
			s.wg.Go(func() { s.cancel(r, s.entries[i%len(s.entries)]) })
		}
	}},
	{name: "planner-dies", prepare: func(s *Site) {
		s.startRequest(planRequest("held", 1, 1, 3*time.Second))
		s.startRequest(planRequest("held-gang", 3, 3, 3*time.Second))
		s.startRequest(planRequest("later-gang", 3, 3, time.Second)) // waits for the first gang
		s.startRequest(orderRequest("order-1", time.Second))
		time.Sleep(500 * time.Millisecond)
	}, start: func(s *Site) {
		p := s.planner()
		s.markAffected(p.host)
		s.hist.update((*history).beginFault)
		s.kill(p, false)
		s.wg.Go(func() {
			time.Sleep(faultDuration)
			s.restart(p)
			s.hist.update((*history).endFault)
		})
	}},
	{name: "planner-cut-off", prepare: func(s *Site) {
		s.startRequest(planRequest("held", 1, 1, 3*time.Second))
		s.startRequest(planRequest("held-gang", 3, 3, 3*time.Second))
		time.Sleep(500 * time.Millisecond)
	}, start: func(s *Site) {
		// The planner cannot record the jobs that it is sent, and asks the other
		// processes to take over.
		p := s.planner()
		s.hist.update((*history).beginFault)
		restoreOut, restoreIn := s.cut(p.host, platformHost), s.cut(platformHost, p.host)
		s.startRequest(orderRequest("order-1", time.Second))
		s.startRequest(planRequest("later", 1, 1, time.Second))
		s.wg.Go(func() {
			time.Sleep(faultDuration)
			restoreOut()
			restoreIn()
			s.hist.update((*history).endFault)
		})
	}},
	{name: "all-die", prepare: func(s *Site) {
		s.startRequest(planRequest("held", 1, 1, 3*time.Second))
		s.startRequest(planRequest("held-gang", 3, 3, 4*time.Second))
		s.startRequest(orderRequest("order-1", time.Second))
		time.Sleep(500 * time.Millisecond)
	}, start: func(s *Site) {
		s.hist.update((*history).beginFault)
		for _, p := range s.procs() {
			s.markAffected(p.host)
			s.kill(p, false)
		}
		time.Sleep(time.Second)
		for _, p := range s.procs() {
			s.restart(p)
		}
		s.hist.update((*history).endFault)
	}},
	{name: "contention", start: func(s *Site) {
		// Callers request gangs at both entries; only one gang at a time fits.
		for i := range 4 {
			r := planRequest(fmt.Sprintf("rival-%d", i), 3, 3, time.Second)
			r.entryIndex = i
			s.startRequest(r)
		}
	}},
	{name: "crash-loop", start: func(s *Site) {
		// The first task of each of two jobs crashes every worker that starts it.
		s.startRequest(planRequest("beside", 1, 1, 3*time.Second))
		for _, r := range []request{planRequest("crasher", 1, 1, 3*time.Second), planRequest("crasher-gang", 3, 1, 3*time.Second)} {
			r.crash = 10 * time.Millisecond
			s.startRequest(r)
		}
		s.startRequest(askRequest("short", 300*time.Millisecond))
		time.Sleep(4 * time.Second)
	}},
	{name: "evacuation", prepare: func(s *Site) {
		s.startRequest(planRequest("held-gang", 3, 2, 2*time.Second))
		time.Sleep(500 * time.Millisecond)
	}, start: func(s *Site) {
		s.wg.Go(func() { s.evacuateFor("dc1", evacuationTime) })
		s.startRequest(planRequest("wide-gang", 4, 3, time.Second)) // fits only with both data centres
		for i := range 8 {
			s.startRequest(askRequest(fmt.Sprintf("during-%d", i), 300*time.Millisecond))
			time.Sleep(time.Second)
		}
	}},
	{name: "large", start: func(s *Site) {
		r := planRequest("large-1", 1, 1, 500*time.Millisecond)
		r.minPartBytes = 40 << 10
		s.startRequest(r)
	}},
	{name: "canceled-early", start: func(s *Site) {
		// The jobs are cancelled before, while and after they are submitted.
		for i := range 3 {
			r := planRequest(fmt.Sprintf("early-%d", i), 1, 1, 5*time.Second)
			s.hist.update(func(h *history) { h.canceled[r.label] = true })
			steps := []func(){
				func() { s.wg.Go(func() { s.cancel(r, s.entries[(i+1)%len(s.entries)]) }) },
				func() { s.startRequest(r) },
			}
			if i == 2 {
				slices.Reverse(steps)
			}
			steps[0]()
			if i != 1 {
				time.Sleep(200 * time.Millisecond)
			}
			steps[1]()
		}
	}},
}

// askRequest returns a short idempotent request without a key.
func askRequest(label string, runTime time.Duration) request {
	return request{label: label, workspace: "home", kind: "ask", parts: 1, slots: 1, runTime: runTime}
}

// orderRequest returns a short request with a key that must run at most once.
func orderRequest(key string, runTime time.Duration) request {
	return request{label: key, key: key, workspace: "home", kind: "order", parts: 1, slots: 1, runTime: runTime, nonIdempotent: true}
}

// planRequest returns an asynchronous request for a long job.
func planRequest(key string, parts, slots int, runTime time.Duration) request {
	return request{label: key, key: key, workspace: "home", kind: "plan", parts: parts, slots: slots, runTime: runTime, async: true}
}

// fillRunTime is the run time of work beyond the guarantee. It is longer than a fault,
// so that the work still runs when it is to be reclaimed.
const fillRunTime = 25 * time.Second

// fillBeyondGuarantee occupies all accelerators with work of a workspace that has no
// guarantee.
func fillBeyondGuarantee(s *Site) {
	for i := range targetCount * slotCount {
		s.startRequest(request{
			label: fmt.Sprintf("lent-%d", i), workspace: "guest", kind: "batch", parts: 1, slots: 1, runTime: fillRunTime, beyondGuarantee: true,
		})
	}
	time.Sleep(2 * time.Second)
}

// startGracefulRestart starts the graceful shutdown of a process, which is started
// again once it has ended.
func (s *Site) startGracefulRestart(p *proc) {
	s.wg.Go(func() {
		if !p.isUp() {
			return
		}
		s.stop(p)
		s.restart(p)
	})
	time.Sleep(time.Millisecond)
}

// busiest returns the target whose worker has the most runs.
func (s *Site) busiest() *proc {
	busiest, most := s.targets[0], -1
	for i, w := range s.workers {
		if n := len(w.RunningTasks()); n > most {
			busiest, most = s.targets[i], n
		}
	}
	return busiest
}

// workerOfTarget returns the worker of a target.
func (s *Site) workerOfTarget(p *proc) *worker.Worker { return s.workers[slices.Index(s.targets, p)] }

// drainTime is how long a leaving worker continues to serve.
const drainTime = 4 * time.Second

// drainAndReplace tells the worker of a target to leave, and replaces it with a new one
// afterwards.
func (s *Site) drainAndReplace(p *proc) {
	w := s.workerOfTarget(p)
	s.hist.update(func(h *history) {
		h.drains = append(h.drains, drain{worker: workerHostOf(p.host), incarnation: incarnationID(w.Incarnation()), requested: time.Now()})
	})
	w.Drain(drainTime)
	s.wg.Go(func() {
		time.Sleep(drainTime + 2*time.Second)
		w.Restart(true)
	})
}

// evacuationTime is how long a data centre is evacuated. Work is submitted until about the end,
// and 3 s remain after the bound.
const evacuationTime = 8 * time.Second

// evacuateFor evacuates a data centre for some time. Like an operator, it retries until its
// changes are recorded.
func (s *Site) evacuateFor(name string, d time.Duration) {
	retry := func(change func(ctx context.Context, store table.Store) error) bool {
		store, done := s.operatorStore()
		defer done()
		for began := time.Now(); !s.overdue(request{}, began); time.Sleep(time.Second) {
			if change(s.t.Context(), store) == nil {
				return true
			}
		}
		s.hist.update(func(h *history) { h.pending = append(h.pending, "evacuation of "+name) })
		return false
	}
	if !retry(func(ctx context.Context, store table.Store) error {
		return configuration.Evacuate(ctx, store, evacuation.Request{DataCentre: name, Reason: "test"})
	}) {
		return
	}
	i := 0
	s.hist.update(func(h *history) {
		i = len(h.evacuations)
		h.evacuations = append(h.evacuations, evacuationRecord{dataCentre: name, requested: time.Now()})
	})
	time.Sleep(d)
	s.hist.update(func(h *history) { h.evacuations[i].released = time.Now() })
	retry(func(ctx context.Context, store table.Store) error { return configuration.Release(ctx, store, name) })
}

// startChange starts changeWithRetry in a goroutine of the site.
func (s *Site) startChange(kind string) {
	s.wg.Go(func() { s.changeWithRetry(kind) })
}

// changeWithRetry adds a kind to the configuration. Like an operator, it retries until
// the change is accepted.
func (s *Site) changeWithRetry(kind string) {
	for began := time.Now(); !s.overdue(request{}, began); time.Sleep(time.Second) {
		if s.tryChange(kind) {
			s.hist.update(func(h *history) { h.addedKinds = append(h.addedKinds, kind) })
			return
		}
	}
	s.hist.update(func(h *history) { h.pending = append(h.pending, "change "+kind) })
}

// tryChange reports whether the kind is part of the accepted configuration after one
// attempt to add it.
func (s *Site) tryChange(kind string) bool {
	store, done := s.operatorStore()
	defer done()
	ctx := s.t.Context()
	snap, err := configuration.Read(ctx, store)
	if err != nil {
		return false
	}
	if _, ok := snap.Config.Kind("home", kind); ok {
		return true // An earlier attempt took effect.
	}
	cfg := snap.Config.WithKind(operator.NewKind("home", kind, operator.ClassShort).WithIdempotent(true))
	_, err = configuration.Apply(ctx, store, snap.Version, cfg)
	var race *configuration.VersionConflictError
	if errors.As(err, &race) {
		return false
	}
	return err == nil
}
