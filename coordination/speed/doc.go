// Package speed learns how fast the workers of a site are, relative to each other, from the
// progress and the run times of the tasks on them. It has no goroutines and no clock.
//
// Each run gives the time that its whole task takes at the speed of its worker. The tasks of
// one step have similar work, so the runs of a step on several workers show which of these are
// slow, whatever run time was declared. A step on a single worker is compared with the declared
// run time, which the learner trusts as far as the declarations of the kind have been right.
// The speeds are fitted to all steps of the last minute, and evidence from before that loses
// half of its weight every baseHalfLife.
//
// While the differences can be due to chance, the site counts as even and every speed is 1.
//
// The members of a gang may report their own progress or that of the gang as a whole, which is
// that of its slowest member. If all members of a gang on several workers progress alike, the
// learner attributes the pace to the workers that are slowest by its other evidence.
//
// # Usage
//
//	l := speed.New()
//	w := l.Worker("target-1")
//	s := l.NewStep("kind", declaredRunTime, isGang)
//	s.Observe(0, w, taskTime, percent, now) // for each run, again as it progresses
//	if l.Due(now) {
//		l.Update(now)
//	}
//	if l.Uneven() {
//		predicted := time.Duration(float64(runTime) / w.Speed())
//	}
package speed
