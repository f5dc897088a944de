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
// because a request may wait for the end of its job.
const (
	// HeaderTimeout bounds the wait for the header of a request.
	HeaderTimeout = 5 * time.Second
	// BodyTimeout bounds the reading of a whole request, from its first byte.
	BodyTimeout = 30 * time.Second
	// WriteTimeout bounds the writing of a response.
	WriteTimeout = 30 * time.Second
	// IdleTimeout is how long a connection is kept between requests.
	IdleTimeout = 2 * time.Minute
	// maxHeader is the size limit of a request's header in bytes.
	maxHeader = 16 << 10
)

// Server is an HTTP server with the package's timeouts.
type Server struct {
	http    *http.Server
	handler http.Handler
	log     zerolog.Logger
	wg      sync.WaitGroup // requests in progress

	mu     sync.Mutex
	active int  // requests in progress
	cut    bool // no further request starts
}

// NewServer returns a server for the handler, whose requests must return when
// their contexts end.
func NewServer(h http.Handler, log zerolog.Logger) *Server {
	s := &Server{handler: h, log: log}
	s.http = &http.Server{
		Handler:           http.HandlerFunc(s.serveHTTP),
		ReadHeaderTimeout: HeaderTimeout,
		ReadTimeout:       BodyTimeout,
		IdleTimeout:       IdleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          stdlog.New(errorWriter{log}, "", 0),
	}
	return s
}

// Serve accepts connections until Shutdown or an error of the listener. After a
// Shutdown it returns nil at once, before Shutdown itself returns.
func (s *Server) Serve(lis net.Listener) error {
	if err := s.http.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve on %s: %w", lis.Addr(), err)
	}
	return nil
}

// Shutdown closes the listener and the idle connections and waits until every
// request in progress has been answered in full. It does not end the contexts of
// these requests. A request is in progress once its header has been read; one
// that arrives later on an open connection is not read, so it does not run, and
// its caller sees a closed connection.
//
// If ctx ends first, Shutdown closes the remaining connections, which cuts their
// requests short and ends their contexts, waits for their handlers to return, and
// returns an error that says how many requests were cut.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err == nil {
		return nil
	}
	s.mu.Lock()
	s.cut = true
	n := s.active
	s.mu.Unlock()
	_ = s.http.Close()
	s.wg.Wait()
	s.log.Warn().Int("Event", EventRequestsCut).Int("Requests", n).Msg("time for the shutdown is over, requests are cut short")
	return fmt.Errorf("%d requests cut short: %w", n, err)
}

func (s *Server) serveHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if s.cut {
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

// errorWriter logs the errors of net/http.
type errorWriter struct {
	log zerolog.Logger
}

func (w errorWriter) Write(line []byte) (int, error) {
	w.log.Warn().Int("Event", EventServerError).Msg(strings.TrimSpace(string(line)))
	return len(line), nil
}
