package planner

import (
	"time"

	"github.com/medlargrade/medlargrade/state/job"
)

// durationBuckets are the bounds of histograms of waits and run times, in seconds: from a
// pass of the planner to a day.
var durationBuckets = []float64{0.1, 0.25, 0.5, 1, 2, 4, 8, 16, 30, 60, 300, 1800, 7200, 28800, 86400}

func (p *Planner) count(name string) { p.cfg.Metrics.GetOrCreateCounter(name).Inc() }

func (p *Planner) observeSeconds(name string, d time.Duration) {
	p.cfg.Metrics.GetOrCreatePrometheusHistogramExt(name, durationBuckets).Update(d.Seconds())
}

// measureStart takes the first start of an occurrence.
func (p *Planner) measureStart(o *occurrence, now time.Time) {
	p.observeSeconds(`medlargrade_occurrence_start_wait_seconds`, now.Sub(o.releaseTime()))
}

// measureEnd takes the final state of an occurrence.
func (p *Planner) measureEnd(o *occurrence, now time.Time) {
	p.count(`medlargrade_occurrences_ended_total{state="` + string(o.state) + `"}`)
	if o.state != job.Completed {
		return
	}
	took := now.Sub(o.releaseTime())
	p.observeSeconds(`medlargrade_occurrence_duration_seconds`, took)
	if took > p.objective(o.job, p.kind(o.job)) {
		p.count(`medlargrade_occurrences_late_total`)
	}
}

// measureLoss adds work that has to be done again.
func (p *Planner) measureLoss(coreSeconds float64) {
	p.cfg.Metrics.GetOrCreateFloatCounter(`medlargrade_lost_core_seconds_total`).Add(coreSeconds)
}
