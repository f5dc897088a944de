package platform

import (
	"slices"
	"strings"
	"time"
)

// Row is a row of the store, or in a feed the deletion of a row.
type Row struct {
	Table   string `json:"Table"`
	Part    string `json:"part,omitempty"` // partition of the table
	Key     string `json:"Key"`
	Value   string `json:"Value,omitempty"` // base64
	Version uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// change is an entry of the history.
type change struct {
	row Row
	at  time.Time
}

// condition requires that a row has the given version, or does not exist if that is 0.
type condition struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Version uint64 `json:"Ver"`
}

type write struct {
	Table string `json:"Table"`
	Part  string `json:"part"`
	Key   string `json:"Key"`
	Value string `json:"Value"`
}

type deletion struct {
	Table string `json:"Table"`
	Part  string `json:"part"`
	Key   string `json:"Key"`
}

type transaction struct {
	Conditions []condition `json:"Precondition"`
	Writes     []write     `json:"Writes"`
	Deletions  []deletion  `json:"Remove"`
	Spread     bool        `json:"Spread"` // allows entries of different parts; only that of the last entry is locked
}

// part returns the part of the entries, and whether it is the same for all. If not,
// it returns that of the last entry.
func (t transaction) part() (string, bool) {
	parts := make(map[string]struct{})
	lastPart := ""
	add := func(p string) { parts[p], lastPart = struct{}{}, p }
	for _, c := range t.Conditions {
		add(c.Part)
	}
	for _, w := range t.Writes {
		add(w.Part)
	}
	for _, d := range t.Deletions {
		add(d.Part)
	}
	return lastPart, len(parts) <= 1
}

func (t transaction) entryCount() int { return len(t.Conditions) + len(t.Writes) + len(t.Deletions) }

// applyLocked executes a transaction. If a condition is not met, it returns false and
// the existing rows that the conditions refer to.
func (s *Server) applyLocked(t transaction) (version uint64, conflict []Row, ok bool) {
	ok = true
	for _, c := range t.Conditions {
		row, exists := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if exists {
			conflict = append(conflict, row)
		}
		if row.Version != c.Version {
			ok = false
		}
	}
	if !ok {
		s.counts.Conflicts++
		return s.version, conflict, false
	}
	s.version++
	for _, w := range t.Writes {
		s.putLocked(Row{Table: w.Table, Part: w.Part, Key: w.Key, Value: w.Value, Version: s.version})
	}
	for _, d := range t.Deletions {
		k := rowKey{d.Table, d.Part, d.Key}
		if _, exists := s.rows[k]; exists {
			delete(s.rows, k)
			s.recordChangeLocked(Row{Table: d.Table, Part: d.Part, Key: d.Key, Version: s.version, Deleted: true})
		}
	}
	s.counts.Writes++
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil, true
}

func (s *Server) putLocked(r Row) {
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
	s.recordChangeLocked(r)
}

// recordChangeLocked adds a change to the history and drops the changes that are older
// than Settings.History.
func (s *Server) recordChangeLocked(r Row) {
	now := time.Now()
	s.history = append(s.history, change{r, now})
	expired := 0
	for expired < len(s.history) && now.Sub(s.history[expired].at) > s.cfg.History {
		s.droppedVersion = s.history[expired].row.Version
		expired++
	}
	s.history = slices.Delete(s.history, 0, expired)
}

// scanLocked returns the rows with keys in [from, to) in key order. An empty to means
// no upper bound.
func (s *Server) scanLocked(table, part, from, to string) []Row {
	var out []Row
	for k, r := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(x, y Row) int { return strings.Compare(x.Key, y.Key) })
	return out
}

// changesLocked returns the last change after a version of each row of a table, in
// the order of the changes. It returns false if the history since that version is
// incomplete.
func (s *Server) changesLocked(table string, after uint64) ([]Row, bool) {
	if after < s.droppedVersion {
		return nil, false
	}
	latest := make(map[rowKey]int)
	for i, c := range s.history {
		if c.row.Table == table && c.row.Version > after {
			latest[rowKey{c.row.Table, c.row.Part, c.row.Key}] = i
		}
	}
	indexes := make([]int, 0, len(latest))
	for _, i := range latest {
		indexes = append(indexes, i)
	}
	slices.Sort(indexes)
	out := make([]Row, 0, len(indexes))
	for _, i := range indexes {
		out = append(out, s.history[i].row)
	}
	return out, true
}
