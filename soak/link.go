package soak

import (
	"context"
	"net"
	"sync"
	"time"
)

// linkState says what a link does to connections.
type linkState string

// States of a link.
const (
	linkOpen   linkState = "open"
	linkSilent linkState = "silent"  // nothing arrives; what was sent arrives when the state ends
	linkOneWay linkState = "one way" // answers are held up
	linkReset  linkState = "reset"   // connections are reset, also new ones
	linkSlow   linkState = "slow"    // each piece of data is delayed
)

const (
	// linkBufferSize is how much of a connection is copied at once, in bytes.
	linkBufferSize = 16 << 10
	// linkDialTimeout bounds the connection to the far end.
	linkDialTimeout = time.Second
)

// Link is a proxy on loopback in front of one address.
type Link struct {
	lis      net.Listener
	upstream string
	delay    time.Duration // of each piece of data while the link is slow

	mu      sync.Mutex
	state   linkState
	changed chan struct{} // closed and replaced when state changes
	conns   map[*linkConn]struct{}
	wg      sync.WaitGroup
}

// linkConn is one connection through a link.
type linkConn struct {
	client, server net.Conn
	silenced       bool // nothing arrives any more, for good
	done           chan struct{}
	close          sync.Once
}

// NewLink returns a link to an address. It listens on a port of its own.
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

// Address returns where the link listens.
func (l *Link) Address() string { return l.lis.Addr().String() }

// Close ends the link and its connections.
func (l *Link) Close() {
	_ = l.lis.Close()
	l.Set(linkReset)
	l.wg.Wait()
}

// Set changes the state.
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

// SilenceOpen silences the present connections for good; new ones work.
func (l *Link) SilenceOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.silenced = true
	}
}

// ResetOpen resets the present connections; new ones work.
func (l *Link) ResetOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.reset()
	}
}

func (c *linkConn) reset() {
	c.close.Do(func() {
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
		c.server = client
		c.reset()
		return
	}
	server, err := net.DialTimeout("tcp", l.upstream, linkDialTimeout) //nolint:noctx // bounded; ends with the link
	if err != nil {
		server = client
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

// forward passes data on until one end closes. The end of a direction is passed on, too.
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

// awaitForward waits until data may go on, and reports whether it may.
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
