package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// What a fault strikes and how.
type faultKind string

// Faults.
const (
	faultKill             faultKind = "kill"          // a process, by SIGKILL
	faultKillAll          faultKind = "kill all"      // most processes at one moment
	faultTerm             faultKind = "leave"         // a process, by SIGTERM
	faultRollingTerm      faultKind = "roll"          // all entries leave in turn
	faultPause            faultKind = "pause"         // a process, by SIGSTOP and SIGCONT
	faultReload           faultKind = "reload"        // some processes, by SIGHUP
	faultStoreLink        faultKind = "store link"    // of a process
	faultAgentLink        faultKind = "agent link"    // between the planner and a target
	faultWorkerLink       faultKind = "worker link"   // between a target and its worker
	faultReportLink       faultKind = "report link"   // between a worker and its target
	faultCallerLink       faultKind = "caller link"   // of an entry
	faultOpenConns        faultKind = "stale links"   // all open connections of a process go silent for good
	faultIsolate          faultKind = "cut off"       // a target, from the store and the planner
	faultStoreDown        faultKind = "store down"    // for all
	faultStoreSlow        faultKind = "store slow"    //
	faultStoreLostReplies faultKind = "store loses"   // answers of writes, some of which take effect later
	faultStoreHistoryLost faultKind = "store forgets" // its history
	faultWorkerCrash      faultKind = "worker crash"  // and starts again, under its ID or another one
	faultWorkerDrain      faultKind = "worker leaves" // after a notice
	faultWorkerFaulty     faultKind = "worker bad"    // fails all, stands still, is slow, takes no orders
	faultLostOrderReplies faultKind = "late orders"   // are not answered and carried out later
	faultConfig           faultKind = "config"        // versions in quick succession
)

var faultKinds = []faultKind{
	faultKill, faultKillAll, faultTerm, faultRollingTerm, faultPause, faultReload, faultStoreLink, faultAgentLink, faultWorkerLink,
	faultReportLink, faultCallerLink, faultOpenConns, faultIsolate, faultStoreDown, faultStoreSlow, faultStoreLostReplies,
	faultStoreHistoryLost, faultWorkerCrash, faultWorkerDrain, faultWorkerFaulty, faultLostOrderReplies, faultConfig,
}

// fault is a fault of a run.
type fault struct {
	at       time.Duration // since the start of the load
	duration time.Duration
	kind     faultKind
	selector int // chooses what it strikes
	variant  int // chooses the variant
}

func (f fault) String() string {
	return fmt.Sprintf("%v for %v: %s %d, variant %d", f.at.Round(time.Millisecond), f.duration.Round(time.Millisecond), f.kind, f.selector, f.variant)
}

const (
	// A series is some faults that overlap; after it comes a calm time.
	seriesSpread    = 4 * time.Second
	seriesFaultsMax = 5
	faultFreeMin    = time.Second
	faultFreeMax    = 5 * time.Second
	// A fault lasts for up to faultMax, or longer than leases now and then.
	faultMin       = 200 * time.Millisecond
	faultMax       = 4 * time.Second
	longFaultMax   = 10 * time.Second
	longFaultShare = 0.1
)

// drawFaults draws the faults of a run in the order of their times.
func drawFaults(r *rand.Rand, length time.Duration) []fault {
	var out []fault
	for at := randDuration(r, faultFreeMin, faultFreeMax); at < length; {
		end := at
		for range 1 + r.IntN(seriesFaultsMax) {
			f := fault{
				at: at + randDuration(r, 0, seriesSpread), duration: randDuration(r, faultMin, faultMax),
				kind: faultKinds[r.IntN(len(faultKinds))], selector: r.IntN(1 << 16), variant: r.IntN(1 << 16),
			}
			if r.Float64() < longFaultShare {
				f.duration = randDuration(r, faultMax, longFaultMax)
			}
			out = append(out, f)
			end = max(end, f.at+f.duration)
		}
		at = end + randDuration(r, faultFreeMin, faultFreeMax)
	}
	slices.SortFunc(out, func(x, y fault) int { return cmp.Compare(x.at, y.at) })
	return out
}

func randDuration(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
