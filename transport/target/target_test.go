package target

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/transport/rpc"
	"github.com/medlargrade/medlargrade/transport/rpc/rpctest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeTarget grants sessions and expires them like a target process.
type fakeTarget struct {
	targetrpc.DRPCTargetUnimplementedServer
	leaving atomic.Bool
	expired atomic.Bool
	delay   atomic.Int64 // nanoseconds until the reply to a ping

	mu    sync.Mutex
	opens uint64
	pings int
}

func (f *fakeTarget) OpenSession(_ context.Context, r *targetrpc.OpenSessionRequest) (*targetrpc.OpenSessionReply, error) {
	if r.GetEntry() != "e1" || r.GetEntryIncarnation() != 11 || r.GetGeneration() != 5 {
		return nil, errors.New("wrong request")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.opens++
	return &targetrpc.OpenSessionReply{Session: f.opens, Incarnation: 42, ExpiryMillis: 10_000, Target: "north-1", Generation: 6}, nil
}

func (f *fakeTarget) Ping(context.Context, *targetrpc.PingRequest) (*targetrpc.PingReply, error) {
	time.Sleep(time.Duration(f.delay.Load()))
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pings++
	return &targetrpc.PingReply{Expired: f.expired.Load(), Leaving: f.leaving.Load()}, nil
}

func (f *fakeTarget) Start(_ context.Context, r *targetrpc.StartRequest) (*targetrpc.AttemptReply, error) {
	return &targetrpc.AttemptReply{Attempt: r.GetAttempt(), State: targetrpc.AttemptState_ATTEMPT_RUNNING}, nil
}

func (f *fakeTarget) Await(ctx context.Context, r *targetrpc.AwaitRequest) (*targetrpc.AttemptReply, error) {
	select {
	case <-time.After(time.Duration(r.GetWaitMillis()) * time.Millisecond):
		return &targetrpc.AttemptReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// rig is a target at "t1" and a pool of an entry.
type rig struct {
	net     rpctest.Network
	srv     fakeTarget
	pool    *Pool
	pause   atomic.Int64  // nanoseconds that the entry is paused before its next ping
	learned atomic.Uint64 // highest generation heard of
}

// run calls f in a bubble with a served rig.
func run(t *testing.T, f func(t *testing.T, r *rig)) {
	synctest.Test(t, func(t *testing.T) {
		r := &rig{}
		r.pool = NewPool(Settings{
			Entry: "e1", Incarnation: 11, Dial: r.net.Dial, Log: zerolog.Nop(),
			Generation: func() uint64 {
				time.Sleep(time.Duration(r.pause.Swap(0)))
				return 5
			},
			Learn: func(g uint64, _ string) { r.learned.Store(g) },
		})
		ctx, stop := context.WithCancel(t.Context())
		served := make(chan error, 1)
		lis := r.net.Listen("t1")
		go func() { served <- Serve(ctx, lis, &r.srv) }()
		f(t, r)
		qt.Check(t, r.pool.Close(), qt.IsNil)
		stop()
		qt.Check(t, <-served, qt.IsNil)
	})
}

func (r *rig) session(t *testing.T) *Session {
	s, err := r.pool.Session(t.Context(), "t1")
	qt.Assert(t, err, qt.IsNil)
	return s
}

// Guards against a session that is opened once per caller, that loses what the
// target granted, or that ends while it is used.
func TestSessionIsShared(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() {
				s, err := r.pool.Session(t.Context(), "t1")
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, s.ID(), qt.Equals, uint64(1))
			})
		}
		wg.Wait()
		s := r.session(t)
		qt.Check(t, s.Incarnation(), qt.Equals, uint64(42))
		qt.Check(t, s.Target(), qt.Equals, "north-1")
		qt.Check(t, s.Address(), qt.Equals, "t1")
		qt.Check(t, r.learned.Load(), qt.Equals, uint64(6))
		attempt := &targetrpc.AttemptID{Job: "j", Number: 1}
		for range 3 {
			reply, err := s.Client().Start(t.Context(), &targetrpc.StartRequest{Session: s.ID(), Attempt: attempt})
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, reply.GetAttempt().GetJob(), qt.Equals, "j")
			time.Sleep(SessionIdle * 3 / 4)
		}
	})
}

// Guards against a session that outlives the target's grant, also in an entry
// that was paused, and against one that ends without a reason.
func TestSessionEnd(t *testing.T) {
	tests := []struct {
		name  string
		cause func(r *rig)
		want  error
		by    time.Duration // after the cause
	}{
		{name: "target expired it", cause: func(r *rig) { r.srv.expired.Store(true) }, want: ErrExpired, by: PingPeriod},
		{name: "connections are silent", cause: func(r *rig) { r.net.Silence("t1") }, want: context.DeadlineExceeded, by: PingPeriod + PingDeadline},
		{name: "entry is paused", cause: func(r *rig) { r.pause.Store(int64(20 * time.Second)) }, want: ErrExpired, by: 10*time.Second - SessionMargin},
		{name: "entry is paused after a slow ping", cause: func(r *rig) {
			r.srv.delay.Store(int64(PingDeadline * 3 / 4))
			time.Sleep(PingPeriod + PingDeadline)
			r.pause.Store(int64(20 * time.Second))
		}, want: ErrExpired, by: PingPeriod + 10*time.Second - SessionMargin},
		{name: "pool is closed", cause: func(r *rig) { _ = r.pool.Close() }, want: ErrClosed},
		{name: "not used", cause: func(*rig) {}, want: ErrIdle, by: SessionIdle},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			run(t, func(t *testing.T, r *rig) {
				s := r.session(t)
				start := time.Now()
				tt.cause(r)
				const step = 100 * time.Millisecond
				for s.Live() && time.Since(start) < 2*SessionIdle {
					time.Sleep(step)
				}
				qt.Check(t, time.Since(start) <= tt.by+step, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
				qt.Check(t, s.Err(), qt.ErrorIs, tt.want)
				<-s.Ended()
				_, err := s.Client().Start(t.Context(), &targetrpc.StartRequest{})
				var notSent *NotSentError
				qt.Check(t, errors.As(err, &notSent), qt.IsTrue)
				qt.Check(t, err, qt.ErrorIs, tt.want)
				if errors.Is(tt.want, ErrClosed) {
					return
				}
				r.srv.expired.Store(false)
				qt.Check(t, r.session(t).ID(), qt.Equals, uint64(2))
				time.Sleep(SessionIdle / 2)
				qt.Check(t, r.session(t).ID(), qt.Equals, uint64(2))
			})
		})
	}
}

// Guards against an entry that stays bound to silent connections: the call in
// progress must fail within the ping deadline, as possibly received, and a new
// session must work at once.
func TestSilentConnection(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		s := r.session(t)
		time.Sleep(PingPeriod / 2)
		result := make(chan error, 1)
		go func() {
			ctx, cancel := context.WithTimeout(t.Context(), time.Hour)
			defer cancel()
			_, err := s.Client().Await(ctx, &targetrpc.AwaitRequest{WaitMillis: 3_600_000})
			result <- err
		}()
		synctest.Wait()
		start := time.Now()
		r.net.Silence("t1")
		err := <-result
		qt.Check(t, time.Since(start) <= PingPeriod+PingDeadline, qt.IsTrue)
		var notSent *NotSentError
		qt.Check(t, errors.As(err, &notSent), qt.IsFalse, qt.Commentf("%v", err))
		start = time.Now()
		next := r.session(t)
		qt.Check(t, next.ID(), qt.Equals, uint64(2))
		client, err := r.pool.Client(t.Context(), "t1")
		qt.Assert(t, err, qt.IsNil)
		_, err = client.Await(t.Context(), &targetrpc.AwaitRequest{})
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0))
	})
}

// Guards against pings that stop or that miss the leaving flag, and against pings
// that wait behind long polls which use up the pool.
func TestPings(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		s := r.session(t)
		var wg sync.WaitGroup
		for range 2 * rpc.ConnLimit {
			wg.Go(func() {
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				_, err := s.Client().Await(ctx, &targetrpc.AwaitRequest{WaitMillis: 20_000})
				qt.Check(t, err, qt.IsNil)
			})
		}
		time.Sleep(PingPeriod + time.Second)
		qt.Check(t, s.Leaving(), qt.IsFalse)
		r.srv.leaving.Store(true)
		time.Sleep(4 * PingPeriod)
		qt.Check(t, s.Leaving(), qt.IsTrue)
		qt.Check(t, s.Live(), qt.IsTrue)
		qt.Check(t, r.net.Dials("t1") <= rpc.ConnLimit, qt.IsTrue)
		r.srv.mu.Lock()
		qt.Check(t, r.srv.pings, qt.Equals, 5)
		r.srv.mu.Unlock()
		wg.Wait()
	})
}

// Guards against an opening that outlives its callers' patience, and against a
// failed opening that is kept.
func TestSessionOpenFails(t *testing.T) {
	run(t, func(t *testing.T, r *rig) {
		lis := r.net.Listen("t2") // nobody accepts
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err := r.pool.Session(ctx, "t2")
		qt.Check(t, err, qt.ErrorMatches, "open session t2: context deadline exceeded")
		start := time.Now()
		_, err = r.pool.Session(t.Context(), "t2")
		qt.Check(t, err, qt.ErrorMatches, "open session t2: OpenSession t2: not sent: .*deadline exceeded")
		qt.Check(t, time.Since(start), qt.Equals, PingDeadline-time.Second)
		qt.Check(t, lis.Close(), qt.IsNil)
		synctest.Wait()
		lis = r.net.Listen("t2")
		served, stop := make(chan error, 1), context.CancelFunc(nil)
		ctx, stop = context.WithCancel(t.Context())
		go func() { served <- Serve(ctx, lis, &r.srv) }()
		_, err = r.pool.Session(t.Context(), "t2")
		qt.Check(t, err, qt.IsNil)
		stop()
		qt.Check(t, <-served, qt.IsNil)
	})
}
