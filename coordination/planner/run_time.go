package planner

import (
	"time"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/job"
)

// runTimeRatios holds the ratio of observed to declared run times by the name of the kind,
// without its workspace.
type runTimeRatios map[string]*meanRatio

// meanRatio is a moving average of samples.
type meanRatio struct {
	mean    float64
	samples int
}

// ratioWeight is the minimum weight of the latest sample in the mean.
const ratioWeight = 0.1

func (ratios runTimeRatios) observe(kind string, declared, actual time.Duration) {
	if declared <= 0 {
		return
	}
	r := ratios[kind]
	if r == nil {
		r = &meanRatio{}
		ratios[kind] = r
	}
	sample := float64(actual) / float64(declared)
	r.samples++
	r.mean += max(ratioWeight, 1/float64(r.samples)) * (sample - r.mean)
}

// defaultRunTime is the predicted run time of tasks that declare none.
const defaultRunTime = 5 * time.Second

// runTime predicts the run time of a task of a step on a healthy worker.
func (p *Planner) runTime(kind string, s *job.Step) time.Duration {
	d := s.Estimate()
	if d <= 0 {
		return defaultRunTime
	}
	if r := p.runTimeRatios[kind]; r != nil {
		// The declared run time counts as priorSamples samples with a ratio of 1, so that a
		// few observed ones change little.
		const priorSamples = 3
		m := (r.mean*float64(r.samples) + priorSamples) / (float64(r.samples) + priorSamples)
		return time.Duration(float64(d) * m)
	}
	return d
}

// objective returns the time within which a job should end: the predicted run time of its
// longest chain of dependent steps times the stretch of its kind, plus the constant
// objective of the kind.
func (p *Planner) objective(js *jobState, k *operator.Kind) time.Duration {
	chain := make([]time.Duration, len(js.job.Steps))
	longest := time.Duration(0)
	for i := range js.job.Steps {
		s := &js.job.Steps[i]
		for _, a := range s.After {
			chain[i] = max(chain[i], chain[a])
		}
		chain[i] += p.runTime(js.job.Kind, s)
		longest = max(longest, chain[i])
	}
	return time.Duration(k.Stretch()*float64(longest)) + k.Objective()
}
