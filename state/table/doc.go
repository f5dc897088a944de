// Package table describes the platform's transactional store as the product uses
// it: rows in tables and parts, conditional transactions within one part, ordered
// reads and a feed of changes.
//
// Rows carry the version of the transaction that wrote them. A transaction names
// the versions that it depends on; it applies as a whole or not at all. Errors
// keep three cases apart: a ConflictError changed nothing because a condition
// failed, an UnavailableError changed nothing because the store did not take the
// call, and after a LostError the call may have taken effect or may still do so.
//
// # Usage
//
//	tx := table.Tx{Part: "0"}.
//		WithCondition("Jobs", id, 0).
//		WithWrite("Jobs", id, value)
//	commit, err := store.Commit(ctx, tx)
//	var conflict *table.ConflictError
//	if errors.As(err, &conflict) {
//		// Another process wrote the row first; conflict.Rows has it.
//	}
package table
