package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy in front of an address. While it is cut, it accepts connections and delivers
// nothing in either direction, and what was sent meanwhile is lost with its connection.
type link struct {
	lis      net.Listener
	upstream string

	mu    sync.Mutex
	cut   bool
	conns []net.Conn
}

// newLink serves an address that leads to upstream.
func newLink(address, upstream string) (*link, error) {
	lis, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	l := &link{lis: lis, upstream: upstream}
	go l.accept()
	return l, nil
}

func (l *link) accept() {
	for {
		c, err := l.lis.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *link) serve(c net.Conn) {
	l.mu.Lock()
	l.conns = append(l.conns, c)
	cut := l.cut
	l.mu.Unlock()
	if cut {
		return // It stays open and silent until the cut ends.
	}
	up, err := net.Dial("tcp", l.upstream)
	if err != nil {
		_ = c.Close()
		return
	}
	l.mu.Lock()
	l.conns = append(l.conns, up)
	l.mu.Unlock()
	go l.copy(up, c)
	l.copy(c, up)
}

// copy delivers what arrives, and nothing while the link is cut.
func (l *link) copy(dst, src net.Conn) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		l.mu.Lock()
		cut := l.cut
		l.mu.Unlock()
		if n > 0 && !cut {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				break
			}
		}
		if err != nil {
			if err == io.EOF && cut {
				return
			}
			break
		}
	}
	_ = dst.Close()
	_ = src.Close()
}

// setCut cuts the link, or ends the cut and closes the connections that it has silenced.
func (l *link) setCut(cut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cut = cut
	if !cut {
		for _, c := range l.conns {
			_ = c.Close()
		}
		l.conns = nil
	}
}
