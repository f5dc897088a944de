package attempts

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// marker is what is kept of an ended attempt whose record was dropped before the
// end of the retention. Short work ends at up to some thousand attempts per
// second, and whole records of ten minutes would not fit the memory of a target
// process. A marker still refuses every late copy of the attempt.
type marker struct {
	ended time.Duration // since the start of the table
	phase Phase
	code  Code
}

// hash returns a number for the attempt. That two attempts of one retention have
// the same is as unlikely as an undetected error in memory.
func (id ID) hash() uint64 {
	var d xxhash.Digest
	d.Reset()
	var n [4]byte
	binary.LittleEndian.PutUint32(n[:], id.Number)
	_, _ = d.Write(n[:]) // Write of a hash never fails.
	_, _ = d.WriteString(id.Job)
	return d.Sum64()
}

// knownLocked returns the state of an attempt and whether it is known.
func (s *shard) knownLocked(id ID) (Status, bool) {
	if r, ok := s.records[id]; ok {
		return r.copyLocked(), true
	}
	m, ok := s.markers[id.hash()]
	if !ok {
		return Status{Spec: Spec{ID: id}}, false
	}
	st := Status{Spec: Spec{ID: id}, Phase: m.phase, Code: m.code, Local: LocalGone, Reason: "ended earlier"}
	if m.phase == Ran {
		// Without its answer the attempt can't be reported as ran.
		st.Phase, st.Reason = Stopped, "the answer was fetched and is no longer kept"
	}
	return st, true
}

func (s *shard) statusLocked(id ID) Status {
	st, _ := s.knownLocked(id)
	return st
}

// Sweep drops what is older than the retention. If there are more records or
// bytes of answers than the limits, it replaces the oldest ended records by
// markers, but keeps every answer that no entry has fetched.
func (t *Table) Sweep() {
	t.sessions.sweep()
	now := time.Now()
	var old []*record
	records, bytes := 0, 0
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for id, r := range s.records {
			switch {
			case !r.st.Phase.IsEnded() || r.owned:
			case now.Sub(r.st.Ended) >= t.limits.Retention:
				delete(s.records, id)
				continue
			case r.fetched || r.st.Phase != Ran:
				old = append(old, r)
			}
			records++
			bytes += r.st.size()
		}
		for h, m := range s.markers {
			if now.Sub(t.started)-m.ended >= t.limits.Retention {
				delete(s.markers, h)
			}
		}
		s.mu.Unlock()
	}
	if records <= t.limits.KeptRecords && bytes <= t.limits.KeptBytes {
		return
	}
	// An ended record that nobody owns does not change, except for fetched.
	slices.SortFunc(old, func(a, b *record) int { return a.st.Ended.Compare(b.st.Ended) })
	for _, r := range old {
		if records <= t.limits.KeptRecords && bytes <= t.limits.KeptBytes {
			return
		}
		t.mark(r)
		records--
		bytes -= r.st.size()
	}
}

// mark replaces the record of an ended attempt by a marker.
func (t *Table) mark(r *record) {
	id := r.st.Spec.ID
	s := t.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.records, id)
	s.markers[id.hash()] = marker{ended: r.st.Ended.Sub(t.started), phase: r.st.Phase, code: r.st.Code}
}

func (st *Status) size() int {
	n := 0
	for _, p := range st.Parts {
		n += len(p.Body) + len(p.Error)
	}
	return n
}
