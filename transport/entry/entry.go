package entry

import (
	"context"
	"fmt"
	"net"

	"storj.io/drpc/drpcmux"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/transport/rpc"
)

// NotSentError reports a call that the entry did not receive.
type NotSentError = rpc.NotSentError

// ErrClosed reports the use of a closed pool.
var ErrClosed = rpc.ErrClosed

// Settings of a Pool.
type Settings = rpc.Settings

// Pool holds connections to entries by address. Its methods are safe for
// concurrent use.
type Pool struct {
	calls *rpc.Pool
}

// NewPool returns a pool without connections. Close releases it.
func NewPool(cfg Settings) *Pool { return &Pool{calls: rpc.NewPool(cfg)} }

// Close ends all calls, closes all connections and waits.
func (p *Pool) Close() error { return p.calls.Close() }

// Client returns a client for the entry at the address. It returns an error if
// ctx has ended or the pool is closed; it does not connect.
func (p *Pool) Client(ctx context.Context, address string) (entryrpc.DRPCEntryClient, error) {
	conn := p.calls.Conn(address)
	select {
	case <-conn.Closed():
		return nil, outcome.Step("connect", address, &NotSentError{Err: ErrClosed})
	default:
	}
	if err := ctx.Err(); err != nil {
		return nil, outcome.Step("connect", address, &NotSentError{Err: err})
	}
	return entryrpc.NewDRPCEntryClient(conn), nil
}

// Serve serves the Entry service until ctx ends; rpc.Serve states how it ends.
func Serve(ctx context.Context, lis net.Listener, srv entryrpc.DRPCEntryServer) error {
	mux := drpcmux.New()
	if err := entryrpc.DRPCRegisterEntry(mux, srv); err != nil {
		return fmt.Errorf("register the Entry service: %w", err)
	}
	return rpc.Serve(ctx, lis, mux)
}
