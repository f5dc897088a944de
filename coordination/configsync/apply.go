package configsync

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/rows"
)

const (
	// applyTries bounds how often a write with a lost answer is looked up and
	// repeated. With the pauses between them the tries cover some 10 s, the
	// length of a short outage that an operator waits for.
	applyTries = 8
	// applyPause is the pause before the second try; it doubles up to
	// maxApplyPause.
	applyPause    = 100 * time.Millisecond
	maxApplyPause = 2 * time.Second
)

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

// RaceError reports that another change was accepted first. Nothing was written
// to the tables.
type RaceError struct {
	Expected uint64
	Found    uint64 // 0 with Expected > 0 if it could not be read
}

func (e *RaceError) Error() string {
	return fmt.Sprintf("configuration is at generation %d, expected %d", e.Found, e.Expected)
}

// UndecidedError reports a change that may or may not be accepted.
type UndecidedError struct {
	Generation uint64 // of the change, if it is accepted
	Token      string // in the head row or the change row, if it is accepted
	Err        error
}

func (e *UndecidedError) Error() string {
	return fmt.Sprintf("change to generation %d may or may not be accepted: %v", e.Generation, e.Err)
}

// Unwrap returns the cause.
func (e *UndecidedError) Unwrap() error { return e.Err }

// Apply makes cfg the accepted configuration if the current generation is the
// expected one, and returns the new generation. If cfg equals the current
// configuration, it writes nothing and returns the expected generation.
//
// The error is a *CheckError, a *RaceError, an *UndecidedError, or another error
// that means that the change is not accepted.
func Apply(ctx context.Context, store rows.Store, expected uint64, cfg operator.Config) (uint64, error) {
	if problems := cfg.Check(); len(problems) > 0 {
		return 0, &CheckError{Problems: problems}
	}
	head, version, err := readHead(ctx, store)
	if err != nil {
		return 0, err
	}
	if head.Generation != expected {
		return 0, &RaceError{Expected: expected, Found: head.Generation}
	}
	current, err := readSnapshot(ctx, store, head.Generation, head.SnapshotKey)
	if err != nil {
		return 0, err
	}
	if expected > 0 && current.Config.Equal(cfg) {
		return expected, nil
	}

	generation, token := expected+1, rows.NewToken()
	newHead := rows.Head{Generation: generation, Token: token, SnapshotKey: rows.SnapshotKey(generation, token)}
	headValue, err := rows.Encode(newHead)
	if err != nil {
		return 0, err
	}
	changeValue, err := encodeChange(token, operator.NewDelta(current.Config, cfg))
	if err != nil {
		return 0, err
	}
	if err := writeSnapshot(ctx, store, newHead.SnapshotKey, cfg.JSON()); err != nil {
		return 0, err
	}
	a := applier{
		store: store, expected: expected, head: newHead,
		writes: []rows.Write{
			{Table: rows.TableConfig, Key: rows.HeadKey, IfVersion: version, Value: headValue},
			rows.Insert(rows.TableConfig, rows.ChangeKey(generation), changeValue),
		},
	}
	return a.run(ctx)
}

// writeSnapshot writes an object whose key is new. Until the head row names it,
// the object has no effect, so a lost answer is simply tried again.
func writeSnapshot(ctx context.Context, store rows.Store, key string, body []byte) error {
	var err error
	pause := applyPause
	for try := range applyTries {
		if try > 0 {
			if sleep(ctx, pause) != nil {
				break
			}
			pause = min(2*pause, maxApplyPause)
		}
		err = store.WriteObject(ctx, key, body)
		var lost *rows.LostAnswerError
		if !errors.As(err, &lost) {
			break
		}
	}
	return outcome.Step("write configuration "+key, storePeer, err)
}

// applier makes one conditional write and finds out whether it took effect.
type applier struct {
	store    rows.Store
	expected uint64
	head     rows.Head // as written
	writes   []rows.Write
}

func (a *applier) run(ctx context.Context) (uint64, error) {
	err := a.store.Write(ctx, a.writes...)
	var unavailable *rows.UnavailableError
	var conflict *rows.ConflictError
	switch {
	case err == nil:
		return a.head.Generation, nil
	case errors.As(err, &unavailable):
		return 0, outcome.Step("write configuration head", storePeer, err)
	case errors.As(err, &conflict):
		return a.conflict(ctx)
	}
	// The write may have taken effect, or may still do so. Repeating it with the
	// same token is safe, because all copies demand the same version of the head
	// row, so at most one of them takes effect.
	pause := applyPause
	for range applyTries {
		if ctxErr := sleep(ctx, pause); ctxErr != nil {
			err = errors.Join(err, ctxErr)
			break
		}
		pause = min(2*pause, maxApplyPause)
		accepted, found, readErr := a.look(ctx)
		switch {
		case readErr != nil:
			err = readErr
			continue
		case accepted:
			return a.head.Generation, nil
		case found != a.expected:
			return 0, &RaceError{Expected: a.expected, Found: found}
		}
		if err = a.store.Write(ctx, a.writes...); err == nil {
			return a.head.Generation, nil
		}
		// After a conflict the next look finds the reason.
	}
	return 0, &UndecidedError{Generation: a.head.Generation, Token: a.head.Token, Err: err}
}

// conflict returns the generation that won. The write is known to have had no
// effect.
func (a *applier) conflict(ctx context.Context) (uint64, error) {
	race := &RaceError{Expected: a.expected}
	pause := applyPause
	for range applyTries {
		if head, _, err := readHead(ctx, a.store); err == nil {
			race.Found = head.Generation
			break
		}
		if sleep(ctx, pause) != nil {
			break
		}
		pause = min(2*pause, maxApplyPause)
	}
	return 0, race
}

// look reports whether the write took effect, and the current generation. The
// change row tells even if later changes have replaced the head.
func (a *applier) look(ctx context.Context) (accepted bool, found uint64, err error) {
	head, _, err := readHead(ctx, a.store)
	if err != nil {
		return false, 0, err
	}
	if head.Generation <= a.head.Generation {
		return head.Token == a.head.Token, head.Generation, nil
	}
	row, err := a.store.Read(ctx, rows.TableConfig, rows.ChangeKey(a.head.Generation))
	if err != nil {
		return false, 0, outcome.Step("read configuration change", storePeer, err)
	}
	var change ChangeRow
	if err := rows.Decode(row, &change); err != nil {
		return false, 0, outcome.Step("read configuration change", storePeer, err)
	}
	return change.Token == a.head.Token, head.Generation, nil
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
