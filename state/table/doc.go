// Package table defines the interface to the platform's transactional store: rows
// in tables and parts, conditional transactions within one part, ordered range reads
// and a change feed.
//
// Rows carry the version of the transaction that wrote them. A transaction lists
// the row versions that it depends on and is atomic. Its errors distinguish three
// cases: a ConflictError means that a condition failed and nothing changed, an
// UnavailableError that the call failed and nothing changed, for example because the
// store rejected the call, and an OutcomeUnknownError that the call may have taken
// effect or may still do so.
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
