package platform

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/standin/jsonhttp"
	"github.com/medlargrade/medlargrade/state/job"
)

// Defaults of Settings and limits of the protocol.
const (
	DefaultTxTime   = 5 * time.Millisecond
	DefaultReadTime = 2 * time.Millisecond
	DefaultHistory  = 20 * time.Second
	maxTxEntries    = 100
	maxBodyBytes    = 1 << 20
	maxValueBytes   = 64 << 10 // before base64 encoding
	maxReplyRows    = 500
	maxFeedWait     = 30 * time.Second
	maxObjectBytes  = 8 << 20
)

// Settings of a Server. A field that is 0 has its default.
type Settings struct {
	TxTime   time.Duration // duration of a transaction, during which its part is locked
	ReadTime time.Duration // duration of a read
	History  time.Duration // how long changes are kept
}

// Counts counts calls since the start of the server.
type Counts struct {
	Calls     int
	Writes    int // transactions that took effect, including those of Put
	Conflicts int // transactions with a condition that was not met
}

// Server simulates the platform. It is an http.Handler and safe for concurrent use.
type Server struct {
	cfg     Settings
	log     zerolog.Logger
	handler http.Handler
	start   time.Time
	lateTxs sync.WaitGroup

	mu             sync.Mutex // guards the fields below; not held while waiting
	faults         Faults
	faultsChanged  chan struct{} // closed and replaced when the faults change
	counts         Counts
	version        uint64
	rows           map[rowKey]Row
	history        []change
	droppedVersion uint64        // newest version dropped from the history
	changed        chan struct{} // closed and replaced when a row changes or the history is dropped
	partLocks      map[string]chan struct{}
	objects        map[string][]byte
}

// New returns a server with an empty store.
func New(cfg Settings, log zerolog.Logger) *Server {
	if cfg.TxTime == 0 {
		cfg.TxTime = DefaultTxTime
	}
	if cfg.ReadTime == 0 {
		cfg.ReadTime = DefaultReadTime
	}
	if cfg.History == 0 {
		cfg.History = DefaultHistory
	}
	s := &Server{
		cfg: cfg, log: log, start: time.Now(), faultsChanged: make(chan struct{}), changed: make(chan struct{}),
		rows: make(map[rowKey]Row), partLocks: make(map[string]chan struct{}), objects: make(map[string][]byte),
	}
	r := chi.NewRouter()
	r.Post("/medlargrade/rows-tx", s.serveTx)
	r.Get("/medlargrade/rows-get", s.serveRows)
	r.Get("/medlargrade/rows-feed", s.serveFeed)
	r.Put("/medlargrade/blob-put/*", s.putObject)
	r.Get("/medlargrade/blob-get/*", s.getObject)
	r.Delete("/medlargrade/blob-drop/*", s.deleteObject)
	r.Get("/fault", s.getFaults)
	r.Post("/fault", s.postFaults)
	r.Get("/counts", func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Write(w, http.StatusOK, s.Counts()) })
	s.handler = r
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Counts returns the current counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Put writes a row with an empty part, as the platform's operator does.
func (s *Server) Put(table, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(transaction{Writes: []write{{Table: table, Key: key, Value: base64.StdEncoding.EncodeToString(value)}}})
}

// Remove removes a row of part "", like Put.
func (s *Server) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyLocked(transaction{Deletions: []deletion{{Table: table, Key: key}}})
}

// Rows returns the rows of a table and part in key order, regardless of faults.
func (s *Server) Rows(table, part string) []Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.scanLocked(table, part, "", "")
}

// Row returns a row, regardless of faults.
func (s *Server) Row(table, part, key string) (Row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.rows[rowKey{table, part, key}]
	return r, ok
}

// Value returns the value of a row, regardless of faults.
func (s *Server) Value(table, part, key string) ([]byte, bool) {
	row, ok := s.Row(table, part, key)
	if !ok {
		return nil, false
	}
	value, err := base64.StdEncoding.DecodeString(row.Value)
	return value, err == nil
}

// Job returns a recorded job, regardless of faults.
func (s *Server) Job(part, id string) (job.Job, bool) {
	value, ok := s.Value(job.TableJobs, part, id)
	if !ok {
		return job.Job{}, false
	}
	j, err := job.Decode(value)
	return j, err == nil
}

// WaitForLateTransactions waits until the transactions that got no response have been
// executed.
func (s *Server) WaitForLateTransactions() { s.lateTxs.Wait() }

// lockPart locks a part for a transaction, and returns a function that unlocks it.
func (s *Server) lockPart(part string) (release func()) {
	s.mu.Lock()
	ch := s.partLocks[part]
	if ch == nil {
		ch = make(chan struct{}, 1)
		s.partLocks[part] = ch
	}
	s.mu.Unlock()
	ch <- struct{}{}
	return func() { <-ch }
}

func (s *Server) serveTx(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := jsonhttp.Decode(w, r, maxBodyBytes, &t); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	part, singlePart := t.part()
	if reason := t.problem(); reason != "" || !singlePart && !t.Spread {
		refuse(w, http.StatusBadRequest, "the transaction is malformed: "+reason)
		return
	}
	for _, wr := range t.Writes {
		if wr.Table == "op" || wr.Table == "servers" {
			refuse(w, http.StatusForbidden, "the table belongs to the operator")
			return
		}
	}
	if !s.admit(w, r) {
		return
	}
	if lost, delay := s.loseNextResponse(); lost {
		s.executeWithoutResponse(context.WithoutCancel(r.Context()), t, part, delay)
		panic(http.ErrAbortHandler)
	}
	// A transaction that has been received is executed even if its client disconnects.
	ctx := context.WithoutCancel(r.Context())
	release := s.lockPart(part)
	pause.For(ctx, s.scaleTime(s.cfg.TxTime))
	s.mu.Lock()
	version, conflict, ok := s.applyLocked(t)
	s.mu.Unlock()
	release()
	if !ok {
		s.reply(w, http.StatusPreconditionFailed, conflict, false, version)
		return
	}
	s.reply(w, http.StatusOK, nil, false, version)
}

// executeWithoutResponse executes a transaction after the delay, in the background.
func (s *Server) executeWithoutResponse(ctx context.Context, t transaction, part string, delay time.Duration) {
	s.lateTxs.Go(func() {
		pause.For(ctx, delay)
		defer s.lockPart(part)()
		s.mu.Lock()
		defer s.mu.Unlock()
		s.applyLocked(t)
	})
}

// problem returns why a transaction is invalid, or "".
func (t transaction) problem() string {
	if n := t.entryCount(); n == 0 || n > maxTxEntries {
		return fmt.Sprintf("%d entries", n)
	}
	for _, w := range t.Writes {
		if len(w.Value) > base64.StdEncoding.EncodedLen(maxValueBytes) {
			return "the value of row " + w.Key + " is too long"
		}
	}
	return ""
}

type rowsReply struct {
	Rows    []Row  `json:"rows"`
	More    bool   `json:"HasMore"`
	Version uint64 `json:"Ver"`
	Now     int64  `json:"NowMs"`
}

func (s *Server) reply(w http.ResponseWriter, status int, rows []Row, more bool, version uint64) {
	if rows == nil {
		rows = []Row{}
	}
	jsonhttp.Write(w, status, rowsReply{rows, more, version, time.Since(s.start).Milliseconds()})
}

func (s *Server) serveRows(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	pause.For(r.Context(), s.scaleTime(s.cfg.ReadTime))
	q := r.URL.Query()
	limit := intParam(q, "Limit", maxReplyRows)
	s.mu.Lock()
	rows := s.scanLocked(q.Get("Table"), q.Get("part"), q.Get("From"), q.Get("To"))
	version := s.version
	s.mu.Unlock()
	n := min(len(rows), int(limit), maxReplyRows)
	s.reply(w, http.StatusOK, rows[:n], n < len(rows), version)
}

// intParam returns an integer query parameter, or def if it is missing or malformed.
func intParam(q url.Values, name string, def int64) int64 {
	n, err := strconv.ParseInt(q.Get(name), 10, 64)
	if err != nil {
		return def
	}
	return n
}

func (s *Server) serveFeed(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	q := r.URL.Query()
	after := uint64(intParam(q, "After", 0))
	timer := time.NewTimer(min(time.Duration(intParam(q, "WaitMs", 0))*time.Millisecond, maxFeedWait))
	defer timer.Stop()
	for {
		s.mu.Lock()
		rows, ok := s.changesLocked(q.Get("Table"), after)
		version, changed, faults := s.version, s.changed, s.faultsChanged
		s.mu.Unlock()
		if !ok {
			refuse(w, http.StatusGone, "the history is gone")
			return
		}
		timedOut := false
		if len(rows) == 0 {
			select {
			case <-changed:
				continue
			case <-faults:
				// If the store is down now, admit ends the call as it does a new one.
				if !s.admit(w, r) {
					return
				}
				continue
			case <-r.Context().Done():
				return
			case <-timer.C:
				timedOut = true
			}
		}
		if timedOut || len(rows) > 0 {
			s.reply(w, http.StatusOK, rows, false, version)
			return
		}
	}
}

func objectID(r *http.Request) string {
	id, err := jsonhttp.PathParam(r, "*")
	if err != nil {
		return ""
	}
	return id
}

func (s *Server) putObject(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxObjectBytes))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if !s.admit(w, r) {
		return
	}
	id := objectID(r)
	s.mu.Lock()
	_, exists := s.objects[id]
	preconditionFailed := exists && r.Header.Get("If-None-Match") == "*"
	if !preconditionFailed {
		s.objects[id] = body
	}
	s.mu.Unlock()
	if preconditionFailed {
		refuse(w, http.StatusPreconditionFailed, "the object exists")
		return
	}
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

func (s *Server) getObject(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	s.mu.Lock()
	body, ok := s.objects[objectID(r)]
	s.mu.Unlock()
	if !ok {
		refuse(w, http.StatusNotFound, "no such object")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body) // Fails if the client has disconnected.
}

func (s *Server) deleteObject(w http.ResponseWriter, r *http.Request) {
	if !s.admit(w, r) {
		return
	}
	s.mu.Lock()
	delete(s.objects, objectID(r))
	s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

// Objects returns the IDs of all objects.
func (s *Server) Objects() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]string, 0, len(s.objects))
	for id := range s.objects {
		out = append(out, id)
	}
	slices.SortFunc(out, strings.Compare)
	return out
}

// refuse responds to a request that had no effect.
func refuse(w http.ResponseWriter, status int, reason string) {
	jsonhttp.Write(w, status, struct{ Error string }{reason})
}
