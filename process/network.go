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
	// dialTimeout bounds the opening of a connection. Links take milliseconds; a
	// peer without power does not answer at all.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused HTTP connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdle bounds the unused HTTP connections to one peer.
	maxIdle = 8
	// headerTimeout bounds the wait for the header of a request.
	headerTimeout = 5 * time.Second
)

// Network is how a process reaches its peers and is reached by them.
type Network struct {
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Listen func(ctx context.Context, address string) (net.Listener, error)
}

// TCP returns the network of a real process.
func TCP() Network {
	d := &net.Dialer{Timeout: dialTimeout}
	return Network{
		Dial: func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp", address)
		},
		Listen: func(ctx context.Context, address string) (net.Listener, error) {
			var lc net.ListenConfig
			return lc.Listen(ctx, "tcp", address)
		},
	}
}

// clients are the HTTP clients of a process.
type clients struct {
	network Network
	list    []*http.Client
}

// add returns a client that close closes.
func (c *clients) add() *http.Client {
	h := c.network.HTTP()
	c.list = append(c.list, h)
	return h
}

// close closes the connections that no call uses.
func (c *clients) close() {
	for _, h := range c.list {
		h.CloseIdleConnections()
	}
}

// HTTP returns an HTTP client with connections of its own.
func (n Network) HTTP() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) },
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// listenAll listens on all addresses that are not empty, or on none. An empty
// address has a nil listener.
func (n Network) listenAll(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	list := make([]net.Listener, len(addresses))
	for i, a := range addresses {
		if a == "" {
			continue
		}
		lis, err := n.Listen(ctx, a)
		if err != nil {
			for _, l := range list[:i] {
				if l != nil {
					_ = l.Close()
				}
			}
			return nil, fmt.Errorf("listen on %s: %w", a, err)
		}
		list[i] = lis
	}
	return list, nil
}

// ServeHTTP serves h until ctx ends.
func ServeHTTP(ctx context.Context, lis net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout}
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
