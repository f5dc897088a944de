package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	// connsPerWorker bounds the idle HTTP connections to one worker. A target has
	// 64 connections.
	connsPerWorker = 64
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// idleTimeout is how long an unused HTTP connection is kept.
	idleTimeout = 30 * time.Second
)

// Network is how a process reaches its peers and is reached by them.
type Network struct {
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Listen func(ctx context.Context, address string) (net.Listener, error)
	HTTP   *http.Client // to the platform or the worker
}

// TCP returns the network of a real process. Each call returns an HTTP client of
// its own.
func TCP() Network {
	d := &net.Dialer{Timeout: dialTimeout}
	return Network{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			conn, err := d.DialContext(ctx, "tcp", address)
			if err != nil {
				return nil, fmt.Errorf("dial: %w", err)
			}
			return conn, nil
		},
		Listen: func(ctx context.Context, address string) (net.Listener, error) {
			var lc net.ListenConfig
			lis, err := lc.Listen(ctx, "tcp", address)
			if err != nil {
				return nil, fmt.Errorf("listen: %w", err)
			}
			return lis, nil
		},
		HTTP: &http.Client{Transport: &http.Transport{
			DialContext:         d.DialContext,
			MaxIdleConnsPerHost: connsPerWorker,
			IdleConnTimeout:     idleTimeout,
		}},
	}
}

// listenAll listens on all addresses, or on none.
func (n Network) listenAll(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	var list []net.Listener
	for _, a := range addresses {
		lis, err := n.Listen(ctx, a)
		if err != nil {
			for _, l := range list {
				_ = l.Close()
			}
			return nil, err
		}
		list = append(list, lis)
	}
	return list, nil
}

// ServeHTTP serves h until ctx ends.
func ServeHTTP(ctx context.Context, lis net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve on %s: %w", lis.Addr(), err)
		}
		return nil
	})
	g.Go(func() error {
		<-gctx.Done()
		stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := srv.Shutdown(stop); err != nil {
			return srv.Close()
		}
		return nil
	})
	return g.Wait()
}
