package interference

import "math"

// mean is a weighted mean.
type mean struct{ sum, weight float64 }

func (m mean) plus(v, weight float64) mean { return mean{m.sum + v*weight, m.weight + weight} }

func (m mean) value() float64 {
	if m.weight == 0 {
		return 0
	}
	return m.sum / m.weight
}

// baseline is what is known of the runs that do not have a neighbour beside them.
type baseline struct {
	steps          map[string]mean
	classes        map[Class]mean // of the means of the steps
	taskSquares    map[Class]mean // squared deviations within the steps
	allTaskSquares mean           // of all classes
	stepSquares    map[Class]mean // squared deviations of the steps from their class
	workers        map[string]workerEffect
}

// workerEffect is the estimated log speed of a worker that the predictions do not include.
type workerEffect struct{ log, variance float64 }

// variances returns the variances within the steps of a class and between them.
func (b *baseline) variances(c Class) (task, step float64) {
	t, s := b.taskSquares[c], b.stepSquares[c]
	all := (priorCount*priorTaskDeviation*priorTaskDeviation + b.allTaskSquares.sum) / (priorCount + b.allTaskSquares.weight)
	task = (priorCount*all + t.sum) / (priorCount + t.weight)
	step = (priorCount*priorStepDeviation*priorStepDeviation + s.sum) / (priorCount + s.weight)
	return task, step
}

func clip(v float64) float64 { return max(-maxDeviation, min(v, maxDeviation)) }

// baselineWithout derives the baseline from the runs of all classes but the neighbour, without
// those that verdicts explain.
func (d *Detector) baselineWithout(neighbour Class, verdicts map[pair]Verdict) *baseline {
	b := &baseline{
		steps: make(map[string]mean), classes: make(map[Class]mean), taskSquares: make(map[Class]mean),
		stepSquares: make(map[Class]mean), workers: make(map[string]workerEffect),
	}
	var base []*observation
	classOf := make(map[string]Class)
	for _, o := range d.observations {
		if o.Class != neighbour && !o.hasBeside(neighbour) && !explained(o, verdicts) {
			base = append(base, o)
			b.steps[o.Step] = b.steps[o.Step].plus(o.Log, o.weight)
			classOf[o.Step] = o.Class
		}
	}
	for step, m := range b.steps {
		b.classes[classOf[step]] = b.classes[classOf[step]].plus(m.value(), min(m.weight, 1))
	}
	for step, m := range b.steps {
		c := classOf[step]
		r := clip(m.value() - b.classes[c].value())
		b.stepSquares[c] = b.stepSquares[c].plus(r*r, min(m.weight, 1))
	}
	for _, o := range base {
		// The deviation from a mean that includes the observation itself is too small by its share.
		m, w := b.steps[o.Step], o.weight
		if rest := m.weight - w; rest > 0.1 {
			r := clip(o.Log - m.value())
			b.taskSquares[o.Class] = b.taskSquares[o.Class].plus(r*r*m.weight/rest, w*rest/m.weight)
			b.allTaskSquares = b.allTaskSquares.plus(r*r*m.weight/rest, w*rest/m.weight)
		}
	}
	workers := make(map[string]mean)
	for _, o := range base {
		m, w := b.steps[o.Step], o.weight
		task, step := b.variances(o.Class)
		if rest := m.weight - w; rest > 0.5 {
			others := (m.sum - o.Log*w) / rest
			workers[o.Worker] = workers[o.Worker].plus(clip(o.Log-others), w/(task*(1+1/rest)))
		} else {
			workers[o.Worker] = workers[o.Worker].plus(clip(o.Log-b.classes[o.Class].value()), w/(task+step))
		}
	}
	for name, m := range workers {
		m.weight += 1 / (workerDeviation * workerDeviation)
		b.workers[name] = workerEffect{m.value(), 1 / m.weight}
	}
	return b
}

// explained reports whether a verdict says that the run is slow because of what is beside it.
func explained(o *observation, verdicts map[pair]Verdict) bool {
	if len(verdicts) == 0 {
		return false
	}
	for _, c := range o.Beside {
		if _, ok := verdicts[pair{o.Class, c}]; ok {
			return true
		}
	}
	return false
}

// stepEvidence is the evidence of the runs of one step with the neighbour.
type stepEvidence struct {
	runs     []*observation
	variance float64 // of what they are compared with
	shared   bool    // they are compared with the class
	level    float64 // what they are compared with
}

// judge returns the verdict on a pair, if there is one. b is the baseline of the neighbour. The observations that verdicts explain
// are left out.
func (d *Detector) judge(q pair, b *baseline, verdicts map[pair]Verdict) (Verdict, bool) {
	task, step := b.variances(q.class)
	class := b.classes[q.class]
	if class.weight == 0 {
		return Verdict{}, false // never seen without the neighbour
	}
	steps := make(map[string]*stepEvidence)
	var order []*stepEvidence
	runs := 0
	for _, o := range d.observations {
		if o.Class != q.class || !o.hasBeside(q.beside) || explained(o, verdicts) {
			continue
		}
		s := steps[o.Step]
		if s == nil {
			s = &stepEvidence{level: class.value(), variance: step, shared: true}
			if m := b.steps[o.Step]; m.weight > 0 && task/m.weight < step {
				s.level, s.variance, s.shared = m.value(), task/m.weight, false
			}
			steps[o.Step] = s
			order = append(order, s)
		}
		s.runs = append(s.runs, o)
		runs++
	}
	if runs < minRuns {
		return Verdict{}, false
	}
	v := Verdict{Class: q.class, Beside: q.beside, Runs: runs}
	// Each run is weighted by the inverse of its variance, with its share of that of its step.
	var total mean
	byWorker := make(map[string]mean)
	for _, s := range order {
		for _, o := range s.runs {
			e, ok := b.workers[o.Worker]
			if !ok {
				e.variance = workerDeviation * workerDeviation
			}
			x := clip(o.Log - s.level - e.log)
			c := o.weight / (task + e.variance + s.variance*float64(len(s.runs)))
			total = total.plus(x, c)
			byWorker[o.Worker] = byWorker[o.Worker].plus(x, c)
		}
	}
	// The errors of a step, of a worker and of the class are shared by their runs.
	variance, sharedWeight := 0.0, 0.0
	for _, s := range order {
		inStep, age := 0.0, 0.0
		for _, o := range s.runs {
			e, ok := b.workers[o.Worker]
			if !ok {
				e.variance = workerDeviation * workerDeviation
			}
			w := o.weight
			c := w / (task + e.variance + s.variance*float64(len(s.runs))) / total.weight
			variance += c * c * task / w
			inStep += c
			age = max(age, w)
		}
		variance += inStep * inStep * s.variance / age
		if s.shared {
			sharedWeight += inStep
		}
	}
	for name, m := range byWorker {
		e, ok := b.workers[name]
		if !ok {
			e.variance = workerDeviation * workerDeviation
		}
		share := m.weight / total.weight
		variance += share * share * e.variance
		if m.value() < -math.Log(slowWorkerFactor) {
			v.Workers++
		}
	}
	variance += sharedWeight * sharedWeight * step / class.weight
	v.Score = -total.value() / math.Sqrt(variance)
	v.Factor = math.Exp(-total.value() * effectDeviation * effectDeviation / (effectDeviation*effectDeviation + variance))
	if _, ok := d.verdicts[q]; ok {
		return v, v.Score >= withdrawScore && v.Factor >= withdrawFactor
	}
	return v, v.Score >= verdictScore+classScore*sharedWeight && v.Factor >= minFactor && v.Workers >= minWorkers
}
