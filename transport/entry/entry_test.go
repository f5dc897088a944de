package entry

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/transport/rpc/rpctest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type fakeEntry struct {
	entryrpc.DRPCEntryUnimplementedServer
}

func (*fakeEntry) Heartbeat(_ context.Context, r *entryrpc.HeartbeatRequest) (*entryrpc.HeartbeatReply, error) {
	return &entryrpc.HeartbeatReply{Sequence: r.GetSequence(), Generation: 3}, nil
}

// Guards against a heartbeat that does not reach its entry, a generation that is
// not learned from the reply, and a closed pool that hands out clients.
func TestHeartbeat(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var n rpctest.Network
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan error, 1)
		lis := n.Listen("e1")
		go func() { served <- Serve(ctx, lis, &fakeEntry{}) }()
		learned := uint64(0)
		p := NewPool(Settings{Dial: n.Dial, Learn: func(g uint64, _ string) { learned = g }})
		client, err := p.Client(t.Context(), "e1")
		qt.Assert(t, err, qt.IsNil)
		reply, err := client.Heartbeat(t.Context(), &entryrpc.HeartbeatRequest{Sequence: 9})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reply.GetSequence(), qt.Equals, uint64(9))
		qt.Check(t, learned, qt.Equals, uint64(3))
		qt.Check(t, p.Close(), qt.IsNil)
		_, err = p.Client(t.Context(), "e1")
		var notSent *NotSentError
		qt.Check(t, errors.As(err, &notSent), qt.IsTrue)
		qt.Check(t, err, qt.ErrorIs, ErrClosed)
		stop()
		qt.Check(t, <-served, qt.IsNil)
	})
}
