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
	faultKill         faultKind = "kill"          // a process, by SIGKILL
	faultKillAll      faultKind = "kill all"      // most processes at one moment
	faultLeave        faultKind = "leave"         // a process, by SIGTERM
	faultRoll         faultKind = "roll"          // all entries leave in turn
	faultPause        faultKind = "pause"         // a process, by SIGSTOP and SIGCONT
	faultReload       faultKind = "reload"        // some processes, by SIGHUP
	faultStoreLink    faultKind = "store link"    // of a process
	faultAgentLink    faultKind = "agent link"    // between the planner and a target
	faultWorkerLink   faultKind = "worker link"   // between a target and its worker
	faultReportLink   faultKind = "report link"   // between a worker and its target
	faultCallerLink   faultKind = "caller link"   // of an entry
	faultStaleLinks   faultKind = "stale links"   // all open connections of a process go silent for good
	faultCutOff       faultKind = "cut off"       // a target, from the store and the planner
	faultStoreDown    faultKind = "store down"    // for all
	faultStoreSlow    faultKind = "store slow"    //
	faultStoreLoses   faultKind = "store loses"   // answers of writes, some of which take effect later
	faultStoreForgets faultKind = "store forgets" // its history
	faultWorkerCrash  faultKind = "worker crash"  // and starts again, under its ID or another one
	faultWorkerLeaves faultKind = "worker leaves" // after a notice
	faultWorkerBad    faultKind = "worker bad"    // fails all, stands still, is slow, takes no orders
	faultLateOrders   faultKind = "late orders"   // are not answered and carried out later
	faultConfig       faultKind = "config"        // versions in quick succession
)

var faultKinds = []faultKind{
	faultKill, faultKillAll, faultLeave, faultRoll, faultPause, faultReload, faultStoreLink, faultAgentLink, faultWorkerLink,
	faultReportLink, faultCallerLink, faultStaleLinks, faultCutOff, faultStoreDown, faultStoreSlow, faultStoreLoses,
	faultStoreForgets, faultWorkerCrash, faultWorkerLeaves, faultWorkerBad, faultLateOrders, faultConfig,
}

// fault is a fault of a run.
type fault struct {
	at   time.Duration // since the start of the load
	long time.Duration
	kind faultKind
	n    int // chooses what it strikes
	how  int // chooses the variant
}

func (f fault) String() string {
	return fmt.Sprintf("%v for %v: %s %d, variant %d", f.at.Round(time.Millisecond), f.long.Round(time.Millisecond), f.kind, f.n, f.how)
}

const (
	// A series is some faults that overlap; after it comes a calm time.
	seriesMax   = 4 * time.Second
	seriesCount = 5
	calmMin     = time.Second
	calmMax     = 5 * time.Second
	// A fault lasts for up to faultMax, or longer than leases now and then.
	faultMin      = 200 * time.Millisecond
	faultMax      = 4 * time.Second
	faultLong     = 10 * time.Second
	faultLongRate = 0.1
)

// drawFaults draws the faults of a run in the order of their times.
func drawFaults(r *rand.Rand, length time.Duration) []fault {
	var out []fault
	for at := between(r, calmMin, calmMax); at < length; {
		end := at
		for range 1 + r.IntN(seriesCount) {
			f := fault{
				at: at + between(r, 0, seriesMax), long: between(r, faultMin, faultMax),
				kind: faultKinds[r.IntN(len(faultKinds))], n: r.IntN(1 << 16), how: r.IntN(1 << 16),
			}
			if r.Float64() < faultLongRate {
				f.long = between(r, faultMax, faultLong)
			}
			out = append(out, f)
			end = max(end, f.at+f.long)
		}
		at = end + between(r, calmMin, calmMax)
	}
	slices.SortFunc(out, func(x, y fault) int { return cmp.Compare(x.at, y.at) })
	return out
}

func between(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)+1))
}
