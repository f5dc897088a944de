package agent

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"storj.io/drpc/drpcmux"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/transport/rpc"
)

// connsPerAgent bounds the connections to one agent: one waits for news, the
// others carry orders.
const connsPerAgent = 4

// refuseTimeout bounds the test for a listener.
const refuseTimeout = 300 * time.Millisecond

// Clients provides clients for agents and holds their connections.
type Clients struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	pool *rpc.Pool
}

// NewClients returns Clients whose connections are opened by dial.
func NewClients(dial func(ctx context.Context, address string) (net.Conn, error)) *Clients {
	return &Clients{dial: dial, pool: rpc.NewPool(rpc.Settings{Dial: dial, Limit: connsPerAgent})}
}

// Agent returns a client for the agent at an address. A call of Watch that times
// out closes the other connections to the address, which may be as silent.
func (a *Clients) Agent(address string) agentrpc.DRPCAgentClient {
	return client{agentrpc.NewDRPCAgentClient(a.pool.Conn(address)), a.pool, address}
}

type client struct {
	agentrpc.DRPCAgentClient
	pool    *rpc.Pool
	address string
}

// Watch implements agentrpc.DRPCAgentClient.
func (c client) Watch(ctx context.Context, in *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
	out, err := c.DRPCAgentClient.Watch(ctx, in)
	if errors.Is(err, context.DeadlineExceeded) {
		c.pool.CloseOpenedBefore(c.address, time.Now())
	}
	return out, err
}

// RefusesConnections reports whether an address certainly has no listener.
func (a *Clients) RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, refuseTimeout)
	defer cancel()
	conn, err := a.dial(ctx, address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Close closes all connections.
func (a *Clients) Close() error { return a.pool.Close() }

// Serve serves an agent until ctx ends.
func Serve(ctx context.Context, lis net.Listener, impl agentrpc.DRPCAgentServer) error {
	mux := drpcmux.New()
	if err := agentrpc.DRPCRegisterAgent(mux, impl); err != nil {
		return fmt.Errorf("register the agent: %w", err)
	}
	return rpc.Serve(ctx, lis, mux)
}
