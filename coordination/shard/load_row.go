package shard

import (
	"time"

	"github.com/medlargrade/medlargrade/coordination/admission"
	"github.com/medlargrade/medlargrade/state/table"
)

// loadSettleTime is how long a new owner publishes no load. Until all agents have answered it,
// it knows a part of the capacity only, and would predict waits that are too long. The row of
// its predecessor counts as unknown by then.
const loadSettleTime = admission.MaxRowAge

// appendLoadLocked appends the row of the load to the writes of a transaction that is made
// anyway, if the row is due.
func (o *owner) appendLoadLocked(writes []table.Write, now time.Time) []table.Write {
	storeNow, ok := o.deps.Clock.Now()
	if !o.cfg.Planner.Policy.PublishLoad || !ok || now.Sub(o.acquiredAt) < loadSettleTime || !o.loadRow.Ready(storeNow) {
		return writes
	}
	in, ok := o.plan.Load(now, storeNow)
	if !ok {
		return writes
	}
	row := admission.Summarize(in)
	if !o.loadRow.Due(row) {
		return writes
	}
	o.loadRow.Published(row)
	o.deps.Metrics.GetOrCreateCounter(`medlargrade_load_rows_total`).Inc()
	return append(writes, table.Write{Table: admission.Table, Key: admission.CurrentKey, Value: row.Encode()})
}
