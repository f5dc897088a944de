package pipenet

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

type watchServer struct {
	agentrpc.DRPCAgentUnimplementedServer
}

func (*watchServer) Watch(_ context.Context, r *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
	return &agentrpc.WatchReply{Epoch: r.GetEpoch() + 1}, nil
}

// Guards against a network over which drpc does not work, or over which a call on a
// frozen connection exceeds its deadline.
func TestDRPC(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n Network
		l, err := n.Host("t1").Listen("t1:7000")
		qt.Assert(t, err, qt.IsNil)
		mux := drpcmux.New()
		qt.Assert(t, agentrpc.DRPCRegisterAgent(mux, &watchServer{}), qt.IsNil)
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan error)
		go func() { served <- drpcserver.New(mux).Serve(ctx, l) }()

		raw, err := n.Host("e1").Dial(ctx, "t1:7000")
		qt.Assert(t, err, qt.IsNil)
		conn := drpcconn.New(raw)
		client := agentrpc.NewDRPCAgentClient(conn)
		n.SetDelay(Any, Any, 3*time.Millisecond)
		start := time.Now()
		reply, err := client.Watch(ctx, &agentrpc.WatchRequest{Epoch: 7})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reply.GetEpoch(), qt.Equals, uint64(8))
		qt.Check(t, time.Since(start), qt.Equals, 6*time.Millisecond)

		n.Freeze("e1", "t1")
		callCtx, stop := context.WithTimeout(ctx, 2*time.Second)
		_, err = client.Watch(callCtx, &agentrpc.WatchRequest{})
		stop()
		qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
		qt.Check(t, time.Since(start), qt.Equals, 2006*time.Millisecond)
		_ = conn.Close()
		cancel()
		qt.Check(t, <-served, qt.IsNil)
	})
}
