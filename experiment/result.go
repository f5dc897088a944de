package experiment

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/state/job"
)

// Result is the result of a run.
type Result struct {
	Kinds  []KindResult // in the order of the load
	Owed   float64      // worth of all jobs that were not cancelled
	Earned float64
	// Wasted is the number of core-seconds that stopped, broken and lost runs occupied,
	// less those that their checkpoints save. Failed runs are not counted. Cost is the
	// price of Wasted in worth.
	Wasted  float64
	Cost    float64
	Starts  int
	Stopped int // runs that were stopped by an order
	Refused int // starts that a worker refused for lack of capacity
	// WorstWindowsShare is the mean share of the owed worth that was earned, over the two
	// windows of submissions with the lowest shares.
	WorstWindowsShare float64
	Jobs              []JobResult // in the order of their submissions

	endTimes    map[string]time.Duration
	finalStates map[string]job.State
	startTimes  map[string]time.Duration
}

// KindResult is the result of the jobs of one kind. Its counts and sums leave out
// cancelled jobs.
type KindResult struct {
	Name      string
	Jobs      int
	OnTime    int // earned the full worth
	Late      int // earned part of it
	Unearned  int // earned nothing: ended after lateFactor times the objective, in the wrong state, or not at all
	Owed      float64
	Earned    float64
	Duration  time.Duration // mean time from submission to end of the jobs that ended; in Summary.total, the sum
	endedJobs int
}

// JobResult is the result of one job.
type JobResult struct {
	ID          string
	Kind        string
	CoreSeconds float64 // of all tasks
	Workspace   string
	SubmittedAt time.Duration // since the start of the run
	StartDelay  time.Duration // from submission to first start; -1 for none
	Objective   time.Duration
	Turnaround  time.Duration // from submission to end; -1 for none
	State       job.State
	Cancelled   bool
	Owed        float64
	Earned      float64
}

// Share returns the earned worth, less the cost of wasted work, as a share of the worth
// owed.
func (r Result) Share() float64 {
	if r.Owed == 0 {
		return 0
	}
	return (r.Earned - r.Cost) / r.Owed
}

// recordProgress records when a job first started and when and how it ended.
func (r *Result) recordProgress(d *simJob, pr job.Progress, now time.Duration) {
	if r.endTimes == nil {
		r.endTimes, r.finalStates = make(map[string]time.Duration), make(map[string]job.State)
		r.startTimes = make(map[string]time.Duration)
	}
	if _, ok := r.startTimes[d.job.ID]; !ok && pr.Begun {
		r.startTimes[d.job.ID] = now
	}
	if _, ok := r.endTimes[d.job.ID]; !ok && pr.State.Final() {
		r.endTimes[d.job.ID], r.finalStates[d.job.ID] = now, pr.State
	}
}

// A job that takes longer than lateFactor times its objective earns nothing.
const lateFactor = 3

// windowLength is the length of the windows of submissions in
// Result.WorstWindowsShare.
const windowLength = 2 * time.Second

func (r *Result) summarize(l Load, jobs map[string]*simJob) {
	byKind := make(map[string]*KindResult)
	for _, k := range l.Kinds {
		byKind[k.Name] = &KindResult{Name: k.Name}
	}
	list := make([]*simJob, 0, len(jobs))
	for _, d := range jobs {
		list = append(list, d)
	}
	slices.SortFunc(list, func(x, y *simJob) int { return cmp.Or(cmp.Compare(x.at, y.at), cmp.Compare(x.job.ID, y.job.ID)) })
	for _, d := range list {
		j := r.evaluate(d)
		r.Jobs = append(r.Jobs, j)
		k := byKind[d.kind.Name]
		if j.Cancelled {
			continue
		}
		k.Jobs++
		k.Owed += j.Owed
		k.Earned += j.Earned
		r.Owed += j.Owed
		r.Earned += j.Earned
		switch {
		case j.Earned == j.Owed:
			k.OnTime++
		case j.Earned > 0:
			k.Late++
		default:
			k.Unearned++
		}
		if j.Turnaround >= 0 {
			k.Duration += j.Turnaround
			k.endedJobs++
		}
	}
	for _, k := range l.Kinds {
		x := byKind[k.Name]
		if x.endedJobs > 0 {
			x.Duration /= time.Duration(x.endedJobs)
		}
		r.Kinds = append(r.Kinds, *x)
	}
	r.Cost = r.Wasted * l.Site.WastePrice
	r.WorstWindowsShare = worstWindows(r.Jobs)
}

// evaluate returns the result of a job. A job earns nothing if it failed although it can
// succeed, or the reverse.
func (r *Result) evaluate(d *simJob) JobResult {
	k := d.kind
	objective := time.Duration(k.Stretch*float64(d.criticalPath)) + millis(k.ObjectiveMillis)
	j := JobResult{
		ID: d.job.ID, Kind: k.Name, CoreSeconds: d.coreSeconds, Workspace: d.job.Workspace, SubmittedAt: d.at, StartDelay: -1, Turnaround: -1, Objective: objective, Owed: d.worth,
		Cancelled: d.cancelAfter > 0, State: r.finalStates[d.job.ID],
	}
	if at, ok := r.startTimes[d.job.ID]; ok {
		j.StartDelay = at - d.at
	}
	end, ended := r.endTimes[d.job.ID]
	if !ended {
		return j
	}
	j.Turnaround = end - d.at
	if d.alwaysFails != (j.State == job.Failed) {
		return j
	}
	switch {
	case j.Turnaround <= objective:
		j.Earned = d.worth
	case j.Turnaround <= lateFactor*objective:
		j.Earned = d.worth * k.LateWorth / k.Worth
	}
	return j
}

// worstWindows returns the mean share earned in the two worst windows of submissions.
func worstWindows(jobs []JobResult) float64 {
	owed, earned := make(map[time.Duration]float64), make(map[time.Duration]float64)
	for _, j := range jobs {
		if !j.Cancelled {
			owed[j.SubmittedAt/windowLength] += j.Owed
			earned[j.SubmittedAt/windowLength] += j.Earned
		}
	}
	shares := make([]float64, 0, len(owed))
	for w, o := range owed {
		shares = append(shares, earned[w]/o)
	}
	slices.Sort(shares)
	if len(shares) < 2 {
		return 0
	}
	return (shares[0] + shares[1]) / 2
}

// Summary adds up the results of several runs of a load. Its zero value is empty.
type Summary struct {
	Runs       int
	total      Result
	windowsSum float64
}

// Add adds the result of a run.
func (s *Summary) Add(r Result) {
	s.Runs++
	t := &s.total
	if t.Kinds == nil {
		t.Kinds = make([]KindResult, len(r.Kinds))
	}
	for i, k := range r.Kinds {
		x := &t.Kinds[i]
		x.Name = k.Name
		x.Jobs, x.OnTime, x.Late, x.Unearned = x.Jobs+k.Jobs, x.OnTime+k.OnTime, x.Late+k.Late, x.Unearned+k.Unearned
		x.Owed, x.Earned = x.Owed+k.Owed, x.Earned+k.Earned
		x.Duration += k.Duration * time.Duration(k.endedJobs)
		x.endedJobs += k.endedJobs
	}
	t.Owed, t.Earned, t.Wasted, t.Cost = t.Owed+r.Owed, t.Earned+r.Earned, t.Wasted+r.Wasted, t.Cost+r.Cost
	t.Starts, t.Stopped, t.Refused = t.Starts+r.Starts, t.Stopped+r.Stopped, t.Refused+r.Refused
	s.windowsSum += r.WorstWindowsShare
}

// Share is like Result.Share, over all runs.
func (s *Summary) Share() float64 { return s.total.Share() }

// Waste returns the core-seconds of work wasted in all runs.
func (s *Summary) Waste() float64 { return s.total.Wasted }

// Line returns a one-line summary over all kinds.
func (s *Summary) Line() string {
	t, runs := s.total, float64(max(s.Runs, 1))
	return fmt.Sprintf("%.3f earned, %.3f lost by waste, %.3f left; worst windows %.3f; a run: %.0f core-seconds wasted, %.0f starts, %.1f stops, %.1f refusals",
		t.Earned/t.Owed, t.Cost/t.Owed, t.Share(), s.windowsSum/runs, t.Wasted/runs, float64(t.Starts)/runs, float64(t.Stopped)/runs, float64(t.Refused)/runs)
}

// String returns the line of the summary and one line for each kind.
func (s *Summary) String() string {
	var b strings.Builder
	t := s.total
	fmt.Fprintf(&b, "%d runs: %s\n", s.Runs, s.Line())
	for _, k := range t.Kinds {
		mean := time.Duration(0)
		if k.endedJobs > 0 {
			mean = k.Duration / time.Duration(k.endedJobs)
		}
		fmt.Fprintf(&b, "%-16s %5d jobs: %4.1f%% on time, %4.1f%% late, %4.1f%% over; %.3f of the worth; mean time %v\n", k.Name, k.Jobs,
			100*float64(k.OnTime)/float64(k.Jobs), 100*float64(k.Late)/float64(k.Jobs), 100*float64(k.Unearned)/float64(k.Jobs), k.Earned/k.Owed, mean.Round(time.Millisecond))
	}
	return b.String()
}
