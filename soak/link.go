package soak

import (
	"context"
	"net"
	"sync"
	"time"
)

// linkState says how a link treats its connections.
type linkState string

// States of a link.
const (
	linkOpen   linkState = "open"
	linkSilent linkState = "silent"  // data is held in both directions until the state changes
	linkOneWay linkState = "one way" // data from the server is held until the state changes
	linkReset  linkState = "reset"   // open and new connections are reset
	linkSlow   linkState = "slow"    // each read is forwarded after a delay
)

const (
	// linkBufferSize is the largest number of bytes forwarded at once.
	linkBufferSize = 16 << 10
	// linkDialTimeout bounds connecting to the upstream address.
	linkDialTimeout = time.Second
)

// Link is a TCP proxy on loopback in front of one address. Its state can be changed to
// simulate network faults. Its methods are safe for concurrent use.
type Link struct {
	lis      net.Listener
	upstream string
	delay    time.Duration // of each read while the link is slow

	mu      sync.Mutex
	state   linkState
	changed chan struct{} // closed and replaced when state changes
	conns   map[*linkConn]struct{}
	wg      sync.WaitGroup
}

// linkConn is one connection through a link.
type linkConn struct {
	client, server net.Conn
	silenced       bool // data is held in both directions, permanently
	done           chan struct{}
	closeOnce      sync.Once
}

// NewLink returns an open link to upstream. It listens on a free port until Close.
func NewLink(ctx context.Context, upstream string, delay time.Duration) (*Link, error) {
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{lis: lis, upstream: upstream, delay: delay, state: linkOpen, changed: make(chan struct{}), conns: make(map[*linkConn]struct{})}
	l.wg.Go(l.accept)
	return l, nil
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.lis.Addr().String() }

// Close stops listening and resets all connections.
func (l *Link) Close() {
	_ = l.lis.Close()
	l.Set(linkReset)
	l.wg.Wait()
}

// Set changes the state. The state linkReset also resets the open connections.
func (l *Link) Set(s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
	if s == linkReset {
		for c := range l.conns {
			c.reset()
		}
	}
}

// SilenceOpen silences the open connections permanently. New ones are not affected.
func (l *Link) SilenceOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silenced = true
	}
}

// ResetOpen resets the open connections. New ones are not affected.
func (l *Link) ResetOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.reset()
	}
}

func (c *linkConn) reset() {
	c.closeOnce.Do(func() {
		close(c.done)
		for _, x := range []net.Conn{c.client, c.server} {
			if t, ok := x.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = x.Close()
		}
	})
}

func (l *Link) accept() {
	for {
		client, err := l.lis.Accept()
		if err != nil {
			return
		}
		l.wg.Go(func() { l.serve(client) })
	}
}

func (l *Link) serve(client net.Conn) {
	c := &linkConn{client: client, done: make(chan struct{})}
	if !l.awaitForward(c, false) {
		c.server = client // there is no upstream connection; reset closes the client twice
		c.reset()
		return
	}
	server, err := net.DialTimeout("tcp", l.upstream, linkDialTimeout) //nolint:noctx // bounded; ends with the link
	if err != nil {
		server = client // again, there is no upstream connection
	}
	c.server = server
	l.mu.Lock()
	l.conns[c] = struct{}{}
	rejected := err != nil || l.state == linkReset
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	}()
	if rejected {
		c.reset()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.forward(c, server, client, false) })
	wg.Go(func() { l.forward(c, client, server, true) })
	wg.Wait()
	c.reset()
}

// forward copies data from src to dst until src ends, and then closes the write side of
// dst. A failed write or a reset of the link resets the connection.
func (l *Link) forward(c *linkConn, dst, src net.Conn, fromServer bool) {
	buf := make([]byte, linkBufferSize)
	for {
		n, err := src.Read(buf)
		if !l.awaitForward(c, fromServer) {
			c.reset()
			return
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			if t, ok := dst.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// awaitForward waits until data may be forwarded. It returns false if the connection
// was or must be reset.
func (l *Link) awaitForward(c *linkConn, fromServer bool) bool {
	delayed := false
	for {
		l.mu.Lock()
		state, changed, silenced := l.state, l.changed, c.silenced
		l.mu.Unlock()
		var wait <-chan time.Time
		switch {
		case state == linkReset:
			return false
		case silenced, state == linkSilent, state == linkOneWay && fromServer:
		case state == linkSlow && !delayed:
			delayed = true
			wait = time.After(l.delay)
		default:
			return true
		}
		select {
		case <-c.done:
			return false
		case <-changed:
		case <-wait:
		}
	}
}
