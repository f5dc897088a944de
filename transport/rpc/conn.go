package rpc

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
)

// conn is one client connection. It carries one call at a time.
type conn struct {
	tr     *clientTransport
	drpc   *drpcconn.Conn
	opened time.Time
	idle   time.Time // when the last call ended
}

func newConn(nc net.Conn) *conn {
	tr := &clientTransport{Conn: nc}
	return &conn{
		tr:     tr,
		drpc:   drpcconn.NewWithOptions(tr, drpcconn.Options{Manager: managerOptions()}),
		opened: time.Now(),
	}
}

// clientTransport records whether any byte of the current call has left.
type clientTransport struct {
	net.Conn
	wrote atomic.Bool
}

func (t *clientTransport) Write(b []byte) (int, error) {
	n, err := t.Conn.Write(b)
	if n > 0 {
		t.wrote.Store(true)
	}
	return n, err
}

// isClosed reports whether the connection is known to be unusable.
func (c *conn) isClosed() bool {
	select {
	case <-c.drpc.Closed():
		return true
	default:
		return false
	}
}

// callEncoding records how far one call got.
type callEncoding struct {
	limitEncoding
	refused error // of the encoding of the request
	replied bool  // the whole reply was decoded
}

func (e *callEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	out, err := e.limitEncoding.MarshalAppend(buf, msg)
	e.refused = err
	return out, err
}

func (e *callEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	err := e.limitEncoding.Unmarshal(buf, msg)
	e.replied = err == nil
	return err
}

// invoke makes one call. If it fails, the connection must be closed. The flag
// again reports that another connection may carry the call, because this one
// took no byte of it.
func (c *conn) invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) (again bool, err error) {
	c.tr.wrote.Store(false)
	progress := &callEncoding{limitEncoding: limitEncoding{enc}}
	err = c.drpc.Invoke(ctx, rpc, progress, in, out)
	if err == nil {
		return false, nil
	}
	if progress.replied {
		// Only the message that closes the stream failed, for example because the
		// server ended after its reply. The connection is closed then.
		return false, nil
	}
	if progress.refused != nil {
		return false, &NotSentError{Err: progress.refused}
	}
	// The transport's error says only that it was closed.
	if ctxErr := ctx.Err(); ctxErr != nil && !errors.Is(err, ctxErr) {
		err = fmt.Errorf("%w: %w", ctxErr, err)
	}
	// Writes happen in Invoke's own goroutine, so the flag is final here.
	if !c.tr.wrote.Load() {
		return ctx.Err() == nil, &NotSentError{Err: err}
	}
	return false, err
}
