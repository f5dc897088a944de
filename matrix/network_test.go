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

var errDisconnected = errors.New("the process has been killed")

// processNetwork is the network of one process. It reports the messages of the process
// to the observer. Once disconnected, the process reaches nobody, even while its
// goroutines are still ending.
type processNetwork struct {
	host *pipenet.Host
	obs  *observer

	mu           sync.Mutex
	disconnected bool
	open         map[interface{ Close() error }]struct{}
}

func newProcessNetwork(host *pipenet.Host, obs *observer) *processNetwork {
	return &processNetwork{host: host, obs: obs, open: make(map[interface{ Close() error }]struct{})}
}

// dialTimeout is the dial timeout of process.TCP.
const dialTimeout = 500 * time.Millisecond

func (p *processNetwork) network() process.Network {
	return process.Network{Dial: p.dial, Listen: p.listen}
}

func (p *processNetwork) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	raw, err := p.host.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	c := &observedConn{Conn: raw, p: p, isClient: true, peer: hostOf(address)}
	if err := p.track(c); err != nil {
		return nil, err
	}
	return c, nil
}

func (p *processNetwork) listen(_ context.Context, address string) (net.Listener, error) {
	l, err := p.host.Listen(address)
	if err != nil {
		return nil, err
	}
	ol := &observedListener{Listener: l, p: p}
	if err := p.track(ol); err != nil {
		return nil, err
	}
	return ol, nil
}

func (p *processNetwork) track(c interface{ Close() error }) error {
	p.mu.Lock()
	disconnected := p.disconnected
	if !disconnected {
		p.open[c] = struct{}{}
	}
	p.mu.Unlock()
	if disconnected {
		_ = c.Close()
		return errDisconnected
	}
	return nil
}

func (p *processNetwork) untrack(c interface{ Close() error }) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.open, c)
}

func (p *processNetwork) isDisconnected() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.disconnected
}

// disconnect cuts the process off permanently. Before it closes the connections it
// calls beforeClose, which decides what the peers see.
func (p *processNetwork) disconnect(beforeClose func()) {
	p.mu.Lock()
	p.disconnected = true
	open := make([]interface{ Close() error }, 0, len(p.open))
	for c := range p.open {
		open = append(open, c)
	}
	p.mu.Unlock()
	beforeClose()
	for _, c := range open {
		_ = c.Close()
	}
}

type observedListener struct {
	net.Listener
	p *processNetwork
}

// Accept returns the next connection as an observedConn.
func (l *observedListener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &observedConn{Conn: raw, p: l.p, peer: hostOf(raw.RemoteAddr().String())}
	if err := l.p.track(c); err != nil {
		return nil, err
	}
	return c, nil
}

// observedConn reports the messages on a connection: a request before the client
// sends it, and a drpc reply before the server sends it. drpc carries one call at a
// time on a connection, so a reply belongs to the last request. The replies of HTTP
// calls are reported by observeRequests.
type observedConn struct {
	net.Conn
	p        *processNetwork
	isClient bool
	peer     string

	mu     sync.Mutex
	method string // of the request in progress; only on the server's side
}

// Write reports the message before it sends it.
func (c *observedConn) Write(b []byte) (int, error) {
	if c.p.isDisconnected() {
		return 0, errDisconnected
	}
	local := c.p.host.Name()
	if c.isClient {
		for _, m := range parseSteps(b) {
			c.p.obs.hit(point{m, before}, local, c.peer)
		}
	} else if m := c.swapMethod(""); m != "" {
		c.p.obs.hit(point{m, after}, local, c.peer)
	}
	if c.p.isDisconnected() {
		return 0, errDisconnected
	}
	return c.Conn.Write(b)
}

// Read remembers the method of a request that arrives at the server's side.
func (c *observedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.p.isDisconnected() {
		return 0, errDisconnected
	}
	if !c.isClient {
		if m := parseMethod(b[:n]); m != "" {
			c.swapMethod(m)
		}
	}
	return n, err
}

func (c *observedConn) swapMethod(m string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := c.method
	c.method = m
	return old
}

// Close closes the connection and removes it from the process's network.
func (c *observedConn) Close() error {
	c.p.untrack(c)
	return c.Conn.Close()
}

// parseSteps returns the steps of the call whose first bytes are written by one Write.
func parseSteps(b []byte) []string {
	if m := parseMethod(b); m != "" {
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

// parseMethod returns the last part of the name of the drpc method that is called in
// the bytes of one Write, or "".
func parseMethod(b []byte) string {
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
