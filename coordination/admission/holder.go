package admission

import (
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/state/table"
)

// Holder keeps the newest row. It implements follow.Sink; its methods are safe for concurrent
// use.
type Holder struct {
	log zerolog.Logger
	row atomic.Pointer[Row]
}

// NewHolder returns a holder without a row.
func NewHolder(log zerolog.Logger) *Holder { return &Holder{log: log} }

// Row returns the newest row, or nil if there is none.
func (h *Holder) Row() *Row { return h.row.Load() }

// Reset implements follow.Sink.
func (h *Holder) Reset(rows []table.Row) {
	h.row.Store(nil)
	h.Apply(rows)
}

// Apply implements follow.Sink. A row that can't be decoded, or was deleted, counts as unknown.
func (h *Holder) Apply(rows []table.Row) {
	for _, r := range rows {
		if r.Key != CurrentKey {
			continue
		}
		h.row.Store(nil)
		if r.Deleted {
			continue
		}
		row, err := Decode(r.Value)
		if err != nil {
			h.log.Warn().Int("Event", EventRowMalformed).Uint64("RowVersion", r.Version).Err(err).Msg("cannot decode the row of the load; refusing nothing because of load")
			continue
		}
		h.row.Store(&row)
	}
}
