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

// callTimeout is how long the platform's client waits for a reply, in addition to
// the wait of a watch.
const callTimeout = 1200 * time.Millisecond

// fakeStore holds one table. While it is unresponsive it answers no call, not even
// those that were already waiting.
type fakeStore struct {
	mu           sync.Mutex
	rows         []table.Row
	version      uint64
	changed      chan struct{}
	toggles      int // number of calls of setUnresponsive
	unresponsive bool
	oldest       uint64 // version before which changes are no longer available
	reads        int
	watches      int
}

func newFakeStore() *fakeStore { return &fakeStore{changed: make(chan struct{}), version: 1} }

func (s *fakeStore) put(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.rows = append(s.rows, table.Row{Key: key, Version: s.version})
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakeStore) setUnresponsive(unresponsive bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unresponsive = unresponsive
	s.toggles++
}

var errNoAnswer = errors.New("no answer")

// call is a call to the store in progress.
type call struct {
	toggles  int // of the store when the call began; it differs now if an outage began or ended meanwhile
	deadline time.Time
}

func (s *fakeStore) begin(wait time.Duration) call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return call{s.toggles, time.Now().Add(wait + callTimeout)}
}

// answer returns nil at once if the store answers the call. Otherwise it blocks
// until the call's deadline and returns an error.
func (s *fakeStore) answer(ctx context.Context, c call) error {
	s.mu.Lock()
	interrupted := s.unresponsive || s.toggles != c.toggles
	s.mu.Unlock()
	if !interrupted {
		return nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(time.Until(c.deadline)):
	}
	return &table.UnavailableError{Err: errNoAnswer}
}

// Commit implements table.Store.
func (s *fakeStore) Commit(context.Context, table.Tx) (table.Commit, error) {
	return table.Commit{}, errNoAnswer
}

// Read implements table.Store.
func (s *fakeStore) Read(ctx context.Context, _ table.Range) (table.Page, error) {
	if err := s.answer(ctx, s.begin(0)); err != nil {
		return table.Page{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	return table.Page{Rows: append([]table.Row{}, s.rows...), Version: s.version}, nil
}

// Watch implements table.Store.
func (s *fakeStore) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) (table.Changes, error) {
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
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			return table.Changes{Rows: rows, Version: version}, s.answer(ctx, c)
		}
		select {
		case <-ctx.Done():
			return table.Changes{}, ctx.Err()
		case <-deadline.C:
			return table.Changes{Version: version}, s.answer(ctx, c)
		case <-changed:
		}
	}
}

// sink records when it first received each row.
type sink struct {
	mu         sync.Mutex
	receivedAt map[string]time.Time
	resets     int
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
		if _, ok := k.receivedAt[r.Key]; !ok {
			k.receivedAt[r.Key] = time.Now()
		}
	}
}

func (k *sink) receiveTime(key string) (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.receivedAt[key]
	return at, ok
}

// runFollower runs a follower of a fakeStore in a synctest bubble while f runs.
func runFollower(t *testing.T, wait time.Duration, f func(t *testing.T, s *fakeStore, k *sink, fol *follow.Follower)) {
	synctest.Test(t, func(t *testing.T) {
		s, k := newFakeStore(), &sink{receivedAt: make(map[string]time.Time)}
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

// Guards against a follower that receives changes long after an outage of the store
// has ended, because a call that was sent during the outage blocks until its timeout.
func TestReturnOfStore(t *testing.T) {
	const wait = 700 * time.Millisecond
	// A call that was sent just before the end of the outage blocks until its
	// timeout, and the delay before the next call is at most 0.4 s.
	const bound = callTimeout + 400*time.Millisecond
	for _, outage := range []time.Duration{
		100 * time.Millisecond, time.Second, 2 * time.Second, 3300 * time.Millisecond, 4500 * time.Millisecond, 9 * time.Second,
	} {
		t.Run(outage.String(), func(t *testing.T) {
			runFollower(t, wait, func(t *testing.T, s *fakeStore, k *sink, _ *follow.Follower) {
				time.Sleep(300 * time.Millisecond)
				s.setUnresponsive(true)
				time.Sleep(outage)
				s.setUnresponsive(false)
				restored := time.Now()
				s.put("a")
				time.Sleep(30 * time.Second)
				at, ok := k.receiveTime("a")
				qt.Assert(t, ok, qt.IsTrue)
				limit := bound
				if outage < wait+callTimeout {
					// The watch that was sent before the outage has not timed out yet.
					limit = wait + callTimeout
				}
				qt.Check(t, at.Sub(restored) <= limit, qt.IsTrue, qt.Commentf("received after %v", at.Sub(restored)))
			})
		})
	}
}

// Guards against changes that are lost or delayed while the store is available.
func TestChanges(t *testing.T) {
	runFollower(t, 5*time.Second, func(t *testing.T, s *fakeStore, k *sink, fol *follow.Follower) {
		for _, key := range []string{"a", "b", "c"} {
			time.Sleep(time.Second)
			s.put(key)
			put := time.Now()
			synctest.Wait()
			at, ok := k.receiveTime(key)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Check(t, at, qt.Equals, put)
		}
		qt.Check(t, k.resets, qt.Equals, 1)
		age, ok := fol.Age()
		qt.Check(t, ok && age < 5*time.Second, qt.IsTrue)
	})
}

// Guards against a follower that misses changes because it continues to watch from
// a version whose history the store no longer has.
func TestLostHistory(t *testing.T) {
	runFollower(t, time.Second, func(t *testing.T, s *fakeStore, k *sink, _ *follow.Follower) {
		time.Sleep(300 * time.Millisecond)
		s.mu.Lock()
		s.version += 10
		s.oldest = s.version
		s.rows = append(s.rows, table.Row{Key: "a", Version: s.version - 5})
		s.mu.Unlock()
		time.Sleep(2 * time.Second)
		_, ok := k.receiveTime("a")
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, k.resets, qt.Equals, 2)
	})
}
