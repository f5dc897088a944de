package planner

import (
	"time"

	"github.com/medlargrade/medlargrade/state/job"
)

// durationBuckets are the upper bounds of the buckets of duration histograms, in seconds.
// They range from half of maxPassInterval to a day.
var durationBuckets = []float64{0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 30, 60, 300, 1800, 7200, 28800, 86400}

func (p *Planner) count(name string) { p.settings.Metrics.GetOrCreateCounter(name).Inc() }

func (p *Planner) observeSeconds(name string, d time.Duration) {
	p.settings.Metrics.GetOrCreatePrometheusHistogramExt(name, durationBuckets).Update(d.Seconds())
}

// measureStart records how long an occurrence has waited for its first start.
func (p *Planner) measureStart(o *occurrence, now time.Time) {
	p.observeSeconds(`medlargrade_occurrence_start_wait_seconds`, now.Sub(o.releaseTime()))
}

// measureEnd counts an occurrence with its final state. If it has completed, its duration
// is recorded, and it counts as late if it has missed its objective.
func (p *Planner) measureEnd(o *occurrence, now time.Time) {
	p.count(`medlargrade_occurrences_ended_total{state="` + string(o.state) + `"}`)
	if o.state != job.Completed {
		return
	}
	elapsed := now.Sub(o.releaseTime())
	p.observeSeconds(`medlargrade_occurrence_duration_seconds`, elapsed)
	if elapsed > p.objective(o.job, p.kindOf(o.job)) {
		p.count(`medlargrade_occurrences_late_total`)
	}
}

// measureLoss adds to the counter of lost work, which has to be done again.
func (p *Planner) measureLoss(coreSeconds float64) {
	p.settings.Metrics.GetOrCreateFloatCounter(`medlargrade_lost_core_seconds_total`).Add(coreSeconds)
}
