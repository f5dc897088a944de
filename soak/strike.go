package soak

import (
	"slices"
	"syscall"
	"time"

	"github.com/medlargrade/medlargrade/standin/platform"
	"github.com/medlargrade/medlargrade/standin/worker"
)

const (
	// lostAnswers is how many answers in a row the store or a worker loses.
	lostAnswers = 4
	// lateAfter is when a write or an order without an answer takes effect.
	lateAfter = 1500 * time.Millisecond
	// slowStore multiplies the times of the store, and slowWork those of work.
	slowStore = 40
	slowWork  = 6
	// rollGap is the pause between two entries that leave in turn.
	rollGap = 700 * time.Millisecond
	// configGap is the pause between two versions of the configuration.
	configGap = 300 * time.Millisecond
)

// strike begins a fault and returns what ends it.
func (s *site) strike(f fault) (end func()) {
	all := slices.Concat(s.entries, s.targets)
	any := all[f.n%len(all)]
	tgt := s.targets[f.n%len(s.targets)]
	ent := s.entries[f.n%len(s.entries)]
	switch f.kind {
	case faultKill:
		return s.ended(any, syscall.SIGKILL)
	case faultKillAll:
		var ends []func()
		for i, m := range all {
			if f.how%3 == 0 || (i+f.n)%4 != 0 {
				ends = append(ends, s.ended(m, syscall.SIGKILL))
			}
		}
		return each(ends)
	case faultLeave:
		return s.ended(any, syscall.SIGTERM)
	case faultRoll:
		for _, m := range s.entries {
			m.program.signal(syscall.SIGTERM)
			time.Sleep(rollGap)
		}
	case faultPause:
		any.program.signal(syscall.SIGSTOP)
		return func() { any.program.signal(syscall.SIGCONT) }
	case faultReload:
		for i, m := range all {
			if (i+f.n)%2 == 0 {
				m.program.signal(syscall.SIGHUP)
			}
		}
	case faultStoreLink:
		return set(any.store, f.how)
	case faultAgentLink:
		return set(tgt.agent, f.how)
	case faultWorkerLink:
		return set(tgt.worker, f.how)
	case faultReportLink:
		return set(tgt.report, f.how)
	case faultCallerLink:
		return set(ent.caller, f.how)
	case faultStaleLinks:
		for _, l := range any.links() {
			if f.how%2 == 0 {
				l.Forget()
			} else {
				l.ResetAll()
			}
		}
	case faultCutOff:
		return each([]func(){set(tgt.store, f.how), set(tgt.agent, f.how)})
	default:
		return s.strikeOutside(f)
	}
	return func() {}
}

// strikeOutside begins a fault of the store, of a worker or of the operator.
func (s *site) strikeOutside(f fault) (end func()) {
	w := s.workers[f.n%len(s.workers)]
	switch f.kind {
	case faultStoreDown:
		ways := []platform.Down{platform.DownBusy, platform.DownLimit, platform.DownReset, platform.DownSilent}
		return s.storeFault(platform.Faults{Down: ways[f.how%len(ways)]})
	case faultStoreSlow:
		return s.storeFault(platform.Faults{Slow: slowStore})
	case faultStoreLoses:
		return s.storeFault(platform.Faults{LoseAnswers: lostAnswers, LateMillis: int64(f.how%2) * lateAfter.Milliseconds()})
	case faultStoreForgets:
		s.platform.DropHistory()
	case faultWorkerCrash:
		w.Crash()
		return func() { w.Restart(f.how%2 == 0) }
	case faultWorkerLeaves:
		s.leaves(w, f.long)
		return func() { w.Restart(true) }
	case faultWorkerBad:
		ways := []worker.Faults{{FailAll: true}, {Hang: true}, {Slow: slowWork}, {Unhealthy: true}}
		w.SetFaults(ways[f.how%len(ways)])
		return func() { w.SetFaults(worker.Faults{}) }
	case faultLateOrders:
		w.SetFaults(worker.Faults{LoseOrders: lostAnswers, LateMillis: int64(f.how%2) * lateAfter.Milliseconds()})
		return func() { w.SetFaults(worker.Faults{}) }
	case faultConfig:
		for range 1 + f.how%4 {
			s.change()
			time.Sleep(configGap)
		}
	}
	return func() {}
}

// ended ends a process and keeps it away until the returned function is called.
func (s *site) ended(m *machine, sig syscall.Signal) func() {
	m.program.hold(true)
	m.program.signal(sig)
	return func() { m.program.hold(false) }
}

func (s *site) storeFault(f platform.Faults) func() {
	s.platform.SetFaults(f)
	return func() { s.platform.SetFaults(platform.Faults{}) }
}

// set changes the state of a link until the returned function is called.
func set(l *Link, how int) func() {
	ways := []linkState{linkSilent, linkOneWay, linkReset, linkSlow}
	l.Set(ways[how%len(ways)])
	return func() { l.Set(linkOpen) }
}

func each(list []func()) func() {
	return func() {
		for _, f := range list {
			f()
		}
	}
}
