package soak

import (
	"context"
	"slices"
	"syscall"
	"time"

	"github.com/medlargrade/medlargrade/standin/platform"
	"github.com/medlargrade/medlargrade/standin/worker"
)

const (
	// lostResponses is how many consecutive responses the store or a worker loses.
	lostResponses = 4
	// lateDelay is the delay after which a write or order without a response takes effect.
	lateDelay = 1500 * time.Millisecond
	// lateShare is the share of orders that an isolated target's worker carries out from lateMin
	// to lateMax late.
	lateShare = 0.4
	lateMin   = 2 * time.Second
	lateMax   = 12 * time.Second
	// storeSlowdown multiplies the latency of the store, workSlowdown the duration of
	// work on a worker.
	storeSlowdown = 40
	workSlowdown  = 6
	// rollInterval is the time between the shutdowns of two entries.
	rollInterval = 700 * time.Millisecond
	// configInterval is the time between two versions of the configuration.
	configInterval = 300 * time.Millisecond
)

// inject starts a fault and returns the function that ends it.
func (s *site) inject(ctx context.Context, f fault) (end func()) {
	all := slices.Concat(s.entries, s.targets)
	selected := all[f.selector%len(all)]
	target := s.targets[f.selector%len(s.targets)]
	entry := s.entries[f.selector%len(s.entries)]
	switch f.kind {
	case faultKill:
		return s.stopProgram(selected, syscall.SIGKILL)
	case faultKillAll:
		var ends []func()
		for i, m := range all {
			if f.variant%3 == 0 || (i+f.selector)%4 != 0 {
				ends = append(ends, s.stopProgram(m, syscall.SIGKILL))
			}
		}
		return callAll(ends)
	case faultTerm:
		return s.stopProgram(selected, syscall.SIGTERM)
	case faultRollingTerm:
		for _, m := range s.entries {
			m.program.signal(syscall.SIGTERM)
			time.Sleep(rollInterval)
		}
	case faultPause:
		selected.program.signal(syscall.SIGSTOP)
		return func() { selected.program.signal(syscall.SIGCONT) }
	case faultReload:
		for i, m := range all {
			if (i+f.selector)%2 == 0 {
				m.program.signal(syscall.SIGHUP)
			}
		}
	case faultStoreLink:
		return setLink(selected.store, f.variant)
	case faultAgentLink:
		return setLink(target.agent, f.variant)
	case faultWorkerLink:
		return setLink(target.worker, f.variant)
	case faultReportLink:
		return setLink(target.report, f.variant)
	case faultCallerLink:
		return setLink(entry.caller, f.variant)
	case faultOpenConns:
		for _, l := range selected.links() {
			if f.variant%2 == 0 {
				l.SilenceOpen()
			} else {
				l.ResetOpen()
			}
		}
	case faultPlannerCut:
		return s.cutOffPlanner(f)
	case faultWorkerReborn:
		return s.reborn(f)
	case faultManyEnds:
		s.manyEnds(ctx, f)
	case faultIsolate:
		return callAll([]func(){setLink(target.store, f.variant), setLink(target.agent, f.variant)})
	default:
		return s.injectStandinFault(f)
	}
	return func() {}
}

// injectStandinFault starts a fault of the store or of a worker, or a series of
// configuration changes.
func (s *site) injectStandinFault(f fault) (end func()) {
	w := s.workers[f.selector%len(s.workers)]
	switch f.kind {
	case faultStoreDown:
		variants := []platform.Down{platform.DownBusy, platform.DownLimit, platform.DownReset, platform.DownSilent}
		return s.storeFault(platform.Faults{Down: variants[f.variant%len(variants)]})
	case faultStoreSlow:
		return s.storeFault(platform.Faults{Slow: storeSlowdown})
	case faultStoreLostResponses:
		return s.storeFault(platform.Faults{LoseAnswers: lostResponses, LateMillis: int64(f.variant%2) * lateDelay.Milliseconds()})
	case faultStoreHistoryLost:
		s.platform.DropHistory()
	case faultWorkerCrash:
		w.Crash()
		return func() { w.Restart(f.variant%2 == 0) }
	case faultWorkerDrain:
		s.drainWorker(w, f.duration)
		return func() { w.Restart(true) }
	case faultWorkerFaulty:
		variants := []worker.Faults{{FailAll: true}, {Hang: true}, {Slow: workSlowdown}, {Unhealthy: true}}
		w.SetFaults(variants[f.variant%len(variants)])
		return func() { w.SetFaults(worker.Faults{}) }
	case faultWorkerShrink:
		w.SetFaults(worker.Faults{LostCapacity: []float64{0.25, 0.5, 1}[f.variant%3]})
		return func() { w.SetFaults(worker.Faults{}) }
	case faultLostOrderResponses:
		w.SetFaults(worker.Faults{LoseOrders: lostResponses, LateMillis: int64(f.variant%2) * lateDelay.Milliseconds()})
		return func() { w.SetFaults(worker.Faults{}) }
	case faultIsolateLateOrders:
		i := f.selector % len(s.workers)
		w.SetFaults(worker.Faults{
			LateShare: lateShare, LateMillis: lateMin.Milliseconds(), LateMaxMillis: lateMax.Milliseconds(), LeaseFromArrival: true, LateHolds: f.variant%3 == 0,
		})
		connect := callAll([]func(){setLink(s.targets[i].store, 0), setLink(s.targets[i].agent, f.variant%2)})
		return func() { connect(); w.SetFaults(worker.Faults{}) }
	case faultConfig:
		for range 1 + f.variant%4 {
			s.writeNextVersion()
			time.Sleep(configInterval)
		}
	}
	return func() {}
}

// stopProgram signals a process to end and prevents its restart until the returned
// function is called.
func (s *site) stopProgram(m *machine, sig syscall.Signal) func() {
	m.program.blockStart(true)
	m.program.signal(sig)
	return func() { m.program.blockStart(false) }
}

func (s *site) storeFault(f platform.Faults) func() {
	s.platform.SetFaults(f)
	return func() { s.platform.SetFaults(platform.Faults{}) }
}

// setLink imposes a fault on all connections of a link and returns the function that ends it.
func setLink(l *Link, variant int) func() {
	states := []linkState{linkSilent, linkOneWay, linkReset, linkSlow}
	return l.Impose(linkFault{state: states[variant%len(states)]})
}

func callAll(funcs []func()) func() {
	return func() {
		for _, f := range funcs {
			f()
		}
	}
}
