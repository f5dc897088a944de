package agent_test

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/transport/agent"
	"github.com/medlargrade/medlargrade/transport/rpc"
	"github.com/medlargrade/medlargrade/transport/rpc/rpctest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const address = "t1"

// fakeAgent answers calls as the functions say. A nil function gives an empty reply.
type fakeAgent struct {
	watch    func(ctx context.Context, in *agentrpc.WatchRequest) (*agentrpc.WatchReply, error)
	order    func(in *agentrpc.OrderRequest) (*agentrpc.OrderReply, error)
	takeOver func(in *agentrpc.TakeOverRequest)
}

func (a *fakeAgent) Watch(ctx context.Context, in *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
	if a.watch == nil {
		return &agentrpc.WatchReply{}, nil
	}
	return a.watch(ctx, in)
}

func (a *fakeAgent) Order(_ context.Context, in *agentrpc.OrderRequest) (*agentrpc.OrderReply, error) {
	if a.order == nil {
		return &agentrpc.OrderReply{}, nil
	}
	return a.order(in)
}

func (a *fakeAgent) TakeOver(_ context.Context, in *agentrpc.TakeOverRequest) (*agentrpc.TakeOverReply, error) {
	if a.takeOver != nil {
		a.takeOver(in)
	}
	return &agentrpc.TakeOverReply{}, nil
}

// harness is a served agent with clients for it.
type harness struct {
	net     rpctest.Network
	clients *agent.Clients
	stop    context.CancelFunc
	served  chan error
}

// withAgent calls f in a bubble with an agent at address.
func withAgent(t *testing.T, impl agentrpc.DRPCAgentServer, f func(t *testing.T, h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{served: make(chan error, 1)}
		h.clients = agent.NewClients(h.net.Dial)
		ctx, stop := context.WithCancel(context.Background())
		h.stop = stop
		lis := h.net.Listen(address)
		go func() { h.served <- agent.Serve(ctx, lis, impl) }()
		f(t, h)
		qt.Check(t, h.clients.Close(), qt.IsNil)
		stop()
		qt.Check(t, <-h.served, qt.IsNil)
	})
}

// Guards against fields of the messages that don't arrive, or arrive as others.
func TestMessagesArrive(t *testing.T) {
	life := &agentrpc.Life{Worker: "i-1", Born: 5}
	wantRequest := &agentrpc.WatchRequest{
		Epoch: 7, Planner: "t2", Fence: 9, Life: life, SeenEnd: 3, LeaseCapMillis: 10_000, WaitMillis: 1, Boot: 4, Revision: 6, UnconfirmedMillis: 8,
	}
	wantReply := &agentrpc.WatchReply{
		Epoch: 7, Boot: 4, Revision: 6, Worker: &agentrpc.Worker{Life: life, Pool: "p", Rack: "r1", Cpu: 64_000, MemoryMb: 1, Accelerators: 8, Labels: []string{"a", "r1"}, Draining: true, RemainingMillis: 2},
		Listed: true, Running: []*agentrpc.RunStatus{{Task: "j.0.0.0", Run: 2, Checkpoint: "c", Percent: 41, Load: 3}},
		Ended: []*agentrpc.RunEnd{{Number: 4, Task: "j.0.0.1", Run: 1, How: "done", Result: []byte("x")}}, SilentMillis: 11, Look: 12, UngrantedMillis: 13,
		Crashes: []*agentrpc.Crash{{Life: life, AgoMillis: 14, Runs: []*agentrpc.CrashedRun{{Task: "j.0.0.2", Run: 5, AgeMillis: 6, Confirmed: true}}}},
	}
	wantOrder := &agentrpc.OrderRequest{Epoch: 7, Fence: 9, Life: life, Orders: []*agentrpc.Order{
		{Order: &agentrpc.Order_Start{Start: &agentrpc.Start{Task: "j.0.0.0", Run: 1, Payload: "p", Checkpoint: "c", Ticket: "t", PayloadObject: "o"}}},
		{Order: &agentrpc.Order_Stop{Stop: &agentrpc.Stop{Task: "j.0.0.0", Run: 1}}},
		{Order: &agentrpc.Order_Pace{Pace: &agentrpc.Pace{Task: "j.0.0.0", Run: 1, Percent: 40}}},
	}}
	wantResults := &agentrpc.OrderReply{Epoch: 7, Results: []*agentrpc.OrderResult{{Outcome: agentrpc.Outcome_REFUSED, Reason: "room", Look: 3}}}
	var watched *agentrpc.WatchRequest
	var ordered *agentrpc.OrderRequest
	var asked *agentrpc.TakeOverRequest
	impl := &fakeAgent{
		watch: func(_ context.Context, in *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
			watched = in
			return wantReply, nil
		},
		order: func(in *agentrpc.OrderRequest) (*agentrpc.OrderReply, error) {
			ordered = in
			return wantResults, nil
		},
		takeOver: func(in *agentrpc.TakeOverRequest) { asked = in },
	}
	withAgent(t, impl, func(t *testing.T, h *harness) {
		c := h.clients.Agent(address)
		reply, err := c.Watch(t.Context(), wantRequest)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, proto.Equal(watched, wantRequest), qt.IsTrue, qt.Commentf("%v", watched))
		qt.Check(t, proto.Equal(reply, wantReply), qt.IsTrue, qt.Commentf("%v", reply))
		results, err := c.Order(t.Context(), wantOrder)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, proto.Equal(ordered, wantOrder), qt.IsTrue, qt.Commentf("%v", ordered))
		qt.Check(t, proto.Equal(results, wantResults), qt.IsTrue, qt.Commentf("%v", results))
		_, err = c.TakeOver(t.Context(), &agentrpc.TakeOverRequest{Epoch: 7})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, asked.GetEpoch(), qt.Equals, uint64(7))
	})
}

// Guards against messages of another version that end a call: fields that are missing have
// their zero value, and unknown ones are ignored.
func TestMessagesOfAnotherVersion(t *testing.T) {
	newer := &agentrpc.WatchReply{Epoch: 3}
	newer.ProtoReflect().SetUnknown(protowire.AppendString(protowire.AppendTag(nil, 900, protowire.BytesType), "new"))
	impl := &fakeAgent{watch: func(context.Context, *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) { return newer, nil }}
	withAgent(t, impl, func(t *testing.T, h *harness) {
		reply, err := h.clients.Agent(address).Watch(t.Context(), &agentrpc.WatchRequest{})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reply.GetEpoch(), qt.Equals, uint64(3))
		qt.Check(t, reply.GetWorker(), qt.IsNil)
		qt.Check(t, reply.GetCrashes(), qt.HasLen, 0)
	})
}

// Guards against an agent whose failure or panic in one call makes the next one fail.
func TestFailedCallEndsAlone(t *testing.T) {
	calls := 0
	impl := &fakeAgent{order: func(*agentrpc.OrderRequest) (*agentrpc.OrderReply, error) {
		switch calls++; calls {
		case 1:
			return nil, errors.New("no worker")
		case 2:
			panic("malformed order")
		}
		return &agentrpc.OrderReply{Epoch: 5}, nil
	}}
	withAgent(t, impl, func(t *testing.T, h *harness) {
		c := h.clients.Agent(address)
		_, err := c.Order(t.Context(), &agentrpc.OrderRequest{})
		qt.Check(t, err, qt.ErrorMatches, ".*no worker.*")
		_, err = c.Order(t.Context(), &agentrpc.OrderRequest{})
		qt.Check(t, err, qt.IsNotNil)
		reply, err := c.Order(t.Context(), &agentrpc.OrderRequest{})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reply.GetEpoch(), qt.Equals, uint64(5))
	})
}

// Guards against orders that are sent over connections which are known to be dead: a Watch that
// gets no answer in time closes them, so that the next call opens a new one.
func TestSilentAgent(t *testing.T) {
	impl := &fakeAgent{order: func(*agentrpc.OrderRequest) (*agentrpc.OrderReply, error) {
		time.Sleep(10 * time.Millisecond)
		return &agentrpc.OrderReply{}, nil
	}}
	withAgent(t, impl, func(t *testing.T, h *harness) {
		c := h.clients.Agent(address)
		// Two calls at a time leave two connections.
		var wg sync.WaitGroup
		for range 2 {
			wg.Go(func() {
				_, err := c.Order(t.Context(), &agentrpc.OrderRequest{})
				qt.Check(t, err, qt.IsNil)
			})
		}
		wg.Wait()
		dials := h.net.Dials(address)
		qt.Assert(t, dials, qt.Equals, 2)
		h.net.Blackhole(address)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := c.Watch(ctx, &agentrpc.WatchRequest{})
		qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
		ctx, cancel = context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = c.Order(ctx, &agentrpc.OrderRequest{})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, h.net.Dials(address) > dials, qt.IsTrue)
	})
}

// Guards against a slow agent whose call is given up before its time limit, and against one that
// blocks the orders to it.
func TestSlowAgent(t *testing.T) {
	impl := &fakeAgent{watch: func(ctx context.Context, in *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
		select {
		case <-time.After(time.Duration(in.GetWaitMillis()) * time.Millisecond):
		case <-ctx.Done():
		}
		return &agentrpc.WatchReply{Epoch: 1}, nil
	}}
	withAgent(t, impl, func(t *testing.T, h *harness) {
		c := h.clients.Agent(address)
		answered := make(chan error, 1)
		go func() {
			_, err := c.Watch(t.Context(), &agentrpc.WatchRequest{WaitMillis: 4900})
			answered <- err
		}()
		synctest.Wait()
		start := time.Now()
		_, err := c.Order(t.Context(), &agentrpc.OrderRequest{})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
		qt.Check(t, <-answered, qt.IsNil)
		qt.Check(t, time.Since(start), qt.Equals, 4900*time.Millisecond)
	})
}

// Guards against a call to an agent that is gone which may count as sent, and against one that
// fails for good after the agent is back.
func TestAgentIsGone(t *testing.T) {
	withAgent(t, &fakeAgent{}, func(t *testing.T, h *harness) {
		c := h.clients.Agent("t2")
		_, err := c.Order(t.Context(), &agentrpc.OrderRequest{})
		var notSent *rpc.NotSentError
		qt.Check(t, errors.As(err, &notSent), qt.IsTrue, qt.Commentf("%v", err))
		lis := h.net.Listen("t2")
		ctx, stop := context.WithCancel(context.Background())
		served := make(chan error, 1)
		go func() { served <- agent.Serve(ctx, lis, &fakeAgent{}) }()
		_, err = c.Order(t.Context(), &agentrpc.OrderRequest{})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, h.clients.Close(), qt.IsNil)
		stop()
		qt.Check(t, <-served, qt.IsNil)
	})
}

// Guards against a take-over at once because of an address that is only slow or unreachable for this
// process: only a refused connection is a reason for that.
func TestRefusesConnections(t *testing.T) {
	tests := []struct {
		name string
		dial func(ctx context.Context, address string) (net.Conn, error)
		want bool
	}{
		{"served", func(context.Context, string) (net.Conn, error) {
			client, server := net.Pipe()
			return client, server.Close()
		}, false},
		{"refused", func(context.Context, string) (net.Conn, error) {
			return nil, fmt.Errorf("dial: %w", syscall.ECONNREFUSED)
		}, true},
		{"unreachable", func(context.Context, string) (net.Conn, error) {
			return nil, fmt.Errorf("dial: %w", syscall.EHOSTUNREACH)
		}, false},
		{"silent", func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				start := time.Now()
				c := agent.NewClients(tt.dial)
				qt.Check(t, c.RefusesConnections(t.Context(), address), qt.Equals, tt.want)
				qt.Check(t, time.Since(start) <= time.Second, qt.IsTrue)
				qt.Check(t, c.Close(), qt.IsNil)
			})
		})
	}
}
