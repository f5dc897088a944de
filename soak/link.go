package soak

import (
	"context"
	"maps"
	"net"
	"slices"
	"sync"
	"time"
)

// linkState says how a link treats a connection.
type linkState int

// States, in the order in which they override each other.
const (
	linkOpen   linkState = iota
	linkSlow             // each read is forwarded after a delay
	linkOneWay           // data from the server is held until the state changes
	linkSilent           // data is held in both directions until the state changes
	linkReset            // open and new connections are reset
	linkRefuse           // open connections are reset, and nothing listens for new ones
)

const (
	// linkBufferSize is the largest number of bytes forwarded at once.
	linkBufferSize = 16 << 10
	// linkDialTimeout bounds connecting to the upstream address.
	linkDialTimeout = time.Second
	// linkListenPause is the pause before a link tries again to listen.
	linkListenPause = 20 * time.Millisecond
)

// Link is a TCP proxy on loopback in front of one address. Faults that overlap can be imposed on
// it, each on some of the connections. Its methods are safe for concurrent use.
type Link struct {
	address  string // that the link listens on
	upstream string
	delay    time.Duration // of each read while the link is slow
	wg       sync.WaitGroup

	mu      sync.Mutex
	lis     net.Listener // nil while the link refuses connections
	closed  bool
	faults  map[*linkFault]struct{}
	changed chan struct{} // closed and replaced when faults changes
	conns   map[*linkConn]struct{}
}

// linkFault puts connections into a state.
type linkFault struct {
	state linkState
	// affects selects the connections, by the end that the client has opened; nil selects all.
	// While a fault with linkRefuse is imposed, no new connection is accepted, whatever affects
	// returns.
	affects func(client net.Conn) bool
}

// linkConn is one connection through a link.
type linkConn struct {
	client    net.Conn
	server    net.Conn                // nil before it is open
	faults    map[*linkFault]struct{} // that affect the connection
	silenced  bool                    // data is held in both directions, permanently
	done      chan struct{}
	closeOnce sync.Once
}

// NewLink returns an open link to upstream. It listens on a free port until Close.
func NewLink(ctx context.Context, upstream string, delay time.Duration) (*Link, error) {
	// The system does not assign the port to other connections while the link refuses connections.
	lis, err := listenOnFreePort(ctx)
	if err != nil {
		return nil, err
	}
	l := &Link{
		address: lis.Addr().String(), upstream: upstream, delay: delay,
		faults: make(map[*linkFault]struct{}), changed: make(chan struct{}), conns: make(map[*linkConn]struct{}),
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.acceptLocked(lis)
	return l, nil
}

// acceptLocked starts to accept connections.
func (l *Link) acceptLocked(lis net.Listener) {
	l.lis = lis
	l.wg.Go(func() { l.accept(lis) })
}

// Address returns the address that the link listens on.
func (l *Link) Address() string { return l.address }

// Close stops listening and resets all connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Impose(linkFault{state: linkRefuse})
	l.wg.Wait()
}

// Impose starts a fault and returns the function that ends it.
func (l *Link) Impose(f linkFault) (lift func()) {
	l.mu.Lock()
	l.faults[&f] = struct{}{}
	open := slices.Collect(maps.Keys(l.conns))
	l.faultsChangedLocked()
	l.mu.Unlock()
	// Connections that are accepted from now on look at the fault themselves.
	for _, c := range open {
		l.applyFault(c, &f)
	}
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.faults, &f)
		for c := range l.conns {
			delete(c.faults, &f)
		}
		l.faultsChangedLocked()
	}
}

// Clear ends all faults.
func (l *Link) Clear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.faults)
	for c := range l.conns {
		clear(c.faults)
	}
	l.faultsChangedLocked()
}

// faultsChangedLocked applies the faults to the listener and to the open connections.
func (l *Link) faultsChangedLocked() {
	close(l.changed)
	l.changed = make(chan struct{})
	for c := range l.conns {
		if c.state() >= linkReset {
			c.reset()
		}
	}
	switch refuses := l.refusesLocked(); {
	case refuses && l.lis != nil:
		_ = l.lis.Close()
		l.lis = nil
	case !refuses && l.lis == nil:
		l.wg.Go(l.listenAgain)
	}
}

func (l *Link) refusesLocked() bool {
	for f := range l.faults {
		if f.state == linkRefuse {
			return true
		}
	}
	return false
}

// listenAgain listens as soon as the port is free, unless the link refuses connections again. A
// process that is being started holds the port for a moment.
func (l *Link) listenAgain() {
	for !l.tryListen() {
		time.Sleep(linkListenPause)
	}
}

// tryListen tries to listen, and reports whether no further attempt is needed.
func (l *Link) tryListen() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || l.lis != nil || l.refusesLocked() {
		return true
	}
	var lc net.ListenConfig
	lis, err := lc.Listen(context.Background(), "tcp", l.address)
	if err != nil {
		return false
	}
	l.acceptLocked(lis)
	return true
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

// applyFault lets a fault affect a connection if it is to. It does not hold the lock while it asks for
// that, since an answer may take some milliseconds.
func (l *Link) applyFault(c *linkConn, f *linkFault) {
	if f.affects != nil && !f.affects(c.client) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, imposed := l.faults[f]; !imposed {
		return
	}
	c.faults[f] = struct{}{}
	if c.state() >= linkReset {
		c.reset()
	}
}

// state returns the state that overrides those of the other faults.
func (c *linkConn) state() linkState {
	out := linkOpen
	for f := range c.faults {
		out = max(out, f.state)
	}
	return out
}

func (c *linkConn) reset() {
	c.closeOnce.Do(func() {
		close(c.done)
		for _, x := range []net.Conn{c.client, c.server} {
			if t, ok := x.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
				_ = t.Close()
			}
		}
	})
}

func (l *Link) accept(lis net.Listener) {
	for {
		client, err := lis.Accept()
		if err != nil {
			return
		}
		l.wg.Go(func() { l.serve(client) })
	}
}

func (l *Link) serve(client net.Conn) {
	c := &linkConn{client: client, faults: make(map[*linkFault]struct{}), done: make(chan struct{})}
	l.mu.Lock()
	l.conns[c] = struct{}{}
	faults := slices.Collect(maps.Keys(l.faults))
	l.mu.Unlock()
	for _, f := range faults {
		l.applyFault(c, f)
	}
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		c.reset()
		delete(l.conns, c)
	}()
	if !l.awaitForward(c, false) || !l.connect(c) {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.forward(c, c.server, client, false) })
	wg.Go(func() { l.forward(c, client, c.server, true) })
	wg.Wait()
}

// connect opens the connection to upstream. It returns false if that fails or the client's
// connection was reset meanwhile.
func (l *Link) connect(c *linkConn) bool {
	server, err := net.DialTimeout("tcp", l.upstream, linkDialTimeout) //nolint:noctx // bounded; ends with the link
	if err != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-c.done:
		_ = server.Close()
		return false
	default:
	}
	c.server = server
	return true
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
		state, changed, silenced := c.state(), l.changed, c.silenced
		l.mu.Unlock()
		var wait <-chan time.Time
		switch {
		case state >= linkReset:
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
