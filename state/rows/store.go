package rows

import (
	"context"
	"errors"
	"fmt"
	"strings"
)

// Store is the platform's table service and object store.
//
// Methods are safe for concurrent use. Read and Scan observe every write that
// was acknowledged before the call started.
type Store interface {
	// Read returns one row, or ErrNotFound.
	Read(ctx context.Context, table, key string) (Row, error)
	// Scan returns up to limit rows whose keys have the prefix and come after
	// the key after, in key order.
	Scan(ctx context.Context, table, prefix, after string, limit int) ([]Row, error)
	// Write applies all writes or none. It returns a *ConflictError if a
	// condition failed, an *UnavailableError if the writes are known to have no
	// effect, and a *LostAnswerError if they may have taken effect.
	Write(ctx context.Context, writes ...Write) error
	// ReadObject returns a whole object, or ErrNotFound.
	ReadObject(ctx context.Context, key string) ([]byte, error)
	// WriteObject stores an object. Objects are immutable: writing the same key
	// again with the same body succeeds, with another body is a *ConflictError.
	WriteObject(ctx context.Context, key string, body []byte) error
}

// Row is one row of a table.
type Row struct {
	Key     string
	Version uint64 // grows with each write of the row; never zero
	Value   []byte
}

// Write is one conditional write.
type Write struct {
	Table     string
	Key       string
	IfVersion uint64 // 0 demands that the row is absent
	Value     []byte
	Delete    bool
}

// Insert returns a write that creates a row and fails if it exists.
func Insert(table, key string, value []byte) Write {
	return Write{Table: table, Key: key, Value: value}
}

// Update returns a write that replaces the row of the given version.
func Update(table, key string, version uint64, value []byte) Write {
	return Write{Table: table, Key: key, IfVersion: version, Value: value}
}

// Delete returns a write that removes the row of the given version.
func Delete(table, key string, version uint64) Write {
	return Write{Table: table, Key: key, IfVersion: version, Delete: true}
}

// ErrNotFound reports a row or object that does not exist.
var ErrNotFound = errors.New("not found")

// ConflictError reports a conditional write that had no effect because at least
// one row had another version.
type ConflictError struct {
	Keys []string // table and key of the rows in conflict
}

func (e *ConflictError) Error() string {
	return "conflict on " + strings.Join(e.Keys, ", ")
}

// UnavailableError reports an operation that is known to have had no effect.
type UnavailableError struct {
	Err error
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("store unavailable: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// LostAnswerError reports a write that may have taken effect.
type LostAnswerError struct {
	Err error
}

func (e *LostAnswerError) Error() string { return fmt.Sprintf("answer of the store lost: %v", e.Err) }

// Unwrap returns the cause.
func (e *LostAnswerError) Unwrap() error { return e.Err }
