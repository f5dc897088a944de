package rpc

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"
	"storj.io/drpc"
)

// acceptRetryDelay is the delay after a temporary accept error, for example when
// the process has no file descriptors left.
const acceptRetryDelay = 100 * time.Millisecond

// recoveringHandler turns a panic of a handler into an error of its call.
type recoveringHandler struct {
	handler drpc.Handler
	log     *zerolog.Logger
}

// HandleRPC implements drpc.Handler.
func (h recoveringHandler) HandleRPC(stream drpc.Stream, rpc string) (err error) {
	defer func() {
		if v := recover(); v != nil {
			h.log.Error().Int("Event", EventHandlerPanicked).Str("Call", rpc).Str("Panic", fmt.Sprint(v)).Bytes("Stack", debug.Stack()).Send()
			err = fmt.Errorf("%s: the handler panicked: %v", rpc, v)
		}
	}()
	return h.handler.HandleRPC(stream, rpc)
}

// Serve accepts drpc connections and passes their calls to h until ctx ends or
// the listener fails. It then closes the listener and the idle connections, waits
// up to DrainTimeout for calls in progress, cancels the contexts of those that
// remain, and returns once every handler has returned. It returns nil if ctx
// ended.
//
// A handler must return when its context ends. The context also ends when the
// caller's connection is closed. A panic of a handler ends its call with an error. Serve logs to the zerolog.Logger in ctx.
func Serve(ctx context.Context, lis net.Listener, h drpc.Handler) error {
	callCtx, cancelCalls := context.WithCancel(context.WithoutCancel(ctx))
	defer cancelCalls()
	log := zerolog.Ctx(ctx)
	s := &server{handler: recoveringHandler{h, log}, log: log, conns: make(map[*serverConn]struct{})}
	acceptCtx, stopAccepting := context.WithCancel(ctx)
	s.wg.Go(func() {
		<-acceptCtx.Done()
		_ = lis.Close()
	})
	err := s.accept(acceptCtx, callCtx, lis)
	stopAccepting()

	s.drain()
	timer := time.AfterFunc(DrainTimeout, func() {
		if n := s.activeCalls(); n > 0 {
			s.log.Warn().Int("Event", EventCallsCanceled).Int("Calls", n).Msg("drain timed out; canceling calls in progress")
		}
		cancelCalls()
	})
	s.wg.Wait()
	timer.Stop()
	if ctx.Err() != nil {
		return nil
	}
	return err
}

// server holds the connections of one call of Serve.
type server struct {
	handler drpc.Handler
	log     *zerolog.Logger
	wg      sync.WaitGroup

	mu    sync.Mutex
	conns map[*serverConn]struct{}
}

func (s *server) accept(ctx, callCtx context.Context, lis net.Listener) error {
	for {
		nc, err := lis.Accept()
		if err == nil {
			c := newServerConn(nc)
			s.mu.Lock()
			s.conns[c] = struct{}{}
			s.mu.Unlock()
			s.wg.Go(func() { s.serveConn(callCtx, c) })
			continue
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if !isTemporary(err) {
			return fmt.Errorf("accept on %s: %w", lis.Addr(), err)
		}
		s.log.Warn().Int("Event", EventAcceptFailed).Err(err).Msg("accept failed; retrying")
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(acceptRetryDelay):
		}
	}
}

// isTemporary reports whether a later accept may succeed.
func isTemporary(err error) bool {
	for _, errno := range []syscall.Errno{
		syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED,
	} {
		if errors.Is(err, errno) {
			return true
		}
	}
	return false
}

func (s *server) serveConn(callCtx context.Context, c *serverConn) {
	err := c.serve(callCtx, s.handler)
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	if err != nil && !errors.Is(err, io.EOF) && !errors.Is(err, net.ErrClosed) && !errors.Is(err, context.Canceled) {
		s.log.Debug().Int("Event", EventConnEnded).Str("Peer", c.tr.RemoteAddr().String()).Err(err).Msg("connection closed after an error")
	}
}

// drain closes each connection once its call in progress has ended.
func (s *server) drain() {
	s.mu.Lock()
	conns := make([]*serverConn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	s.mu.Unlock()
	for _, c := range conns {
		c.drain()
	}
}

// activeCalls returns the number of connections with a call in progress.
func (s *server) activeCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for c := range s.conns {
		if c.isBusy() {
			n++
		}
	}
	return n
}
