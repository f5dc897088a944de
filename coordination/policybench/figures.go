package policybench

import (
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/medlargrade/medlargrade/operator"
)

// figures are what one run has measured.
type figures struct {
	waits      *hdrhistogram.Histogram // of short work outside of crests, in microseconds
	crest      *hdrhistogram.Histogram // of short work that arrived during a crest
	longs      []float64               // completion times of long work in seconds
	gangs      []float64               // completion times of gangs in seconds
	claimMax   time.Duration
	claimCount int
	lateClaims int // longer than claimBound
	fits       int // gangs for which there were enough free slots when first offered
	starts     int // of those: started at once
	fragSum    float64
	busySum    float64
	samples    int

	work, lost  float64 // slot seconds
	refused     map[operator.Class]int
	preemptions int
	moves       int
	failed      int
	gaveUp      int
	unknown     int
	conflicts   int
	noVictims   int
}

// claimBound is the reclaim bound of a reachable target.
const claimBound = 5 * time.Second

func newFigures() *figures {
	most := shortDeadline.Microseconds()
	return &figures{
		waits: hdrhistogram.New(1, most, 3), crest: hdrhistogram.New(1, most, 3),
		refused: make(map[operator.Class]int),
	}
}

// fragmentationShape is the shape for which fragmentation is measured.
func fragmentationShape() operator.Shape {
	return operator.NewShape(2, slots).WithAdjacency(operator.AdjacentRack)
}

func (f *figures) shortWait(s *sim, j *job, wait time.Duration) {
	v := min(max(wait.Microseconds(), 1), shortDeadline.Microseconds())
	// The value is within the range of the histograms, so this can't fail.
	if !j.arrived.After(s.crestUntil) && j.arrived.After(s.crestUntil.Add(-crestDuration)) {
		_ = f.crest.RecordValue(v)
		return
	}
	_ = f.waits.RecordValue(v)
}

func (f *figures) claimWait(wait time.Duration) {
	f.claimCount++
	f.claimMax = max(f.claimMax, wait)
	if wait > claimBound {
		f.lateClaims++
	}
}

// started counts the start of an attempt.
func (f *figures) started(s *sim, j *job) {
	if j.class == operator.ClassShort && j.number == 1 {
		f.shortWait(s, j, s.now.Sub(j.arrived))
	}
	if !j.claimed.IsZero() {
		f.claimWait(s.now.Sub(j.claimed))
		j.claimed = time.Time{}
	}
}

func (f *figures) completed(s *sim, j *job) {
	d := s.now.Sub(j.arrived).Seconds()
	if j.class == operator.ClassLong {
		f.longs = append(f.longs, d)
	}
	if j.gang() {
		f.gangs = append(f.gangs, d)
	}
}

// offered counts the first offer of a gang. It counts as one that an unfragmented
// site would take if as many slots are free as it needs, outside of the lane.
func (f *figures) offered(s *sim, j *job, ok bool) {
	if j.seen || !j.gang() || j.class != operator.ClassLong {
		return
	}
	j.seen = true
	free := 0
	for _, t := range s.view.Live(s.now) {
		if n, found := s.site.Node(t.Name); found && !n.Unusable {
			free += max(n.Free-n.KeepFree, 0)
		}
	}
	if free < j.shape.Slots() {
		return
	}
	f.fits++
	if ok {
		f.starts++
	}
}

// sample records what is measured over time.
func (f *figures) sample(s *sim) {
	free := 0
	for _, w := range s.workers {
		if w.alive {
			free += w.free
		}
	}
	f.samples++
	f.busySum += float64(workers*slots - free)
	f.fragSum += s.site.Fragmentation(fragmentationShape())
}

// quantile returns the q-quantile of x, or 0 if x is empty.
func quantile(x []float64, q float64) float64 {
	if len(x) == 0 {
		return 0
	}
	x = slices.Sorted(slices.Values(x))
	return x[int(q*float64(len(x)-1)+0.5)]
}
