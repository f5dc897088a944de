// Package rowstest provides an in-memory rows.Store with faults, for tests.
//
// The fate of each write is decided by a function, so that a test can lose the
// answer of a chosen write, let it take effect late, or refuse it. Times are
// those of the runtime clock, so a Store works in a testing/synctest bubble.
//
// # Usage
//
//	store := rowstest.New()
//	store.SetWriteFate(func(writes []rows.Write) rowstest.Fate {
//		return rowstest.Fate{Kind: rowstest.LostAfter}
//	})
package rowstest
