package configuration

import (
	"context"
	"errors"
	"fmt"
	"strings"

	"github.com/medlargrade/medlargrade/coordination/evacuation"
	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/state/table"
)

// ReadEvacuations returns the data centres that are evacuated by the rows of a table whose keys
// start with prefix.
func ReadEvacuations(ctx context.Context, s table.Store, name, prefix string) (evacuation.Set, error) {
	// The byte after the last one of the prefix ends the range.
	last := len(prefix) - 1
	p, err := table.ReadAll(ctx, s, table.Range{Table: name, From: prefix, To: prefix[:last] + string(prefix[last]+1)})
	if err != nil {
		return evacuation.Set{}, outcome.WrapCall("read evacuations", storePeer, err)
	}
	rows := evacuation.NewRows(prefix)
	rows.Reset(p.Rows)
	return rows.Set(), nil
}

// Evacuate records the request to start nothing more in a data centre. A request that is
// already recorded is replaced, with its reason.
//
// Nothing was recorded if it returns an error, unless the error is an
// *EvacuationUnknownError.
func Evacuate(ctx context.Context, s table.Store, r evacuation.Request) error {
	return writeEvacuation(ctx, s, r.DataCentre, evacuation.EncodeRequest(r))
}

// Release withdraws the request to start nothing more in a data centre, if there is one. Errors
// are as with Evacuate.
func Release(ctx context.Context, s table.Store, dataCentre string) error {
	return writeEvacuation(ctx, s, dataCentre, nil)
}

// EvacuationUnknownError reports a request or withdrawal that may or may not be recorded.
type EvacuationUnknownError struct {
	DataCentre string
	Err        error
}

func (e *EvacuationUnknownError) Error() string {
	return fmt.Sprintf("the change for data centre %s may or may not be recorded: %v", e.DataCentre, e.Err)
}

// Unwrap returns the cause.
func (e *EvacuationUnknownError) Unwrap() error { return e.Err }

// writeEvacuation writes the row of a data centre, or removes it if value is nil. It reads the row
// before each attempt, so that it knows whether an attempt without an answer took effect, and makes
// each attempt conditional on what it read, so that a late one cannot undo a later change.
func writeEvacuation(ctx context.Context, s table.Store, dataCentre string, value []byte) error {
	key := EvacuationPrefix + dataCentre
	answerLost := false
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		done, err := tryEvacuation(ctx, s, key, value)
		if done {
			return nil
		}
		var lost *table.OutcomeUnknownError
		answerLost = answerLost || errors.As(err, &lost)
		if attempt == maxCommitAttempts || !pause.For(ctx, backoff) {
			if answerLost {
				return &EvacuationUnknownError{DataCentre: dataCentre, Err: err}
			}
			return outcome.WrapCall("write evacuation", storePeer, err)
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// tryEvacuation makes one attempt to write the row. It reports whether the row is as wanted.
func tryEvacuation(ctx context.Context, s table.Store, key string, value []byte) (bool, error) {
	p, err := s.Read(ctx, table.Range{Table: Table, From: key, To: key + "\x00"})
	if err != nil {
		return false, err
	}
	tx := table.Tx{}
	switch {
	case len(p.Rows) == 0 && value == nil, len(p.Rows) > 0 && value != nil && string(p.Rows[0].Value) == string(value):
		return true, nil
	case len(p.Rows) == 0:
		tx = tx.WithCondition(Table, key, 0)
	default:
		tx = tx.WithCondition(Table, key, p.Rows[0].Version)
	}
	if value == nil {
		tx = tx.WithDeletion(Table, key)
	} else {
		tx = tx.WithWrite(Table, key, value)
	}
	_, err = s.Commit(ctx, tx)
	return err == nil, err
}

// CheckDataCentre returns an error that names the known data centres, unless the site of a
// configuration has the data centre.
func (s *Snapshot) CheckDataCentre(name string) error {
	var known []string
	for _, d := range s.Config.Site().DataCentres() {
		if d.Name() == name {
			return nil
		}
		known = append(known, d.Name())
	}
	if len(known) == 0 {
		return fmt.Errorf("unknown data centre %q: the configuration names none", name)
	}
	return fmt.Errorf("unknown data centre %q: the configuration names %s", name, strings.Join(known, ", "))
}
