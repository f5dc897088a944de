package rowstest

import (
	"bytes"
	"context"
	"errors"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/state/rows"
)

// ErrInjected is the cause of injected errors.
var ErrInjected = errors.New("injected fault")

// Kind is what happens to a write.
type Kind int

// Kinds of fates.
const (
	Normal     Kind = iota
	Refused         // no effect, and known to have none
	LostBefore      // no effect, the answer is lost
	LostAfter       // takes effect, the answer is lost
	Late            // the answer is lost, and the write is tried after Fate.After
)

// Fate is the fate of one write.
type Fate struct {
	Kind  Kind
	Delay time.Duration // before the write
	After time.Duration // with Late: from the lost answer to the write
}

// Store is an in-memory rows.Store. Its methods are safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	rows    map[string]rows.Row // by table and key
	objects map[string][]byte
	version uint64
	down    bool
	fate    func(writes []rows.Write) Fate
	reads   int
	writes  int
	late    sync.WaitGroup
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{rows: make(map[string]rows.Row), objects: make(map[string][]byte)}
}

// SetDown makes every operation fail without effect, or stops doing so.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetWriteFate sets the function that decides the fate of each write; nil means
// that all are normal. Calls of the function don't overlap.
func (s *Store) SetWriteFate(f func(writes []rows.Write) Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = f
}

// Counts returns the numbers of reads and writes that the store has answered or
// lost; a multi-row write counts once.
func (s *Store) Counts() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// Wait waits for late writes.
func (s *Store) Wait() { s.late.Wait() }

func name(table, key string) string { return table + "/" + key }

func (s *Store) read() error {
	s.reads++
	if s.down {
		return &rows.UnavailableError{Err: ErrInjected}
	}
	return nil
}

// Read implements rows.Store.
func (s *Store) Read(ctx context.Context, table, key string) (rows.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := errors.Join(ctx.Err(), s.read()); err != nil {
		return rows.Row{}, err
	}
	row, ok := s.rows[name(table, key)]
	if !ok {
		return rows.Row{}, rows.ErrNotFound
	}
	return row, nil
}

// Scan implements rows.Store.
func (s *Store) Scan(ctx context.Context, table, prefix, after string, limit int) ([]rows.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := errors.Join(ctx.Err(), s.read()); err != nil {
		return nil, err
	}
	var list []rows.Row
	for _, k := range slices.Sorted(maps.Keys(s.rows)) {
		key, ok := strings.CutPrefix(k, table+"/")
		if ok && strings.HasPrefix(key, prefix) && key > after && len(list) < limit {
			list = append(list, s.rows[k])
		}
	}
	return list, nil
}

// Write implements rows.Store.
func (s *Store) Write(ctx context.Context, writes ...rows.Write) error {
	f := s.decide(writes)
	if f.Delay > 0 {
		t := time.NewTimer(f.Delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
			return &rows.LostAnswerError{Err: ctx.Err()}
		}
	}
	switch f.Kind {
	case Refused:
		return &rows.UnavailableError{Err: ErrInjected}
	case LostBefore:
		return &rows.LostAnswerError{Err: ErrInjected}
	case Late:
		s.late.Go(func() {
			time.Sleep(f.After)
			_ = s.apply(writes) // Nobody waits for the result.
		})
		return &rows.LostAnswerError{Err: ErrInjected}
	case LostAfter:
		_ = s.apply(writes) // The result is lost.
		return &rows.LostAnswerError{Err: ErrInjected}
	case Normal:
		return s.apply(writes)
	}
	return nil
}

func (s *Store) decide(writes []rows.Write) Fate {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return Fate{Kind: Refused}
	}
	if s.fate == nil {
		return Fate{}
	}
	return s.fate(writes)
}

func (s *Store) apply(writes []rows.Write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []string
	for _, w := range writes {
		if s.rows[name(w.Table, w.Key)].Version != w.IfVersion {
			conflicts = append(conflicts, name(w.Table, w.Key))
		}
	}
	if len(conflicts) > 0 {
		return &rows.ConflictError{Keys: conflicts}
	}
	for _, w := range writes {
		if w.Delete {
			delete(s.rows, name(w.Table, w.Key))
			continue
		}
		s.version++
		s.rows[name(w.Table, w.Key)] = rows.Row{Key: w.Key, Version: s.version, Value: slices.Clone(w.Value)}
	}
	return nil
}

// ReadObject implements rows.Store.
func (s *Store) ReadObject(ctx context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := errors.Join(ctx.Err(), s.read()); err != nil {
		return nil, err
	}
	body, ok := s.objects[key]
	if !ok {
		return nil, rows.ErrNotFound
	}
	return slices.Clone(body), nil
}

// WriteObject implements rows.Store.
func (s *Store) WriteObject(ctx context.Context, key string, body []byte) error {
	if err := ctx.Err(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	if s.down {
		return &rows.UnavailableError{Err: ErrInjected}
	}
	if old, ok := s.objects[key]; ok && !bytes.Equal(old, body) {
		return &rows.ConflictError{Keys: []string{key}}
	}
	s.objects[key] = slices.Clone(body)
	return nil
}
