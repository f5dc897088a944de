package shard

import (
	"time"

	"github.com/medlargrade/medlargrade/state/table"
)

// rowState is what is known of the row of a target with a watch.
type rowState int

const (
	rowPresent  rowState = iota
	rowMissing           // deleted while the agent answered; the next call is to verify that it still does
	rowVerified          // as rowMissing, and that call has been sent
	rowRetired           // deleted, and the runs of the target are given up; it is not called any more
)

// maxRestoredRows bounds the rows of targets that are written again with one batch. With these, the
// rows of the speeds, the load and the owner, and its condition, a transaction has at most
// table.MaxEntries entries.
const maxRestoredRows = 6

// handleTargetDeleted handles the deletion of a target's row. A process deletes the row when its
// worker is gone, but the deletion may have been sent by a former process of the target. As long
// as the agent answers, the next call decides.
func (o *owner) handleTargetDeleted(name string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	w := o.watches[name]
	switch {
	case w == nil:
		o.retireTargetLocked(name)
	case w.row != rowPresent:
	case w.connected:
		w.row = rowMissing
	default:
		w.retireLocked()
	}
}

// retireLocked gives up the runs on a target whose row has been deleted and that does not answer, or
// whose worker is gone.
func (w *watch) retireLocked() {
	w.row = rowRetired
	w.raiseFenceLocked("the target has left")
	w.o.retireTargetLocked(w.name)
}

func (o *owner) retireTargetLocked(name string) {
	o.deps.Log.Info().Int("Event", EventTargetRetired).Str("Target", name).Msg("row of a target has been deleted")
	o.plan.LoseRuns(name, "the target has left", time.Now())
	o.plan.SetConnected(name, false)
	o.requestPass()
}

// restoreRowLocked lets the row of a target be written again that has been deleted although its
// agent answers.
func (w *watch) restoreRowLocked() {
	w.row = rowPresent
	w.o.missingRows = append(w.o.missingRows, table.Write{Table: TableTargets, Key: w.name, Value: Target{Address: w.address}.encode()})
	w.o.deps.Log.Warn().Int("Event", EventTargetKept).Str("Target", w.name).Msg("row of a target has been deleted, but the target answers; the row is written again")
}

// appendMissingRowsLocked appends rows of targets to write again.
func (o *owner) appendMissingRowsLocked(writes []table.Write) []table.Write {
	n := min(len(o.missingRows), maxRestoredRows)
	writes = append(writes, o.missingRows[:n]...)
	o.missingRows = o.missingRows[n:]
	return writes
}
