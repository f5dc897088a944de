package contention

import "time"

const (
	// waitPart is the part of its slack for which a unit waits for a run to end. The rest
	// covers a wrong prediction.
	waitPart = 0.5
	// repeatFactor is the weight of the work of a victim that was stopped before.
	repeatFactor = 4
	// onTimeLossFactor and lateLossFactor bound the work that may be lost for a unit beyond a
	// guarantee, as multiples of its own work, if it can still end within its objective
	// or only later. A job that ends late is worth about a quarter of one that ends in time. A factor of 1 for units on time made more
	// short gangs late and lost as much work.
	onTimeLossFactor = 2
	lateLossFactor   = 0.5
)

// WaitForEnd returns how long a unit waits for a run to end instead of stopping it. A stop
// takes effect after stopTime, and a claim is given up extra after that; half of
// extra is left for the prediction to be wrong.
func WaitForEnd(slack, stopTime, extra time.Duration) time.Duration {
	return max(min(time.Duration(waitPart*float64(slack)), stopTime+extra/2), 0)
}

// RepeatPenalty returns what is added to the loss of a victim that was stopped a number of times, given
// the core-seconds that its run needs again.
func RepeatPenalty(times int, coreSeconds float64) float64 {
	return repeatFactor * float64(times) * coreSeconds
}

// LossFactor returns the multiple of its own work that may be lost for a unit that is still on
// time, or late.
func LossFactor(onTime bool) float64 {
	if onTime {
		return onTimeLossFactor
	}
	return lateLossFactor
}
