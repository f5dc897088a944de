package caller

import (
	"errors"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/medlargrade/medlargrade/operator"
)

// errLimitsChanged ends the http.Server of a generation that takes no more
// connections.
var errLimitsChanged = errors.New("the limits have changed")

// generation serves the connections that were accepted under one configuration's
// limits. An http.Server reads its limits without a lock, so that they can't be
// changed while it serves.
type generation struct {
	limits operator.Limits
	http   *http.Server
	lis    *generationListener
	conns  atomic.Int64 // open connections
}

func newGeneration(l operator.Limits, lis *generationListener, h http.Handler, w errorWriter) *generation {
	g := &generation{limits: l, lis: lis}
	g.http = &http.Server{
		Handler:           h,
		ReadHeaderTimeout: l.HeaderTimeout,
		ReadTimeout:       max(BodyTimeout, l.HeaderTimeout),
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    l.HeaderBytes,
		ErrorLog:          stdlog.New(w, "", 0),
		ConnState: func(_ net.Conn, state http.ConnState) {
			switch state {
			case http.StateNew:
				g.conns.Add(1)
			case http.StateClosed, http.StateHijacked:
				g.conns.Add(-1)
			case http.StateActive, http.StateIdle:
			}
		},
	}
	return g
}

// generationListener accepts connections for one generation until the limits change.
type generationListener struct {
	net.Listener
	limits  operator.Limits
	current func() operator.Limits

	mu       sync.Mutex
	first    net.Conn // accepted by the generation before, if any
	rejected net.Conn // accepted after the limits had changed
}

// Accept returns errLimitsChanged with the first connection that is to be served
// under other limits; the next generation serves it.
func (l *generationListener) Accept() (net.Conn, error) {
	l.mu.Lock()
	conn := l.first
	l.first = nil
	l.mu.Unlock()
	if conn == nil {
		var err error
		if conn, err = l.Listener.Accept(); err != nil {
			return nil, err
		}
	}
	if l.current() == l.limits {
		return conn, nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rejected = conn
	return nil, errLimitsChanged
}

// Close closes the listener, unless another generation goes on with it.
func (l *generationListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rejected != nil {
		return nil
	}
	if l.first != nil {
		_ = l.first.Close()
	}
	return l.Listener.Close()
}

// takeRejected returns the connection that the next generation serves.
func (l *generationListener) takeRejected() net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.rejected
}
