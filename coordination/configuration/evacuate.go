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

// writeEvacuation writes the row of a data centre, or removes it if value is nil. Each attempt is
// conditional on what was read before it, and changes the row under evacuationChangeKey even if the
// row of the data centre is as wanted: an earlier request or withdrawal whose answer was lost may
// still be carried out, and must not undo this one.
func writeEvacuation(ctx context.Context, s table.Store, dataCentre string, value []byte) error {
	answerLost := false
	backoff := initialBackoff
	for attempt := 1; ; attempt++ {
		err := tryEvacuation(ctx, s, dataCentre, value)
		if err == nil {
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

// evacuationChangeKey returns the key of the row that each change for a data centre writes.
func evacuationChangeKey(dataCentre string) string { return "EvacuationChange/" + dataCentre }

// tryEvacuation makes one attempt of writeEvacuation.
func tryEvacuation(ctx context.Context, s table.Store, dataCentre string, value []byte) error {
	key, changeKey := EvacuationPrefix+dataCentre, evacuationChangeKey(dataCentre)
	changeRow, err := readRow(ctx, s, changeKey)
	if err != nil {
		return err
	}
	row, err := readRow(ctx, s, key)
	if err != nil {
		return err
	}
	tx := table.Tx{}.
		WithCondition(Table, changeKey, changeRow.Version).
		WithCondition(Table, key, row.Version).
		WithWrite(Table, changeKey, nil)
	switch {
	case value != nil:
		tx = tx.WithWrite(Table, key, value)
	case row.Version != 0:
		tx = tx.WithDeletion(Table, key)
	}
	_, err = s.Commit(ctx, tx)
	return err
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
