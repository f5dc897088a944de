package matrix

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/standin/pipenet"
	"github.com/medlargrade/medlargrade/standin/platform"
	"github.com/medlargrade/medlargrade/standin/worker"
)

const (
	// faultDuration is longer than a lease and the time by which renewals extend it,
	// after which the runs of a lost target start elsewhere.
	faultDuration = 20 * time.Second
	// pauseDelay delays the traffic of a paused process by more than a lease.
	pauseDelay = 12 * time.Second
)

// lateOrders delays 40 % of the calls that change something, and lets their leases count from the
// time when they are carried out.
var lateOrders = worker.Faults{LateShare: 0.4, LateMillis: 2000, LateMaxMillis: 12_000, LeaseFromArrival: true}

// fault is one kind of fault. inject starts it at a hit and returns a function that
// ends it, or nil if the fault has no duration; it must not block. run makes the
// whole fault in a goroutine of its own and may block. Each may be nil.
type fault struct {
	name   string
	inject func(s *Site, h hit) (undo func())
	run    func(s *Site, h hit)
}

var faults = []fault{
	{name: "kill-entry", inject: func(s *Site, h hit) func() { return s.takeDown(false, s.entryFor(h)) }},
	{name: "vanish-entry", inject: func(s *Site, h hit) func() { return s.takeDown(true, s.entryFor(h)) }},
	{name: "replace-entry", inject: func(s *Site, h hit) func() { return s.replace(s.entryFor(h)) }},
	{name: "kill-target", inject: func(s *Site, h hit) func() { return s.takeDown(false, s.targetFor(h)) }},
	{name: "vanish-target", inject: func(s *Site, h hit) func() { return s.takeDown(true, s.targetFor(h)) }},
	{name: "replace-target", inject: func(s *Site, h hit) func() { return s.replace(s.targetFor(h)) }},
	{name: "pause-entry", inject: func(s *Site, h hit) func() { return s.pause(s.entryFor(h)) }},
	{name: "pause-target", inject: func(s *Site, h hit) func() { return s.pause(s.targetFor(h)) }},
	{name: "silence", inject: func(s *Site, h hit) func() {
		s.markAffected(h.from, h.to)
		s.net.Freeze(h.from, h.to)
		return nil
	}},
	{name: "cut-there", inject: func(s *Site, h hit) func() { return s.cut(h.from, h.to) }},
	{name: "cut-back", inject: func(s *Site, h hit) func() { return s.cut(h.to, h.from) }},
	{name: "cut-both", inject: func(s *Site, h hit) func() {
		restoreForward, restoreBackward := s.cut(h.from, h.to), s.cut(h.to, h.from)
		return func() { restoreForward(); restoreBackward() }
	}},
	{name: "isolate-target", inject: func(s *Site, h hit) func() { return s.isolate(s.targetFor(h)) }},
	{name: "kill-planner", inject: func(s *Site, _ hit) func() { return s.takeDown(false, s.planner()) }},
	{name: "vanish-planner", inject: func(s *Site, _ hit) func() { return s.takeDown(true, s.planner()) }},
	{name: "pause-planner", inject: func(s *Site, _ hit) func() { return s.pause(s.planner()) }},
	{name: "cut-planner-from-store", inject: func(s *Site, _ hit) func() {
		p := s.planner()
		restoreOut, restoreIn := s.cut(p.host, platformHost), s.cut(platformHost, p.host)
		return func() { restoreOut(); restoreIn() }
	}},
	{name: "store-busy", inject: storeFault(platform.Faults{Down: platform.DownBusy})},
	{name: "store-silent", inject: storeFault(platform.Faults{Down: platform.DownSilent})},
	{name: "store-resets", inject: storeFault(platform.Faults{Down: platform.DownReset})},
	{name: "store-slow", inject: storeFault(platform.Faults{Slow: 80})},
	{name: "store-loses-answers", inject: storeFault(platform.Faults{LoseAnswers: 3})},
	{name: "store-writes-late", inject: storeFault(platform.Faults{LoseAnswers: 3, LateMillis: 2500})},
	{name: "store-denies-planner", inject: func(s *Site, h hit) func() {
		return storeFault(platform.Faults{Down: platform.DownBusy, Hosts: []string{s.planner().host}})(s, h)
	}},
	{name: "store-denies-entry", inject: func(s *Site, h hit) func() {
		return storeFault(platform.Faults{Down: platform.DownSilent, Hosts: []string{s.entryFor(h).host}})(s, h)
	}},
	{name: "store-drops-history", run: func(s *Site, _ hit) { s.platform.DropHistory() }},
	{name: "worker-fails", inject: workerFault(worker.Faults{FailAll: true})},
	{name: "worker-straggles", inject: workerFault(worker.Faults{Slow: 8})},
	{name: "worker-hangs", inject: workerFault(worker.Faults{Hang: true})},
	{name: "worker-unhealthy", inject: workerFault(worker.Faults{Unhealthy: true})},
	{name: "worker-loses-orders", inject: workerFault(worker.Faults{LoseOrders: 3})},
	{name: "worker-orders-late", inject: workerFault(worker.Faults{LoseOrders: 3, LateMillis: 4000})},
	{name: "isolated-orders-late", inject: func(s *Site, h hit) func() {
		p := s.targetFor(h)
		endLate, endIsolation := workerFault(lateOrders)(s, hit{to: p.host}), s.isolate(p)
		return func() { endIsolation(); endLate() }
	}},
	{name: "worker-shrinks", inject: workerFault(worker.Faults{LostCapacity: 0.5})},
	{name: "worker-cut-off", inject: func(s *Site, h hit) func() {
		p := s.targetFor(h)
		restoreOut, restoreIn := s.cut(p.host, workerHostOf(p.host)), s.cut(workerHostOf(p.host), p.host)
		return func() { restoreOut(); restoreIn() }
	}},
	{name: "worker-crashes", inject: func(s *Site, h hit) func() { return s.crash(h, true) }},
	{name: "worker-restarts", inject: func(s *Site, h hit) func() {
		s.crash(h, false)()
		return nil
	}},
	{name: "worker-leaves", run: func(s *Site, h hit) {
		w := s.workerOfTarget(s.targetFor(h))
		s.markAffected(workerHostOf(s.targetFor(h).host))
		w.Drain(drainTime)
		time.Sleep(drainTime + 2*time.Second)
		w.Restart(true)
	}},
	{name: "cancel-wave", run: func(s *Site, _ hit) { s.cancelBurst() }},
	{name: "operators-race", run: func(s *Site, _ hit) { s.raceOperators() }},
	{name: "lose-rack", inject: func(s *Site, _ hit) func() { return s.takeDownRack() }},
	{name: "lose-data-centre", inject: func(s *Site, _ hit) func() { return s.takeDownRack(s.entries[0]) }},
	{name: "leave-target", run: func(s *Site, h hit) { s.restartGracefully(s.targetFor(h)) }},
	{name: "leave-entry", run: func(s *Site, h hit) { s.restartGracefully(s.entryFor(h)) }},
}

// triggerAt returns a trigger that injects the fault at the nth occurrence of a point.
func (f fault) triggerAt(s *Site, p point, nth int) *trigger {
	return &trigger{point: p, nth: nth, fire: func(h hit) { s.injectFault(f, h) }}
}

// injectFault starts a fault, and ends it after faultDuration if it has a duration.
func (s *Site) injectFault(f fault, h hit) {
	s.hist.update(func(x *history) {
		x.faultStarts = append(x.faultStarts, time.Now())
		x.beginFault()
		x.faultDescriptions = append(x.faultDescriptions, fmt.Sprintf("%s at %v from %s to %s", f.name, h.point, h.from, h.to))
	})
	undo := func() {}
	if f.inject != nil {
		if u := f.inject(s, h); u != nil {
			undo = func() { time.Sleep(faultDuration); u() }
		}
	}
	go func() {
		defer s.obs.faultDone()
		if f.run != nil {
			f.run(s, h)
		}
		undo()
		s.hist.update((*history).endFault)
	}()
}

func (s *Site) markAffected(hosts ...string) {
	s.hist.update(func(h *history) {
		for _, host := range hosts {
			h.affected[host] = true
		}
	})
}

// entryFor returns the entry that sends or receives the message of a hit, or the
// first entry.
func (s *Site) entryFor(h hit) *proc {
	for _, p := range s.entries {
		if p.host == h.from || p.host == h.to {
			return p
		}
	}
	return s.entries[0]
}

// targetFor returns the target that the message of a hit concerns: the receiver, the
// sender, or the target of a worker that is one of them. If there is none, it returns
// the busiest target.
func (s *Site) targetFor(h hit) *proc {
	for _, host := range []string{h.to, h.from} {
		if p := s.procAt(targetHostOf(host)); p != nil && slices.Contains(s.targets, p) {
			return p
		}
	}
	return s.busiest()
}

// takeDown kills processes and returns a function that restarts them.
func (s *Site) takeDown(silent bool, list ...*proc) func() {
	for _, p := range list {
		s.markAffected(p.host)
		s.kill(p, silent)
	}
	return func() {
		for _, p := range list {
			s.restart(p)
		}
	}
}

// replace kills a process and restarts it at once.
func (s *Site) replace(p *proc) func() {
	s.takeDown(false, p)()
	return nil
}

// pause delays the traffic of a process in both directions. Messages that are sent
// meanwhile arrive late.
func (s *Site) pause(p *proc) func() {
	s.markAffected(p.host)
	s.net.SetDelay(p.host, pipenet.Any, pauseDelay)
	s.net.SetDelay(pipenet.Any, p.host, pauseDelay)
	return func() {
		s.net.SetDelay(p.host, pipenet.Any, 0)
		s.net.SetDelay(pipenet.Any, p.host, 0)
		time.Sleep(pauseDelay) // until the last delayed message has arrived
	}
}

// cut stops the delivery of traffic in one direction and returns a function that
// restores it.
func (s *Site) cut(from, to string) func() {
	s.markAffected(from, to)
	s.net.Cut(from, to)
	return func() { s.net.Heal(from, to) }
}

// isolate cuts a target off from the other processes. It still reaches its worker and
// the store.
func (s *Site) isolate(p *proc) func() {
	var undo []func()
	for _, q := range s.procs() {
		if q != p {
			undo = append(undo, s.cut(p.host, q.host), s.cut(q.host, p.host))
		}
	}
	return func() {
		for _, u := range undo {
			u()
		}
	}
}

func storeFault(f platform.Faults) func(*Site, hit) func() {
	return func(s *Site, _ hit) func() {
		s.markAffected(platformHost)
		s.platform.SetFaults(f)
		return func() { s.platform.SetFaults(platform.Faults{}) }
	}
}

func workerFault(f worker.Faults) func(*Site, hit) func() {
	return func(s *Site, h hit) func() {
		p := s.targetFor(h)
		s.markAffected(workerHostOf(p.host))
		w := s.workerOfTarget(p)
		w.SetFaults(f)
		return func() { w.SetFaults(worker.Faults{}) }
	}
}

// crash ends a worker without a report. The function that it returns starts the
// worker again, with a new ID or with the same.
func (s *Site) crash(h hit, newID bool) func() {
	p := s.targetFor(h)
	w := s.workerOfTarget(p)
	s.markAffected(workerHostOf(p.host))
	w.Crash()
	return func() { w.Restart(newID) }
}

// takeDownRack kills the targets and workers of the first rack and further processes,
// all at once, and returns a function that restarts them.
func (s *Site) takeDownRack(others ...*proc) func() {
	list := append(append([]*proc{}, s.targets[:rackSize]...), others...)
	restart := s.takeDown(true, list...)
	for i, w := range s.workers[:rackSize] {
		s.markAffected(workerHost(i))
		w.Crash()
	}
	return func() {
		for _, w := range s.workers[:rackSize] {
			w.Restart(true)
		}
		restart()
	}
}

// cancelBurst cancels all jobs with a key at the second entry, and also many jobs that
// it submits itself.
func (s *Site) cancelBurst() {
	const burstSize = 40
	burst := 0
	var wg sync.WaitGroup
	s.hist.update(func(h *history) {
		h.cancelBursts++
		burst = h.cancelBursts
		for label, r := range h.requests {
			if r.key != "" {
				h.canceled[label] = true
			}
		}
	})
	for _, r := range s.keyedRequests() {
		wg.Go(func() { s.cancel(r, s.entries[1]) })
	}
	for i := range burstSize {
		name := fmt.Sprintf("wave-%d-%d", burst, i)
		r := request{
			label: name, key: name, workspace: "guest", kind: "batch",
			parts: 1, slots: 1, runTime: 5 * time.Second, async: true, beyondGuarantee: true,
		}
		s.hist.update(func(h *history) { h.canceled[r.label] = true })
		wg.Go(func() { s.performRequest(r) })
		wg.Go(func() {
			time.Sleep(300 * time.Millisecond)
			s.cancel(r, s.entries[i%len(s.entries)])
		})
	}
	wg.Wait()
}

// raceOperators has two operators change the configuration concurrently.
func (s *Site) raceOperators() {
	var wg sync.WaitGroup
	for _, kind := range []string{"race-a", "race-b"} {
		wg.Go(func() { s.changeWithRetry(kind) })
	}
	wg.Wait()
}

func (s *Site) restartGracefully(p *proc) {
	if p.isUp() {
		s.stop(p)
	}
	s.restart(p)
}

// keyedRequests returns the requests with a key, which any caller can cancel, except
// those of cancelBurst.
func (s *Site) keyedRequests() []request {
	var out []request
	s.hist.update(func(h *history) {
		for _, r := range h.requests {
			if r.key != "" && !strings.HasPrefix(r.key, "wave-") {
				out = append(out, r)
			}
		}
	})
	return out
}

// beginFault records that a fault is active, so that bounds which count from the end
// of the last fault don't start before it has ended.
func (h *history) beginFault() {
	h.lastFaultEnd = time.Time{}
	h.activeFaults++
}

// endFault records the end of a fault, which is the last one if no other is active.
func (h *history) endFault() {
	if h.activeFaults--; h.activeFaults == 0 {
		h.lastFaultEnd = time.Now()
	}
}
