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

// Holder keeps the newest configuration. It is a follow.Sink. Its other methods
// are safe for concurrent use.
type Holder struct {
	key      string
	decode   Decode
	log      zerolog.Logger
	snapshot atomic.Pointer[Snapshot]

	mu      sync.Mutex
	changed chan struct{} // closed and replaced with each new snapshot
}

// NewHolder returns a holder of the configuration in the row of a key.
func NewHolder(key string, decode Decode, log zerolog.Logger) *Holder {
	return &Holder{key: key, decode: decode, log: log, changed: make(chan struct{})}
}

// Snapshot returns the newest configuration, or nil before the first one.
func (h *Holder) Snapshot() *Snapshot { return h.snapshot.Load() }

// Changed returns a channel that is closed when the next configuration is taken.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Reset implements follow.Sink. A table without the row changes nothing: the
// configuration is never withdrawn.
func (h *Holder) Reset(rows []table.Row) { h.Apply(rows) }

// Apply implements follow.Sink.
func (h *Holder) Apply(rows []table.Row) {
	for _, r := range rows {
		if r.Key == h.key && !r.Deleted {
			h.take(r)
		}
	}
}

func (h *Holder) take(r table.Row) {
	version, cfg, err := h.decode(r.Value)
	if err != nil {
		h.log.Error().Int("Event", EventMalformed).Uint64("RowVersion", r.Version).Err(err).Msg("the configuration can't be read")
		return
	}
	if old := h.snapshot.Load(); old != nil && version <= old.Version {
		return
	}
	h.snapshot.Store(NewSnapshot(version, cfg))
	h.log.Info().Int("Event", EventInForce).Uint64("Version", version).Int("Kinds", len(cfg.Kinds())).
		Int("Workspaces", len(cfg.Workspaces())).Msg("a configuration is in force")
	h.mu.Lock()
	defer h.mu.Unlock()
	close(h.changed)
	h.changed = make(chan struct{})
}
