// Package configsync keeps the configuration that a process holds in step with
// the accepted one.
//
// An accepted configuration has a generation, one higher than its predecessor's.
// The head row of the platform's table service decides it: Apply writes the new
// head and the difference in one conditional write. Entries poll the head
// (EntrySync); targets learn of a higher generation from any message and fetch
// the differences from an entry (TargetSync). A process holds its configuration
// in a Holder, which never goes to a lower generation.
//
// A process that has just started knows nothing, so it is ready only after a
// read of the head row that began after its start: an entry reads it directly, a
// target asks an entry to read it. Learning from peers instead could revert a
// change that an entry acted on just before it died. A process that is ready
// keeps serving the generation it holds while the store is down.
//
// # Usage
//
// In an entry:
//
//	holder := new(configsync.Holder)
//	sync := configsync.NewEntrySync(store, holder, log)
//	go func() { defer wg.Done(); sync.Run(ctx) }()
//	if err := sync.WaitReady(ctx); err != nil {
//		return err
//	}
//	cfg := holder.Current().Config
//
// In a target process:
//
//	sync := configsync.NewTargetSync(holder, pool.Client, log)
//	sync.SetEntries(settings.Entries)
//	go func() { defer wg.Done(); sync.Run(ctx) }()
//	...
//	sync.Learn(reply.Generation, address) // with every message
//
// For operators:
//
//	generation, err := configsync.Apply(ctx, store, expected, cfg)
//	var race *configsync.RaceError
//	if errors.As(err, &race) {
//		// Another change was accepted first: review again.
//	}
package configsync
