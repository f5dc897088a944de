package configuration

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/evacuation"
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

	mu          sync.Mutex
	changed     chan struct{}    // closed and replaced with each new snapshot
	evacuations *evacuation.Rows // nil unless WithEvacuations was called
	age         func() (time.Duration, bool)
}

// NewHolder returns a Holder of the configuration in the row with the given key.
func NewHolder(key string, decode Decode, log zerolog.Logger) *Holder {
	return &Holder{key: key, decode: decode, log: log, changed: make(chan struct{})}
}

// WithEvacuations makes h follow the evacuations in the rows whose keys start with prefix, and
// returns h. It must be called before h gets rows.
func (h *Holder) WithEvacuations(prefix string) *Holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evacuations = evacuation.NewRows(prefix)
	return h
}

// WithAge sets the source of the age of h's data, such as follow.Follower.MaxAge, and returns h.
func (h *Holder) WithAge(age func() (time.Duration, bool)) *Holder {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.age = age
	return h
}

// Age returns the maximum age of h's data, and false if it is not known.
func (h *Holder) Age() (time.Duration, bool) {
	h.mu.Lock()
	age := h.age
	h.mu.Unlock()
	if age == nil {
		return 0, false
	}
	return age()
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
// configuration stays in effect. An evacuation whose row they lack is withdrawn.
func (h *Holder) Reset(rows []table.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuations != nil {
		h.evacuations.Reset(rows)
	}
	h.applyLocked(rows)
}

// Apply implements follow.Sink.
func (h *Holder) Apply(rows []table.Row) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evacuations != nil {
		h.evacuations.Apply(rows)
	}
	h.applyLocked(rows)
}

// applyLocked applies the configuration row among rows and puts the configuration and the
// evacuations into effect together, if either has changed.
func (h *Holder) applyLocked(rows []table.Row) {
	old := h.snapshot.Load()
	s := old
	for _, r := range rows {
		if r.Key == h.key && !r.Deleted {
			s = h.applyRowLocked(s, r)
		}
	}
	if s == nil {
		return
	}
	if h.evacuations != nil {
		if set := h.evacuations.Set(); !set.Equal(s.Evacuations()) {
			s = s.WithEvacuations(set)
		}
	}
	if s == old {
		return
	}
	h.snapshot.Store(s)
	h.logChange(old, s)
	close(h.changed)
	h.changed = make(chan struct{})
}

// applyRowLocked returns the snapshot of a configuration row, or old if the row is malformed or
// not newer.
func (h *Holder) applyRowLocked(old *Snapshot, r table.Row) *Snapshot {
	version, cfg, err := h.decode(r.Value)
	if err != nil {
		h.log.Error().Int("Event", EventMalformed).Uint64("RowVersion", r.Version).Err(err).Msg("cannot decode the configuration row; ignoring it")
		return old
	}
	if old != nil && version <= old.Version {
		return old
	}
	return NewSnapshot(version, cfg)
}

// logChange logs a new version of the configuration, and the evacuations that are new or
// withdrawn.
func (h *Holder) logChange(old, s *Snapshot) {
	var before evacuation.Set
	if old != nil {
		before = old.Evacuations()
	}
	if old == nil || old.Version != s.Version {
		h.log.Info().Int("Event", EventInForce).Uint64("Version", s.Version).Int("Kinds", len(s.Config.Kinds())).
			Int("Workspaces", len(s.Config.Workspaces())).Msg("new configuration in effect")
	}
	for _, r := range s.Evacuations().Requests() {
		if !before.Contains(r.DataCentre) {
			h.log.Info().Int("Event", EventEvacuated).Str("DataCentre", r.DataCentre).Str("Reason", r.Reason).Str("By", r.By).
				Msg("evacuation of a data centre requested")
		}
	}
	for _, r := range before.Requests() {
		if !s.Evacuations().Contains(r.DataCentre) {
			h.log.Info().Int("Event", EventEvacuationWithdrawn).Str("DataCentre", r.DataCentre).Msg("evacuation of a data centre withdrawn")
		}
	}
}
