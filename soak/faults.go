package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// faultKind says which component a fault affects and how.
type faultKind string

// Faults.
const (
	faultKill               faultKind = "kill"           // a process gets SIGKILL
	faultKillAll            faultKind = "kill all"       // most or all processes get SIGKILL at once
	faultTerm               faultKind = "leave"          // a process gets SIGTERM
	faultRollingTerm        faultKind = "roll"           // the entries get SIGTERM one after another
	faultPause              faultKind = "pause"          // a process gets SIGSTOP, later SIGCONT
	faultReload             faultKind = "reload"         // half of the processes get SIGHUP
	faultStoreLink          faultKind = "store link"     // the link between a process and the store becomes silent, one-way, resetting or slow
	faultAgentLink          faultKind = "agent link"     // the same, between the planner and a target
	faultWorkerLink         faultKind = "worker link"    // the same, between a target and its worker
	faultReportLink         faultKind = "report link"    // the same, between a worker and its target
	faultCallerLink         faultKind = "caller link"    // the same, between callers and an entry
	faultOpenConns          faultKind = "stale links"    // all open connections of a process are silenced permanently or reset
	faultIsolate            faultKind = "cut off"        // the links of a target to the store and the planner change as above
	faultStoreDown          faultKind = "store down"     // for all processes
	faultStoreSlow          faultKind = "store slow"     // for all processes
	faultStoreLostResponses faultKind = "store loses"    // the responses to writes are lost; the writes may take effect later
	faultStoreHistoryLost   faultKind = "store forgets"  // the store drops its change history
	faultWorkerCrash        faultKind = "worker crash"   // a worker is down until the end and restarts under its ID or another one
	faultWorkerDrain        faultKind = "worker leaves"  // with a notice; it restarts at the end
	faultWorkerFaulty       faultKind = "worker bad"     // fails all runs, hangs, is slow, or is unhealthy
	faultWorkerShrink       faultKind = "worker shrinks" // a worker loses a part of its capacity until the end
	faultLostOrderResponses faultKind = "late orders"    // the responses to orders are lost; the orders may take effect later
	faultIsolateLateOrders  faultKind = "late alone"     // the links of a target to the planner and the store change as above; its orders take effect later
	faultConfig             faultKind = "config"         // several versions in quick succession
	// faultPlannerCut cuts the process that plans off from the store and all other processes, with
	// refused connections. It goes on beside its worker.
	faultPlannerCut faultKind = "planner cut off"
	// faultWorkerReborn cuts a worker off from its target, and starts it again under its ID behind the
	// cut, in some runs with another label.
	faultWorkerReborn faultKind = "worker reborn"
	// faultManyEnds kills the process that plans shortly before more tasks end on a worker than it
	// lists at a time.
	faultManyEnds faultKind = "many ends"
)

var faultKinds = []faultKind{
	faultKill, faultKillAll, faultTerm, faultRollingTerm, faultPause, faultReload, faultStoreLink, faultAgentLink, faultWorkerLink,
	faultReportLink, faultCallerLink, faultOpenConns, faultIsolate, faultStoreDown, faultStoreSlow, faultStoreLostResponses,
	faultStoreHistoryLost, faultWorkerCrash, faultWorkerDrain, faultWorkerFaulty, faultLostOrderResponses, faultConfig, faultWorkerShrink,
	faultIsolateLateOrders,
}

// fault is one fault of a run.
type fault struct {
	at       time.Duration // since the start of the load
	duration time.Duration
	kind     faultKind
	selector int // selects the component, modulo the number of components
	variant  int // selects the variant of the fault, modulo the number of variants
}

func (f fault) String() string {
	return fmt.Sprintf("%v for %v: %s %d, variant %d", f.at.Round(time.Millisecond), f.duration.Round(time.Millisecond), f.kind, f.selector, f.variant)
}

const (
	// A series has up to seriesFaultsMax faults, which start within seriesSpread.
	// A fault-free period follows it.
	seriesSpread    = 4 * time.Second
	seriesFaultsMax = 5
	faultFreeMin    = time.Second
	faultFreeMax    = 5 * time.Second
	// Most faults last up to faultDurationMax. A share of longFaultShare lasts up to
	// longFaultDurationMax, which is longer than leases.
	faultDurationMin     = 200 * time.Millisecond
	faultDurationMax     = 4 * time.Second
	longFaultDurationMax = 10 * time.Second
	longFaultShare       = 0.1
	// An isolation with late orders lasts from isolationMin to isolationMax, so that the runs of
	// the target are given up in most cases.
	isolationMin = 9 * time.Second
	isolationMax = 16 * time.Second
	// A planner that is cut off extends leases for 4 s, and those last for 10 s more. A cut that is
	// about as long ends before or after the runs of its worker are given up.
	plannerCutMin = 11500 * time.Millisecond
	plannerCutMax = 15 * time.Second
	// plannerStopWithin is the time from the start of a cut within which the planner is stopped, in
	// the variant that does so.
	plannerStopWithin = 6 * time.Second
	// In the variant in which the planner is killed, plannerLateShare of its calls to its worker are
	// late, by plannerLateMin to lateMax, for plannerLateTime from the start of the cut on. The cut is
	// longer by plannerKilledExtra, so that it ends after the runs of its worker are given up and before
	// the leases lapse that late calls have extended.
	plannerLateShare   = 0.7
	plannerLateMin     = 7 * time.Second
	plannerLateTime    = 3 * time.Second
	plannerKilledExtra = 4 * time.Second
	// A cut begins when the planner's worker runs a task, or after plannerBusyWait.
	plannerBusyWait = 3 * time.Second
	plannerBusyPoll = 10 * time.Millisecond
	// plannerCutShare is the share of the runs with random faults in which the planner is cut off.
	plannerCutShare = 0.3
	// maxSelector is the number of selectors and variants that are drawn.
	maxSelector = 1 << 16
)

// randomOf returns the source of one kind of draws of a run with a seed.
func randomOf(seed, stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(seed, stream)) //nolint:gosec // reproducible draws
}

// The variants of a cut of the planner: it is killed behind the cut, nothing else happens, it is stopped
// for a while, or its successor is.
const (
	variantKilled = iota
	variantPlain
	variantStopped
	variantSuccessorStopped
	plannerCutVariants
)

// The streams of a seed from which cuts of the planner, restarts of workers and the labels of jobs are
// drawn. They have some of their own, so that the other draws of a seed stay the same. Callers use the
// lower streams.
const (
	plannerCutStream = 1 << 32
	restartStream    = 2 << 32
	labelStream      = 3 << 32
)

// faultsOf draws the faults of a run and returns them in the order of their starts.
func faultsOf(cfg Config) []fault {
	cuts, restarts := randomOf(cfg.Seed, plannerCutStream), randomOf(cfg.Seed, restartStream)
	switch {
	case cfg.PlannerCuts:
		return drawPlannerCuts(cuts, cfg.Length)
	case cfg.WorkerRestarts:
		return drawRestarts(restarts, cfg.Length)
	case cfg.ManyEnds:
		return drawManyEnds(restarts, cfg.Length)
	}
	out := drawFaults(randomOf(cfg.Seed, 0), cfg.Length)
	if cuts.Float64() < plannerCutShare {
		out = append(out, drawPlannerCut(cuts, randDuration(cuts, 0, cfg.Length)))
	}
	if restarts.Float64() < restartShare {
		out = append(out, drawRestart(restarts, randDuration(restarts, 0, cfg.Length)))
	}
	sortFaults(out)
	return out
}

// drawPlannerCuts draws cuts of the planner that follow one another, so that each hits the
// successor of the one before.
func drawPlannerCuts(r *rand.Rand, length time.Duration) []fault {
	var out []fault
	for at := randDuration(r, faultFreeMin, faultFreeMax); at < length; {
		f := drawPlannerCut(r, at)
		out = append(out, f)
		at += f.duration + randDuration(r, faultFreeMin, faultFreeMax)
	}
	return out
}

func drawPlannerCut(r *rand.Rand, at time.Duration) fault {
	f := fault{
		at: at, duration: randDuration(r, plannerCutMin, plannerCutMax), kind: faultPlannerCut,
		selector: r.IntN(maxSelector), variant: r.IntN(maxSelector),
	}
	if f.variant%plannerCutVariants == variantKilled {
		f.duration += plannerKilledExtra
	}
	return f
}

// drawFaults draws the faults of a run but for cuts of the planner, and returns them in the order of
// their starts.
func drawFaults(r *rand.Rand, length time.Duration) []fault {
	var out []fault
	for at := randDuration(r, faultFreeMin, faultFreeMax); at < length; {
		end := at
		for range 1 + r.IntN(seriesFaultsMax) {
			f := fault{
				at: at + randDuration(r, 0, seriesSpread), duration: randDuration(r, faultDurationMin, faultDurationMax),
				kind: faultKinds[r.IntN(len(faultKinds))], selector: r.IntN(maxSelector), variant: r.IntN(maxSelector),
			}
			if r.Float64() < longFaultShare {
				f.duration = randDuration(r, faultDurationMax, longFaultDurationMax)
			}
			if f.kind == faultIsolateLateOrders {
				f.duration = randDuration(r, isolationMin, isolationMax)
			}
			out = append(out, f)
			end = max(end, f.at+f.duration)
		}
		at = end + randDuration(r, faultFreeMin, faultFreeMax)
	}
	sortFaults(out)
	return out
}

func sortFaults(list []fault) {
	slices.SortFunc(list, func(x, y fault) int { return cmp.Compare(x.at, y.at) })
}

func randDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
