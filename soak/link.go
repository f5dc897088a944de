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
	// linkBuffer is how much of a connection is copied at once, in bytes.
	linkBuffer = 16 << 10
	// linkDial bounds the connection to the far end.
	linkDial = time.Second
)

// Link is a proxy on loopback in front of one address.
type Link struct {
	lis   net.Listener
	to    string
	delay time.Duration // of each piece of data while the link is slow

	mu      sync.Mutex
	state   linkState
	changed chan struct{} // closed and replaced when state changes
	conns   map[*linkConn]struct{}
	wg      sync.WaitGroup
}

// linkConn is one connection through a link.
type linkConn struct {
	near, far net.Conn
	stale     bool // nothing arrives any more, for good
	done      chan struct{}
	close     sync.Once
}

// NewLink returns a link to an address. It listens on a port of its own.
func NewLink(ctx context.Context, to string, delay time.Duration) (*Link, error) {
	var lc net.ListenConfig
	lis, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Link{lis: lis, to: to, delay: delay, state: linkOpen, changed: make(chan struct{}), conns: make(map[*linkConn]struct{})}
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

// Forget silences the present connections for good; new ones work.
func (l *Link) Forget() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.stale = true
	}
}

// ResetAll resets the present connections; new ones work.
func (l *Link) ResetAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		c.reset()
	}
}

func (c *linkConn) reset() {
	c.close.Do(func() {
		close(c.done)
		for _, x := range []net.Conn{c.near, c.far} {
			if t, ok := x.(*net.TCPConn); ok {
				_ = t.SetLinger(0)
			}
			_ = x.Close()
		}
	})
}

func (l *Link) accept() {
	for {
		near, err := l.lis.Accept()
		if err != nil {
			return
		}
		l.wg.Go(func() { l.serve(near) })
	}
}

func (l *Link) serve(near net.Conn) {
	c := &linkConn{near: near, done: make(chan struct{})}
	if !l.pass(c, false) {
		c.far = near
		c.reset()
		return
	}
	far, err := net.DialTimeout("tcp", l.to, linkDial) //nolint:noctx // bounded; ends with the link
	if err != nil {
		far = near
	}
	c.far = far
	l.mu.Lock()
	l.conns[c] = struct{}{}
	refused := err != nil || l.state == linkReset
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.conns, c)
	}()
	if refused {
		c.reset()
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(c, far, near, false) })
	wg.Go(func() { l.copy(c, near, far, true) })
	wg.Wait()
	c.reset()
}

// copy passes data on until one end closes. The end of a direction is passed on, too.
func (l *Link) copy(c *linkConn, to, from net.Conn, answers bool) {
	buf := make([]byte, linkBuffer)
	for {
		n, err := from.Read(buf)
		if !l.pass(c, answers) {
			c.reset()
			return
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				c.reset()
				return
			}
		}
		if err != nil {
			if t, ok := to.(*net.TCPConn); ok {
				_ = t.CloseWrite()
			}
			return
		}
	}
}

// pass waits until data may go on, and reports whether it may.
func (l *Link) pass(c *linkConn, answers bool) bool {
	slept := false
	for {
		l.mu.Lock()
		state, changed, stale := l.state, l.changed, c.stale
		l.mu.Unlock()
		var wait <-chan time.Time
		switch {
		case state == linkReset:
			return false
		case stale, state == linkSilent, state == linkOneWay && answers:
		case state == linkSlow && !slept:
			slept = true
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
