package follow_test

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/follow"
	"github.com/medlargrade/medlargrade/state/table"
)

// callTimeout is that of the platform's client, beyond the wait of a watch.
const callTimeout = 1200 * time.Millisecond

// store is one table. While it is silent, it never answers: also calls that wait at
// that time get no answer.
type store struct {
	mu      sync.Mutex
	rows    []table.Row
	version uint64
	news    chan struct{}
	outage  int // counts the outages
	silent  bool
	oldest  uint64 // version before which the history is lost
	reads   int
	watches int
}

func newStore() *store { return &store{news: make(chan struct{}), version: 1} }

func (s *store) put(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows = append(s.rows, table.Row{Key: key, Version: s.version})
	close(s.news)
	s.news = make(chan struct{})
}

func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
	s.outage++
}

var errNoAnswer = errors.New("no answer")

// call is a call to the store.
type call struct {
	outages int // before it
	until   time.Time
}

func (s *store) begin(wait time.Duration) call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return call{s.outage, time.Now().Add(wait + callTimeout)}
}

// answer returns at once if a call is answered, and else at its time limit.
func (s *store) answer(ctx context.Context, c call) error {
	s.mu.Lock()
	lost := s.silent || s.outage != c.outages
	s.mu.Unlock()
	if !lost {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(c.until)):
	}
	return &table.UnavailableError{Err: errNoAnswer}
}

// Commit implements table.Store.
func (s *store) Commit(context.Context, table.Tx) (table.Commit, error) {
	return table.Commit{}, errNoAnswer
}

// Read implements table.Store.
func (s *store) Read(ctx context.Context, _ table.Range) (table.Page, error) {
	if err := s.answer(ctx, s.begin(0)); err != nil {
		return table.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return table.Page{Rows: append([]table.Row{}, s.rows...), Version: s.version}, nil
}

// Watch implements table.Store.
func (s *store) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (table.Changes, error) {
	c := s.begin(wait)
	if err := s.answer(ctx, c); err != nil {
		return table.Changes{}, err
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		s.watches++
		if after < s.oldest {
			s.mu.Unlock()
			return table.Changes{}, table.ErrHistoryLost
		}
		var rows []table.Row
		for _, r := range s.rows {
			if r.Version > after {
				rows = append(rows, r)
			}
		}
		version, news := s.version, s.news
		s.mu.Unlock()
		if len(rows) > 0 {
			return table.Changes{Rows: rows, Version: version}, s.answer(ctx, c)
		}
		select {
		case <-ctx.Done():
			return table.Changes{}, ctx.Err()
		case <-deadline.C:
			return table.Changes{Version: version}, s.answer(ctx, c)
		case <-news:
		}
	}
}

// sink notes when it learned of a row.
type sink struct {
	mu     sync.Mutex
	seen   map[string]time.Time
	resets int
}

func (k *sink) Reset(rows []table.Row) {
	k.mu.Lock()
	k.resets++
	k.mu.Unlock()
	k.Apply(rows)
}

func (k *sink) Apply(rows []table.Row) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range rows {
		if _, ok := k.seen[r.Key]; !ok {
			k.seen[r.Key] = time.Now()
		}
	}
}

func (k *sink) learned(key string) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.seen[key]
	return at, ok
}

// play follows a store in a bubble while f plays.
func play(t *testing.T, wait time.Duration, f func(t *testing.T, s *store, k *sink, fol *follow.Follower)) {
	synctest.Test(t, func(t *testing.T) {
		s, k := newStore(), &sink{seen: make(map[string]time.Time)}
		fol := follow.New(s, follow.Settings{Table: "t", Wait: wait}, k, zerolog.Nop())
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			fol.Run(ctx)
		}()
		f(t, s, k, fol)
		cancel()
		<-done
	})
}

// Guards against a follower that learns of rows late, long after the store answers
// again, because its call hangs since the outage.
func TestReturnOfStore(t *testing.T) {
	const wait = 700 * time.Millisecond
	// A call that was sent just before the return hangs for its time limit, and the
	// pause before the next one is at most 0.4 s.
	const bound = callTimeout + 400*time.Millisecond
	for _, outage := range []time.Duration{
		100 * time.Millisecond, time.Second, 2 * time.Second, 3300 * time.Millisecond, 4500 * time.Millisecond, 9 * time.Second,
	} {
		t.Run(outage.String(), func(t *testing.T) {
			play(t, wait, func(t *testing.T, s *store, k *sink, _ *follow.Follower) {
				time.Sleep(300 * time.Millisecond)
				s.setSilent(true)
				time.Sleep(outage)
				s.setSilent(false)
				back := time.Now()
				s.put("a")
				time.Sleep(30 * time.Second)
				at, ok := k.learned("a")
				qt.Assert(t, ok, qt.IsTrue)
				limit := bound
				if outage < wait+callTimeout {
					// The call of before the outage is still waited for.
					limit = wait + callTimeout
				}
				qt.Check(t, at.Sub(back) <= limit, qt.IsTrue, qt.Commentf("learned after %v", at.Sub(back)))
			})
		})
	}
}

// Guards against changes that are lost or learned of late in calm times.
func TestChanges(t *testing.T) {
	play(t, 5*time.Second, func(t *testing.T, s *store, k *sink, fol *follow.Follower) {
		for _, key := range []string{"a", "b", "c"} {
			time.Sleep(time.Second)
			s.put(key)
			put := time.Now()
			synctest.Wait()
			at, ok := k.learned(key)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, at, qt.Equals, put)
		}
		qt.Check(t, k.resets, qt.Equals, 1)
		age, ok := fol.Age()
		qt.Check(t, ok && age < 5*time.Second, qt.IsTrue)
	})
}

// Guards against a follower that goes on from a version of which the store has
// dropped the history.
func TestLostHistory(t *testing.T) {
	play(t, time.Second, func(t *testing.T, s *store, k *sink, _ *follow.Follower) {
		time.Sleep(300 * time.Millisecond)
		s.mu.Lock()
		s.version += 10
		s.oldest = s.version
		s.rows = append(s.rows, table.Row{Key: "a", Version: s.version - 5})
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		_, ok := k.learned("a")
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, k.resets, qt.Equals, 2)
	})
}
