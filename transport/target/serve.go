package target

import (
	"context"
	"fmt"
	"net"

	"storj.io/drpc/drpcmux"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/transport/rpc"
)

// Serve serves the Target service until ctx ends; rpc.Serve states how it ends.
func Serve(ctx context.Context, lis net.Listener, srv targetrpc.DRPCTargetServer) error {
	mux := drpcmux.New()
	if err := targetrpc.DRPCRegisterTarget(mux, srv); err != nil {
		return fmt.Errorf("register the Target service: %w", err)
	}
	return rpc.Serve(ctx, lis, mux)
}
