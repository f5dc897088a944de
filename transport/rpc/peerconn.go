package rpc

import (
	"context"
	"errors"
	"strings"

	"storj.io/drpc"

	"github.com/medlargrade/medlargrade/coordination/outcome"
)

var errStreams = errors.New("streams are not supported")

// Conn returns a drpc.Conn whose calls go over the pool's connections to the
// address. It needs no Close. Calls may be made concurrently; a call that needs
// more than the pool's limit of connections waits for one to come free.
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
	return outcome.WrapCall(method(rpc), c.address, c.pool.call(ctx, c.address, rpc, enc, in, out))
}

func (c *peerConn) NewStream(context.Context, string, drpc.Encoding) (drpc.Stream, error) {
	return nil, &NotSentError{Err: errStreams}
}

// method returns the last part of the name of an RPC.
func method(rpc string) string { return rpc[strings.LastIndexByte(rpc, '/')+1:] }
