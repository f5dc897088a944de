package rpc

import (
	"context"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcmanager"
)

// serverConn is an accepted connection.
type serverConn struct {
	tr net.Conn

	mu       sync.Mutex
	busy     bool // a call is in progress
	draining bool // no further call may start
}

func newServerConn(nc net.Conn) *serverConn {
	return &serverConn{tr: &serverTransport{Conn: nc}}
}

// serverTransport sets a deadline for each write.
type serverTransport struct {
	net.Conn
}

func (t *serverTransport) Write(b []byte) (int, error) {
	if err := t.SetWriteDeadline(time.Now().Add(WriteTimeout)); err != nil {
		return 0, err
	}
	return t.Conn.Write(b)
}

// serve handles calls one after another until the connection ends. ctx is the
// parent of the calls' contexts.
func (c *serverConn) serve(ctx context.Context, h drpc.Handler) error {
	opts := managerOptions()
	opts.InactivityTimeout = ServerIdleTimeout
	man := drpcmanager.NewWithOptions(c.tr, opts)
	defer func() { _ = man.Close() }()
	for {
		stream, rpc, err := man.NewServerStream(ctx)
		if err != nil {
			return err
		}
		if !c.beginCall() {
			return nil
		}
		if err = h.HandleRPC(&serverStream{Stream: stream, conn: c}, rpc); err != nil {
			err = stream.SendError(err)
		} else {
			err = stream.CloseSend()
		}
		if keepOpen := c.endCall(); err != nil || !keepOpen {
			return err
		}
	}
}

// beginCall marks the connection as busy, unless it is draining. It reports
// whether the call may start.
func (c *serverConn) beginCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = !c.draining
	return c.busy
}

// endCall marks the connection as idle and reports whether it may carry another
// call.
func (c *serverConn) endCall() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	return !c.draining
}

func (c *serverConn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

// drain closes the connection, after the call in progress if there is one.
func (c *serverConn) drain() {
	c.mu.Lock()
	c.draining = true
	idle := !c.busy
	c.mu.Unlock()
	if idle {
		_ = c.tr.Close()
	}
}

// serverStream limits the wait for the request and the size of the reply.
type serverStream struct {
	drpc.Stream
	conn *serverConn
}

func (s *serverStream) MsgRecv(msg drpc.Message, enc drpc.Encoding) error {
	timer := time.AfterFunc(ServerIdleTimeout, func() { _ = s.conn.tr.Close() })
	defer timer.Stop()
	return s.Stream.MsgRecv(msg, enc)
}

func (s *serverStream) MsgSend(msg drpc.Message, enc drpc.Encoding) error {
	return s.Stream.MsgSend(msg, limitEncoding{enc})
}
