package tabletest

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/state/table"
)

// Fate is what becomes of a commit.
type Fate int

// Fates.
const (
	Normal     Fate = iota
	LostAfter       // if it takes effect, its answer is lost
	LostBefore      // it has no effect and its answer is lost
	Refused         // the store does not take it
)

// errInjected is the cause of all injected failures.
var errInjected = errors.New("injected fault")

type key struct{ table, part, key string }

// Store is an in-memory table.Store and table.Objects. Its methods are safe for
// concurrent use.
type Store struct {
	start time.Time

	mu      sync.Mutex
	down    bool
	random  *rand.Rand // of the delay of each call; no delay if nil
	fate    func(table.Tx) Fate
	version uint64
	rows    map[key]table.Row
	history []table.Row
	changed chan struct{}
	objects map[string][]byte
}

// New returns an empty store.
func New() *Store {
	return &Store{
		start: time.Now(), rows: make(map[key]table.Row), changed: make(chan struct{}), objects: make(map[string][]byte),
	}
}

// OnCommit sets the function that decides what becomes of each commit; nil makes
// all normal.
func (s *Store) OnCommit(f func(table.Tx) Fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fate = f
}

// SetDown makes the store refuse all calls, or take them again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetDelays makes every call take up to 20 ms, by a seed.
func (s *Store) SetDelays(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.random = rand.New(rand.NewPCG(seed, 1))
}

// call delays a call and returns an error if the store is down.
func (s *Store) call(ctx context.Context) error {
	s.mu.Lock()
	d := time.Duration(0)
	if s.random != nil {
		d = time.Duration(s.random.IntN(20)) * time.Millisecond
	}
	s.mu.Unlock()
	if d > 0 {
		t := time.NewTimer(d)
		defer t.Stop()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return &table.UnavailableError{Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return &table.UnavailableError{Err: errInjected}
	}
	return nil
}

// Commit implements table.Store.
func (s *Store) Commit(ctx context.Context, tx table.Tx) (table.Commit, error) {
	if err := s.call(ctx); err != nil {
		return table.Commit{}, err
	}
	s.mu.Lock()
	f := s.fate
	s.mu.Unlock()
	fate := Normal
	if f != nil {
		fate = f(tx)
	}
	switch fate {
	case Refused:
		return table.Commit{}, &table.UnavailableError{Err: errInjected}
	case LostBefore:
		return table.Commit{}, &table.LostError{Err: errInjected}
	case Normal, LostAfter:
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &table.ConflictError{}
	failed := false
	for _, c := range tx.Conditions {
		r, ok := s.rows[key{c.Table, tx.Part, c.Key}]
		if ok {
			conflict.Rows = append(conflict.Rows, r)
		}
		failed = failed || r.Version != c.Version
	}
	if failed {
		return table.Commit{}, conflict
	}
	s.applyLocked(tx)
	if fate == LostAfter {
		return table.Commit{}, &table.LostError{Err: errInjected}
	}
	return table.Commit{Version: s.version, Now: time.Since(s.start)}, nil
}

func (s *Store) applyLocked(tx table.Tx) {
	s.version++
	for _, w := range tx.Writes {
		r := table.Row{Table: w.Table, Part: tx.Part, Key: w.Key, Value: w.Value, Version: s.version}
		s.rows[key{w.Table, tx.Part, w.Key}] = r
		s.history = append(s.history, r)
	}
	for _, d := range tx.Deletions {
		k := key{d.Table, tx.Part, d.Key}
		if _, ok := s.rows[k]; ok {
			delete(s.rows, k)
			s.history = append(s.history, table.Row{Table: d.Table, Part: tx.Part, Key: d.Key, Version: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Read implements table.Store.
func (s *Store) Read(ctx context.Context, r table.Range) (table.Page, error) {
	if err := s.call(ctx); err != nil {
		return table.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := table.Page{Version: s.version, Now: time.Since(s.start)}
	for k, row := range s.rows {
		if k.table == r.Table && k.part == r.Part && k.key >= r.From && (r.To == "" || k.key < r.To) {
			p.Rows = append(p.Rows, row)
		}
	}
	slices.SortFunc(p.Rows, func(x, y table.Row) int { return strings.Compare(x.Key, y.Key) })
	if r.Limit > 0 && len(p.Rows) > r.Limit {
		p.Rows, p.More = p.Rows[:r.Limit], true
	}
	return p, nil
}

// Watch implements table.Store.
func (s *Store) Watch(ctx context.Context, name string, after uint64, wait time.Duration) (table.Changes, error) {
	if err := s.call(ctx); err != nil {
		return table.Changes{}, err
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	for {
		s.mu.Lock()
		c := table.Changes{Version: s.version, Now: time.Since(s.start)}
		for _, r := range s.history {
			if r.Table == name && r.Version > after {
				c.Rows = append(c.Rows, r)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(c.Rows) > 0 {
			return c, nil
		}
		select {
		case <-changed:
		case <-t.C:
			return c, nil
		case <-ctx.Done():
			return table.Changes{}, &table.UnavailableError{Err: ctx.Err()}
		}
	}
}

// PutObject implements table.Objects.
func (s *Store) PutObject(ctx context.Context, name string, body []byte) error {
	if err := s.call(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.objects[name]; !ok {
		s.objects[name] = slices.Clone(body)
	}
	return nil
}

// GetObject implements table.Objects.
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := s.call(ctx); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[name]
	if !ok {
		return nil, table.ErrNoObject
	}
	return body, nil
}

// Keys returns the tables and keys of all rows, sorted.
func (s *Store) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for k := range s.rows {
		out = append(out, k.table+"/"+k.key)
	}
	slices.Sort(out)
	return out
}
