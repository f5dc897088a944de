// Package interference finds classes of tasks that slow each other down on one worker, from the
// paces of their runs. It has no goroutines and no clock.
//
// The evidence for a pair of classes is the difference between the mean log pace of the runs of
// the one class that have the other beside them and of those that have not. Runs are compared
// within their step, whose tasks have similar work, and with their whole class if their step has
// no run without the neighbour. The effect of the worker is estimated from the runs on it that do
// not have the neighbour, and is subtracted, so that a slow worker is no evidence. Observations
// lose half of their weight every halfLife.
//
// Classes are not compared with themselves. While a verdict holds, the runs that it explains are
// left out of the evidence against other neighbours.
//
// # Usage
//
//	d := interference.New()
//	d.Observe(interference.Observation{Run: name, Step: step, Class: c, Worker: w, Log: logPace, Beside: others}, now)
//	if d.Due(now) {
//		for _, c := range d.Update(now) { // new and withdrawn verdicts
//			log(c)
//		}
//	}
//	if d.Harmful(c, other) {
//		// Prefer another worker.
//	}
package interference
