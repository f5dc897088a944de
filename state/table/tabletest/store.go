package tabletest

import (
	"context"
	"encoding/base64"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/state/table"
)

// CommitResult selects the outcome of a commit.
type CommitResult int

// Outcomes of a commit.
const (
	Normal      CommitResult = iota
	ReplyLost                // conditions are checked as usual; if it applies, its reply is lost
	RequestLost              // the transaction isn't applied and its reply is lost
	Rejected                 // the store rejects the call without applying the transaction
	Invalid                  // as Rejected, with the cause table.ErrRejected
)

// errInjectedFault is the cause of every injected failure.
var errInjectedFault = errors.New("injected fault")

type rowKey struct{ table, part, key string }

// Store is an in-memory table.Store and table.Objects. Its methods are safe for
// concurrent use.
type Store struct {
	createdAt time.Time

	mu           sync.Mutex
	down         bool
	delayRand    *rand.Rand // source of the delay of each call; no delays if nil
	commitResult func(table.Tx) CommitResult
	version      uint64
	rows         map[rowKey]table.Row
	history      []table.Row   // all changes since forgotten, in the order of their versions
	forgotten    uint64        // newest version whose changes are no longer in history
	changed      chan struct{} // closed and replaced by each applied transaction
	objects      map[string][]byte
}

// New returns an empty store.
func New() *Store {
	return &Store{
		createdAt: time.Now(), rows: make(map[rowKey]table.Row), changed: make(chan struct{}), objects: make(map[string][]byte),
	}
}

// OnCommit sets the function that selects the result of each commit. A nil function
// makes every commit Normal.
func (s *Store) OnCommit(f func(table.Tx) CommitResult) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.commitResult = f
}

// HoldCommits makes the store hold back each transaction and lose its reply, until OnCommit is called
// again. It returns a function that carries the transactions out, in order, if their conditions hold
// then, and returns their results.
func (s *Store) HoldCommits() (carryOut func(ctx context.Context) []error) {
	var held []table.Tx
	s.OnCommit(func(tx table.Tx) CommitResult {
		held = append(held, tx)
		return RequestLost
	})
	return func(ctx context.Context) []error {
		var results []error
		for _, tx := range held {
			_, err := s.Commit(ctx, tx)
			results = append(results, err)
		}
		return results
	}
}

// SetDown sets whether the store rejects all calls.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Delete deletes a row, also while the store is down. If forget is set, the store loses its
// history with it, the deletion included.
func (s *Store) Delete(name, part, key string, forget bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(table.Tx{Part: part}.WithDeletion(name, key))
	if forget {
		s.history, s.forgotten = nil, s.version
	}
}

// SetDelays delays each call by a random time below 20 ms, drawn from seed.
func (s *Store) SetDelays(seed uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delayRand = rand.New(rand.NewPCG(seed, 1))
}

// begin delays a call and returns an error if ctx is done or SetDown(true) is in effect.
func (s *Store) begin(ctx context.Context) error {
	s.mu.Lock()
	delay := time.Duration(0)
	if s.delayRand != nil {
		delay = time.Duration(s.delayRand.IntN(20)) * time.Millisecond
	}
	s.mu.Unlock()
	if delay > 0 {
		timer := time.NewTimer(delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
	}
	if err := ctx.Err(); err != nil {
		return &table.UnavailableError{Err: err}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return &table.UnavailableError{Err: errInjectedFault}
	}
	return nil
}

// Commit implements table.Store.
func (s *Store) Commit(ctx context.Context, tx table.Tx) (table.Commit, error) {
	if err := s.begin(ctx); err != nil {
		return table.Commit{}, err
	}
	s.mu.Lock()
	f := s.commitResult
	s.mu.Unlock()
	commitResult := Normal
	if f != nil {
		commitResult = f(tx)
	}
	switch commitResult {
	case Rejected:
		return table.Commit{}, &table.UnavailableError{Err: errInjectedFault}
	case RequestLost:
		return table.Commit{}, &table.OutcomeUnknownError{Err: errInjectedFault}
	case Invalid:
		return table.Commit{}, &table.UnavailableError{Err: table.ErrRejected}
	case Normal, ReplyLost:
	}
	if !isValid(tx) {
		return table.Commit{}, &table.UnavailableError{Err: table.ErrRejected}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	conflict := &table.ConflictError{}
	failed := false
	for _, c := range tx.Conditions {
		r, ok := s.rows[rowKey{c.Table, tx.Part, c.Key}]
		if ok {
			conflict.Rows = append(conflict.Rows, r)
		}
		failed = failed || r.Version != c.Version
	}
	if failed {
		return table.Commit{}, conflict
	}
	s.applyLocked(tx)
	if commitResult == ReplyLost {
		return table.Commit{}, &table.OutcomeUnknownError{Err: errInjectedFault}
	}
	return table.Commit{Version: s.version, Now: time.Since(s.createdAt)}, nil
}

// isValid reports whether a transaction is within the limits of the platform.
func isValid(tx table.Tx) bool {
	bytes := 0
	for _, w := range tx.Writes {
		if len(w.Value) > table.MaxValueBytes {
			return false
		}
		bytes += base64.StdEncoding.EncodedLen(len(w.Value))
	}
	return tx.Entries() <= table.MaxEntries && bytes <= maxTxBytes
}

// maxTxBytes is the maximum size of the encoded values of a transaction.
const maxTxBytes = 1 << 20

func (s *Store) applyLocked(tx table.Tx) {
	s.version++
	for _, w := range tx.Writes {
		r := table.Row{Table: w.Table, Part: tx.Part, Key: w.Key, Value: w.Value, Version: s.version}
		s.rows[rowKey{w.Table, tx.Part, w.Key}] = r
		s.history = append(s.history, r)
	}
	for _, d := range tx.Deletions {
		k := rowKey{d.Table, tx.Part, d.Key}
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
	if err := s.begin(ctx); err != nil {
		return table.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := table.Page{Version: s.version, Now: time.Since(s.createdAt)}
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
	if err := s.begin(ctx); err != nil {
		return table.Changes{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		if after < s.forgotten {
			s.mu.Unlock()
			return table.Changes{}, table.ErrHistoryLost
		}
		c := table.Changes{Version: s.version, Now: time.Since(s.createdAt)}
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
		case <-timer.C:
			return c, nil
		case <-ctx.Done():
			return table.Changes{}, &table.UnavailableError{Err: ctx.Err()}
		}
	}
}

// PutObject implements table.Objects.
func (s *Store) PutObject(ctx context.Context, name string, body []byte) error {
	if err := s.begin(ctx); err != nil {
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
	if err := s.begin(ctx); err != nil {
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

// Keys returns "table/key" for all rows, sorted.
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
