package matrix

import (
	"bytes"
	"context"
	"errors"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/standin/pipenet"
)

var errUnplugged = errors.New("the process has been killed")

// plug is the network of one process. It reports drpc messages to the observer
// and can be pulled, after which the process reaches nobody although its
// goroutines may still be ending.
type plug struct {
	host *pipenet.Host
	obs  *observer

	mu     sync.Mutex
	pulled bool
	open   map[interface{ Close() error }]struct{}
}

func newPlug(host *pipenet.Host, obs *observer) *plug {
	return &plug{host: host, obs: obs, open: make(map[interface{ Close() error }]struct{})}
}

// dialTimeout is that of process.TCP.
const dialTimeout = 500 * time.Millisecond

func (p *plug) network() process.Network {
	return process.Network{Dial: p.dial, Listen: p.listen}
}

func (p *plug) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.host.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &plugConn{Conn: raw, p: p, dialled: true, peer: hostOf(address)}
	if err := p.add(c); err != nil {
		return nil, err
	}
	return c, nil
}

func (p *plug) listen(_ context.Context, address string) (net.Listener, error) {
	l, err := p.host.Listen(address)
	if err != nil {
		return nil, err
	}
	w := &plugListener{Listener: l, p: p}
	if err := p.add(w); err != nil {
		return nil, err
	}
	return w, nil
}

func (p *plug) add(c interface{ Close() error }) error {
	p.mu.Lock()
	pulled := p.pulled
	if !pulled {
		p.open[c] = struct{}{}
	}
	p.mu.Unlock()
	if pulled {
		_ = c.Close()
		return errUnplugged
	}
	return nil
}

func (p *plug) remove(c interface{ Close() error }) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

func (p *plug) isPulled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pulled
}

// pull cuts the process off for good. Before closing the connections it calls
// sever, which decides what the peers see.
func (p *plug) pull(sever func()) {
	p.mu.Lock()
	p.pulled = true
	open := make([]interface{ Close() error }, 0, len(p.open))
	for c := range p.open {
		open = append(open, c)
	}
	p.mu.Unlock()
	sever()
	for _, c := range open {
		_ = c.Close()
	}
}

type plugListener struct {
	net.Listener
	p *plug
}

// Accept wraps accepted connections.
func (l *plugListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &plugConn{Conn: raw, p: l.p, peer: hostOf(raw.RemoteAddr().String())}
	if err := l.p.add(c); err != nil {
		return nil, err
	}
	return c, nil
}

// plugConn reports the messages on a connection: a request before the client sends
// it, and a drpc reply before the server sends it. drpc carries one call at a time
// on a connection, so the reply belongs to the last request. The stand-ins report
// the replies of HTTP calls.
type plugConn struct {
	net.Conn
	p       *plug
	dialled bool
	peer    string

	mu     sync.Mutex
	method string // of the request in progress, on the accepting side
}

// Write reports the message that it sends.
func (c *plugConn) Write(b []byte) (int, error) {
	if c.p.isPulled() {
		return 0, errUnplugged
	}
	here := c.p.host.Name()
	if c.dialled {
		for _, m := range stepsIn(b) {
			c.p.obs.hit(point{m, before}, here, c.peer)
		}
	} else if m := c.swapMethod(""); m != "" {
		c.p.obs.hit(point{m, after}, here, c.peer)
	}
	if c.p.isPulled() {
		return 0, errUnplugged
	}
	return c.Conn.Write(b)
}

// Read notes the request that arrives.
func (c *plugConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.p.isPulled() {
		return 0, errUnplugged
	}
	if !c.dialled {
		if m := methodIn(b[:n]); m != "" {
			c.swapMethod(m)
		}
	}
	return n, err
}

func (c *plugConn) swapMethod(m string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.method
	c.method = m
	return old
}

// Close forgets the connection.
func (c *plugConn) Close() error {
	c.p.remove(c)
	return c.Conn.Close()
}

// stepsIn returns the steps of the call that begins in the bytes of one write.
func stepsIn(b []byte) []string {
	if m := methodIn(b); m != "" {
		return []string{m}
	}
	head, body, ok := bytes.Cut(b, []byte("\r\n\r\n"))
	if !ok {
		return nil
	}
	line, _, _ := bytes.Cut(head, []byte("\r\n"))
	f := strings.Fields(string(line))
	if len(f) != 3 || !strings.HasPrefix(f[2], "HTTP/") {
		return nil
	}
	path, _, _ := strings.Cut(f[1], "?")
	return httpSteps(path, body)
}

// methodIn returns the last part of the drpc method name that begins a call in
// the bytes of one write, or "".
func methodIn(b []byte) string {
	i := bytes.Index(b, []byte("/medlargrade."))
	if i < 0 {
		return ""
	}
	b = b[i+1:]
	i = bytes.IndexByte(b, '/')
	if i < 0 {
		return ""
	}
	b = b[i+1:]
	n := 0
	for n < len(b) && (b[n] >= 'a' && b[n] <= 'z' || b[n] >= 'A' && b[n] <= 'Z') {
		n++
	}
	return string(b[:n])
}

func hostOf(address string) string {
	h, _, _ := net.SplitHostPort(address)
	return h
}
