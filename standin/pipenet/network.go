package pipenet

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Any matches every host in the methods that inject faults.
const Any = "*"

// maxPending is the number of connections that may wait for Accept; further dials
// are refused.
const maxPending = 1024

// Network is an in-memory network of hosts. The zero value is a network without
// faults, ready to use. A Network is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	cuts      map[link]struct{}
	refusals  map[link]struct{}
	delays    map[link]time.Duration
	conns     map[*conn]struct{} // dialling ends of open connections
	healed    chan struct{}      // closed when a cut is healed; nil if no dial waits
	lastPort  int
}

// link is the direction from one host to another. Either may be Any.
type link struct{ from, to string }

func (l link) matches(from, to string) bool {
	return (l.from == Any || l.from == from) && (l.to == Any || l.to == to)
}

// Host returns the host of the given name. Hosts need no registration.
func (n *Network) Host(name string) *Host { return &Host{n: n, name: name} }

// Cut stops delivery from one host to another until the cut is healed. Dials in
// either direction wait until then.
func (n *Network) Cut(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[link]struct{})
	}
	n.cuts[link{from, to}] = struct{}{}
	n.updateStreamsLocked()
}

// CutBoth cuts both directions between two hosts.
func (n *Network) CutBoth(a, b string) {
	n.Cut(a, b)
	n.Cut(b, a)
}

// Heal removes the cuts that match from and to. Heal(Any, Any) removes all cuts. A
// cut that was made with Any is removed only by Heal with Any in the same argument.
func (n *Network) Heal(from, to string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for l := range n.cuts {
		if (link{from, to}).matches(l.from, l.to) {
			delete(n.cuts, l)
		}
	}
	n.updateStreamsLocked()
	if n.healed != nil {
		close(n.healed)
		n.healed = nil
	}
}

// HealBoth heals both directions between two hosts.
func (n *Network) HealBoth(a, b string) {
	n.Heal(a, b)
	n.Heal(b, a)
}

// SetRefuse sets whether dials from one host to another fail immediately. Open
// connections are not affected.
func (n *Network) SetRefuse(from, to string, refuse bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.refusals == nil {
		n.refusals = make(map[link]struct{})
	}
	if refuse {
		n.refusals[link{from, to}] = struct{}{}
	} else {
		delete(n.refusals, link{from, to})
	}
}

// SetDelay sets the one-way delay from one host to another; 0 removes it. It
// applies to data written after the call. If several delays match, the longest
// applies.
func (n *Network) SetDelay(from, to string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.delays == nil {
		n.delays = make(map[link]time.Duration)
	}
	if d > 0 {
		n.delays[link{from, to}] = d
	} else {
		delete(n.delays, link{from, to})
	}
	n.updateStreamsLocked()
}

// Freeze permanently stops delivery on the connections that are open between two
// hosts, in both directions. Neither end sees the other end close.
func (n *Network) Freeze(a, b string) {
	n.eachConn(a, b, func(c *conn) {
		c.in.freeze()
		c.out.freeze()
	})
}

// Reset resets the connections that are open between two hosts. Both ends get
// ECONNRESET immediately, even across a cut.
func (n *Network) Reset(a, b string) {
	n.eachConn(a, b, func(c *conn) {
		c.in.reset()
		c.out.reset()
	})
}

// Conns returns the number of connections between two hosts with both ends open.
func (n *Network) Conns(a, b string) int {
	count := 0
	n.eachConn(a, b, func(c *conn) {
		if c.endsClosed == 0 {
			count++
		}
	})
	return count
}

func (n *Network) eachConn(a, b string, f func(*conn)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		if (link{a, b}).matches(c.out.from, c.out.to) || (link{a, b}).matches(c.out.to, c.out.from) {
			f(c)
		}
	}
}

func (n *Network) isCutLocked(from, to string) bool { return anyMatches(n.cuts, from, to) }

func anyMatches(links map[link]struct{}, from, to string) bool {
	for l := range links {
		if l.matches(from, to) {
			return true
		}
	}
	return false
}

func (n *Network) delayLocked(from, to string) time.Duration {
	var d time.Duration
	for l, v := range n.delays {
		if l.matches(from, to) {
			d = max(d, v)
		}
	}
	return d
}

// updateStreamsLocked applies the current faults to all open connections.
func (n *Network) updateStreamsLocked() {
	for c := range n.conns {
		n.updateStreamLocked(c.in)
		n.updateStreamLocked(c.out)
	}
}

func (n *Network) updateStreamLocked(s *stream) {
	s.setFaults(n.isCutLocked(s.from, s.to), n.isCutLocked(s.to, s.from), n.delayLocked(s.from, s.to))
}

// connEndClosed counts a closed end of the connection with dialling end c. While
// one end is open it can still read data written before, so faults continue to
// apply.
func (n *Network) connEndClosed(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if c.endsClosed++; c.endsClosed == 2 {
		delete(n.conns, c)
	}
}

// Host is a named machine of a Network.
type Host struct {
	n    *Network
	name string
}

// Name returns the name of the host.
func (h *Host) Name() string { return h.name }

// Listen opens a listener at an address of the host, such as "platform:80".
func (h *Host) Listen(address string) (net.Listener, error) {
	if host, _, ok := strings.Cut(address, ":"); !ok || host != h.name {
		return nil, opError("listen", addr(address), fmt.Errorf("no address of host %s", h.name))
	}
	h.n.mu.Lock()
	defer h.n.mu.Unlock()
	if h.n.listeners[address] != nil {
		return nil, opError("listen", addr(address), syscall.EADDRINUSE)
	}
	if h.n.listeners == nil {
		h.n.listeners = make(map[string]*listener)
	}
	l := &listener{n: h.n, addr: addr(address), pending: make(chan *conn, maxPending), done: make(chan struct{})}
	h.n.listeners[address] = l
	return l, nil
}

// Dial connects to an address. Across a cut it waits until the cut is healed or ctx
// is done.
func (h *Host) Dial(ctx context.Context, address string) (net.Conn, error) {
	peer, _, _ := strings.Cut(address, ":")
	if err := h.sleepRoundTrip(ctx, peer); err != nil {
		return nil, opError("dial", addr(address), err)
	}
	for {
		c, l, healed, err := h.connect(peer, address)
		if err != nil {
			return nil, opError("dial", addr(address), err)
		}
		if c == nil {
			select {
			case <-healed:
				continue
			case <-ctx.Done():
				return nil, opError("dial", addr(address), ctx.Err())
			}
		}
		if !l.enqueue(c.peer) {
			_ = c.Close()
			return nil, opError("dial", addr(address), syscall.ECONNREFUSED)
		}
		return c, nil
	}
}

// DialContext is Dial with the signature of http.Transport.DialContext. It ignores
// the network argument.
func (h *Host) DialContext(ctx context.Context, _, address string) (net.Conn, error) {
	return h.Dial(ctx, address)
}

// sleepRoundTrip waits for the sum of the delays in both directions, as a handshake
// would.
func (h *Host) sleepRoundTrip(ctx context.Context, peer string) error {
	h.n.mu.Lock()
	d := h.n.delayLocked(h.name, peer) + h.n.delayLocked(peer, h.name)
	h.n.mu.Unlock()
	if d == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// connect creates the two ends of a connection. Across a cut it returns a nil
// connection and a channel that is closed when a cut is healed.
func (h *Host) connect(peer, address string) (*conn, *listener, <-chan struct{}, error) {
	n := h.n
	n.mu.Lock()
	defer n.mu.Unlock()
	if anyMatches(n.refusals, h.name, peer) {
		return nil, nil, nil, syscall.ECONNREFUSED
	}
	if n.isCutLocked(h.name, peer) || n.isCutLocked(peer, h.name) {
		if n.healed == nil {
			n.healed = make(chan struct{})
		}
		return nil, nil, n.healed, nil
	}
	l := n.listeners[address]
	if l == nil {
		return nil, nil, nil, syscall.ECONNREFUSED
	}
	n.lastPort++
	local := addr(fmt.Sprintf("%s:e%d", h.name, n.lastPort))
	out, in := newStream(h.name, peer), newStream(peer, h.name)
	c := &conn{n: n, in: in, out: out, local: local, remote: l.addr}
	c.peer = &conn{n: n, in: out, out: in, local: l.addr, remote: local, peer: c}
	c.dialEnd, c.peer.dialEnd = c, c
	if n.conns == nil {
		n.conns = make(map[*conn]struct{})
	}
	n.conns[c] = struct{}{}
	n.updateStreamLocked(in)
	n.updateStreamLocked(out)
	return c, l, nil, nil
}

type listener struct {
	n       *Network
	addr    addr
	pending chan *conn
	done    chan struct{}

	mu     sync.Mutex
	closed bool
}

// enqueue queues a connection for Accept and reports whether it could. Without the
// lock, the connection could be queued after Close has drained the queue, and its
// dialler would wait forever.
func (l *listener) enqueue(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	select {
	case l.pending <- c:
		return true
	default:
		return false
	}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case <-l.done:
		return nil, opError("accept", l.addr, net.ErrClosed)
	default:
	}
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.done:
		return nil, opError("accept", l.addr, net.ErrClosed)
	}
}

// Close stops listening and resets the connections that wait for Accept.
func (l *listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	l.closed = true
	l.n.mu.Lock()
	delete(l.n.listeners, string(l.addr))
	l.n.mu.Unlock()
	close(l.done)
	for {
		select {
		case c := <-l.pending:
			c.in.reset()
			c.out.reset()
			_ = c.Close()
		default:
			return nil
		}
	}
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return l.addr }

type addr string

// Network returns the name of the network.
func (addr) Network() string { return "pipe" }

func (a addr) String() string { return string(a) }

func opError(op string, a addr, err error) error {
	return &net.OpError{Op: op, Net: a.Network(), Addr: a, Err: err}
}
