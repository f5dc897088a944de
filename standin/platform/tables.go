package platform

import (
	"fmt"
	"slices"
	"strings"

	"github.com/medlargrade/medlargrade/protocol/platformapi"
)

// table holds the rows of one table and their keys in order.
type table struct {
	rows map[string]platformapi.Row
	keys []string
}

func (t *table) put(row platformapi.Row) {
	if _, ok := t.rows[row.Key]; !ok {
		i, _ := slices.BinarySearch(t.keys, row.Key)
		t.keys = slices.Insert(t.keys, i, row.Key)
	}
	t.rows[row.Key] = row
}

func (t *table) remove(key string) {
	if i, ok := slices.BinarySearch(t.keys, key); ok {
		t.keys = slices.Delete(t.keys, i, i+1)
		delete(t.rows, key)
	}
}

func (t *table) scan(prefix, after string, limit int) []platformapi.Row {
	i, found := slices.BinarySearch(t.keys, max(prefix, after))
	if found && after >= prefix {
		i++ // The key after itself is not wanted.
	}
	var rows []platformapi.Row
	for ; i < len(t.keys) && len(rows) < limit && strings.HasPrefix(t.keys[i], prefix); i++ {
		rows = append(rows, t.rows[t.keys[i]])
	}
	return rows
}

func (s *Server) rowLocked(name, key string) (platformapi.Row, bool) {
	t := s.tables[name]
	if t == nil {
		return platformapi.Row{}, false
	}
	row, ok := t.rows[key]
	return row, ok
}

// apply carries out all writes, or none if it returns conflicts.
func (s *Server) apply(writes []platformapi.Write) (conflicts []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		// An absent row has version 0.
		if row, _ := s.rowLocked(w.Table, w.Key); row.Version != w.IfVersion {
			conflicts = append(conflicts, w.Table+"/"+w.Key)
		}
	}
	if len(conflicts) > 0 {
		s.counts.Conflicts++
		return conflicts
	}
	s.counts.Writes++
	s.version++
	for _, w := range writes {
		t := s.tables[w.Table]
		if t == nil {
			t = &table{rows: make(map[string]platformapi.Row)}
			s.tables[w.Table] = t
		}
		if w.Delete {
			t.remove(w.Key)
		} else {
			t.put(platformapi.Row{Key: w.Key, Version: s.version, Value: w.Value})
		}
	}
	return nil
}

// invalidWrites returns why writes are malformed, or nothing.
func invalidWrites(writes []platformapi.Write) string {
	if len(writes) == 0 {
		return "Writes is empty"
	}
	type name struct{ table, key string }
	seen := make(map[name]bool, len(writes))
	for _, w := range writes {
		n := name{w.Table, w.Key}
		switch {
		case w.Table == "" || w.Key == "":
			return "Table or Key is empty"
		case seen[n]:
			return fmt.Sprintf("%s/%s is written twice", w.Table, w.Key)
		}
		seen[n] = true
	}
	return ""
}
