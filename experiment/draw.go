package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/state/job"
)

// simJob is a job with the data that the planner does not see.
type simJob struct {
	job         job.Job
	kind        *Kind
	at          time.Duration     // of the submission
	work        [][]time.Duration // of each task of each step, on a healthy worker with the best placement
	alwaysFails bool
	cancelAfter time.Duration // after the submission; 0 for never
	// criticalPath is the duration of the longest chain of steps.
	criticalPath time.Duration
	worth        float64 // owed if the job ends within its objective
	coreSeconds  float64 // core-seconds of all tasks
}

// draw returns a random value of the distribution.
func (d Draw) draw(r *rand.Rand) float64 {
	x := d.Mean
	if d.Spread > 0 {
		x = d.Mean * math.Exp(d.Spread*r.NormFloat64()-d.Spread*d.Spread/2)
	}
	if d.Max > 0 {
		x = min(x, d.Max)
	}
	return x
}

func (d Draw) drawCount(r *rand.Rand) int { return max(1, int(math.Round(d.draw(r)))) }

// rate returns the rate of submissions of a kind, in jobs per second, at seconds after
// the start.
func (l Load) rate(k *Kind, at float64) float64 {
	x := k.PerSecond
	if l.Swing > 0 {
		x *= 1 + l.Swing*math.Sin(2*math.Pi*at/l.PeriodSeconds)
	}
	for _, b := range l.Bursts {
		if b.Kind == k.Name && at >= b.AtSeconds && at < b.AtSeconds+b.ForSeconds {
			x *= b.Factor
		}
	}
	return x
}

// jobs draws the jobs of a run and returns them in the order of their submissions.
func (l Load) jobs(seed uint64) []*simJob {
	var out []*simJob
	for i := range l.Kinds {
		k := &l.Kinds[i]
		r := rand.New(rand.NewPCG(seed, uint64(i)+1)) //nolint:gosec // reproducible draws
		for at := 0.0; ; {
			// The submissions are drawn by thinning a Poisson process with the highest
			// rate that can occur.
			maxRate := k.PerSecond * (1 + l.Swing) * l.maxBurstFactor(k)
			if maxRate <= 0 {
				break
			}
			at += r.ExpFloat64() / maxRate
			if at >= l.LengthSeconds {
				break
			}
			if r.Float64()*maxRate >= l.rate(k, at) {
				continue
			}
			out = append(out, l.job(r, k, len(out), seconds(at)))
		}
	}
	slices.SortStableFunc(out, func(x, y *simJob) int { return cmp.Compare(x.at, y.at) })
	assignWorth(out)
	return out
}

func (l Load) maxBurstFactor(k *Kind) float64 {
	f := 1.0
	for _, b := range l.Bursts {
		if b.Kind == k.Name {
			f *= max(b.Factor, 1)
		}
	}
	return f
}

// job draws one job of a kind.
func (l Load) job(r *rand.Rand, k *Kind, n int, at time.Duration) *simJob {
	d := &simJob{kind: k, at: at, alwaysFails: r.Float64() < k.HopelessShare}
	d.job = job.Job{
		ID: fmt.Sprintf("%s-%04d", k.Name, n), Kind: k.Name, Workspace: l.workspace(r), Pool: pool,
		AcceptedMillis: at.Milliseconds(),
	}
	accelerators := 0
	if len(k.Accelerators) > 0 {
		accelerators = k.Accelerators[r.IntN(len(k.Accelerators))]
	}
	checkpointable := r.Float64() < k.CheckpointableShare
	tailFactor := 1.0
	if r.Float64() < k.TailShare {
		tailFactor = k.TailFactor
	}
	if r.Float64() < k.CancelShare {
		d.cancelAfter = time.Duration(r.Int64N(int64(4 * time.Second)))
	}
	steps := k.Steps.drawCount(r)
	for i := range steps {
		s := job.Step{
			Tasks: k.Tasks.drawCount(r), CPU: k.CPU, MemoryMB: k.MemoryMB, Accelerators: accelerators, Checkpointable: checkpointable,
		}
		if i > 0 {
			s.After = []int{i - 1}
		}
		mean := k.Work.draw(r) * tailFactor
		s.EstimateMillis = max(1, int64(mean*math.Exp(k.EstimateSpread*r.NormFloat64())))
		perWorker := float64(l.Site.tasksPerWorker(s))
		if s.Tasks > 1 && float64(s.Tasks) <= maxGangShare*perWorker*float64(l.Site.Workers) && r.Float64() < k.GangShare {
			s.Gang = true
			s.SameRack = float64(s.Tasks) <= maxRackShare*perWorker*float64(l.Site.PerRack) && r.Float64() < k.SameRackShare
		}
		if r.Float64() < k.ApartShare {
			s.MaxPerWorker = 1 + r.IntN(2)
		}
		work := make([]time.Duration, s.Tasks)
		for t := range work {
			work[t] = time.Duration(mean * math.Exp(k.Uneven*r.NormFloat64()-k.Uneven*k.Uneven/2) * float64(time.Millisecond))
		}
		d.job.Steps = append(d.job.Steps, s)
		d.work = append(d.work, work)
	}
	l.computeWork(d)
	return d
}

func (l Load) workspace(r *rand.Rand) string {
	x := r.Float64()
	for _, w := range l.Workspaces {
		if x -= w.Share; x < 0 {
			return w.Name
		}
	}
	return l.Workspaces[len(l.Workspaces)-1].Name
}

// speeds draws the speeds of the workers. A stream of random numbers of its own keeps the other
// draws of a seed the same with and without speeds.
func (s Site) speeds(seed uint64) []float64 {
	const stream = 1 << 32
	r := rand.New(rand.NewPCG(seed, stream)) //nolint:gosec // reproducible draws
	out := make([]float64, s.Workers)
	for i := range out {
		out[i] = 1
		x := r.Float64()
		for _, v := range s.Speeds {
			out[i] = v.Speed
			if x -= v.Share; x < 0 {
				break
			}
		}
	}
	return out
}

// Sizes of the largest gangs, and of the largest gangs that must be in one rack, as
// shares of the capacity of the site or rack. Callers do not submit larger gangs.
const (
	maxGangShare = 1.0 / 6
	maxRackShare = 1.0 / 2
)

// The worth of a job relative to its kind is fixedWorth plus workWorth times its work
// divided by the mean work of the kind, and at most maxWorthFactor.
const (
	fixedWorth     = 0.3
	workWorth      = 0.7
	maxWorthFactor = 4
)

// computeWork sets the core-seconds and the critical path of a job. A step that needs
// more than a quarter of the site's capacity is assumed to run in waves of that size.
func (l Load) computeWork(d *simJob) {
	ends := make([]time.Duration, len(d.job.Steps))
	for i, s := range d.job.Steps {
		longest := time.Duration(0)
		for _, w := range d.work[i] {
			longest = max(longest, w)
			d.coreSeconds += w.Seconds() * coreEquivalent(s)
		}
		waves := 1.0
		if waveSize := float64(l.Site.tasksPerWorker(s)*l.Site.Workers) / 4; float64(s.Tasks) > waveSize && waveSize > 0 {
			waves = math.Ceil(float64(s.Tasks) / waveSize)
		}
		for _, a := range s.After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += time.Duration(float64(longest) * waves)
		d.criticalPath = max(d.criticalPath, ends[i])
	}
}

// assignWorth sets the worth of the jobs of a run.
func assignWorth(jobs []*simJob) {
	coreSeconds, jobCount := make(map[*Kind]float64), make(map[*Kind]float64)
	for _, d := range jobs {
		coreSeconds[d.kind] += d.coreSeconds
		jobCount[d.kind]++
	}
	for _, d := range jobs {
		d.worth = d.kind.Worth * min(fixedWorth+workWorth*d.coreSeconds*jobCount[d.kind]/coreSeconds[d.kind], maxWorthFactor)
	}
}

// coresPerAccelerator is the weight of an accelerator in core-seconds of work.
const coresPerAccelerator = 8

// coreEquivalent returns the number of cores that a task of a step counts as.
func coreEquivalent(s job.Step) float64 {
	return float64(s.CPU)/1000 + coresPerAccelerator*float64(s.Accelerators)
}

// tasksPerWorker returns how many tasks of a step fit on an empty worker.
func (s Site) tasksPerWorker(st job.Step) int {
	n := s.MemoryMB / max(st.MemoryMB, 1)
	n = min(n, s.CPU/max(st.CPU, 1))
	if st.Accelerators > 0 {
		n = min(n, s.Accelerators/st.Accelerators)
	}
	if st.MaxPerWorker > 0 {
		n = min(n, st.MaxPerWorker)
	}
	return n
}
