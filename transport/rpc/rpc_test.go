package rpc_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
	"storj.io/drpc/drpcmux"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
	"github.com/medlargrade/medlargrade/transport/rpc"
	"github.com/medlargrade/medlargrade/transport/rpc/rpctest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// server answers Watch by calling a function.
type server struct {
	agentrpc.DRPCAgentUnimplementedServer
	watch func(context.Context, *agentrpc.WatchRequest) (*agentrpc.WatchReply, error)
}

func (s *server) Watch(ctx context.Context, r *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
	return s.watch(ctx, r)
}

// echo waits for the request's WaitMillis and returns its Planner as the pool.
func echo(ctx context.Context, r *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
	select {
	case <-time.After(time.Duration(r.GetWaitMillis()) * time.Millisecond):
		return &agentrpc.WatchReply{Worker: &agentrpc.Worker{Pool: r.GetPlanner()}}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// harness holds a server at the address "t1" and a pool.
type harness struct {
	net    rpctest.Network
	srv    *server
	pool   *rpc.Pool
	client agentrpc.DRPCAgentClient
	stop   context.CancelFunc // shuts the server down
	served chan error
}

func newHarness(t *testing.T, srv *server, cfg rpc.Settings) *harness {
	h := &harness{srv: srv, served: make(chan error, 1)}
	cfg.Dial = h.net.Dial
	h.pool = rpc.NewPool(cfg)
	h.client = agentrpc.NewDRPCAgentClient(h.pool.Conn("t1"))
	h.serve(t)
	return h
}

// serve starts the server. It may be called again after stop and a receive from
// served.
func (h *harness) serve(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	mux := drpcmux.New()
	qt.Assert(t, agentrpc.DRPCRegisterAgent(mux, h.srv), qt.IsNil)
	lis := h.net.Listen("t1")
	go func() { h.served <- rpc.Serve(ctx, lis, mux) }()
}

// close closes the pool and shuts the server down.
func (h *harness) close(t *testing.T) {
	qt.Check(t, h.pool.Close(), qt.IsNil)
	h.stop()
	qt.Check(t, <-h.served, qt.IsNil)
}

func watchRequest(wait time.Duration) *agentrpc.WatchRequest {
	return &agentrpc.WatchRequest{WaitMillis: wait.Milliseconds()}
}

func isNotSent(err error) bool {
	var e *rpc.NotSentError
	return errors.As(err, &e)
}

// Guards against more connections to an address than the limit, and against a call
// that waits for a connection after its context has ended.
func TestPoolLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var active, maxActive atomic.Int64
		h := newHarness(t, &server{watch: func(ctx context.Context, req *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
			n := active.Add(1)
			defer active.Add(-1)
			for m := maxActive.Load(); n > m && !maxActive.CompareAndSwap(m, n); m = maxActive.Load() {
			}
			return echo(ctx, req)
		}}, rpc.Settings{MaxConns: 4})
		defer h.close(t)
		start := time.Now()
		var wg sync.WaitGroup
		for range 12 {
			wg.Go(func() {
				_, err := h.client.Watch(t.Context(), watchRequest(time.Second))
				qt.Check(t, err, qt.IsNil)
			})
		}
		synctest.Wait()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second/2)
		defer cancel()
		_, err := h.client.Watch(ctx, watchRequest(0))
		qt.Check(t, isNotSent(err), qt.IsTrue)
		qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
		wg.Wait()
		qt.Check(t, time.Since(start), qt.Equals, 3*time.Second)
		qt.Check(t, maxActive.Load(), qt.Equals, int64(4))
		qt.Check(t, h.net.Dials("t1"), qt.Equals, 4)
	})
}

// Guards against reporting a request that may have been received as not sent,
// which would allow the caller to run it twice, and against the opposite, which
// prevents a safe retry.
func TestNotSent(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(h *harness)
		address string
		req     *agentrpc.WatchRequest
		notSent bool
		wantErr error // nil if any error will do
		elapsed time.Duration
	}{
		{name: "no listener", address: "t2", req: watchRequest(0), notSent: true},
		{name: "request too large", address: "t1", notSent: true, req: &agentrpc.WatchRequest{
			Planner: string(make([]byte, rpc.MaxMessageBytes+1)),
		}},
		{name: "pool closed", address: "t1", req: watchRequest(0), notSent: true, wantErr: rpc.ErrClosed, prepare: func(h *harness) {
			_ = h.pool.Close()
		}},
		{name: "default deadline", address: "t1", req: watchRequest(time.Minute), wantErr: context.DeadlineExceeded, elapsed: rpc.CallTimeout},
		{name: "blackholed connection", address: "t1", req: watchRequest(0), wantErr: context.DeadlineExceeded, elapsed: rpc.CallTimeout, prepare: func(h *harness) {
			_, _ = h.client.Watch(context.Background(), watchRequest(0))
			h.net.Blackhole("t1")
		}},
		{name: "pool closed during the call", address: "t1", req: watchRequest(time.Minute), wantErr: rpc.ErrClosed, elapsed: time.Second, prepare: func(h *harness) {
			time.AfterFunc(time.Second, func() { _ = h.pool.Close() })
		}},
		{name: "connections closed during the call", address: "t1", req: watchRequest(time.Minute), elapsed: time.Second, prepare: func(h *harness) {
			time.AfterFunc(time.Second, func() { h.pool.CloseOpenedBefore("t1", time.Now()) })
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, &server{watch: echo}, rpc.Settings{})
				defer h.close(t)
				if tt.prepare != nil {
					tt.prepare(h)
				}
				start := time.Now()
				client := agentrpc.NewDRPCAgentClient(h.pool.Conn(tt.address))
				_, err := client.Watch(context.Background(), tt.req)
				qt.Assert(t, err, qt.ErrorMatches, "(?s)Watch "+tt.address+": .*")
				qt.Check(t, isNotSent(err), qt.Equals, tt.notSent)
				if tt.wantErr != nil {
					qt.Check(t, err, qt.ErrorIs, tt.wantErr)
				}
				qt.Check(t, time.Since(start), qt.Equals, tt.elapsed)
			})
		})
	}
}

// Guards against a limit below the documented one, and against an oversized reply
// that closes the connection without an error that gives the size.
func TestMessageSize(t *testing.T) {
	tests := []struct {
		name string
		size int
		err  string
	}{
		{name: "just below the limit", size: rpc.MaxMessageBytes - 64},
		{name: "reply twice the request", size: rpc.MaxMessageBytes - 64, err: "Watch t1: message of .* exceeds the limit of 8388608"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, &server{watch: func(_ context.Context, r *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
					w := &agentrpc.Worker{Pool: r.GetPlanner()}
					if tt.err != "" {
						w.Rack = r.GetPlanner()
					}
					return &agentrpc.WatchReply{Worker: w}, nil
				}}, rpc.Settings{})
				defer h.close(t)
				reply, err := h.client.Watch(t.Context(), &agentrpc.WatchRequest{Planner: strings.Repeat("a", tt.size)})
				if tt.err != "" {
					qt.Assert(t, err, qt.ErrorMatches, tt.err)
					return
				}
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, len(reply.GetWorker().GetPool()), qt.Equals, tt.size)
			})
		})
	}
}

// Guards against reusing a connection that failed or that the server has closed,
// and against dialing for every call.
func TestReuse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, &server{watch: echo}, rpc.Settings{})
		defer h.close(t)
		call := func() {
			_, err := h.client.Watch(t.Context(), watchRequest(0))
			qt.Check(t, err, qt.IsNil)
		}
		call()
		call()
		qt.Check(t, h.net.Dials("t1"), qt.Equals, 1)

		h.net.Blackhole("t1")
		_, err := h.client.Watch(t.Context(), watchRequest(0))
		qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
		call()
		qt.Check(t, h.net.Dials("t1"), qt.Equals, 2)

		h.stop()
		qt.Check(t, <-h.served, qt.IsNil)
		h.serve(t)
		call()
		qt.Check(t, h.net.Dials("t1"), qt.Equals, 3)

		time.Sleep((rpc.ClientIdleTimeout + rpc.ServerIdleTimeout) / 2) // before the server closes it
		call()
		qt.Check(t, h.net.Dials("t1"), qt.Equals, 4)
	})
}

// Guards against a reply that is delivered to another call. Calls time out at
// random while their replies are in transit; if their connections were reused, the
// next call would receive the late reply.
func TestRepliesDoNotCross(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHarness(t, &server{watch: echo}, rpc.Settings{MaxConns: 8})
		defer h.close(t)
		rnd := rand.New(rand.NewPCG(1, 2))
		var answered, abandoned atomic.Int64
		var wg sync.WaitGroup
		for i := range 500 {
			wait, timeout := time.Duration(rnd.IntN(20))*time.Millisecond, time.Duration(rnd.IntN(2000))*time.Millisecond
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), timeout)
				defer cancel()
				job := fmt.Sprintf("job-%d", i)
				reply, err := h.client.Watch(ctx, &agentrpc.WatchRequest{
					Planner: job, WaitMillis: wait.Milliseconds(),
				})
				if err != nil {
					abandoned.Add(1)
					return
				}
				answered.Add(1)
				qt.Check(t, reply.GetWorker().GetPool(), qt.Equals, job)
			})
		}
		wg.Wait()
		qt.Check(t, answered.Load() > 100 && abandoned.Load() > 20, qt.IsTrue,
			qt.Commentf("answered %d, abandoned %d", answered.Load(), abandoned.Load()))
	})
}

// Guards against a shutdown that cancels a call before the drain timeout, and
// against one that never ends.
func TestServeDrain(t *testing.T) {
	tests := []struct {
		name     string
		wait     time.Duration
		answered bool
		elapsed  time.Duration
	}{
		{name: "call ends in time", wait: 3 * time.Second, answered: true, elapsed: 2 * time.Second},
		{name: "call is too long", wait: time.Hour, elapsed: rpc.DrainTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, &server{watch: echo}, rpc.Settings{})
				defer func() { _ = h.pool.Close() }()
				_, err := h.client.Watch(t.Context(), watchRequest(0)) // leaves an idle connection
				qt.Assert(t, err, qt.IsNil)
				result := make(chan error, 1)
				go func() {
					ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
					defer cancel()
					_, err := h.client.Watch(ctx, watchRequest(tt.wait))
					result <- err
				}()
				time.Sleep(time.Second)
				start := time.Now()
				h.stop()
				qt.Check(t, <-h.served, qt.IsNil)
				qt.Check(t, time.Since(start), qt.Equals, tt.elapsed)
				err = <-result
				qt.Check(t, err == nil, qt.Equals, tt.answered, qt.Commentf("%v", err))
				_, err = h.client.Watch(t.Context(), watchRequest(0))
				qt.Check(t, isNotSent(err), qt.IsTrue)
			})
		})
	}
}

// Guards against clients that keep server connections open without completing a
// request.
func TestServerClosesUnused(t *testing.T) {
	tests := []struct {
		name string
		send string
	}{
		{name: "nothing sent"},
		// An invoke frame of stream 1, message 1, without the message that follows.
		{name: "half a request", send: "\x03\x01\x01\x1e/medlargrade.agent.Agent/Watch"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHarness(t, &server{watch: echo}, rpc.Settings{})
				defer h.close(t)
				nc, err := h.net.Dial(t.Context(), "t1")
				qt.Assert(t, err, qt.IsNil)
				defer func() { _ = nc.Close() }()
				start := time.Now()
				_, err = nc.Write([]byte(tt.send))
				qt.Assert(t, err, qt.IsNil)
				_, err = nc.Read(make([]byte, 1))
				qt.Check(t, err, qt.IsNotNil)
				qt.Check(t, time.Since(start), qt.Equals, rpc.ServerIdleTimeout)
			})
		})
	}
}

// Guards against a handler that ends the process, or the other calls of its connection's
// peer, by a panic.
func TestPanicEndsOneCall(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		srv := &server{watch: func(ctx context.Context, r *agentrpc.WatchRequest) (*agentrpc.WatchReply, error) {
			if r.GetPlanner() == "bad" {
				panic("unexpected request")
			}
			return echo(ctx, r)
		}}
		h := newHarness(t, srv, rpc.Settings{})
		_, err := h.client.Watch(t.Context(), &agentrpc.WatchRequest{Planner: "bad"})
		qt.Check(t, err, qt.ErrorMatches, ".*the handler panicked: unexpected request.*")
		reply, err := h.client.Watch(t.Context(), &agentrpc.WatchRequest{Planner: "good"})
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, reply.GetWorker().GetPool(), qt.Equals, "good")
		h.close(t)
	})
}
