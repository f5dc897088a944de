package configsync

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/state/rows"
)

var errFault = errors.New("injected fault")

// fakeStore is an in-memory rows.Store with faults. Its fields may be set while
// no operation runs.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[string]rows.Row // by table and key
	objects map[string][]byte
	version uint64

	tablesDown  bool // the tables refuse every operation
	objectsDown bool // the objects refuse every operation
	silent      bool // operations end with their context only
	headReads   int
	lateAnswer  time.Duration // of the next read only, after its effect

	// onWrite, if set, decides the fate of a conditional write.
	onWrite func() fate
	random  *rand.Rand // if set, operations take a random time
}

// fate is what happens to a write.
type fate int

const (
	fateNormal     fate = iota
	fateLostAfter       // takes effect, the answer is lost
	fateLostBefore      // takes no effect, the answer is lost
	fateRefused         // takes no effect, known
)

func newFakeStore() *fakeStore {
	return &fakeStore{rows: make(map[string]rows.Row), objects: make(map[string][]byte)}
}

// begin waits for the latency of the operation and returns its fault.
func (s *fakeStore) begin(ctx context.Context, down func() bool) error {
	s.mu.Lock()
	latency := time.Duration(0)
	if s.random != nil {
		latency = time.Duration(s.random.IntN(20)) * time.Millisecond
	}
	silent, refused := s.silent, down()
	s.mu.Unlock()
	if silent {
		<-ctx.Done()
		return &rows.LostAnswerError{Err: ctx.Err()}
	}
	if refused {
		return &rows.UnavailableError{Err: errFault}
	}
	if err := sleep(ctx, latency); err != nil {
		return &rows.LostAnswerError{Err: err}
	}
	return nil
}

func (s *fakeStore) tables() bool { return s.tablesDown }
func (s *fakeStore) blobs() bool  { return s.objectsDown }

func (s *fakeStore) Read(ctx context.Context, table, key string) (rows.Row, error) {
	if err := s.begin(ctx, s.tables); err != nil {
		return rows.Row{}, err
	}
	s.mu.Lock()
	if key == rows.HeadKey {
		s.headReads++
	}
	row, ok := s.rows[table+"/"+key]
	late := s.lateAnswer
	s.lateAnswer = 0
	s.mu.Unlock()
	if err := sleep(ctx, late); err != nil {
		return rows.Row{}, &rows.LostAnswerError{Err: err}
	}
	if !ok {
		return rows.Row{}, rows.ErrNotFound
	}
	return row, nil
}

func (s *fakeStore) Scan(ctx context.Context, table, prefix, after string, limit int) ([]rows.Row, error) {
	if err := s.begin(ctx, s.tables); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []rows.Row
	for _, k := range slices.Sorted(maps.Keys(s.rows)) {
		key, ok := strings.CutPrefix(k, table+"/")
		if ok && strings.HasPrefix(key, prefix) && key > after && len(list) < limit {
			list = append(list, s.rows[k])
		}
	}
	return list, nil
}

func (s *fakeStore) Write(ctx context.Context, writes ...rows.Write) error {
	f := fateNormal
	if s.onWrite != nil {
		f = s.onWrite()
	}
	if f == fateRefused {
		return &rows.UnavailableError{Err: errFault}
	}
	if err := s.begin(ctx, s.tables); err != nil {
		return err
	}
	if f == fateLostBefore {
		return &rows.LostAnswerError{Err: errFault}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range writes {
		if s.rows[w.Table+"/"+w.Key].Version != w.IfVersion {
			return &rows.ConflictError{Keys: []string{w.Table + "/" + w.Key}}
		}
	}
	for _, w := range writes {
		s.version++
		s.rows[w.Table+"/"+w.Key] = rows.Row{Key: w.Key, Version: s.version, Value: w.Value}
	}
	if f == fateLostAfter {
		return &rows.LostAnswerError{Err: errFault}
	}
	return nil
}

func (s *fakeStore) ReadObject(ctx context.Context, key string) ([]byte, error) {
	if err := s.begin(ctx, s.blobs); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	body, ok := s.objects[key]
	if !ok {
		return nil, rows.ErrNotFound
	}
	return body, nil
}

func (s *fakeStore) WriteObject(ctx context.Context, key string, body []byte) error {
	if err := s.begin(ctx, s.blobs); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.objects[key]; ok && !bytes.Equal(old, body) {
		return &rows.ConflictError{Keys: []string{key}}
	}
	s.objects[key] = body
	return nil
}

// set changes the faults while operations may run.
func (s *fakeStore) set(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
}

// keys lists the rows of the tables for comparison.
func (s *fakeStore) keys() string {
	return fmt.Sprint(slices.Sorted(maps.Keys(s.rows)))
}
