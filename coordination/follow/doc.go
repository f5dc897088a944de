// Package follow keeps a process in step with a table of the store.
//
// A Follower reads the table once and then watches it for changes with short long
// polls, so that a connection that has gone silent is noticed within one poll. If
// the store has dropped the history that it needs, it reads the table again. The
// sink gets whole tables and changes from one goroutine, in order.
//
// # Usage
//
//	f := follow.New(store, follow.Settings{Table: "op", Wait: 700 * time.Millisecond}, sink, log)
//	go f.Run(ctx)
//	if f.Age() > 3*time.Second {
//		// What the sink has may be out of date.
//	}
package follow
