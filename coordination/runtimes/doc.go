// Package runtimes learns how long the work of each workspace and kind runs.
//
// Declared run times can be off by a factor of ten in either direction. A Book
// therefore learns two things from each ended task: its run time, and the ratio
// of its run time to the declared one. An estimate uses whichever has predicted
// better so far: the usual run time of the kind, or the declared time corrected
// by the usual ratio and limited to the range of run times seen. Without history
// the declared time is all there is.
//
// History is kept in two windows, of which the older one is dropped when the newer
// one is full, so that a kind that changes is relearned.
//
// A Book may be used concurrently. Times are passed as arguments and must come
// from one monotonic clock.
//
// # Usage
//
//	var b runtimes.Book
//	b.Observe("web", "render", declared, run, now)
//	e := b.Estimate("web", "render", declared)
//	end := now.Add(e.High)
//	if b.Straggler("web", "render", elapsed) {
//		demote()
//	}
package runtimes
