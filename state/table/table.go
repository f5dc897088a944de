package table

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"
)

// Limits of one call to the store.
const (
	// MaxEntries is the maximum number of conditions, writes and deletions in one
	// transaction, as set by the platform's protocol.
	MaxEntries = 100
	// MaxTxBytes is the maximum total size of the values in one transaction. The
	// platform allows 1 MB for the encoded call, in which base64 makes values
	// larger by a third.
	MaxTxBytes = 700_000
	// MaxValueBytes is the maximum size of the value of a row, as set by the platform.
	MaxValueBytes = 64 << 10
)

// Row is one row of the store.
type Row struct {
	Table   string
	Part    string
	Key     string
	Value   []byte
	Version uint64 // of the transaction that wrote the row; never zero
	Deleted bool   // set only in the rows of Changes
}

// Condition requires that a row has the given version; version 0 requires that it
// does not exist.
type Condition struct {
	Table   string
	Key     string
	Version uint64
}

// Write sets the value of a row, which it creates if necessary.
type Write struct {
	Table string
	Key   string
	Value []byte
}

// Deletion removes a row.
type Deletion struct {
	Table string
	Key   string
}

// Tx is a conditional transaction within one part. Each With method leaves its
// receiver unchanged and returns a modified copy.
type Tx struct {
	Part       string
	Conditions []Condition
	Writes     []Write
	Deletions  []Deletion
}

// WithCondition returns a copy of t with the additional condition that the row has
// the given version.
func (t Tx) WithCondition(table, key string, version uint64) Tx {
	t.Conditions = append(slices.Clip(t.Conditions), Condition{table, key, version})
	return t
}

// WithWrite returns a copy of t that also writes the row.
func (t Tx) WithWrite(table, key string, value []byte) Tx {
	t.Writes = append(slices.Clip(t.Writes), Write{table, key, value})
	return t
}

// WithDeletion returns a copy of t that also removes the row.
func (t Tx) WithDeletion(table, key string) Tx {
	t.Deletions = append(slices.Clip(t.Deletions), Deletion{table, key})
	return t
}

// Entries returns the total number of conditions, writes and deletions. It is
// limited by MaxEntries.
func (t Tx) Entries() int { return len(t.Conditions) + len(t.Writes) + len(t.Deletions) }

// Commit is the reply to a transaction that took effect.
type Commit struct {
	Version uint64        // of all rows that it wrote
	Now     time.Duration // the store's monotonic clock
}

// Range selects the rows of one part of a table whose keys are in the half-open
// interval from From to To. An empty From or To leaves that end unbounded.
type Range struct {
	Table string
	Part  string
	From  string
	To    string
	Limit int // rows per page; 0 for the store's limit
}

// Page is the reply to a read: a consistent snapshot of rows in key order.
type Page struct {
	Rows    []Row
	More    bool          // the range has more rows after these
	Version uint64        // newest version of the store
	Now     time.Duration // the store's monotonic clock
}

// Changes is the reply to a watch: the newest state of each row that changed, in
// version order.
type Changes struct {
	Rows    []Row
	Version uint64 // after which the next watch continues
	Now     time.Duration
}

// Store is the platform's transactional store. Its methods are safe for
// concurrent use. A read observes every transaction that was acknowledged before
// the read began.
type Store interface {
	Commit(ctx context.Context, tx Tx) (Commit, error)
	Read(ctx context.Context, r Range) (Page, error)
	// Watch returns the changes to a table, in all its parts, after a version. If
	// there are none, it waits for one for up to the given time. It returns
	// ErrHistoryLost if the store no longer has all changes since that version.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// Objects is the platform's object store. Its methods are safe for concurrent use.
// Their error types are those of Store.
type Objects interface {
	// PutObject stores an object. Objects are immutable: a second PutObject under
	// the same key succeeds without an effect, also with another body.
	PutObject(ctx context.Context, key string, body []byte) error
	// GetObject returns an object, or ErrNoObject.
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// ErrNoObject reports an object that does not exist.
var ErrNoObject = errors.New("no such object")

// ErrHistoryLost reports that the store no longer has all changes since the version
// from which a watch should continue. The caller must read the whole table again.
var ErrHistoryLost = errors.New("the store no longer has the changes since this version")

// ErrOverloaded is the cause of an UnavailableError if the store rejected the call
// because too many others are waiting. A later call may succeed.
var ErrOverloaded = errors.New("too many calls wait")

// ErrRejected is the cause of an UnavailableError if the store rejected the call as invalid,
// for example because a value is too long. Repeating the call would have the same result.
var ErrRejected = errors.New("the store rejects the call as invalid")

// ConflictError reports a transaction that was not applied because a condition
// failed.
type ConflictError struct {
	Rows []Row // current rows of all conditions, without rows that don't exist
}

func (e *ConflictError) Error() string { return "a row has another version" }

// Row returns the current row of a condition. If the row does not exist, Row returns
// one with version 0.
func (e *ConflictError) Row(table, key string) Row {
	for _, r := range e.Rows {
		if r.Table == table && r.Key == key {
			return r
		}
	}
	return Row{Table: table, Key: key}
}

// UnavailableError reports a failed call that is known to have changed nothing.
type UnavailableError struct {
	Err error
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("store unavailable: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// OutcomeUnknownError reports a call whose outcome is unknown: it may have taken
// effect, or may still do so.
type OutcomeUnknownError struct {
	Err error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("answer of the store lost: %v", e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// ReadAll returns all rows of a range. It reads page by page until there are no more
// rows; r.Limit is the size of a page and does not bound the result.
func ReadAll(ctx context.Context, s Store, r Range) (Page, error) {
	return ReadUpTo(ctx, s.Read, r, 0)
}

// ReadUpTo returns the first maxRows rows of a range, or all of them if maxRows is 0. It
// calls read for each page; r.Limit is the size of a page and does not bound the result.
// More reports whether the range may have more rows.
func ReadUpTo(ctx context.Context, read func(context.Context, Range) (Page, error), r Range, maxRows int) (Page, error) {
	var all Page
	for {
		p, err := read(ctx, r)
		if err != nil {
			return Page{}, err
		}
		if all.Version == 0 {
			// Pages may be from different versions. A watch from the version of the
			// first page reports every change that a later page may have missed.
			all.Version = p.Version
		}
		all.Rows = append(all.Rows, p.Rows...)
		all.Now = p.Now
		if maxRows > 0 && len(all.Rows) >= maxRows {
			all.More = p.More || len(all.Rows) > maxRows
			all.Rows = all.Rows[:maxRows]
			return all, nil
		}
		if !p.More || len(p.Rows) == 0 {
			return all, nil
		}
		// A key with a zero byte appended is the next key in order.
		r.From = p.Rows[len(p.Rows)-1].Key + "\x00"
	}
}
