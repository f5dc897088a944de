package admission

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Parameters of Lane.
const (
	laneQuantile = 95
	laneWindow   = time.Minute
	laneWindows  = 5
	laneShare    = 4 // at most one slot in laneShare belongs to the lane
	// A target gives at most half of its slots, so that the lane survives the loss
	// of one target if it has more slots than that.
	laneTargetShare = 2
	maxConcurrency  = 1 << 20 // largest value that is told apart
)

// Lane sizes the slots that only short work may take: the 95th percentile over
// time of the demand for short work in the last five minutes, at least one slot
// and at most a quarter of the site. The zero Lane is ready for use.
type Lane struct {
	mu      sync.Mutex
	windows [laneWindows]*hdrhistogram.Histogram // newest first
	since   time.Time                            // start of the newest window
	last    int
	at      time.Time // of the last observation
}

// Observe records the slots that short work uses or waits for from now on. Waiting
// work is included because the running work alone never exceeds a full lane.
func (l *Lane) Observe(demand int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked(now)
	l.last = min(demand, maxConcurrency)
}

// advanceLocked weighs the last observation with the time that it held.
func (l *Lane) advanceLocked(now time.Time) {
	if l.at.IsZero() {
		l.at, l.since = now, now
		for i := range l.windows {
			l.windows[i] = hdrhistogram.New(1, maxConcurrency+1, 2)
		}
		return
	}
	if held := now.Sub(l.at).Milliseconds(); held > 0 {
		// The value is within the range of the histogram, so this can't fail.
		_ = l.windows[0].RecordValues(int64(l.last)+1, held)
		l.at = now
	}
	if now.Sub(l.since) >= laneWindow {
		oldest := l.windows[laneWindows-1]
		copy(l.windows[1:], l.windows[:laneWindows-1])
		oldest.Reset()
		l.windows[0], l.since = oldest, now
	}
}

// Size returns the slots of the lane on a site of the given number of slots.
func (l *Lane) Size(siteSlots int, now time.Time) int {
	if siteSlots <= 0 {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advanceLocked(now)
	all := hdrhistogram.New(1, maxConcurrency+1, 2)
	for _, w := range l.windows {
		all.Merge(w)
	}
	size := 0
	if all.TotalCount() > 0 {
		size = int(all.ValueAtQuantile(laneQuantile)) - 1
	}
	return max(min(size, siteSlots/laneShare), 1)
}

// LaneTarget is a target over which a lane is spread.
type LaneTarget struct {
	Name  string
	Rack  string
	Slots int // in total
	Short int // in use by short work
}

// Spread distributes a lane of size slots and returns the slots that each target
// must keep free. Slots that short work already uses count towards its target's
// part. The racks with the fewest slots come first, then targets by name: the lane
// stays in few places, which leaves whole workers and racks for gangs, and only
// moves when the set of targets changes.
func Spread(size int, targets []LaneTarget) map[string]int {
	slots := make(map[string]int)
	for _, t := range targets {
		slots[t.Rack] += t.Slots
	}
	order := slices.Clone(targets)
	slices.SortFunc(order, func(a, b LaneTarget) int {
		return cmp.Or(cmp.Compare(slots[a.Rack], slots[b.Rack]), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
	})
	keep := make(map[string]int)
	for _, t := range order {
		n := min(size, max(t.Slots/laneTargetShare, 1))
		size -= n
		if n -= t.Short; n > 0 {
			keep[t.Name] = n
		}
		if size <= 0 {
			break
		}
	}
	return keep
}
