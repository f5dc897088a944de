// Package membership lets the entries know each other through rows of the
// platform's table service.
//
// Each entry runs a Beater, which writes its row Entry/<name> every 3 s with a
// growing beat. Each entry also runs an Observer, which scans the rows and
// reports an entry as silent once its row has not changed for 10 s. Clocks of
// different processes are never compared: an observer measures on its own clock
// how long a row stays the same, and counts only time during which beats could
// have been seen.
//
// A silent entry may be paused rather than dead. Whoever takes over its work
// must do so through conditional writes, which the paused entry's own writes
// then fail.
//
// # Usage
//
//	beater := membership.NewBeater(store, name, address, incarnation, log)
//	observer := membership.NewObserver(store, beater, log)
//	go func() { defer wg.Done(); errs <- beater.Run(ctx) }()
//	go func() { defer wg.Done(); observer.Run(ctx) }()
//	for {
//		changed := observer.Changed()
//		for _, m := range observer.Silent() {
//			adopt(ctx, m.Name)
//			observer.Remove(ctx, m)
//		}
//		...
//	}
package membership
