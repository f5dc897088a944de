package policybench

import (
	"fmt"
	"math"
	"time"

	"github.com/medlargrade/medlargrade/coordination/placement"
	"github.com/medlargrade/medlargrade/operator"
)

// The site of today.
const (
	workers        = 11
	workersPerRack = 3
	slots          = 8
)

// The load. The rates of long and fill work add up to slightly more than the site
// can do, so that it is full of long work when a crest comes.
const (
	shortRate     = 1.5 // per second, over all workspaces
	crestFactor   = 20
	crestDuration = 2 * time.Minute
	shortDeadline = 30 * time.Second
	longLoad      = 0.85 // of the site's slots
	fillLoad      = 0.25
	stragglers    = 0.03 // share of long and fill work that runs ten times longer
	onceShare     = 0.2  // share of long work that is not idempotent
)

// job is a request and what has become of it.
type job struct {
	id         string
	workspace  string
	kind       string
	class      operator.Class
	shape      operator.Shape
	idempotent bool
	declared   time.Duration
	remaining  time.Duration // run time still to do
	total      time.Duration
	arrived    time.Time

	number   uint32
	place    placement.Placement
	started  time.Time // of the running attempt; zero if none
	stopping bool
	waiting  bool
	claimed  time.Time // since when it has been a guarantee claim; zero if it is none
	seen     bool      // offered for the first time
	probe    bool      // on a target on probation
	exclude  []string
}

func (j *job) gang() bool { return j.shape.Workers() > 1 || j.shape.Accelerators() == slots }

// config returns the workspaces: a few large ones, of which 52 of 88 slots are
// guaranteed.
func config() operator.Config {
	dc := operator.NewDataCentre("dc1")
	for i := 0; i < workers; i += workersPerRack {
		dc = dc.WithRack(rackName(i), min(workersPerRack, workers-i))
	}
	cfg := operator.NewConfig(operator.NewSite("site").WithDataCentre(dc).WithSlotsPerWorker(slots))
	rack := operator.AdjacentRack
	for _, w := range []operator.Workspace{
		operator.NewWorkspace("w0").WithGuarantee(operator.NewShape(3, 8).WithAdjacency(rack)),
		operator.NewWorkspace("w1").WithGuarantee(operator.NewShape(2, 8).WithAdjacency(rack)),
		operator.NewWorkspace("w2").WithGuarantee(operator.NewShape(1, 8)),
		operator.NewWorkspace("w3").WithGuarantee(operator.NewShape(1, 4)),
	} {
		cfg = cfg.WithWorkspace(w)
		for _, k := range []operator.Kind{
			operator.NewKind(w.Name(), "short", operator.ClassShort).WithIdempotent(true),
			operator.NewKind(w.Name(), "small", operator.ClassLong).WithIdempotent(true),
			operator.NewKind(w.Name(), "gang", operator.ClassLong).WithIdempotent(true),
			operator.NewKind(w.Name(), "fill", operator.ClassFill).WithIdempotent(true),
		} {
			cfg = cfg.WithKind(k)
		}
	}
	return cfg
}

func rackName(worker int) string { return fmt.Sprintf("r%d", worker/workersPerRack) }

// longShapes are drawn with the given weights.
var longShapes = []struct {
	weight float64
	kind   string
	shape  operator.Shape
}{
	{0.20, "small", operator.NewShape(1, 1)},
	{0.15, "small", operator.NewShape(1, 2).WithAdjacency(operator.AdjacentWorker)},
	{0.25, "small", operator.NewShape(1, 4)},
	{0.20, "gang", operator.NewShape(1, 8)},
	{0.05, "gang", operator.NewShape(4, 2).WithAdjacency(operator.AdjacentRack)},
	{0.10, "gang", operator.NewShape(2, 8).WithAdjacency(operator.AdjacentRack)},
	{0.05, "gang", operator.NewShape(3, 8).WithAdjacency(operator.AdjacentRack)},
}

// Run times: median and deviation of the logarithm.
const (
	shortRun, shortSigma = 250 * time.Millisecond, 0.6
	longRun, longSigma   = 20 * time.Minute, 1.0
	fillRun, fillSigma   = 10 * time.Minute, 0.8
	maxRun               = 6 * time.Hour
)

func (s *sim) logNormal(median time.Duration, sigma float64) time.Duration {
	return min(max(time.Duration(float64(median)*math.Exp(sigma*s.load.NormFloat64())), time.Millisecond), maxRun)
}

// workspace draws one: w0 is the largest.
func (s *sim) workspace() string {
	x := s.load.Float64()
	switch {
	case x < 0.4:
		return "w0"
	case x < 0.7:
		return "w1"
	case x < 0.9:
		return "w2"
	}
	return "w3"
}

func (s *sim) newJob(kind string, class operator.Class, shape operator.Shape, run time.Duration) *job {
	s.jobCount++
	j := &job{
		id: fmt.Sprintf("j%d", s.jobCount), workspace: s.workspace(), kind: kind, class: class, shape: shape,
		idempotent: true, total: run, arrived: s.now,
	}
	if class != operator.ClassShort && s.load.Float64() < stragglers {
		j.total = min(10*run, maxRun)
	}
	if class == operator.ClassLong && s.load.Float64() < onceShare {
		j.idempotent = false
	}
	j.remaining = j.total
	j.declared = time.Duration(float64(run) * math.Pow(10, 2*s.load.Float64()-1))
	return j
}

func (s *sim) short() *job {
	return s.newJob("short", operator.ClassShort, operator.NewShape(1, 1), s.logNormal(shortRun, shortSigma))
}

func (s *sim) long() *job {
	x := s.load.Float64()
	for _, l := range longShapes {
		if x -= l.weight; x < 0 {
			return s.newJob(l.kind, operator.ClassLong, l.shape, s.logNormal(longRun, longSigma))
		}
	}
	return s.newJob("small", operator.ClassLong, operator.NewShape(1, 1), s.logNormal(longRun, longSigma))
}

func (s *sim) fill() *job {
	return s.newJob("fill", operator.ClassFill, operator.NewShape(1, 1+s.load.IntN(2)), s.logNormal(fillRun, fillSigma))
}

// meanRun returns the mean of a log-normal run time in seconds.
func meanRun(median time.Duration, sigma float64) float64 {
	return median.Seconds() * math.Exp(sigma*sigma/2)
}

// addLoad schedules the arrivals of the whole run, of which the long and fill work
// is multiplied by factor.
func (s *sim) addLoad(factor float64) {
	longSlots := 0.0
	for _, l := range longShapes {
		longSlots += l.weight * float64(l.shape.Slots())
	}
	capacity := factor * workers * slots
	s.arrivals(longLoad*capacity/(longSlots*meanRun(longRun, longSigma)), s.long)
	s.arrivals(fillLoad*capacity/(1.5*meanRun(fillRun, fillSigma)), s.fill)
	s.arrivals(shortRate, s.short)
	// Work that waits from the beginning fills the site at once.
	for range int(60 * factor * factor) {
		s.arrive(s.long())
		s.arrive(s.fill())
	}
	for _, share := range crests {
		at := s.begin.Add(time.Duration(share * float64(s.horizon)))
		s.at(at, func() { s.crestUntil = s.now.Add(crestDuration); s.crestArrival() })
	}
	// A burst of small jobs on a burst of large ones.
	s.at(s.begin.Add(time.Duration(burstAt*float64(s.horizon))), func() {
		for range 20 {
			s.arrive(s.newJob("gang", operator.ClassLong, operator.NewShape(2, 8).WithAdjacency(operator.AdjacentRack), s.logNormal(longRun/4, longSigma)))
		}
		for range 200 {
			s.arrive(s.newJob("small", operator.ClassLong, operator.NewShape(1, 1), s.logNormal(2*time.Minute, longSigma)))
		}
	})
}

// Times of the events of a run, as shares of its length.
var crests = []float64{0.25, 0.45, 0.8}

const (
	burstAt = 0.65
	lossAt  = 0.5 // of one worker
	badAt   = 0.35
)

// arrivals schedules a Poisson stream.
func (s *sim) arrivals(perSecond float64, draw func() *job) {
	s.at(s.after(perSecond), func() {
		s.arrive(draw())
		s.arrivals(perSecond, draw)
	})
}

func (s *sim) after(perSecond float64) time.Time {
	return s.now.Add(time.Duration(s.load.ExpFloat64() / perSecond * float64(time.Second)))
}

func (s *sim) crestArrival() {
	if s.now.After(s.crestUntil) {
		return
	}
	s.arrive(s.short())
	s.at(s.after((crestFactor-1)*shortRate), s.crestArrival)
}
