package follow_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/follow"
	"github.com/medlargrade/medlargrade/state/table"
)

// slowStore fails the first read of a table and takes readTime for each further one.
type slowStore struct {
	*fakeStore
	readTime time.Duration

	countMu            sync.Mutex
	begun, calls, most int // calls is the number of reads in progress, and most its maximum
}

// Read implements table.Store.
func (s *slowStore) Read(ctx context.Context, r table.Range) (table.Page, error) {
	s.countMu.Lock()
	s.begun++
	first := s.begun == 1
	s.calls++
	s.most = max(s.most, s.calls)
	s.countMu.Unlock()
	defer func() {
		s.countMu.Lock()
		defer s.countMu.Unlock()
		s.calls--
	}()
	if first {
		return table.Page{}, &table.UnavailableError{Err: errNoAnswer}
	}
	select {
	case <-ctx.Done():
		return table.Page{}, &table.UnavailableError{Err: ctx.Err()}
	case <-time.After(s.readTime):
	}
	return s.fakeStore.Read(ctx, r)
}

// Guards against a slow store that gets ever more reads of a whole table, because a follower
// repeats a read without waiting for the former one.
func TestReadsOfSlowStoreAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &slowStore{fakeStore: newFakeStore(), readTime: 20 * time.Second}
		ctx, cancel := context.WithCancel(t.Context())
		f := follow.New(store, follow.Settings{Table: "t", Wait: time.Second}, &sink{receivedAt: make(map[string]time.Time)}, zerolog.Nop())
		done := make(chan struct{})
		go func() {
			defer close(done)
			f.Run(ctx)
		}()
		time.Sleep(21 * time.Second)
		_, ok := f.Age()
		qt.Check(t, ok, qt.IsTrue)
		qt.Check(t, store.most <= 4, qt.IsTrue, qt.Commentf("%d reads at a time", store.most))
		cancel()
		<-done
	})
}
