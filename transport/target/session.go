package target

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

// Reasons for the end of a session.
var (
	// ErrExpired reports that the target has expired the session, or may have:
	// the granted time has passed since the last answered ping was sent.
	ErrExpired = errors.New("session has expired")
	// ErrIdle reports that the session was not used for SessionIdle.
	ErrIdle = errors.New("session was not used")
)

// Session is the right of this entry to send effects to one incarnation of a
// target process. Its methods are safe for concurrent use.
type Session struct {
	pool        *Pool
	id          uint64
	incarnation uint64
	target      string
	address     string
	client      targetrpc.DRPCTargetClient
	validity    time.Duration // since the sending of the last answered ping
	leaving     atomic.Bool
	uptime      atomic.Uint64 // of the target process at the last answered ping, in ms
	ended       chan struct{} // closed when err is set

	mu   sync.Mutex
	sent time.Time // when the last answered ping was sent
	used time.Time
	err  error
}

func newSession(p *Pool, address string, sent time.Time, reply *targetrpc.OpenSessionReply) (*Session, error) {
	if reply.GetSession() == 0 {
		return nil, errors.New("target granted no session")
	}
	expiry := time.Duration(reply.GetExpiryMillis()) * time.Millisecond
	if expiry <= SessionMargin {
		return nil, fmt.Errorf("session expiry of %v is not above the margin of %v", expiry, SessionMargin)
	}
	s := &Session{
		pool:        p,
		id:          reply.GetSession(),
		incarnation: reply.GetIncarnation(),
		target:      reply.GetTarget(),
		address:     address,
		validity:    expiry - SessionMargin,
		ended:       make(chan struct{}),
		sent:        sent,
		used:        time.Now(),
	}
	s.leaving.Store(reply.GetLeaving())
	s.uptime.Store(reply.GetUptimeMillis())
	s.client = targetrpc.NewDRPCTargetClient(&sessionConn{Conn: p.calls.Conn(address), session: s})
	return s, nil
}

// ID returns the ID of the session, which is never zero.
func (s *Session) ID() uint64 { return s.id }

// Incarnation returns the incarnation of the target process.
func (s *Session) Incarnation() uint64 { return s.incarnation }

// Target returns the name of the target.
func (s *Session) Target() string { return s.target }

// Address returns the address of the target process.
func (s *Session) Address() string { return s.address }

// Leaving reports whether the target takes no new work.
func (s *Session) Leaving() bool { return s.leaving.Load() }

// Uptime returns how long the target process had run when it last answered a
// ping. What is sent from now on reaches it later than that.
func (s *Session) Uptime() time.Duration {
	return time.Duration(s.uptime.Load()) * time.Millisecond
}

// Client returns a client whose calls fail with a NotSentError once the session
// is not live. A call that is in progress then goes on.
func (s *Session) Client() targetrpc.DRPCTargetClient { return s.client }

// Ended returns a channel that is closed when the session has ended. In a process
// that was paused the channel may lag; Live does not.
func (s *Session) Ended() <-chan struct{} { return s.ended }

// Err returns why the session ended, or nil.
func (s *Session) Err() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// Live reports whether the target still honours the session, as far as this side
// can tell. It compares the monotonic clock with the sending of the last answered
// ping, so it is right even if the process was paused until just now.
func (s *Session) Live() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err == nil && time.Since(s.sent) >= s.validity {
		s.endLocked(ErrExpired)
	}
	return s.err == nil
}

// keep pings until the session ends. It is the session's goroutine.
func (s *Session) keep(ctx context.Context) {
	ticker := time.NewTicker(PingPeriod)
	defer ticker.Stop()
	for s.Live() {
		select {
		case <-ctx.Done():
			s.end(ErrClosed)
		case <-s.ended:
		case <-ticker.C:
			if s.isIdle() {
				s.end(ErrIdle)
			} else if s.Live() {
				s.ping(ctx)
			}
		}
	}
	s.pool.cfg.Log.Debug().Int("Event", EventSessionEnded).Str("Target", s.target).Str("Address", s.address).
		Uint64("Session", s.id).Err(s.Err()).Msg("session ended")
}

// ping renews the session or ends it.
func (s *Session) ping(ctx context.Context) {
	sent := time.Now()
	pingCtx, cancel := context.WithTimeout(ctx, PingDeadline)
	defer cancel()
	client := targetrpc.NewDRPCTargetClient(s.pool.pings.Conn(s.address))
	reply, err := client.Ping(pingCtx, &targetrpc.PingRequest{Session: s.id, Generation: s.pool.generation()})
	switch {
	case ctx.Err() != nil:
		s.end(ErrClosed)
	case err != nil:
		s.end(err)
		// The other connections may be silent too. Their calls fail now, and
		// their callers ask for the attempts over new connections.
		s.pool.calls.CloseOpenedBefore(s.address, sent)
	case reply.GetExpired():
		s.end(ErrExpired)
	default:
		s.leaving.Store(reply.GetLeaving())
		s.uptime.Store(reply.GetUptimeMillis())
		s.mu.Lock()
		s.sent = sent
		s.mu.Unlock()
	}
}

func (s *Session) touch() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used = time.Now()
}

func (s *Session) isIdle() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Since(s.used) >= SessionIdle
}

func (s *Session) end(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLocked(err)
}

func (s *Session) endLocked(err error) {
	if s.err == nil {
		s.err = err
		close(s.ended)
	}
}

// sessionConn refuses calls once the session is not live.
type sessionConn struct {
	drpc.Conn
	session *Session
}

func (c *sessionConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	if !c.session.Live() {
		err := &NotSentError{Err: fmt.Errorf("session %d: %w", c.session.id, c.session.Err())}
		return outcome.Step("use session", c.session.address, err)
	}
	c.session.touch()
	return c.Conn.Invoke(ctx, rpc, enc, in, out)
}
