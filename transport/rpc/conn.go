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

// conn is a client connection. It carries one call at a time.
type conn struct {
	tr        *clientTransport
	drpc      *drpcconn.Conn
	openedAt  time.Time
	idleSince time.Time // when the last call ended
}

func newConn(nc net.Conn) *conn {
	tr := &clientTransport{Conn: nc}
	return &conn{
		tr:       tr,
		drpc:     drpcconn.NewWithOptions(tr, drpcconn.Options{Manager: managerOptions()}),
		openedAt: time.Now(),
	}
}

// clientTransport records whether any byte of the current call was written.
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

// callEncoding records which steps of a call succeeded.
type callEncoding struct {
	limitEncoding
	marshalErr   error // from encoding the request
	replyDecoded bool  // the whole reply was decoded
}

func (e *callEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	out, err := e.limitEncoding.MarshalAppend(buf, msg)
	e.marshalErr = err
	return out, err
}

func (e *callEncoding) Unmarshal(buf []byte, msg drpc.Message) error {
	err := e.limitEncoding.Unmarshal(buf, msg)
	e.replyDecoded = err == nil
	return err
}

// invoke makes one call. After an error the caller must close the connection.
// retryable reports whether the call may be repeated on another connection,
// because no byte of it was written to this one.
func (c *conn) invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) (retryable bool, err error) {
	c.tr.wrote.Store(false)
	progress := &callEncoding{limitEncoding: limitEncoding{enc}}
	err = c.drpc.Invoke(ctx, rpc, progress, in, out)
	if err == nil {
		return false, nil
	}
	if progress.replyDecoded {
		// The reply is complete; only closing the stream failed, for example
		// because the server shut down after replying. drpc has then closed the
		// connection.
		return false, nil
	}
	if progress.marshalErr != nil {
		return false, &NotSentError{Err: progress.marshalErr}
	}
	// drpc closes the transport when ctx ends, and its error may report only that.
	if ctxErr := ctx.Err(); ctxErr != nil && !errors.Is(err, ctxErr) {
		err = fmt.Errorf("%w: %w", ctxErr, err)
	}
	// Writes happen in the goroutine of Invoke, so wrote has its final value here.
	if !c.tr.wrote.Load() {
		return ctx.Err() == nil, &NotSentError{Err: err}
	}
	return false, err
}
