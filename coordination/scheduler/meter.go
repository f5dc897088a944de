package scheduler

import (
	"fmt"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
)

// meter measures what operators watch: completion time, fragmentation, service
// during a demand swing and the wait of short work.
type meter struct {
	reg *metrics.Set
}

func newMeter(reg *metrics.Set, s *Scheduler) *meter {
	reg.NewGauge("medlargrade_free_slots", func() float64 { return s.plan.freeSlots() })
	reg.NewGauge("medlargrade_fragmentation_ratio", func() float64 { return s.plan.fragmentation() })
	reg.NewGauge("medlargrade_queue_length", func() float64 { return float64(s.plan.queue.Len("")) })
	reg.NewGauge("medlargrade_config_generation", func() float64 { return float64(s.generation()) })
	return &meter{reg: reg}
}

// waited records the time from the submission of an attempt to its dispatch. For
// short work this is the head-of-line wait.
func (m *meter) waited(w *waiter, d time.Duration) {
	m.reg.GetOrCreateHistogram(fmt.Sprintf(`medlargrade_wait_seconds{class=%q}`, w.run.spec.class)).Update(d.Seconds())
}

// refused counts requests that were turned away.
func (m *meter) refused(r outcome.Reason) {
	m.reg.GetOrCreateCounter(fmt.Sprintf(`medlargrade_refused_total{reason=%q}`, r)).Inc()
}

// ended records the outcome and the completion time of a job.
func (m *meter) ended(r *run, out outcome.Outcome) {
	name := "Unknown"
	switch out.(type) {
	case outcome.Ran:
		name = "Ran"
		m.reg.GetOrCreateHistogram(fmt.Sprintf(`medlargrade_completion_seconds{workspace=%q,kind=%q}`,
			r.spec.request.Workspace, r.spec.request.Kind)).Update(time.Since(r.job.Created()).Seconds())
	case outcome.NotRun:
		name = "NotRun"
	case outcome.Unknown:
	}
	m.reg.GetOrCreateCounter(fmt.Sprintf(`medlargrade_outcomes_total{outcome=%q,class=%q}`, name, r.spec.class)).Inc()
}

func (p *planner) freeSlots() float64 {
	n := 0
	for _, t := range p.view.Live(time.Now()) {
		if t.Accepts() {
			n += t.Free
		}
	}
	return float64(n)
}

// fragmentation is the share of free slots that can't serve a gang of two whole
// workers of one rack.
func (p *planner) fragmentation() float64 {
	ps := p.newPass(time.Now())
	cfg := p.s.peers.Config.Current().Config
	shape := operator.NewShape(2, cfg.Site().SlotsPerWorker()).WithAdjacency(operator.AdjacentRack)
	return ps.site.Fragmentation(shape)
}
