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
	// faultTime is how long a fault lasts: longer than a lease with the reach of its
	// renewals, after which what ran on a lost target starts elsewhere.
	faultTime = 20 * time.Second
	// pauseDelay is the delay of the traffic of a paused process, beyond a lease.
	pauseDelay = 12 * time.Second
)

// fault is one kind of fault. strike makes it at a hit and returns what ends it,
// or nil if it has no duration. It must not block; run, which may, goes on in a
// goroutine until the fault has ended.
type fault struct {
	name   string
	strike func(s *Site, h hit) (undo func())
	run    func(s *Site, h hit)
}

var faults = []fault{
	{name: "kill-entry", strike: func(s *Site, h hit) func() { return s.lose(false, s.entryIn(h)) }},
	{name: "vanish-entry", strike: func(s *Site, h hit) func() { return s.lose(true, s.entryIn(h)) }},
	{name: "replace-entry", strike: func(s *Site, h hit) func() { return s.replace(s.entryIn(h)) }},
	{name: "kill-target", strike: func(s *Site, h hit) func() { return s.lose(false, s.targetIn(h)) }},
	{name: "vanish-target", strike: func(s *Site, h hit) func() { return s.lose(true, s.targetIn(h)) }},
	{name: "replace-target", strike: func(s *Site, h hit) func() { return s.replace(s.targetIn(h)) }},
	{name: "pause-entry", strike: func(s *Site, h hit) func() { return s.pause(s.entryIn(h)) }},
	{name: "pause-target", strike: func(s *Site, h hit) func() { return s.pause(s.targetIn(h)) }},
	{name: "silence", strike: func(s *Site, h hit) func() {
		s.touch(h.from, h.to)
		s.net.Freeze(h.from, h.to)
		return nil
	}},
	{name: "cut-there", strike: func(s *Site, h hit) func() { return s.cut(h.from, h.to) }},
	{name: "cut-back", strike: func(s *Site, h hit) func() { return s.cut(h.to, h.from) }},
	{name: "cut-both", strike: func(s *Site, h hit) func() {
		there, back := s.cut(h.from, h.to), s.cut(h.to, h.from)
		return func() { there(); back() }
	}},
	{name: "isolate-target", strike: func(s *Site, h hit) func() { return s.isolate(s.targetIn(h)) }},
	{name: "kill-planner", strike: func(s *Site, _ hit) func() { return s.lose(false, s.planner()) }},
	{name: "vanish-planner", strike: func(s *Site, _ hit) func() { return s.lose(true, s.planner()) }},
	{name: "pause-planner", strike: func(s *Site, _ hit) func() { return s.pause(s.planner()) }},
	{name: "cut-planner-from-store", strike: func(s *Site, _ hit) func() {
		p := s.planner()
		there, back := s.cut(p.host, platformHost), s.cut(platformHost, p.host)
		return func() { there(); back() }
	}},
	{name: "store-busy", strike: storeFault(platform.Faults{Down: platform.DownBusy})},
	{name: "store-silent", strike: storeFault(platform.Faults{Down: platform.DownSilent})},
	{name: "store-resets", strike: storeFault(platform.Faults{Down: platform.DownReset})},
	{name: "store-slow", strike: storeFault(platform.Faults{Slow: 80})},
	{name: "store-loses-answers", strike: storeFault(platform.Faults{LoseAnswers: 3})},
	{name: "store-writes-late", strike: storeFault(platform.Faults{LoseAnswers: 3, LateMillis: 2500})},
	{name: "store-denies-planner", strike: func(s *Site, h hit) func() {
		return storeFault(platform.Faults{Down: platform.DownBusy, Hosts: []string{s.planner().host}})(s, h)
	}},
	{name: "store-denies-entry", strike: func(s *Site, h hit) func() {
		return storeFault(platform.Faults{Down: platform.DownSilent, Hosts: []string{s.entryIn(h).host}})(s, h)
	}},
	{name: "store-drops-history", run: func(s *Site, _ hit) { s.platform.DropHistory() }},
	{name: "worker-fails", strike: workerFault(worker.Faults{FailAll: true})},
	{name: "worker-straggles", strike: workerFault(worker.Faults{Slow: 8})},
	{name: "worker-hangs", strike: workerFault(worker.Faults{Hang: true})},
	{name: "worker-unhealthy", strike: workerFault(worker.Faults{Unhealthy: true})},
	{name: "worker-loses-orders", strike: workerFault(worker.Faults{LoseOrders: 3})},
	{name: "worker-orders-late", strike: workerFault(worker.Faults{LoseOrders: 3, LateMillis: 4000})},
	{name: "worker-cut-off", strike: func(s *Site, h hit) func() {
		p := s.targetIn(h)
		there, back := s.cut(p.host, workerOf(p.host)), s.cut(workerOf(p.host), p.host)
		return func() { there(); back() }
	}},
	{name: "worker-crashes", strike: func(s *Site, h hit) func() { return s.crash(h, true) }},
	{name: "worker-restarts", strike: func(s *Site, h hit) func() {
		s.crash(h, false)()
		return nil
	}},
	{name: "worker-leaves", run: func(s *Site, h hit) {
		w := s.workerOfTarget(s.targetIn(h))
		s.touch(workerOf(s.targetIn(h).host))
		w.Drain(drainTime)
		time.Sleep(drainTime + 2*time.Second)
		w.Restart(true)
	}},
	{name: "cancel-wave", run: func(s *Site, _ hit) { s.cancelWave() }},
	{name: "operators-race", run: func(s *Site, _ hit) { s.operatorsRace() }},
	{name: "lose-rack", strike: func(s *Site, _ hit) func() { return s.loseRack() }},
	{name: "lose-data-centre", strike: func(s *Site, _ hit) func() { return s.loseRack(s.entries[0]) }},
	{name: "leave-target", run: func(s *Site, h hit) { s.leaveAndReturn(s.targetIn(h)) }},
	{name: "leave-entry", run: func(s *Site, h hit) { s.leaveAndReturn(s.entryIn(h)) }},
}

// at returns a trigger that makes the fault at the nth occurrence of a point.
func (f fault) at(s *Site, p point, nth int) *trigger {
	return &trigger{point: p, nth: nth, fire: func(h hit) { s.strike(f, h) }}
}

// strike makes a fault and ends it after its time.
func (s *Site) strike(f fault, h hit) {
	s.hist.add(func(x *history) {
		x.faults = append(x.faults, time.Now())
		x.faultBegins()
		x.struck = append(x.struck, fmt.Sprintf("%s at %v from %s to %s", f.name, h.point, h.from, h.to))
	})
	undo := func() {}
	if f.strike != nil {
		if u := f.strike(s, h); u != nil {
			undo = func() { time.Sleep(faultTime); u() }
		}
	}
	go func() {
		defer s.obs.done()
		if f.run != nil {
			f.run(s, h)
		}
		undo()
		s.hist.add((*history).faultEnds)
	}()
}

func (s *Site) touch(hosts ...string) {
	s.hist.add(func(h *history) {
		for _, host := range hosts {
			h.touched[host] = true
		}
	})
}

// entryIn returns the entry that a message concerns, or the first one.
func (s *Site) entryIn(h hit) *proc {
	for _, p := range s.entries {
		if p.host == h.from || p.host == h.to {
			return p
		}
	}
	return s.entries[0]
}

// targetIn returns the target that a message concerns: its receiver, its sender,
// or the one beside the worker. Without one it is the busiest.
func (s *Site) targetIn(h hit) *proc {
	for _, host := range []string{h.to, h.from} {
		if p := s.procAt(targetOf(host)); p != nil && slices.Contains(s.targets, p) {
			return p
		}
	}
	return s.busiest()
}

// lose ends processes until the fault ends.
func (s *Site) lose(silent bool, list ...*proc) func() {
	for _, p := range list {
		s.touch(p.host)
		s.kill(p, silent)
	}
	return func() {
		for _, p := range list {
			s.revive(p)
		}
	}
}

func (s *Site) replace(p *proc) func() {
	s.lose(false, p)()
	return nil
}

// pause delays the traffic of a process. What is sent meanwhile arrives late.
func (s *Site) pause(p *proc) func() {
	s.touch(p.host)
	s.net.SetDelay(p.host, pipenet.Any, pauseDelay)
	s.net.SetDelay(pipenet.Any, p.host, pauseDelay)
	return func() {
		s.net.SetDelay(p.host, pipenet.Any, 0)
		s.net.SetDelay(pipenet.Any, p.host, 0)
		time.Sleep(pauseDelay) // What was sent last arrives.
	}
}

func (s *Site) cut(from, to string) func() {
	s.touch(from, to)
	s.net.Cut(from, to)
	return func() { s.net.Heal(from, to) }
}

// isolate cuts a target off from everything but its worker.
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
		s.touch(platformHost)
		s.platform.SetFaults(f)
		return func() { s.platform.SetFaults(platform.Faults{}) }
	}
}

func workerFault(f worker.Faults) func(*Site, hit) func() {
	return func(s *Site, h hit) func() {
		p := s.targetIn(h)
		s.touch(workerOf(p.host))
		w := s.workerOfTarget(p)
		w.SetFaults(f)
		return func() { w.SetFaults(worker.Faults{}) }
	}
}

// crash ends a worker without a word. It comes back under a new ID or its own.
func (s *Site) crash(h hit, newID bool) func() {
	p := s.targetIn(h)
	w := s.workerOfTarget(p)
	s.touch(workerOf(p.host))
	w.Crash()
	return func() { w.Restart(newID) }
}

// loseRack loses the first rack at once, with its workers and further processes.
func (s *Site) loseRack(more ...*proc) func() {
	list := append(append([]*proc{}, s.targets[:rackSize]...), more...)
	back := s.lose(true, list...)
	for i, w := range s.workers[:rackSize] {
		s.touch(workerHost(i))
		w.Crash()
	}
	return func() {
		for _, w := range s.workers[:rackSize] {
			w.Restart(true)
		}
		back()
	}
}

// cancelWave cancels all recorded jobs at the second entry, and many of its own.
func (s *Site) cancelWave() {
	const wave = 40
	number := 0
	var wg sync.WaitGroup
	s.hist.add(func(h *history) {
		h.waves++
		number = h.waves
		for label, r := range h.requests {
			if r.key != "" {
				h.canceled[label] = true
			}
		}
	})
	for _, r := range s.keyedRequests() {
		wg.Go(func() { s.cancel(r, s.entries[1]) })
	}
	for i := range wave {
		name := fmt.Sprintf("wave-%d-%d", number, i)
		r := request{
			label: name, key: name, workspace: "guest", kind: "batch",
			parts: 1, slots: 1, run: 5 * time.Second, async: true, lent: true,
		}
		s.hist.add(func(h *history) { h.canceled[r.label] = true })
		wg.Go(func() { s.perform(r) })
		wg.Go(func() {
			time.Sleep(300 * time.Millisecond)
			s.cancel(r, s.entries[i%len(s.entries)])
		})
	}
	wg.Wait()
}

// operatorsRace makes two operators change the configuration at the same time.
func (s *Site) operatorsRace() {
	var wg sync.WaitGroup
	for _, kind := range []string{"race-a", "race-b"} {
		wg.Go(func() { s.persistChange(kind) })
	}
	wg.Wait()
}

func (s *Site) leaveAndReturn(p *proc) {
	if p.isUp() {
		s.stop(p)
	}
	s.revive(p)
}

// keyedRequests returns the requests that others can cancel.
func (s *Site) keyedRequests() []request {
	var out []request
	s.hist.add(func(h *history) {
		for _, r := range h.requests {
			if r.key != "" && !strings.HasPrefix(r.key, "wave-") {
				out = append(out, r)
			}
		}
	})
	return out
}

// faultBegins notes that a fault is active, so that the bounds that start with the
// end of the last fault wait for it.
func (h *history) faultBegins() {
	h.faultEnd = time.Time{}
	h.active++
}

func (h *history) faultEnds() {
	if h.active--; h.active == 0 {
		h.faultEnd = time.Now()
	}
}
