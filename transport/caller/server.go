package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"github.com/medlargrade/medlargrade/operator"
)

// Timeouts of a Server and its handler besides those of the configuration. There is
// none for a whole request, because a request may wait for its job to end.
const (
	// BodyTimeout bounds the reading of a whole request, from its first byte.
	BodyTimeout = 30 * time.Second
	// WriteTimeout bounds the writing of a response.
	WriteTimeout = 30 * time.Second
)

// Server is an HTTP server with the package's timeouts and the limits of the
// configuration in force. A change of the limits applies to connections that are
// accepted after it.
type Server struct {
	handler http.Handler
	limits  func() operator.Limits
	log     zerolog.Logger
	wg      sync.WaitGroup // requests in progress

	mu          sync.Mutex
	active      int           // requests in progress
	aborted     bool          // Shutdown has timed out; further requests are dropped
	closed      bool          // Shutdown was called
	generations []*generation // the last one accepts connections
}

// NewServer returns a server for the handler, which must return when the context
// of its request ends. The function limits returns the limits in force, all of them
// above 0.
func NewServer(h http.Handler, limits func() operator.Limits, log zerolog.Logger) *Server {
	return &Server{handler: h, limits: limits, log: log}
}

// Serve accepts connections until Shutdown is called or the listener fails. After
// a call of Shutdown it returns nil immediately, before Shutdown returns.
func (s *Server) Serve(lis net.Listener) error {
	var first net.Conn
	for {
		g := s.nextGeneration(lis, first)
		if g == nil {
			if first != nil {
				_ = first.Close()
			}
			_ = lis.Close()
			return nil
		}
		err := g.http.Serve(g.lis)
		first = g.lis.takeRejected()
		switch {
		case first != nil:
		case errors.Is(err, http.ErrServerClosed):
			return nil
		default:
			return fmt.Errorf("serve on %s: %w", lis.Addr(), err)
		}
	}
}

// nextGeneration returns the generation that accepts connections under the limits in
// force, beginning with first unless it is nil, and forgets those without a
// connection. It returns nil after a call of Shutdown.
func (s *Server) nextGeneration(lis net.Listener, first net.Conn) *generation {
	l := s.limits()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return nil
	}
	gl := &generationListener{Listener: lis, limits: l, current: s.limits, first: first}
	g := newGeneration(l, gl, http.HandlerFunc(s.serveHTTP), errorWriter{s.log})
	s.generations = slices.DeleteFunc(s.generations, func(g *generation) bool { return g.conns.Load() == 0 })
	s.generations = append(s.generations, g)
	return g
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
	s.mu.Lock()
	s.closed = true
	generations := slices.Clone(s.generations)
	s.mu.Unlock()
	var wait errgroup.Group
	for _, g := range generations {
		wait.Go(func() error { return g.http.Shutdown(ctx) })
	}
	err := wait.Wait()
	if err == nil {
		return nil
	}
	s.mu.Lock()
	s.aborted = true
	n := s.active
	s.mu.Unlock()
	for _, g := range generations {
		_ = g.http.Close()
	}
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
