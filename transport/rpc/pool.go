package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
)

// Settings of a Pool.
type Settings struct {
	// Dial opens a connection and honours its context.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// MaxConns limits the connections per address; 0 means DefaultMaxConns.
	MaxConns int
}

// Pool holds client connections by address. Its methods are safe for concurrent
// use.
type Pool struct {
	cfg  Settings
	done chan struct{}  // closed by Close
	wg   sync.WaitGroup // calls in progress, dials and closeIdle

	mu     sync.Mutex
	closed bool
	peers  map[string]*peer
}

// peer holds the connections to one address. Pool.mu guards all fields but slots.
type peer struct {
	slots chan struct{} // semaphore: one token for each call that may use a connection
	calls int           // calls in progress or waiting for a slot
	idle  []*conn       // least recently used first
	busy  map[*conn]struct{}
}

// NewPool returns an empty pool. The caller must close it.
func NewPool(cfg Settings) *Pool {
	if cfg.MaxConns <= 0 {
		cfg.MaxConns = DefaultMaxConns
	}
	p := &Pool{cfg: cfg, done: make(chan struct{}), peers: make(map[string]*peer)}
	p.wg.Go(p.closeIdle)
	return p
}

// Close ends calls in progress with ErrClosed, closes all connections and waits
// until these calls have returned. Later calls fail with ErrClosed.
func (p *Pool) Close() error {
	var conns []*conn
	p.mu.Lock()
	if !p.closed {
		p.closed = true
		close(p.done)
	}
	for _, pe := range p.peers {
		conns = append(conns, pe.idle...)
		pe.idle = nil
		for c := range pe.busy {
			conns = append(conns, c)
		}
	}
	p.mu.Unlock()
	closeAll(conns)
	p.wg.Wait()
	return nil
}

// CloseOpenedBefore closes the connections to an address that were opened before
// t, including those with a call in progress. It is for a peer that has stopped
// responding.
func (p *Pool) CloseOpenedBefore(address string, t time.Time) {
	var conns []*conn
	p.mu.Lock()
	if pe := p.peers[address]; pe != nil {
		var keep []*conn
		for _, c := range pe.idle {
			if c.openedAt.Before(t) {
				conns = append(conns, c)
			} else {
				keep = append(keep, c)
			}
		}
		pe.idle = keep
		for c := range pe.busy {
			if c.openedAt.Before(t) {
				conns = append(conns, c)
			}
		}
	}
	p.mu.Unlock()
	closeAll(conns)
}

// call makes one call over a connection to the address, an idle one if possible.
func (p *Pool) call(ctx context.Context, address, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	ctx, cancel := withDeadline(ctx)
	defer cancel()
	pe, err := p.beginCall(address)
	if err != nil {
		return &NotSentError{Err: err}
	}
	defer p.endCall(pe)
	select {
	case pe.slots <- struct{}{}:
	case <-ctx.Done():
		return &NotSentError{Err: fmt.Errorf("wait for a connection: %w", ctx.Err())}
	case <-p.done:
		return &NotSentError{Err: ErrClosed}
	}
	defer func() { <-pe.slots }()
	for {
		c, reused, err := p.getConn(ctx, address, pe)
		if err != nil {
			return &NotSentError{Err: err}
		}
		retryable, err := c.invoke(ctx, rpc, enc, in, out)
		if err == nil {
			p.putConn(pe, c)
			return nil
		}
		p.discardConn(pe, c)
		if p.isClosed() {
			var notSent *NotSentError
			if errors.As(err, &notSent) {
				return &NotSentError{Err: ErrClosed}
			}
			return fmt.Errorf("%w: %w", ErrClosed, err)
		}
		// The peer may have closed the reused connection while it was idle. The
		// loop ends when no idle connection is left.
		if !retryable || !reused {
			return err
		}
	}
}

func (p *Pool) isClosed() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// withDeadline adds the default deadline to a context that has none.
func withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	if _, ok := ctx.Deadline(); ok {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, CallTimeout)
}

// beginCall registers a call, so that Close waits for it and its peer stays in
// the pool until endCall.
func (p *Pool) beginCall(address string) (*peer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, ErrClosed
	}
	pe := p.peers[address]
	if pe == nil {
		pe = &peer{slots: make(chan struct{}, p.cfg.MaxConns), busy: make(map[*conn]struct{})}
		p.peers[address] = pe
	}
	pe.calls++
	p.wg.Add(1)
	return pe, nil
}

func (p *Pool) endCall(pe *peer) {
	p.mu.Lock()
	pe.calls--
	p.mu.Unlock()
	p.wg.Done()
}

// getConn returns an idle connection or dials one. The caller holds a slot.
func (p *Pool) getConn(ctx context.Context, address string, pe *peer) (c *conn, reused bool, err error) {
	if c := p.popIdle(pe); c != nil {
		return c, true, nil
	}
	c, err = p.dial(ctx, address)
	if err != nil {
		return nil, false, err
	}
	p.mu.Lock()
	closed := p.closed
	if !closed {
		pe.busy[c] = struct{}{}
	}
	p.mu.Unlock()
	if closed {
		_ = c.drpc.Close()
		return nil, false, ErrClosed
	}
	return c, false, nil
}

// popIdle removes and returns the idle connection that was used most recently, or
// nil. The peer may have closed it; call then tries the next one.
func (p *Pool) popIdle(pe *peer) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(pe.idle)
	if n == 0 {
		return nil
	}
	c := pe.idle[n-1]
	pe.idle = pe.idle[:n-1]
	pe.busy[c] = struct{}{}
	return c
}

// dial opens a connection. Close cancels the attempt.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.wg.Go(func() {
		select {
		case <-p.done:
			cancel()
		case <-ctx.Done():
		}
	})
	nc, err := p.cfg.Dial(ctx, address)
	if p.isClosed() {
		if err == nil {
			_ = nc.Close()
		}
		return nil, ErrClosed
	}
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return newConn(nc), nil
}

// putConn makes a connection available to the next call.
func (p *Pool) putConn(pe *peer, c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	delete(pe.busy, c)
	keep := !p.closed && !c.isClosed()
	if keep {
		pe.idle = append(pe.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		_ = c.drpc.Close()
	}
}

// discardConn closes a connection.
func (p *Pool) discardConn(pe *peer, c *conn) {
	_ = c.drpc.Close()
	p.mu.Lock()
	delete(pe.busy, c)
	p.mu.Unlock()
}

// closeIdle closes connections that have been idle for ClientIdleTimeout, until
// the pool is closed.
func (p *Pool) closeIdle() {
	ticker := time.NewTicker(ClientIdleTimeout / 8)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-ticker.C:
			closeAll(p.removeExpired())
		}
	}
}

// removeExpired removes the connections that have been idle for ClientIdleTimeout
// and returns them. It also deletes peers that have neither connections nor calls.
func (p *Pool) removeExpired() []*conn {
	var expired []*conn
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pe := range p.peers {
		// The list is in the order of last use.
		n := 0
		for n < len(pe.idle) && time.Since(pe.idle[n].idleSince) >= ClientIdleTimeout {
			n++
		}
		expired = append(expired, pe.idle[:n]...)
		pe.idle = append([]*conn(nil), pe.idle[n:]...)
		if len(pe.idle) == 0 && pe.calls == 0 {
			delete(p.peers, address)
		}
	}
	return expired
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		_ = c.drpc.Close()
	}
}
