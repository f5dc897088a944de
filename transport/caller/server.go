package caller

import (
	"context"
	"errors"
	"fmt"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Timeouts of a Server and its handler. There is none for a whole request,
// because a request may wait for its job to end.
const (
	// HeaderTimeout bounds the reading of a request's header.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout bounds the reading of a whole request, from its first byte.
	BodyTimeout = 30 * time.Second
	// WriteTimeout bounds the writing of a response.
	WriteTimeout = 30 * time.Second
	// IdleTimeout is how long a connection is kept between requests.
	IdleTimeout = 2 * time.Minute
	// maxHeaderBytes limits the size of a request's header.
	maxHeaderBytes = 16 << 10
)

// Server is an HTTP server with the package's timeouts.
type Server struct {
	http    *http.Server
	handler http.Handler
	log     zerolog.Logger
	wg      sync.WaitGroup // requests in progress

	mu      sync.Mutex
	active  int  // requests in progress
	aborted bool // Shutdown has timed out; further requests are dropped
}

// NewServer returns a server for the handler, which must return when the context
// of its request ends.
func NewServer(h http.Handler, log zerolog.Logger) *Server {
	s := &Server{handler: h, log: log}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		ReadHeaderTimeout: HeaderTimeout,
		ReadTimeout:       BodyTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          stdlog.New(errorWriter{log}, "", 0),
	}
	return s
}

// Serve accepts connections until Shutdown is called or the listener fails. After
// a call of Shutdown it returns nil immediately, before Shutdown returns.
func (s *Server) Serve(lis net.Listener) error {
	if err := s.http.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", lis.Addr(), err)
	}
	return nil
}

// Shutdown closes the listener and the idle connections and waits until every
// request in progress has been answered completely. It does not cancel the
// contexts of these requests. A request is in progress once its header has been
// read. A request that arrives later on an open connection is not read and does
// not run, and its caller finds the connection closed.
//
// If ctx ends first, Shutdown closes the remaining connections, which cancels the
// contexts of their requests, waits for the handlers to return, and returns an
// error with the number of aborted requests.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	s.mu.Lock()
	s.aborted = true
	n := s.active
	s.mu.Unlock()
	_ = s.http.Close()
	s.wg.Wait()
	s.log.Warn().Int("Event", EventRequestsCut).Int("Requests", n).Msg("shutdown timed out; requests in progress were aborted")
	return fmt.Errorf("%d requests cut short: %w", n, err)
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.aborted {
		s.mu.Unlock()
		return
	}
	s.active++
	s.wg.Add(1)
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
		s.wg.Done()
	}()
	s.handler.ServeHTTP(w, r)
}

// errorWriter writes the error log of net/http to a zerolog.Logger.
type errorWriter struct {
	log zerolog.Logger
}

func (w errorWriter) Write(line []byte) (int, error) {
	w.log.Warn().Int("Event", EventServerError).Msg(strings.TrimSpace(string(line)))
	return len(line), nil
}
