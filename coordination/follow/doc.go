// Package follow replicates a table of the store into a process.
//
// A Follower reads the whole table once and then watches it for changes by long
// polling. The polls are short, so that a connection on which no replies arrive is
// detected within one poll. If the store no longer has the history since the last
// poll, the Follower reads the whole table again. It delivers whole tables and
// changes to the Sink in order, from one goroutine.
//
// # Usage
//
//	f := follow.New(store, follow.Settings{Table: job.TableJobs, Wait: 700 * time.Millisecond}, sink, log)
//	go f.Run(ctx)
//	if age, ok := f.Age(); !ok || age > 3*time.Second {
//		// The sink's data may be out of date.
//	}
package follow
