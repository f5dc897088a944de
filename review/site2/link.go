package main

import (
	"io"
	"net"
	"sync"
)

// link is a loopback proxy from a port of its own to an address. It can be cut: with resets it
// has no listener and its connections are reset; silently, it accepts nothing new and passes
// nothing on.
type link struct {
	addr, to string

	mu     sync.Mutex
	lis    net.Listener
	conns  map[net.Conn]bool
	silent bool
	held   sync.Cond
}

func newLink(to string) *link {
	l := &link{to: to, conns: map[net.Conn]bool{}}
	l.held.L = &l.mu
	lis, err := net.Listen("tcp", freePort())
	if err != nil {
		panic(err)
	}
	l.addr, l.lis = lis.Addr().String(), lis
	go l.accept(lis)
	return l
}

func (l *link) accept(lis net.Listener) {
	for {
		c, err := lis.Accept()
		if err != nil {
			return
		}
		go l.serve(c)
	}
}

func (l *link) serve(c net.Conn) {
	l.wait()
	d, err := net.Dial("tcp", l.to)
	if err != nil {
		reset(c)
		return
	}
	l.mu.Lock()
	l.conns[c], l.conns[d] = true, true
	l.mu.Unlock()
	var wg sync.WaitGroup
	pass := func(dst, src net.Conn) {
		defer wg.Done()
		b := make([]byte, 32<<10)
		for {
			n, err := src.Read(b)
			if n > 0 {
				l.wait()
				if _, werr := dst.Write(b[:n]); werr != nil {
					err = werr
				}
			}
			if err == io.EOF {
				if t, ok := dst.(*net.TCPConn); ok {
					_ = t.CloseWrite()
				}
			}
			if err != nil {
				return
			}
		}
	}
	wg.Add(2)
	go pass(c, d)
	go pass(d, c)
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, c)
	delete(l.conns, d)
	l.mu.Unlock()
	_ = c.Close()
	_ = d.Close()
}

// wait waits while the link is silent.
func (l *link) wait() {
	l.mu.Lock()
	for l.silent {
		l.held.Wait()
	}
	l.mu.Unlock()
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

// cutReset cuts the link with resets.
func (l *link) cutReset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.lis.Close()
	for c := range l.conns {
		reset(c)
	}
}

// cutSilent cuts the link without a sign.
func (l *link) cutSilent() {
	l.mu.Lock()
	l.silent = true
	l.mu.Unlock()
}

// heal ends a cut. What a silent cut held up is lost.
func (l *link) heal() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.silent {
		for c := range l.conns {
			reset(c)
		}
		l.silent = false
		l.held.Broadcast()
		return
	}
	lis, err := net.Listen("tcp", l.addr)
	if err != nil {
		panic(err)
	}
	l.lis = lis
	go l.accept(lis)
}
