// Package rows defines the rows that the system keeps in the platform's table
// service, their keys, and the Store through which they are read and written.
//
// A write is conditional on the versions of all rows that it names and takes
// effect as a whole or not at all. Each written value carries a random Token,
// so that a writer whose answer was lost can read the row back and see whether
// its own write took effect.
//
// # Usage
//
//	row, err := store.Read(ctx, rows.TableJob, rows.JobKey(workspace, key))
//	if errors.Is(err, rows.ErrNotFound) {
//		...
//	}
//	err = store.Write(ctx, rows.Update(rows.TableJob, k, row.Version, value))
//	var lost *rows.LostAnswerError
//	if errors.As(err, &lost) {
//		// The write may have taken effect: read back and compare tokens.
//	}
package rows
