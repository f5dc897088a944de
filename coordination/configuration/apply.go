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
	// Table has the accepted configuration under CurrentKey and the last versions
	// under their numbers, on sites whose operators use Apply.
	Table = "Config"
	// CurrentKey is the key of the accepted configuration.
	CurrentKey = "Current"

	// applyTries bounds how often a write with a lost answer is repeated. With the
	// pauses between them the tries cover some 10 s, the length of a short outage
	// that an operator waits for.
	applyTries = 8
	// applyPause is the pause before the second try; it doubles up to
	// maxApplyPause.
	applyPause    = 100 * time.Millisecond
	maxApplyPause = 2 * time.Second
	// keptVersions is the number of versions that can be read again.
	keptVersions = 200
)

// peer names the store in errors.
const peer = "store"

// CheckError reports a configuration that has problems. Nothing was written.
type CheckError struct {
	Problems []operator.Problem
}

func (e *CheckError) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return "configuration has problems: " + strings.Join(lines, "; ")
}

// RaceError reports that another change was accepted first. Nothing was written.
type RaceError struct {
	Expected uint64
	Found    uint64
}

func (e *RaceError) Error() string {
	return fmt.Sprintf("configuration is at version %d, expected %d", e.Found, e.Expected)
}

// UndecidedError reports a change that may or may not be accepted.
type UndecidedError struct {
	Version uint64 // of the change, if it is accepted
	Err     error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("change to version %d may or may not be accepted: %v", e.Version, e.Err)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Err }

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

// DecodeStored decodes a row that Apply has written. It is a Decode.
func DecodeStored(value []byte) (uint64, operator.Config, error) {
	s, err := decodeStored(value)
	if err != nil {
		return 0, operator.Config{}, err
	}
	cfg, err := operator.Parse(s.Config)
	return s.Version, cfg, err
}

// versionKey returns the key of a version. Numbers are padded, so that keys sort by
// version.
func versionKey(n uint64) string { return fmt.Sprintf("Version/%020d", n) }

// Read returns the accepted configuration, with version 0 if there is none.
func Read(ctx context.Context, s table.Store) (*Snapshot, error) {
	snap, _, err := read(ctx, s, CurrentKey)
	return snap, err
}

// ReadAt returns an earlier version, or ErrNoVersion.
func ReadAt(ctx context.Context, s table.Store, version uint64) (*Snapshot, error) {
	snap, _, err := read(ctx, s, versionKey(version))
	if err == nil && snap.Version == 0 {
		return nil, ErrNoVersion
	}
	return snap, err
}

// read returns the configuration of a row with the row's version.
func read(ctx context.Context, s table.Store, key string) (snap *Snapshot, version uint64, err error) {
	p, err := s.Read(ctx, table.Range{Table: Table, From: key, To: key + "\x00"})
	if err != nil {
		return nil, 0, outcome.Step("read configuration", peer, err)
	}
	if len(p.Rows) == 0 {
		return NewSnapshot(0, operator.NewConfig(operator.NewSite(""))), 0, nil
	}
	st, err := decodeStored(p.Rows[0].Value)
	if err != nil {
		return nil, 0, err
	}
	cfg, err := operator.Parse(st.Config)
	if err != nil {
		return nil, 0, fmt.Errorf("configuration of version %d: %w", st.Version, err)
	}
	return NewSnapshot(st.Version, cfg), p.Rows[0].Version, nil
}

// Apply makes cfg the accepted configuration if the current version is the expected
// one, and returns the new version. If cfg equals the current configuration, it
// writes nothing and returns the expected version.
//
// The error is a *CheckError, a *RaceError, an *UndecidedError, or another error
// that means that the change is not accepted.
func Apply(ctx context.Context, s table.Store, expected uint64, cfg operator.Config) (uint64, error) {
	if problems := cfg.Check(); len(problems) > 0 {
		return 0, &CheckError{Problems: problems}
	}
	current, rowVersion, err := read(ctx, s, CurrentKey)
	if err != nil {
		return 0, err
	}
	if current.Version != expected {
		return 0, &RaceError{Expected: expected, Found: current.Version}
	}
	if expected > 0 && current.Config.Equal(cfg) {
		return expected, nil
	}
	st := stored{Version: expected + 1, Token: rand.Text(), Config: cfg.JSON()}
	value, err := st.encode()
	if err != nil {
		return 0, err
	}
	tx := table.Tx{}.
		WithCondition(Table, CurrentKey, rowVersion).
		WithWrite(Table, CurrentKey, value).
		WithWrite(Table, versionKey(st.Version), value)
	if st.Version > keptVersions {
		tx = tx.WithDeletion(Table, versionKey(st.Version-keptVersions))
	}
	return commit(ctx, s, tx, st)
}

// commit makes one conditional write and finds out whether it took effect. After a
// lost answer the same write is repeated: it can take effect once at most.
func commit(ctx context.Context, s table.Store, tx table.Tx, st stored) (uint64, error) {
	lost := false
	wait := applyPause
	for try := 1; ; try++ {
		_, err := s.Commit(ctx, tx)
		var conflict *table.ConflictError
		var gone *table.LostError
		switch {
		case err == nil:
			return st.Version, nil
		case errors.As(err, &conflict):
			return settle(conflict.Row(Table, CurrentKey), st, lost)
		case errors.As(err, &gone):
			lost = true
		case !lost:
			return 0, outcome.Step("write configuration", peer, err)
		}
		if try == applyTries || !pause.For(ctx, wait) {
			return 0, &UndecidedError{Version: st.Version, Err: err}
		}
		wait = min(2*wait, maxApplyPause)
	}
}

// settle decides from the present row whether a write took effect whose condition
// no longer holds.
func settle(row table.Row, st stored, lost bool) (uint64, error) {
	now, err := decodeStored(row.Value)
	switch {
	case err != nil:
		return 0, &UndecidedError{Version: st.Version, Err: err}
	case now.Token == st.Token:
		return st.Version, nil
	case lost && now.Version > st.Version:
		// The change may have been accepted and replaced since.
		return 0, &UndecidedError{Version: st.Version, Err: fmt.Errorf("the configuration is at version %d already", now.Version)}
	}
	return 0, &RaceError{Expected: st.Version - 1, Found: now.Version}
}
