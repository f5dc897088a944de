package configsync

import (
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/medlargrade/medlargrade/operator"
)

// MaxChanges is the number of changes that a Holder keeps to serve differences.
// At 12,000 changes a day it covers two hours.
const MaxChanges = 1024

// Snapshot is a configuration with its generation. Generation 0 is the empty
// configuration of a site to which nothing was ever applied.
type Snapshot struct {
	Generation uint64
	Config     operator.Config
}

// Change is an accepted difference.
type Change struct {
	Generation uint64 // that the change leads to
	Body       []byte // value of the row Config/Change/<generation>, see ChangeRow
}

// ChangeRow is the value of a row Config/Change/<generation>.
type ChangeRow struct {
	Token string // of the write, also part of the snapshot's key
	Delta operator.Delta
}

// Holder holds the current configuration of a process. The zero Holder is ready
// to use and holds generation 0. Its methods are safe for concurrent use.
type Holder struct {
	current atomic.Pointer[Snapshot]

	mu      sync.Mutex    // held by writers
	changes []Change      // consecutive, up to the current generation
	changed chan struct{} // closed by the next advance; nil if nobody waits
}

// Current returns the current configuration without taking a lock.
func (h *Holder) Current() Snapshot {
	if s := h.current.Load(); s != nil {
		return *s
	}
	return Snapshot{}
}

// Generation returns the current generation without taking a lock.
func (h *Holder) Generation() uint64 { return h.Current().Generation }

// Changed returns a channel that is closed by the next advance. To miss none,
// call Changed before Current.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.changed == nil {
		h.changed = make(chan struct{})
	}
	return h.changed
}

// Advance moves to a whole configuration and reports whether it did. It refuses
// a generation that isn't higher than the current one.
func (h *Holder) Advance(s Snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s.Generation <= h.Generation() {
		return false
	}
	h.changes = nil // They don't lead to s.
	h.publishLocked(s)
	return true
}

// AdvanceBy applies consecutive changes. It skips changes up to the current
// generation. On an error it has applied the changes before the faulty one.
func (h *Holder) AdvanceBy(changes []Change) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.Current()
	var err error
	for _, c := range changes {
		if c.Generation <= s.Generation {
			continue
		}
		if s, err = applyChange(s, c); err != nil {
			break
		}
		h.changes = append(h.changes, c)
	}
	if len(h.changes) > MaxChanges {
		h.changes = slices.Delete(h.changes, 0, len(h.changes)-MaxChanges)
	}
	if s.Generation > h.Generation() {
		h.publishLocked(s)
	}
	return err
}

// applyChange returns s unchanged with an error if the change doesn't apply.
func applyChange(s Snapshot, c Change) (Snapshot, error) {
	if c.Generation != s.Generation+1 {
		return s, fmt.Errorf("change %d does not follow generation %d", c.Generation, s.Generation)
	}
	var row ChangeRow
	if err := json.Unmarshal(c.Body, &row); err != nil {
		return s, fmt.Errorf("change %d: %w", c.Generation, err)
	}
	cfg, err := row.Delta.Apply(s.Config)
	if err != nil {
		return s, fmt.Errorf("change %d: %w", c.Generation, err)
	}
	return Snapshot{Generation: c.Generation, Config: cfg}, nil
}

func (h *Holder) publishLocked(s Snapshot) {
	h.current.Store(&s)
	if h.changed != nil {
		close(h.changed)
		h.changed = nil
	}
}

// Since returns the current generation and the changes that lead to it from the
// given one. It reports false if the holder doesn't have all of them.
func (h *Holder) Since(generation uint64) (current uint64, changes []Change, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current = h.Generation()
	if generation >= current {
		return current, nil, true
	}
	lack := current - generation
	if lack > uint64(len(h.changes)) {
		return current, nil, false
	}
	return current, slices.Clone(h.changes[len(h.changes)-int(lack):]), true
}
