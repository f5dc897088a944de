package configuration

import (
	"bytes"
	"compress/gzip"
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// Table holds the accepted configuration under CurrentKey and the most recent
	// versions under their version keys. It is used only on sites that change the
	// configuration with Apply.
	Table = "Config"
	// CurrentKey is the key of the accepted configuration.
	CurrentKey = "Current"
	// EvacuationPrefix and the name of a data centre form the key in Table of the request to
	// start nothing more in that data centre.
	EvacuationPrefix = "Evacuation/"

	// maxCommitAttempts bounds the attempts to commit a change whose answer was lost.
	// The backoff between them is 7 s in total. With the timeouts of the calls, 1.2 s
	// each, they take up to 17 s: a short store outage that an operator can wait for.
	maxCommitAttempts = 8
	// initialBackoff is the delay before the second attempt. It doubles up to
	// maxBackoff.
	initialBackoff = 100 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// retainedVersions is the number of most recent versions that ReadAt can return.
	retainedVersions = 200
)

// storePeer is the peer name of the store in errors.
const storePeer = "store"

// InvalidConfigError reports an invalid configuration. Nothing was written.
type InvalidConfigError struct {
	Problems []operator.Problem
}

func (e *InvalidConfigError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return "configuration has problems: " + strings.Join(lines, "; ")
}

// VersionConflictError reports that the current version is not the expected one,
// because another change was accepted first. Nothing was written.
type VersionConflictError struct {
	Expected uint64
	Found    uint64
}

func (e *VersionConflictError) Error() string {
	return fmt.Sprintf("configuration is at version %d, expected %d", e.Found, e.Expected)
}

// OutcomeUnknownError reports a change that may or may not have been accepted.
type OutcomeUnknownError struct {
	Version uint64 // of the change, if it is accepted
	Err     error
}

func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("change to version %d may or may not be accepted: %v", e.Version, e.Err)
}

// Unwrap returns the cause.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// ErrNoVersion reports a version that does not exist or is no longer kept.
var ErrNoVersion = errors.New("no such version")

// stored is the content of a row, before compression.
type stored struct {
	Version uint64
	Token   string // of the write
	Config  json.RawMessage
}

func (s stored) encode() ([]byte, error) {
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if err := json.NewEncoder(w).Encode(s); err != nil {
		return nil, fmt.Errorf("encode configuration: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration: %w", err)
	}
	return b.Bytes(), nil
}

func decodeStored(value []byte) (stored, error) {
	r, err := gzip.NewReader(bytes.NewReader(value))
	if err != nil {
		return stored{}, fmt.Errorf("decompress configuration: %w", err)
	}
	b, err := io.ReadAll(r)
	if err != nil {
		return stored{}, fmt.Errorf("decompress configuration: %w", err)
	}
	var s stored
	if err := json.Unmarshal(b, &s); err != nil {
		return stored{}, fmt.Errorf("decode configuration: %w", err)
	}
	return s, nil
}

// DecodeStored decodes the value of a row that Apply has written. It has the
// signature of Decode.
func DecodeStored(value []byte) (uint64, operator.Config, error) {
	s, err := decodeStored(value)
	if err != nil {
		return 0, operator.Config{}, err
	}
	cfg, err := operator.Parse(s.Config)
	return s.Version, cfg, err
}

// versionKey returns the key of a version. The number is zero-padded so that keys
// sort in version order.
func versionKey(n uint64) string { return fmt.Sprintf("Version/%020d", n) }

// Read returns the accepted configuration. If there is none, it returns an empty
// configuration with version 0.
func Read(ctx context.Context, s table.Store) (*Snapshot, error) {
	snap, _, err := read(ctx, s, CurrentKey)
	return snap, err
}

// ReadAt returns the configuration of a version, or ErrNoVersion.
func ReadAt(ctx context.Context, s table.Store, version uint64) (*Snapshot, error) {
	snap, _, err := read(ctx, s, versionKey(version))
	if err == nil && snap.Version == 0 {
		return nil, ErrNoVersion
	}
	return snap, err
}

// read returns the configuration under key and its row, which has version 0 if it does not
// exist.
func read(ctx context.Context, s table.Store, key string) (snap *Snapshot, row table.Row, err error) {
	row, err = readRow(ctx, s, key)
	if err != nil {
		return nil, table.Row{}, outcome.WrapCall("read configuration", storePeer, err)
	}
	if row.Version == 0 {
		return NewSnapshot(0, operator.NewConfig(operator.NewSite(""))), row, nil
	}
	st, err := decodeStored(row.Value)
	if err != nil {
		return nil, table.Row{}, err
	}
	cfg, err := operator.Parse(st.Config)
	if err != nil {
		return nil, table.Row{}, fmt.Errorf("configuration of version %d: %w", st.Version, err)
	}
	return NewSnapshot(st.Version, cfg), row, nil
}

// readRow returns a row in Table, which has version 0 if it does not exist.
func readRow(ctx context.Context, s table.Store, key string) (table.Row, error) {
	p, err := s.Read(ctx, table.Range{Table: Table, From: key, To: key + "\x00"})
	if err != nil || len(p.Rows) == 0 {
		return table.Row{}, err
	}
	return p.Rows[0], nil
}

// Apply makes cfg the accepted configuration if the current version is the expected
// one, and returns the new version. If cfg equals the current configuration, it
// returns the expected version, after it has written the current row again: an earlier
// change whose answer was lost can't take effect then.
//
// The change was not accepted if Apply returns an error, unless the error is an
// *OutcomeUnknownError. An invalid configuration is reported as an
// *InvalidConfigError and an unexpected version as a *VersionConflictError.
func Apply(ctx context.Context, s table.Store, expected uint64, cfg operator.Config) (uint64, error) {
	if problems := cfg.Check(); len(problems) > 0 {
		return 0, &InvalidConfigError{Problems: problems}
	}
	current, row, err := read(ctx, s, CurrentKey)
	if err != nil {
		return 0, err
	}
	if current.Version != expected {
		return 0, &VersionConflictError{Expected: expected, Found: current.Version}
	}
	if expected > 0 && current.Config.Equal(cfg) {
		st, err := decodeStored(row.Value)
		if err != nil {
			return 0, err
		}
		return commit(ctx, s, table.Tx{}.WithCondition(Table, CurrentKey, row.Version).WithWrite(Table, CurrentKey, row.Value), expected, st)
	}
	st := stored{Version: expected + 1, Token: rand.Text(), Config: cfg.JSON()}
	value, err := st.encode()
	if err != nil {
		return 0, err
	}
	tx := table.Tx{}.
		WithCondition(Table, CurrentKey, row.Version).
		WithWrite(Table, CurrentKey, value).
		WithWrite(Table, versionKey(st.Version), value)
	if st.Version > retainedVersions {
		tx = tx.WithDeletion(Table, versionKey(st.Version-retainedVersions))
	}
	return commit(ctx, s, tx, expected, st)
}

// commit commits tx and determines whether it took effect. It retries after a lost
// answer, which is safe because the condition lets tx take effect at most once.
// expected is the version that the change replaces or confirms.
func commit(ctx context.Context, s table.Store, tx table.Tx, expected uint64, st stored) (uint64, error) {
	answerLost := false
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		_, err := s.Commit(ctx, tx)
		var conflictErr *table.ConflictError
		var lostErr *table.OutcomeUnknownError
		switch {
		case err == nil:
			return st.Version, nil
		case errors.As(err, &conflictErr):
			return resolveConflict(conflictErr.Row(Table, CurrentKey), expected, st, answerLost)
		case errors.As(err, &lostErr):
			answerLost = true
		case !answerLost:
			return 0, outcome.WrapCall("write configuration", storePeer, err)
		}
		if attempt == maxCommitAttempts || !pause.For(ctx, backoff) {
			return 0, &OutcomeUnknownError{Version: st.Version, Err: err}
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// resolveConflict decides from the current row whether a change took effect after
// its commit has failed with a conflict. answerLost tells that the answer to an
// earlier attempt was lost.
func resolveConflict(row table.Row, expected uint64, st stored, answerLost bool) (uint64, error) {
	current, err := decodeStored(row.Value)
	switch {
	case err != nil:
		return 0, &OutcomeUnknownError{Version: st.Version, Err: err}
	case current.Token == st.Token:
		return st.Version, nil
	case answerLost && current.Version > st.Version:
		// The change may have been accepted and then replaced by a later one.
		return 0, &OutcomeUnknownError{Version: st.Version, Err: fmt.Errorf("the configuration is at version %d already", current.Version)}
	}
	return 0, &VersionConflictError{Expected: expected, Found: current.Version}
}
