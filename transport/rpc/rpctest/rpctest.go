// Package rpctest provides a small in-memory network for tests, with unbuffered
// connections. It also works in bubbles of testing/synctest, where sockets do not.
// Package pipenet adds hosts, delays and partitions.
//
// # Usage
//
//	var n rpctest.Network
//	lis := n.Listen("t1")
//	go serve(lis)
//	pool := rpc.NewPool(rpc.Settings{Dial: n.Dial})
//	n.Blackhole("t1") // Established connections to t1 lose all data, new ones work.
package rpctest

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
)

// Network connects dialers to listeners by address. The zero value is ready.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	conns     []*conn
}

// Listen returns a listener for the address. It replaces an earlier listener.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{address: addr(address), pending: make(chan net.Conn), done: make(chan struct{})}
	if n.listeners == nil {
		n.listeners = make(map[string]*listener)
	}
	n.listeners[address] = l
	return l
}

// Dial connects to the listener of the address. It fails if there is none or the
// listener is closed.
func (n *Network) Dial(ctx context.Context, address string) (net.Conn, error) {
	n.mu.Lock()
	l := n.listeners[address]
	n.mu.Unlock()
	if l == nil {
		return nil, fmt.Errorf("connect to %s: connection refused", address)
	}
	clientEnd, serverEnd := net.Pipe()
	select {
	case l.pending <- serverEnd:
	case <-l.done:
		return nil, fmt.Errorf("connect to %s: connection refused", address)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	c := &conn{Conn: clientEnd, address: address}
	n.mu.Lock()
	n.conns = append(n.conns, c)
	n.mu.Unlock()
	return c, nil
}

// Dials returns the number of connections that have been opened to the address.
func (n *Network) Dials(address string) int {
	n.mu.Lock()
	defer n.mu.Unlock()
	count := 0
	for _, c := range n.conns {
		if c.address == address {
			count++
		}
	}
	return count
}

// Blackhole makes the established connections to the address discard all data in
// both directions, without an error, until they are closed.
func (n *Network) Blackhole(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		if c.address == address {
			c.blackholed.Store(true)
		}
	}
}

// conn is the dialer's end of a connection.
type conn struct {
	net.Conn
	address    string
	blackholed atomic.Bool
}

func (c *conn) Write(b []byte) (int, error) {
	if c.blackholed.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *conn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.blackholed.Load() {
			return n, err
		}
	}
}

type listener struct {
	address   addr
	pending   chan net.Conn
	done      chan struct{}
	closeOnce sync.Once
}

func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.pending:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return nil
}

func (l *listener) Addr() net.Addr { return l.address }

type addr string

func (addr) Network() string  { return "pipe" }
func (a addr) String() string { return string(a) }
