// Package dayreport counts what the logs of a site say of a period: how jobs of each kind
// fared, what waited and why, which work was thrown away by which decisions, and how the
// planner was loaded over time.
//
// # Usage
//
//	r := dayreport.New(lines) // of eventlog.ReadFiles, in order of time
//	err := r.WriteHTML(w)
package dayreport

import (
	"cmp"
	"maps"
	"regexp"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/intake"
	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/coordination/shard"
	"github.com/medlargrade/medlargrade/eventlog"
	"github.com/medlargrade/medlargrade/transport/stdout"
)

// Report is what logs say of a period.
type Report struct {
	Begin, End time.Time // of the first and the last line
	Lines      int
	Dropped    int // lines that processes have left out of their logs

	Kinds  []Kind  // by name
	Lost   []Loss  // largest first
	Waits  []Count // causes of waits, most frequent first
	Claims []Claim // preemptions, largest loss first
	Shards []Event // changes of planner and what led to them, in order of time
	States []State // of the shard, in order of time
}

// Kind counts the jobs of a kind.
type Kind struct {
	Name      string
	Jobs      int
	Tasks     int
	Ended     map[string]int  // occurrences by final state
	InTime    int             // completed occurrences that met their objective
	Waits     []time.Duration // from a job's acceptance by a planner to its first start, ascending
	Durations []time.Duration // of completed occurrences, ascending
	Lost      float64         // core-seconds
}

// Loss counts the runs that ended in one way without completing their task.
type Loss struct {
	How         string // how the run ended
	Reason      string // why it was stopped; empty if it was not
	Runs        int
	CoreSeconds float64
}

// Count is a number of occurrences of something.
type Count struct {
	Name string
	N    int
}

// Claim counts the preemptions for jobs of a kind.
type Claim struct {
	Kind       string
	Guaranteed bool
	N          int
	Victims    int
	Loss       float64 // predicted, in core-seconds
}

// Event is a line of the log for the time line.
type Event struct {
	Time    time.Time
	Process string
	Number  int
	Text    string
}

// State is the state of the shard in a line of shard.EventShardState.
type State struct {
	Time                                     time.Time
	Waiting, Late                            []int
	Running, Stops, Claims                   int
	Accelerators, Free, Stopping, Claimed    int
	Targets, Accepting, Disconnected, Paused int
	Passes, Commits                          int
	LongestPass, LongestCommit, OldestAnswer float64 // milliseconds
}

// New returns the report on lines, which must be in order of time.
func New(lines []eventlog.Line) *Report {
	b := builder{
		report: &Report{Lines: len(lines)}, kinds: make(map[string]*Kind), jobs: make(map[string]*jobLines),
		lost: make(map[lossKey]*Loss), waits: make(map[string]int), claims: make(map[claimKey]*Claim), reasons: make(map[runKey]string),
	}
	for _, l := range lines {
		b.add(l)
	}
	return b.finish(lines)
}

type (
	lossKey  struct{ how, reason string }
	claimKey struct {
		kind       string
		guaranteed bool
	}
	runKey struct {
		task string
		run  int
	}
)

// jobLines is what the lines so far say of a job.
type jobLines struct {
	kind    *Kind
	addedAt time.Time
	started bool
}

// builder collects the counts of a report.
type builder struct {
	report  *Report
	kinds   map[string]*Kind
	jobs    map[string]*jobLines
	lost    map[lossKey]*Loss
	waits   map[string]int
	claims  map[claimKey]*Claim
	reasons map[runKey]string // of stops
}

// jobIDs matches the ID of a job in a reason.
var jobIDs = regexp.MustCompile(`[0-9a-f]{16}`)

func (b *builder) add(l eventlog.Line) {
	switch l.Event {
	case planner.EventJobAdded:
		b.addJob(l)
	case planner.EventRunPlanned:
		if j := b.jobs[l.JobID()]; j != nil && !j.started {
			j.started = true
			j.kind.Waits = append(j.kind.Waits, l.Time.Sub(j.addedAt))
		}
	case planner.EventJobEnded:
		b.endJob(l)
	case planner.EventUnitWaits:
		var f struct{ Reason string }
		l.Decode(&f)
		b.waits[f.Reason]++
	case planner.EventRunStopped, planner.EventRunEnded, planner.EventRunLost:
		b.endRun(l)
	case planner.EventClaim:
		b.addClaim(l)
	case shard.EventShardState:
		s := State{Time: l.Time}
		l.Decode(&s)
		s.Time = l.Time
		b.report.States = append(b.report.States, s)
	case shard.EventTakeOver, shard.EventOwned, shard.EventOwnershipEnded, shard.EventTakeOverAsked, shard.EventTargetLapsed,
		shard.EventCommitFailed, shard.EventPanicked, intake.EventStoreSilent, intake.EventStoreBack:
		b.report.Shards = append(b.report.Shards, Event{l.Time, l.Process, l.Event, string(l.Text)})
	case stdout.EventLinesLeftOut:
		var f struct{ BeyondBudget, QueueFull, WriteFailed int }
		l.Decode(&f)
		b.report.Dropped += f.BeyondBudget + f.QueueFull + f.WriteFailed
	}
}

func (b *builder) kind(name string) *Kind {
	k := b.kinds[name]
	if k == nil {
		k = &Kind{Name: name, Ended: make(map[string]int)}
		b.kinds[name] = k
	}
	return k
}

// addJob counts a job when the first planner adds it.
func (b *builder) addJob(l eventlog.Line) {
	if b.jobs[l.Job] != nil {
		return
	}
	var f struct {
		Kind  string
		Tasks int
	}
	l.Decode(&f)
	k := b.kind(f.Kind)
	k.Jobs++
	k.Tasks += f.Tasks
	b.jobs[l.Job] = &jobLines{kind: k, addedAt: l.Time}
}

func (b *builder) endJob(l eventlog.Line) {
	j := b.jobs[l.Job]
	if j == nil {
		return
	}
	var f struct {
		State     string
		Since     float64 // milliseconds
		Objective float64 // milliseconds
	}
	l.Decode(&f)
	j.kind.Ended[f.State]++
	if f.State == "completed" {
		if f.Since <= f.Objective {
			j.kind.InTime++
		}
		j.kind.Durations = append(j.kind.Durations, time.Duration(f.Since*float64(time.Millisecond)))
	}
}

func (b *builder) endRun(l eventlog.Line) {
	var f struct {
		Run             int
		How             string
		Reason          string
		LostCoreSeconds float64
	}
	l.Decode(&f)
	run := runKey{l.Task, f.Run}
	reason := jobIDs.ReplaceAllString(b.reasons[run], "JOB")
	switch {
	case l.Event == planner.EventRunStopped:
		b.reasons[run] = f.Reason
		return
	case f.How == "done":
		return
	case l.Event == planner.EventRunLost:
		f.How = "lost: " + f.Reason
	}
	key := lossKey{f.How, reason}
	if b.lost[key] == nil {
		b.lost[key] = &Loss{How: f.How, Reason: reason}
	}
	b.lost[key].Runs++
	b.lost[key].CoreSeconds += f.LostCoreSeconds
	if j := b.jobs[l.JobID()]; j != nil {
		j.kind.Lost += f.LostCoreSeconds
	}
}

func (b *builder) addClaim(l eventlog.Line) {
	var f struct {
		Guaranteed bool
		Victims    int
		Loss       float64
	}
	l.Decode(&f)
	key := claimKey{guaranteed: f.Guaranteed}
	if j := b.jobs[l.Job]; j != nil {
		key.kind = j.kind.Name
	}
	if b.claims[key] == nil {
		b.claims[key] = &Claim{Kind: key.kind, Guaranteed: key.guaranteed}
	}
	c := b.claims[key]
	c.N++
	c.Victims += f.Victims
	c.Loss += f.Loss
}

// finish sorts the counts and returns the report.
func (b *builder) finish(lines []eventlog.Line) *Report {
	r := b.report
	if len(lines) > 0 {
		r.Begin, r.End = lines[0].Time, lines[len(lines)-1].Time
	}
	for _, name := range slices.Sorted(maps.Keys(b.kinds)) {
		k := b.kinds[name]
		slices.Sort(k.Waits)
		slices.Sort(k.Durations)
		r.Kinds = append(r.Kinds, *k)
	}
	for _, l := range b.lost {
		r.Lost = append(r.Lost, *l)
	}
	slices.SortFunc(r.Lost, func(x, y Loss) int {
		return cmp.Or(cmp.Compare(y.CoreSeconds, x.CoreSeconds), cmp.Compare(x.How, y.How), cmp.Compare(x.Reason, y.Reason))
	})
	for name, n := range b.waits {
		r.Waits = append(r.Waits, Count{name, n})
	}
	slices.SortFunc(r.Waits, func(x, y Count) int { return cmp.Or(cmp.Compare(y.N, x.N), cmp.Compare(x.Name, y.Name)) })
	for _, c := range b.claims {
		r.Claims = append(r.Claims, *c)
	}
	slices.SortFunc(r.Claims, func(x, y Claim) int { return cmp.Or(cmp.Compare(y.Loss, x.Loss), cmp.Compare(x.Kind, y.Kind)) })
	return r
}

// Quantile returns the value below which the given share of ascending durations lies, or 0 if
// there are none.
func Quantile(sorted []time.Duration, share float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(share*float64(len(sorted))), len(sorted)-1)]
}
