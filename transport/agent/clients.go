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

// maxConnsPerAgent limits the connections to one agent: one for the long poll of
// Watch, the others for Order and TakeOver.
const maxConnsPerAgent = 4

// probeTimeout bounds the connection attempt of RefusesConnections.
const probeTimeout = 300 * time.Millisecond

// Clients provides clients for agents and holds their connections.
type Clients struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	pool *rpc.Pool
}

// NewClients returns a Clients that opens its connections by dial. The caller must
// close it.
func NewClients(dial func(ctx context.Context, address string) (net.Conn, error)) *Clients {
	return &Clients{dial: dial, pool: rpc.NewPool(rpc.Settings{Dial: dial, MaxConns: maxConnsPerAgent})}
}

// Agent returns a client for the agent at an address. A Watch call that times out
// closes the other connections to the address, because they may be dead as well.
func (c *Clients) Agent(address string) agentrpc.DRPCAgentClient {
	return client{agentrpc.NewDRPCAgentClient(c.pool.Conn(address)), c.pool, address}
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

// RefusesConnections reports whether a connection attempt is refused. That does not prove that the
// process has ended: whoever cuts it off may refuse connections in its place. After any other failure
// RefusesConnections returns false.
func (c *Clients) RefusesConnections(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	conn, err := c.dial(ctx, address)
	if err == nil {
		_ = conn.Close()
		return false
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Close closes all connections and ends the calls in progress.
func (c *Clients) Close() error { return c.pool.Close() }

// Serve serves an agent on the listener until ctx ends, as rpc.Serve does.
func Serve(ctx context.Context, lis net.Listener, impl agentrpc.DRPCAgentServer) error {
	mux := drpcmux.New()
	if err := agentrpc.DRPCRegisterAgent(mux, impl); err != nil {
		return fmt.Errorf("register the agent: %w", err)
	}
	return rpc.Serve(ctx, lis, mux)
}
