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
	// MaxEntries is the number of conditions, writes and deletions of one
	// transaction. Source: the platform's protocol.
	MaxEntries = 100
	// MaxTxBytes is the size of the values of one transaction. The platform
	// allows 1 MB for the encoded call, in which values grow by a third.
	MaxTxBytes = 700_000
)

// Row is one row of the store.
type Row struct {
	Table   string
	Part    string
	Key     string
	Value   []byte
	Version uint64 // of the transaction that wrote the row; never zero
	Deleted bool   // set only in changes
}

// Condition demands that a row has a version; 0 demands that it does not exist.
type Condition struct {
	Table   string
	Key     string
	Version uint64
}

// Write replaces the value of a row.
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

// Tx is a conditional transaction within one part. It is immutable: each With
// method returns a changed copy.
type Tx struct {
	Part       string
	Conditions []Condition
	Writes     []Write
	Deletions  []Deletion
}

// WithCondition returns a copy of t that applies only if the row has the version.
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

// Entries returns the number of conditions, writes and deletions.
func (t Tx) Entries() int { return len(t.Conditions) + len(t.Writes) + len(t.Deletions) }

// Commit is the reply to a transaction that took effect.
type Commit struct {
	Version uint64        // of all rows that it wrote
	Now     time.Duration // the store's steady clock
}

// Range selects rows of one part of a table by key, From included and To
// excluded. An empty bound is open.
type Range struct {
	Table string
	Part  string
	From  string
	To    string
	Limit int // 0 for the store's limit
}

// Page is the reply to a read: rows in key order, all as of one moment.
type Page struct {
	Rows    []Row
	More    bool          // the range has more rows after these
	Version uint64        // newest version of the store
	Now     time.Duration // the store's steady clock
}

// Changes is the reply to a watch: the newest state of the rows that changed, in
// the order of their versions.
type Changes struct {
	Rows    []Row
	Version uint64 // where the next watch continues
	Now     time.Duration
}

// Store is the platform's transactional store. Its methods are safe for
// concurrent use. A read observes every transaction that was acknowledged before
// it began.
type Store interface {
	Commit(ctx context.Context, tx Tx) (Commit, error)
	Read(ctx context.Context, r Range) (Page, error)
	// Watch returns the changes of a table, in all its parts, after a version. It
	// waits up to the given time for one. It returns ErrHistoryLost if the store
	// no longer has all changes since that version.
	Watch(ctx context.Context, table string, after uint64, wait time.Duration) (Changes, error)
}

// Objects is the platform's store of objects. Its methods are safe for concurrent
// use. Their errors are those of Store.
type Objects interface {
	// PutObject stores an object. An object is never changed: storing another body
	// under its key succeeds without an effect.
	PutObject(ctx context.Context, key string, body []byte) error
	// GetObject returns an object, or ErrNoObject.
	GetObject(ctx context.Context, key string) ([]byte, error)
}

// ErrNoObject reports an object that does not exist.
var ErrNoObject = errors.New("no such object")

// ErrHistoryLost reports that a watch can't continue from its version. The reader
// must read the whole table again.
var ErrHistoryLost = errors.New("the store no longer has the changes since this version")

// ErrOverloaded is the cause of an UnavailableError if too many other calls wait. A
// later call may succeed.
var ErrOverloaded = errors.New("too many calls wait")

// ConflictError reports a transaction that changed nothing because a condition
// failed.
type ConflictError struct {
	Rows []Row // current rows of the conditions; rows that don't exist are missing
}

func (e *ConflictError) Error() string { return "a row has another version" }

// Row returns the current row of a condition, or a Row without a version.
func (e *ConflictError) Row(table, key string) Row {
	for _, r := range e.Rows {
		if r.Table == table && r.Key == key {
			return r
		}
	}
	return Row{Table: table, Key: key}
}

// UnavailableError reports a call that is known to have changed nothing.
type UnavailableError struct {
	Err error
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("store unavailable: %v", e.Err) }

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// LostError reports a transaction that may have taken effect, or may still do so.
type LostError struct {
	Err error
}

func (e *LostError) Error() string { return fmt.Sprintf("answer of the store lost: %v", e.Err) }

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// ReadAll returns all rows of a range, page by page.
func ReadAll(ctx context.Context, s Store, r Range) (Page, error) {
	var all Page
	for {
		p, err := s.Read(ctx, r)
		if err != nil {
			return Page{}, err
		}
		if all.Version == 0 {
			// A watch from the first page's version sees every change that the
			// later pages may have missed.
			all.Version = p.Version
		}
		all.Rows = append(all.Rows, p.Rows...)
		all.Now = p.Now
		if !p.More || len(p.Rows) == 0 {
			return all, nil
		}
		// The successor of the last key is the key with a zero byte appended.
		r.From = p.Rows[len(p.Rows)-1].Key + "\x00"
	}
}
