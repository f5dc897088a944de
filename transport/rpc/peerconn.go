package rpc

import (
	"context"
	"errors"
	"strings"

	"storj.io/drpc"

	"github.com/medlargrade/medlargrade/coordination/outcome"
)

var errStreamsUnsupported = errors.New("streams are not supported")

// Conn returns a drpc.Conn that makes its calls over the pool's connections to
// the address. It need not be closed. Calls may be made concurrently; while all
// connections that the limit allows are in use, further calls wait.
func (p *Pool) Conn(address string) drpc.Conn {
	return &peerConn{pool: p, address: address}
}

// peerConn makes calls to one address over a pool.
type peerConn struct {
	pool    *Pool
	address string
}

func (c *peerConn) Close() error { return nil }

func (c *peerConn) Closed() <-chan struct{} { return c.pool.done }

func (c *peerConn) Invoke(ctx context.Context, rpc string, enc drpc.Encoding, in, out drpc.Message) error {
	return outcome.WrapCall(methodName(rpc), c.address, c.pool.call(ctx, c.address, rpc, enc, in, out))
}

func (c *peerConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, &NotSentError{Err: errStreamsUnsupported}
}

// methodName returns the method of an RPC name of the form /service/method.
func methodName(rpc string) string { return rpc[strings.LastIndexByte(rpc, '/')+1:] }
