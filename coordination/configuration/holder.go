package configuration

import (
	"sync"
	"sync/atomic"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/table"
)

// Decode decodes the value of a configuration row.
type Decode func(value []byte) (version uint64, cfg operator.Config, err error)

// Holder keeps the newest configuration. It implements follow.Sink; its other
// methods are safe for concurrent use.
type Holder struct {
	key      string
	decode   Decode
	log      zerolog.Logger
	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{} // closed and replaced with each new snapshot
}

// NewHolder returns a Holder of the configuration in the row with the given key.
func NewHolder(key string, decode Decode, log zerolog.Logger) *Holder {
	return &Holder{key: key, decode: decode, log: log, changed: make(chan struct{})}
}

// Snapshot returns the newest configuration, or nil if none has been read.
func (h *Holder) Snapshot() *Snapshot { return h.snapshot.Load() }

// Changed returns a channel that is closed when the next version takes effect.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Reset implements follow.Sink. If rows lack the configuration row, the last
// configuration stays in effect.
func (h *Holder) Reset(rows []table.Row) { h.Apply(rows) }

// Apply implements follow.Sink.
func (h *Holder) Apply(rows []table.Row) {
	for _, r := range rows {
		if r.Key == h.key && !r.Deleted {
			h.applyRow(r)
		}
	}
}

func (h *Holder) applyRow(r table.Row) {
	version, cfg, err := h.decode(r.Value)
	if err != nil {
		h.log.Error().Int("Event", EventMalformed).Uint64("RowVersion", r.Version).Err(err).Msg("cannot decode the configuration row; ignoring it")
		return
	}
	if old := h.snapshot.Load(); old != nil && version <= old.Version {
		return
	}
	h.snapshot.Store(NewSnapshot(version, cfg))
	h.log.Info().Int("Event", EventInForce).Uint64("Version", version).Int("Kinds", len(cfg.Kinds())).
		Int("Workspaces", len(cfg.Workspaces())).Msg("new configuration in effect")
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}
