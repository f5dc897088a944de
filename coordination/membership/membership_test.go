package membership

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/state/rows"
)

// fakeStore is an in-memory table of entry rows.
type fakeStore struct {
	rows.Store
	mu        sync.Mutex
	rows      map[string]rows.Row
	version   uint64
	readsDown bool
	writes    fault
}

type fault int

const (
	faultNone fault = iota
	faultDown
	faultLost // takes effect, the answer is lost
)

var errFault = &rows.UnavailableError{Err: errors.New("injected fault")}

func newFakeStore() *fakeStore { return &fakeStore{rows: make(map[string]rows.Row)} }

func (s *fakeStore) Read(_ context.Context, _, key string) (rows.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	switch {
	case s.readsDown:
		return rows.Row{}, errFault
	case !ok:
		return rows.Row{}, rows.ErrNotFound
	}
	return row, nil
}

func (s *fakeStore) Scan(_ context.Context, _, _, after string, limit int) ([]rows.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readsDown {
		return nil, errFault
	}
	var list []rows.Row
	for _, row := range s.rows {
		if row.Key > after {
			list = append(list, row)
		}
	}
	slices.SortFunc(list, func(a, b rows.Row) int { return cmp.Compare(a.Key, b.Key) })
	return list[:min(limit, len(list))], nil
}

func (s *fakeStore) Write(_ context.Context, writes ...rows.Write) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := writes[0]
	switch {
	case s.writes == faultDown:
		return errFault
	case s.rows[w.Key].Version != w.IfVersion:
		return &rows.ConflictError{Keys: []string{w.Key}}
	case w.Delete:
		delete(s.rows, w.Key)
	default:
		s.version++
		s.rows[w.Key] = rows.Row{Key: w.Key, Version: s.version, Value: w.Value}
	}
	if s.writes == faultLost {
		return &rows.LostAnswerError{Err: errFault}
	}
	return nil
}

func (s *fakeStore) set(reads bool, writes fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readsDown, s.writes = reads, writes
}

// startEntry runs a beater and an observer; stop ends both.
func startEntry(t *testing.T, s *fakeStore, name string, incarnation uint64) (*Observer, <-chan error, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	b := NewBeater(s, name, name+":1", incarnation, zerolog.Nop())
	o := NewObserver(s, b, zerolog.Nop())
	done := make(chan error, 1)
	var wg sync.WaitGroup
	wg.Go(func() { done <- b.Run(ctx) })
	wg.Go(func() { o.Run(ctx) })
	return o, done, func() {
		cancel()
		wg.Wait()
	}
}

func names(list []Member) string {
	var names []string
	for _, m := range list {
		names = append(names, m.Name)
	}
	return strings.Join(names, " ")
}

// after waits and compares the live and the silent entries.
func after(t *testing.T, d time.Duration, o *Observer, live, silent string) {
	t.Helper()
	time.Sleep(d)
	synctest.Wait()
	qt.Assert(t, names(o.List()), qt.Equals, live)
	qt.Assert(t, names(o.Silent()), qt.Equals, silent)
}

// Guards against an entry whose death nobody notices, or which is reported
// early, and against the address of an earlier incarnation.
func TestSilentEntry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		a, _, stopA := startEntry(t, s, "a", 1)
		defer stopA()
		_, _, stopB := startEntry(t, s, "b", 2)
		after(t, time.Minute, a, "a b", "")
		stopB()
		changed := a.Changed()
		after(t, SilentAfter-time.Second, a, "a b", "")
		after(t, 2*ScanPeriod, a, "a", "b")
		<-changed

		_, _, stopB = startEntry(t, s, "b", 3)
		after(t, ScanPeriod, a, "a b", "")
		qt.Assert(t, a.List()[1], qt.Equals, Member{Name: "b", Address: "b:1", Incarnation: 3})
		qt.Assert(t, a.Remove(t.Context(), a.List()[1]), qt.ErrorMatches, "entry b is not silent")
		stopB()
		after(t, time.Minute, a, "a", "b")
		qt.Assert(t, a.Remove(t.Context(), a.Silent()[0]), qt.IsNil)
		after(t, ScanPeriod, a, "a", "")
	})
}

// Guards against outages that make live entries look dead: the store unreadable,
// not writable, or taking effect without answers.
func TestOutageIsNoSilence(t *testing.T) {
	tests := []struct {
		name   string
		reads  bool
		writes fault
	}{
		{"down", true, faultDown},
		{"unreadable", true, faultNone},
		{"not writable", false, faultDown},
		{"answers lost", false, faultLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newFakeStore()
				a, doneA, stopA := startEntry(t, s, "a", 1)
				defer stopA()
				time.Sleep(time.Second) // The phases differ.
				_, doneB, stopB := startEntry(t, s, "b", 2)
				defer stopB()
				after(t, 20*time.Second, a, "a b", "")
				s.set(tt.reads, tt.writes)
				for range 100 {
					after(t, time.Second, a, "a b", "")
				}
				s.set(false, faultNone)
				for range 20 {
					after(t, time.Second, a, "a b", "")
				}
				s.set(tt.reads, tt.writes)
				stopB()
				time.Sleep(time.Minute)
				s.set(false, faultNone)
				after(t, SilentAfter+3*ScanPeriod, a, "a", "b")
				qt.Assert(t, len(doneA), qt.Equals, 0)
				qt.Assert(t, <-doneB, qt.IsNil)
			})
		})
	}
}

// Guards against two processes under one name: the later one wins, and the
// earlier one stops instead of taking the row back.
func TestNewIncarnationReplaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newFakeStore()
		s.rows["a"] = rows.Row{Key: "a", Version: 1, Value: []byte("damaged")}
		s.version = 1
		_, done1, stop1 := startEntry(t, s, "a", 1)
		defer stop1()
		time.Sleep(time.Second)
		o, done2, stop2 := startEntry(t, s, "a", 2)
		defer stop2()
		time.Sleep(2 * BeatPeriod)
		synctest.Wait()
		qt.Assert(t, len(done1), qt.Equals, 1)
		var replaced *ReplacedError
		qt.Assert(t, errors.As(<-done1, &replaced), qt.IsTrue)
		qt.Assert(t, *replaced, qt.Equals, ReplacedError{Name: "a", Incarnation: 2})
		after(t, time.Minute, o, "a", "")
		qt.Assert(t, len(done2), qt.Equals, 0)
		qt.Assert(t, o.List()[0].Incarnation, qt.Equals, uint64(2))
	})
}

// Guards against an observer that was paused, or whose scans are slow, counting
// time during which it can't tell whether the store was up.
func TestPausedObserver(t *testing.T) {
	o := NewObserver(newFakeStore(), nil, zerolog.Nop())
	value, err := rows.Encode(rows.Entry{Address: "b:1", Incarnation: 1})
	qt.Assert(t, err, qt.IsNil)
	list := []rows.Row{{Key: "b", Version: 1, Value: value}, {Key: "damaged", Version: 2}}
	start := time.Now()
	scan := func(from, to time.Duration) { o.absorb(list, start.Add(from), start.Add(to)) }
	scan(0, 0)
	scan(time.Minute, time.Minute) // A pause.
	qt.Assert(t, names(o.List()), qt.Equals, "b")
	for i := range 6 { // Scans of 2 s leave 1 s each that counts.
		at := time.Minute + time.Duration(i+1)*ScanPeriod
		scan(at, at+2*time.Second)
	}
	qt.Assert(t, names(o.List()), qt.Equals, "b")
	for i := range 3 {
		at := 2*time.Minute + time.Duration(i+1)*ScanPeriod
		scan(at, at)
	}
	qt.Assert(t, names(o.Silent()), qt.Equals, "b")
}
