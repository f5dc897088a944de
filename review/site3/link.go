//go:build review3

package main

import (
	"fmt"
	"io"
	"net"
	"sync"
)

// link is a TCP proxy on loopback that can be cut: it then forwards nothing, in either direction, and
// connections to it hang.
type link struct {
	lis      net.Listener
	upstream string
	wg       sync.WaitGroup

	mu    sync.Mutex
	open  chan struct{} // closed while the link is not cut
	isCut bool
	conns map[net.Conn]struct{}
}

func newLink(upstream string) (*link, error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen: %w", err)
	}
	l := &link{lis: lis, upstream: upstream, open: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	close(l.open)
	l.wg.Go(l.accept)
	return l, nil
}

func (l *link) address() string { return l.lis.Addr().String() }

func (l *link) accept() {
	for {
		c, err := l.lis.Accept()
		if err != nil {
			return
		}
		l.wg.Go(func() { l.serve(c) })
	}
}

func (l *link) add(c net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
}

func (l *link) remove(c net.Conn) {
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
	_ = c.Close()
}

func (l *link) serve(client net.Conn) {
	l.add(client)
	defer l.remove(client)
	l.awaitOpen()
	server, err := net.Dial("tcp", l.upstream)
	if err != nil {
		return
	}
	l.add(server)
	defer l.remove(server)
	var pumps sync.WaitGroup
	pumps.Go(func() { l.pump(client, server) })
	pumps.Go(func() { l.pump(server, client) })
	pumps.Wait()
}

// pump forwards from one end to the other until either closes.
func (l *link) pump(from, to net.Conn) {
	defer func() {
		_ = from.Close()
		_ = to.Close()
	}()
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l.awaitOpen()
			if _, err := to.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				return
			}
			l.awaitOpen()
			return
		}
	}
}

func (l *link) awaitOpen() {
	l.mu.Lock()
	open := l.open
	l.mu.Unlock()
	<-open
}

// cut makes the link hold everything back.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut, l.open = true, make(chan struct{})
}

// heal makes the link forward again. The connections from before are lost with what they held.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isCut {
		return
	}
	for c := range l.conns {
		_ = c.Close()
	}
	l.isCut = false
	close(l.open)
}

func (l *link) close() {
	_ = l.lis.Close()
	l.heal()
	l.mu.Lock()
	for c := range l.conns {
		_ = c.Close()
	}
	l.mu.Unlock()
	l.wg.Wait()
}
