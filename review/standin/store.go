package main

import (
	"encoding/base64"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// txTime is how long a transaction takes, as in the settings' platform.TxMs.
const txTime = 5 * time.Millisecond

type rowKey struct{ table, part, key string }

type row struct {
	value string // base64, as it was sent
	ver   uint64
}

type change struct {
	key     rowKey
	row     row
	deleted bool
}

// txFault decides what happens to a transaction.
type txFault int

const (
	txServe   txFault = iota
	txDelayed         // the call gets no answer; it is performed later if its condition still holds
)

// store is a stand-in for the platform's metadata store. It loses nothing and is linearizable.
type store struct {
	rec   *recorder
	start time.Time
	lis   net.Listener

	mu      sync.Mutex
	rows    map[rowKey]row
	ver     uint64
	log     []change
	changed chan struct{} // closed and replaced with each transaction
	blobs   map[string][]byte
	// fault is asked for each transaction; nil serves all.
	fault func(tx *txMessage) (txFault, time.Duration)
}

type rowMessage struct {
	Table   string `json:"Table"`
	Part    string `json:"part"`
	Key     string `json:"Key"`
	Value   string `json:"Value,omitempty"`
	Ver     uint64 `json:"Ver"`
	Deleted bool   `json:"Deleted,omitempty"`
}

type txMessage struct {
	Precondition []rowMessage `json:"Precondition"`
	Writes       []rowMessage `json:"Writes"`
	Remove       []rowMessage `json:"Remove"`
}

func newStore(rec *recorder) (*store, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{
		rec: rec, start: time.Now(), lis: lis, rows: make(map[rowKey]row), changed: make(chan struct{}), blobs: make(map[string][]byte),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /medlargrade/rows-tx", s.serveTx)
	mux.HandleFunc("GET /medlargrade/rows-get", s.serveGet)
	mux.HandleFunc("GET /medlargrade/rows-feed", s.serveFeed)
	mux.HandleFunc("GET /medlargrade/rows-parts", s.serveParts)
	mux.HandleFunc("PUT /medlargrade/blob-put/{id}", s.serveBlobPut)
	mux.HandleFunc("GET /medlargrade/blob-get/{id}", s.serveBlobGet)
	go func() { _ = http.Serve(lis, mux) }()
	return s, nil
}

func (s *store) url() string { return "http://" + s.lis.Addr().String() }

func (s *store) setFault(f func(tx *txMessage) (txFault, time.Duration)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// put writes a row as the platform's operator does.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(&txMessage{Writes: []rowMessage{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(b)}}})
	s.rec.printf("operator writes %s/%s: %s", table, key, b)
}

// get returns the decoded value of a row, and whether it exists.
func (s *store) get(table, part, key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, part, key}]
	if !ok {
		return nil, false
	}
	b, err := base64.StdEncoding.DecodeString(r.value)
	return b, err == nil
}

// holdsLocked reports whether the conditions of a transaction hold.
func (s *store) holdsLocked(tx *txMessage) bool {
	return !slices.ContainsFunc(tx.Precondition, func(c rowMessage) bool { return s.rows[rowKey{c.Table, c.Part, c.Key}].ver != c.Ver })
}

func (s *store) applyLocked(tx *txMessage) {
	s.ver++
	for _, w := range tx.Writes {
		k := rowKey{w.Table, w.Part, w.Key}
		s.rows[k] = row{w.Value, s.ver}
		s.log = append(s.log, change{key: k, row: s.rows[k]})
	}
	for _, d := range tx.Remove {
		k := rowKey{d.Table, d.Part, d.Key}
		if _, ok := s.rows[k]; !ok {
			continue
		}
		delete(s.rows, k)
		s.log = append(s.log, change{key: k, row: row{ver: s.ver}, deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) nowMs() int64 { return time.Since(s.start).Milliseconds() }

func (s *store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx txMessage
	body, err := io.ReadAll(r.Body)
	if err != nil || json.Unmarshal(body, &tx) != nil || len(tx.Precondition)+len(tx.Writes)+len(tx.Remove) > 100 || len(body) > 1<<20 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, m := range slices.Concat(tx.Writes, tx.Remove) {
		if m.Table == "op" || m.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if b, err := base64.StdEncoding.DecodeString(m.Value); err != nil || len(b) > 64<<10 {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	time.Sleep(txTime)
	s.mu.Lock()
	fault, delay := txServe, time.Duration(0)
	if s.fault != nil {
		fault, delay = s.fault(&tx)
	}
	if fault == txDelayed {
		s.mu.Unlock()
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.holdsLocked(&tx) {
				s.applyLocked(&tx)
				s.rec.printf("store performs the call without an answer now: %s", describe(&tx))
			}
		})
		// The channel delivers nothing further.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	defer s.mu.Unlock()
	reply := map[string]any{"NowMs": s.nowMs()}
	status := http.StatusOK
	if s.holdsLocked(&tx) {
		s.applyLocked(&tx)
	} else {
		status = http.StatusPreconditionFailed
		rows := []rowMessage{}
		for _, c := range tx.Precondition {
			if cur, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]; ok {
				rows = append(rows, rowMessage{Table: c.Table, Part: c.Part, Key: c.Key, Value: cur.value, Ver: cur.ver})
			}
		}
		reply["rows"] = rows
	}
	reply["Ver"] = s.ver
	writeJSON(w, status, reply)
}

func describe(tx *txMessage) string {
	var out []string
	for _, m := range tx.Writes {
		out = append(out, "write "+m.Table+"/"+m.Key)
	}
	for _, m := range tx.Remove {
		out = append(out, "remove "+m.Table+"/"+m.Key)
	}
	return strings.Join(out, ", ")
}

func (s *store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table, part, from, to := q.Get("Table"), q.Get("part"), q.Get("From"), q.Get("To")
	limit := 500
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 && n < limit {
		limit = n
	}
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	rows := []rowMessage{}
	for k, v := range s.rows {
		if k.table == table && k.part == part && k.key >= from && (to == "" || k.key < to) {
			rows = append(rows, rowMessage{Table: k.table, Part: k.part, Key: k.key, Value: v.value, Ver: v.ver})
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	writeJSON(w, http.StatusOK, map[string]any{"rows": rows[:min(limit, len(rows))], "HasMore": more, "Ver": s.ver, "NowMs": s.nowMs()})
}

func (s *store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	table := q.Get("Table")
	after, _ := strconv.ParseUint(q.Get("After"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.NewTimer(time.Duration(min(wait, 30_000)) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		rows := s.changesLocked(table, after)
		ver, changed := s.ver, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"rows": rows, "Ver": ver, "NowMs": s.nowMs()})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, map[string]any{"rows": []rowMessage{}, "Ver": ver, "NowMs": s.nowMs()})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesLocked returns the newest state of each row of a table that changed after a version.
func (s *store) changesLocked(table string, after uint64) []rowMessage {
	newest := make(map[rowKey]change)
	for i := len(s.log) - 1; i >= 0 && s.log[i].row.ver > after; i-- {
		c := s.log[i]
		if _, ok := newest[c.key]; !ok && c.key.table == table {
			newest[c.key] = c
		}
	}
	rows := []rowMessage{}
	for k, c := range newest {
		rows = append(rows, rowMessage{Table: k.table, Part: k.part, Key: k.key, Value: c.row.value, Ver: c.row.ver, Deleted: c.deleted})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Ver < rows[j].Ver })
	return rows
}

func (s *store) serveParts(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	parts := []string{}
	for k := range s.rows {
		if k.table == r.URL.Query().Get("Table") && !slices.Contains(parts, k.part) {
			parts = append(parts, k.part)
		}
	}
	slices.Sort(parts)
	writeJSON(w, http.StatusOK, map[string]any{"parts": parts, "HasMore": false, "Ver": s.ver, "NowMs": s.nowMs()})
}

func (s *store) serveBlobPut(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.blobs[r.PathValue("id")]; err != nil || ok {
		w.WriteHeader(http.StatusPreconditionFailed)
		return
	}
	s.blobs[r.PathValue("id")] = b
	w.WriteHeader(http.StatusOK)
}

func (s *store) serveBlobGet(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.blobs[r.PathValue("id")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_, _ = w.Write(b)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
