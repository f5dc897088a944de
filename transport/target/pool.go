package target

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/transport/rpc"
)

// Times of sessions.
const (
	// PingPeriod is the time between the pings of a session.
	PingPeriod = 3 * time.Second
	// PingDeadline is how long a ping may take, and also the opening of a session.
	PingDeadline = 2 * time.Second
	// SessionMargin is subtracted from the expiry that the target grants. It
	// covers the drift between the clocks and the way of a request to the target.
	SessionMargin = time.Second
	// SessionIdle is how long a session without use is kept.
	SessionIdle = time.Minute
)

// NotSentError reports a call that the target did not receive.
type NotSentError = rpc.NotSentError

// ErrClosed reports the use of a closed pool.
var ErrClosed = rpc.ErrClosed

// Settings of a Pool.
type Settings struct {
	// Entry is the name of this entry, and Incarnation its incarnation. Both are
	// unused in a pool without sessions, such as that of a gang member.
	Entry       string
	Incarnation uint64
	// Dial opens a connection and honours its context.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Generation returns the generation of this process. It may be nil.
	Generation func() uint64
	// Learn is called with the generation of a reply that is higher than that of
	// this process, and with the target's address. It must not block. It may be nil.
	Learn func(generation uint64, address string)
	Log   zerolog.Logger
}

// Pool holds connections to targets and sessions with them, by address. It uses
// at most rpc.ConnLimit connections per address, of which one carries the pings.
// Its methods are safe for concurrent use.
type Pool struct {
	cfg   Settings
	calls *rpc.Pool
	pings *rpc.Pool
	wg    sync.WaitGroup
	ctx   context.Context // ends with Close
	stop  context.CancelFunc

	mu       sync.Mutex
	closed   bool
	sessions map[string]*opening
}

// opening is a session that is being opened or is open.
type opening struct {
	done    chan struct{} // closed when session and err are set
	session *Session
	err     error
}

// NewPool returns a pool without connections. Close releases it.
func NewPool(cfg Settings) *Pool {
	p := &Pool{
		cfg:      cfg,
		sessions: make(map[string]*opening),
		calls: rpc.NewPool(rpc.Settings{
			Dial: cfg.Dial, Limit: rpc.ConnLimit - 1, Generation: cfg.Generation, Learn: cfg.Learn,
		}),
		// Pings have a connection of their own, so that they do not wait behind
		// long polls.
		pings: rpc.NewPool(rpc.Settings{
			Dial: cfg.Dial, Limit: 1, Generation: cfg.Generation, Learn: cfg.Learn,
		}),
	}
	p.ctx, p.stop = context.WithCancel(context.Background())
	return p
}

// Close ends all sessions and calls and waits for their goroutines.
func (p *Pool) Close() error {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.stop()
	err := errors.Join(p.calls.Close(), p.pings.Close())
	p.wg.Wait()
	return err
}

// Client returns a client for calls that need no session. It returns an error if
// ctx has ended or the pool is closed; it does not connect.
func (p *Pool) Client(ctx context.Context, address string) (targetrpc.DRPCTargetClient, error) {
	if err := p.check(ctx); err != nil {
		return nil, outcome.Step("connect", address, &NotSentError{Err: err})
	}
	return targetrpc.NewDRPCTargetClient(p.calls.Conn(address)), nil
}

func (p *Pool) check(ctx context.Context) error {
	if p.ctx.Err() != nil {
		return ErrClosed
	}
	return ctx.Err()
}

// Session returns the live session with the target at the address, or opens one.
// Concurrent calls for one address share one opening, which takes at most
// PingDeadline and goes on if ctx ends. An error means that no session is open;
// a target that granted one lets it expire.
func (p *Pool) Session(ctx context.Context, address string) (*Session, error) {
	if err := p.check(ctx); err != nil {
		return nil, outcome.Step("open session", address, &NotSentError{Err: err})
	}
	// An opening serves several callers, so it ends with the pool and not with ctx.
	o := p.opening(address) //nolint:contextcheck // see above
	if o == nil {
		return nil, outcome.Step("open session", address, &NotSentError{Err: ErrClosed})
	}
	select {
	case <-o.done:
	case <-ctx.Done():
		return nil, outcome.Step("open session", address, ctx.Err())
	}
	if o.err != nil {
		return nil, outcome.Step("open session", address, o.err)
	}
	o.session.touch()
	return o.session, nil
}

// opening returns the current opening for the address or starts one. It returns
// nil if the pool is closed.
func (p *Pool) opening(address string) *opening {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil
	}
	if o := p.sessions[address]; o != nil {
		select {
		case <-o.done:
			if o.err == nil && o.session.Live() {
				return o
			}
		default:
			return o
		}
	}
	o := &opening{done: make(chan struct{})}
	p.sessions[address] = o
	p.wg.Go(func() { p.run(address, o) })
	return o
}

// run opens a session and keeps it until it ends.
func (p *Pool) run(address string, o *opening) {
	o.session, o.err = p.open(address)
	close(o.done)
	if o.err == nil {
		o.session.keep(p.ctx)
	}
	p.mu.Lock()
	if p.sessions[address] == o {
		delete(p.sessions, address)
	}
	p.mu.Unlock()
}

// open sends OpenSession.
func (p *Pool) open(address string) (*Session, error) {
	ctx, cancel := context.WithTimeout(p.ctx, PingDeadline)
	defer cancel()
	sent := time.Now()
	client := targetrpc.NewDRPCTargetClient(p.pings.Conn(address))
	reply, err := client.OpenSession(ctx, &targetrpc.OpenSessionRequest{
		Entry:            p.cfg.Entry,
		EntryIncarnation: p.cfg.Incarnation,
		Generation:       p.generation(),
	})
	if err != nil {
		return nil, err
	}
	s, err := newSession(p, address, sent, reply)
	if err != nil {
		return nil, err
	}
	p.cfg.Log.Debug().Int("Event", EventSessionOpened).Str("Target", s.target).Str("Address", address).
		Uint64("Session", s.id).Uint64("Incarnation", s.incarnation).Msg("session opened")
	return s, nil
}

func (p *Pool) generation() uint64 {
	if p.cfg.Generation == nil {
		return 0
	}
	return p.cfg.Generation()
}
