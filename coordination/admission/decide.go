package admission

import (
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/job"
)

const (
	// lostAfter is the multiple of its objective after which a job is worth nothing, as in
	// package planner.
	lostAfter = 3
	// waitMargin is by how much the wait may be overestimated. It is a mean over many tasks,
	// whose declared times the planner has corrected by those observed.
	waitMargin = 1.5
	// timeMargin is by how much the declared times of a job may be wrong, in either
	// direction.
	timeMargin = 2.5
)

// Demand is what a decision needs to know about a job.
type Demand struct {
	ID        string
	Workspace string
	Queue     string
	Urgent    bool // of priority 0
	// First is the smallest number of accelerators with which the job could begin, and
	// Largest that of its largest unit.
	First, Largest int
	Guaranteed     bool          // every unit fits into the guarantee of the workspace
	Path           time.Duration // declared run time of the longest chain of steps; 0 if unknown
	Stretch        float64       // of the objective
	Constant       time.Duration // part of the objective
	Timed          bool          // the job does not start now, or has several occurrences
}

// NewDemand returns the demand of a job of a kind, whose workspace is guaranteed a number of
// accelerators.
func NewDemand(j job.Job, k operator.Kind, guaranteed int) Demand {
	d := Demand{
		ID: j.ID, Workspace: j.Workspace, Queue: k.Queue(), Urgent: k.Priority() == 0, First: -1,
		Stretch: k.Stretch(), Constant: k.Objective(), Timed: j.Times > 0,
	}
	chain := make([]time.Duration, len(j.Steps))
	known := true
	for i, s := range j.Steps {
		n := s.Accelerators
		if s.Gang || s.SameWorker {
			n *= s.Tasks
		}
		d.Largest = max(d.Largest, n)
		if len(s.After) == 0 && (d.First < 0 || n < d.First) {
			d.First = n
		}
		for _, a := range s.After {
			chain[i] = max(chain[i], chain[a])
		}
		chain[i] += s.Estimate()
		known = known && s.EstimateMillis > 0 && !s.LongRunning
		d.Path = max(d.Path, chain[i])
	}
	if !known {
		d.Path = 0
	}
	// As planner.countsAgainstGuarantee.
	claims := k.Workspace() == "" && k.Priority() == 0 || k.Workspace() != "" && k.Class() != operator.ClassFill
	d.Guaranteed = claims && d.Largest <= guaranteed
	return d
}

// lost returns the longest wait after which the job may still end before it is worth nothing,
// whatever its run time is within timeMargin, and false if it has no objective.
func (d Demand) lost() (time.Duration, bool) {
	if d.Path <= 0 || d.Stretch <= 0 {
		return 0, false
	}
	spare := func(path float64) time.Duration {
		return time.Duration((lostAfter*d.Stretch-1)*path) + lostAfter*d.Constant
	}
	path := float64(d.Path)
	return max(spare(path*timeMargin), spare(path/timeMargin)), true
}

// Reasons of verdicts, which metrics and log lines name.
const (
	ReasonAdmitted   = "Admitted"   // nothing speaks against the job
	ReasonUnknown    = "Unknown"    // the load is not known
	ReasonGuaranteed = "Guaranteed" // within a guarantee
	ReasonFree       = "Free"       // the capacity is free
	ReasonReturning  = "Returning"  // a caller that came back in its window
	ReasonTooLate    = "TooLate"    // refused: the job would end after it is worth nothing
)

// Verdict is the decision on one submission.
type Verdict struct {
	Refused    bool
	Reason     string        // one of the constants
	Wait       time.Duration // as predicted, without a margin
	Limit      time.Duration // longest wait after which the job can be of value
	RetryAfter time.Duration // of a refusal, at least a second
	Row        *Row          // by which the decision was made; nil if the load is not known
	RowAge     time.Duration
}

// Detail describes a refusal for its caller.
func (v Verdict) Detail() string {
	return fmt.Sprintf("the job can't be served in time: it would wait for %.0f s, and can be of value after %.0f s at most", v.Wait.Seconds(), v.Limit.Seconds())
}

// decide decides on a job that was first submitted before a time elapsed. It does not know
// whether the caller returns in its window.
func decide(d Demand, row *Row, storeNow, elapsed time.Duration) Verdict {
	admitted := func(reason string) Verdict { return Verdict{Reason: reason, Row: row} }
	limit, ok := d.lost()
	if d.Guaranteed {
		return admitted(ReasonGuaranteed)
	}
	if !ok || d.Timed {
		return admitted(ReasonAdmitted)
	}
	if row == nil {
		return admitted(ReasonUnknown)
	}
	age := storeNow - time.Duration(row.AtMillis)*time.Millisecond
	l, known := row.Kind(d.Queue)
	if age > MaxRowAge || age < -MaxRowAge || !known {
		return Verdict{Reason: ReasonUnknown}
	}
	v := Verdict{Row: row, RowAge: max(age, 0), Limit: max(limit-elapsed, 0)}
	v.Wait = time.Duration(l.WaitMillis[ClassOf(d.Largest)]) * time.Millisecond
	// What waited when the row was written may have been served since.
	certainWait := time.Duration(float64(max(v.Wait-v.RowAge, 0)) / waitMargin)
	switch {
	case d.First <= l.Free:
		v.Reason = ReasonFree
	case certainWait <= v.Limit:
		v.Reason = ReasonAdmitted
	default:
		v.Refused, v.Reason = true, ReasonTooLate
	}
	return v
}
