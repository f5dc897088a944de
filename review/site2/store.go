package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   string `json:"Value"` // base64
	Version uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's metadata store. It loses nothing and its replies are
// linearizable. A transaction takes txTime, one after the other.
type store struct {
	begin time.Time

	txMu sync.Mutex // serializes transactions

	mu sync.Mutex
	// loseTable, loseKey and lateBy make the transactions that write this row late: they get no answer
	// and are carried out lateBy after their arrival, if their condition still holds.
	loseTable, loseKey string
	lateBy             time.Duration
	writes, lost       int // calls of rows-tx since the last call of lose
	version            uint64
	rows               map[rowKey]row
	history            []row
	changed            chan struct{}
	objects            map[string][]byte
}

const (
	txTime    = 5 * time.Millisecond
	readTime  = 2 * time.Millisecond
	pageRows  = 500
	maxFeed   = 30 * time.Second
	maxTx     = 100
	maxBody   = 1 << 20
	valueSize = 64 << 10
)

func newStore() *store {
	return &store{begin: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), objects: map[string][]byte{}}
}

// put writes a row of the operator.
func (s *store) put(table, key string, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.applyLocked(row{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b), Version: s.version})
	s.notifyLocked()
}

// get returns the decoded value of a row, or nil.
func (s *store) get(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, part, key}]
	if !ok {
		return nil
	}
	b, _ := base64.StdEncoding.DecodeString(r.Value)
	return b
}

func (s *store) applyLocked(r row) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.history = append(s.history, r)
}

func (s *store) notifyLocked() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path := strings.TrimPrefix(r.URL.Path, "/medlargrade/")
	name, id, _ := strings.Cut(path, "/")
	q := r.URL.Query()
	switch r.Method + " " + name {
	case "POST rows-tx":
		s.serveTx(w, r)
	case "GET rows-get":
		time.Sleep(readTime)
		s.serveGet(w, q.Get("Table"), q.Get("part"), q.Get("From"), q.Get("To"), q.Get("Limit"))
	case "GET rows-feed":
		s.serveFeed(w, r)
	case "PUT blob-put":
		b, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		defer s.mu.Unlock()
		if _, ok := s.objects[id]; ok && r.Header.Get("If-None-Match") == "*" {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
		s.objects[id] = b
		reply(w, http.StatusOK, struct{}{})
	case "GET blob-get":
		s.mu.Lock()
		b, ok := s.objects[id]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		_, _ = w.Write(b)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

type rowsReply struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"HasMore"`
	Version uint64 `json:"Ver"`
	Now     int64  `json:"NowMs"`
}

func (s *store) now() int64 { return time.Since(s.begin).Milliseconds() + 1000 }

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Precondition []row
		Writes       []row
		Remove       []row
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBody+1))
	if err != nil || len(b) > maxBody || json.Unmarshal(b, &t) != nil || len(t.Precondition)+len(t.Writes)+len(t.Remove) > maxTx {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	parts := map[string]bool{}
	for _, list := range [][]row{t.Precondition, t.Writes, t.Remove} {
		for _, x := range list {
			parts[x.Part] = true
		}
	}
	if len(parts) > 1 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, x := range t.Writes {
		if x.Table == "op" || x.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if len(x.Value) > base64.StdEncoding.EncodedLen(valueSize) {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	if delay, lost := s.loses(t.Writes); lost {
		go func() {
			time.Sleep(delay)
			_, _ = s.apply(t.Precondition, t.Writes, t.Remove)
		}()
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, out := s.apply(t.Precondition, t.Writes, t.Remove)
	reply(w, status, out)
}

// lose makes the transactions that write a row late; an empty table ends that.
func (s *store) lose(table, key string, by time.Duration) (writes, lost int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	writes, lost = s.writes, s.lost
	s.loseTable, s.loseKey, s.lateBy, s.writes, s.lost = table, key, by, 0, 0
	return writes, lost
}

func (s *store) loses(writes []row) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	for _, x := range writes {
		if s.loseTable != "" && x.Table == s.loseTable && x.Key == s.loseKey {
			s.lost++
			return s.lateBy, true
		}
	}
	return 0, false
}

// apply carries out a transaction and returns the status and the body of its answer.
func (s *store) apply(conditions, writes, removals []row) (int, rowsReply) {
	s.txMu.Lock()
	defer s.txMu.Unlock()
	time.Sleep(txTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	met := true
	current := []row{}
	for _, c := range conditions {
		x, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if ok {
			current = append(current, x)
		}
		met = met && x.Version == c.Version
	}
	if !met {
		return http.StatusPreconditionFailed, rowsReply{current, false, s.version, s.now()}
	}
	s.version++
	for _, x := range writes {
		x.Version, x.Deleted = s.version, false
		s.applyLocked(x)
	}
	for _, x := range removals {
		if _, ok := s.rows[rowKey{x.Table, x.Part, x.Key}]; ok {
			s.applyLocked(row{Table: x.Table, Part: x.Part, Key: x.Key, Version: s.version, Deleted: true})
		}
	}
	s.notifyLocked()
	return http.StatusOK, rowsReply{[]row{}, false, s.version, s.now()}
}

func (s *store) serveGet(w http.ResponseWriter, table, part, from, to, limit string) {
	n, err := strconv.Atoi(limit)
	if err != nil || n <= 0 || n > pageRows {
		n = pageRows
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for k, x := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			out = append(out, x)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > n
	if more {
		out = out[:n]
	}
	reply(w, http.StatusOK, rowsReply{out, more, s.version, s.now()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(min(time.Duration(wait)*time.Millisecond, maxFeed))
	defer timer.Stop()
	for last := false; ; {
		s.mu.Lock()
		newest := map[rowKey]row{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Version > after; i-- {
			x := s.history[i]
			k := rowKey{x.Table, x.Part, x.Key}
			if _, ok := newest[k]; !ok && x.Table == q.Get("Table") {
				newest[k] = x
			}
		}
		out := []row{}
		for _, x := range newest {
			out = append(out, x)
		}
		sort.Slice(out, func(i, j int) bool { return out[i].Version < out[j].Version })
		version, changed, now := s.version, s.changed, s.now()
		s.mu.Unlock()
		if len(out) > 0 || last {
			reply(w, http.StatusOK, rowsReply{out, false, version, now})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}
