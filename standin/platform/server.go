package platform

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
	"golang.org/x/time/rate"

	"github.com/medlargrade/medlargrade/protocol/platformapi"
	"github.com/medlargrade/medlargrade/standin/jsonhttp"
)

// Rates that the table service and the object store sustain together.
const (
	DefaultWritesPerSecond = 400
	DefaultReadsPerSecond  = 2000
)

// burstTime is the time whose worth of requests may pass at once after a quiet
// time.
const burstTime = 50 * time.Millisecond

// Settings of a Server. A rate of 0 stands for the default, a negative one for
// no limit.
type Settings struct {
	WritesPerSecond float64
	ReadsPerSecond  float64
}

// Counts are the requests that the server has carried out.
type Counts struct {
	Reads     int // rows, scans and objects, found or not
	Writes    int // that took effect
	Conflicts int // writes refused because of a condition
}

// Server is the stand-in. It is an http.Handler and safe for concurrent use.
type Server struct {
	log           zerolog.Logger
	handler       http.Handler
	writes, reads *rate.Limiter

	mu      sync.Mutex // guards all below; never held over a wait
	faults  Faults
	counts  Counts
	version uint64
	tables  map[string]*table
	objects map[string][]byte
}

// New returns a server that holds nothing.
func New(settings Settings, log zerolog.Logger) *Server {
	s := &Server{
		log:     log,
		writes:  newLimiter(settings.WritesPerSecond, DefaultWritesPerSecond),
		reads:   newLimiter(settings.ReadsPerSecond, DefaultReadsPerSecond),
		tables:  make(map[string]*table),
		objects: make(map[string][]byte),
	}
	r := chi.NewRouter()
	r.Post(platformapi.PathRead, s.readRow)
	r.Post(platformapi.PathScan, s.scanRows)
	r.Post(platformapi.PathWrite, s.writeRows)
	r.Get(platformapi.PathObject+"*", s.readObject)
	r.Put(platformapi.PathObject+"*", s.writeObject)
	r.Get("/fault", s.getFaults)
	r.Post("/fault", s.postFaults)
	r.Get("/counts", s.getCounts)
	s.handler = r
	return s
}

func newLimiter(perSecond, fallback float64) *rate.Limiter {
	switch {
	case perSecond < 0:
		return rate.NewLimiter(rate.Inf, 0)
	case perSecond == 0:
		perSecond = fallback
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstTime.Seconds())))
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// Counts returns the counts since the start.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Rows returns all rows of a table in key order, without regard to faults and
// rates.
func (s *Server) Rows(name string) []platformapi.Row {
	s.mu.Lock()
	defer s.mu.Unlock()
	if t := s.tables[name]; t != nil {
		return t.scan("", "", len(t.keys))
	}
	return nil
}

func (s *Server) getCounts(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, s.Counts())
}

func (s *Server) readRow(w http.ResponseWriter, r *http.Request) {
	var req platformapi.ReadRequest
	if !decode(w, r, &req) || !s.admit(w, r, s.reads, tables, false) {
		return
	}
	s.mu.Lock()
	s.counts.Reads++
	row, ok := s.rowLocked(req.Table, req.Key)
	s.mu.Unlock()
	if !ok {
		refuse(w, http.StatusNotFound, "no such row")
		return
	}
	jsonhttp.Write(w, http.StatusOK, row)
}

func (s *Server) scanRows(w http.ResponseWriter, r *http.Request) {
	var req platformapi.ScanRequest
	if !decode(w, r, &req) {
		return
	}
	if req.Limit < 1 {
		refuse(w, http.StatusBadRequest, "Limit is less than 1")
		return
	}
	if !s.admit(w, r, s.reads, tables, false) {
		return
	}
	reply := platformapi.ScanReply{Rows: []platformapi.Row{}}
	s.mu.Lock()
	s.counts.Reads++
	if t := s.tables[req.Table]; t != nil {
		reply.Rows = append(reply.Rows, t.scan(req.Prefix, req.After, req.Limit)...)
	}
	s.mu.Unlock()
	jsonhttp.Write(w, http.StatusOK, reply)
}

func (s *Server) writeRows(w http.ResponseWriter, r *http.Request) {
	var req platformapi.WriteRequest
	if !decode(w, r, &req) {
		return
	}
	if reason := invalidWrites(req.Writes); reason != "" {
		refuse(w, http.StatusBadRequest, reason)
		return
	}
	if !s.admit(w, r, s.writes, tables, true) {
		return
	}
	if conflicts := s.apply(req.Writes); len(conflicts) > 0 {
		jsonhttp.Write(w, http.StatusConflict, platformapi.ErrorReply{Error: "conflict", Keys: conflicts, NotApplied: true})
		return
	}
	s.answerWrite(w)
}

func (s *Server) readObject(w http.ResponseWriter, r *http.Request) {
	key, err := jsonhttp.PathParam(r, "*")
	if err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	if !s.admit(w, r, s.reads, objects, false) {
		return
	}
	s.mu.Lock()
	s.counts.Reads++
	body, ok := s.objects[key]
	s.mu.Unlock()
	if !ok {
		refuse(w, http.StatusNotFound, "no such object")
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_, _ = w.Write(body) // The caller may have gone.
}

func (s *Server) writeObject(w http.ResponseWriter, r *http.Request) {
	key, err := jsonhttp.PathParam(r, "*")
	if err != nil || key == "" || r.Header.Get("If-None-Match") != "*" {
		refuse(w, http.StatusBadRequest, "no valid key, or no header If-None-Match: *")
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, platformapi.MaxBody))
	if err != nil {
		refuse(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if !s.admit(w, r, s.writes, objects, true) {
		return
	}
	s.mu.Lock()
	_, exists := s.objects[key]
	if exists {
		s.counts.Conflicts++
	} else {
		s.counts.Writes++
		s.objects[key] = body
	}
	s.mu.Unlock()
	if exists {
		refuse(w, http.StatusPreconditionFailed, "object exists")
		return
	}
	s.answerWrite(w)
}

// admit delays a request as the rate limit and the faults demand. It reports
// false after it has answered a request that is not to be carried out.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter, part service, write bool) bool {
	f := s.Faults()
	if f.down(part) {
		refuse(w, http.StatusServiceUnavailable, "service is down")
		return false
	}
	ctx := r.Context()
	if write && f.LateWrites {
		ctx = context.WithoutCancel(ctx)
	}
	err := limit.Wait(ctx)
	if err == nil {
		err = sleep(ctx, time.Duration(f.DelayMillis)*time.Millisecond)
	}
	if err != nil {
		panic(http.ErrAbortHandler) // The caller has gone.
	}
	if s.Faults().down(part) {
		refuse(w, http.StatusServiceUnavailable, "service is down")
		return false
	}
	return true
}

// answerWrite answers a write that took effect, or drops the connection.
func (s *Server) answerWrite(w http.ResponseWriter) {
	if s.loseAnswer() {
		panic(http.ErrAbortHandler)
	}
	jsonhttp.Write(w, http.StatusOK, platformapi.WriteReply{Applied: true})
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := jsonhttp.Decode(w, r, platformapi.MaxBody, into); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// refuse answers a request that had no effect.
func refuse(w http.ResponseWriter, status int, reason string) {
	jsonhttp.Write(w, status, platformapi.ErrorReply{Error: reason, NotApplied: true})
}
