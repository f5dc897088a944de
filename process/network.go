package process

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/medlargrade/medlargrade/platform"
)

const (
	// dialTimeout bounds the opening of a connection. Connecting takes
	// milliseconds; a peer without power does not answer at all.
	dialTimeout = 500 * time.Millisecond
	// idleConnTimeout is how long an idle HTTP connection is kept.
	idleConnTimeout = 30 * time.Second
	// maxIdleConnsPerPeer bounds the idle HTTP connections to one peer.
	maxIdleConnsPerPeer = 8
	// readHeaderTimeout bounds the reading of a request's header.
	readHeaderTimeout = 5 * time.Second
)

// Network opens and accepts the connections of a process.
type Network struct {
	Dial   func(ctx context.Context, address string) (net.Conn, error)
	Listen func(ctx context.Context, address string) (net.Listener, error)
}

// TCP returns a Network that uses the operating system's TCP.
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

// clients holds the HTTP clients of a process.
type clients struct {
	network Network
	list    []*http.Client
}

// newClient returns a new client. The method close closes its idle connections.
func (c *clients) newClient() *http.Client { return c.newClientOn(c.network) }

// newWorkerClient returns a new client for a platform.WorkerClient.
func (c *clients) newWorkerClient() *http.Client {
	return c.newClientOn(Network{Dial: platform.WorkerDialer(c.network.Dial)})
}

func (c *clients) newClientOn(n Network) *http.Client {
	h := n.HTTPClient()
	c.list = append(c.list, h)
	return h
}

// close closes the idle connections of all clients.
func (c *clients) close() {
	for _, h := range c.list {
		h.CloseIdleConnections()
	}
}

// HTTPClient returns an HTTP client with its own connection pool.
func (n Network) HTTPClient() *http.Client {
	return &http.Client{Transport: &redialTransport{&http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) },
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
		IdleConnTimeout:     idleConnTimeout,
		DisableCompression:  true,
	}}}
}

// redialTransport is an http.Transport that closes its idle connections after a call that has timed
// out. Open connections can go silent for good while new ones work, and each idle one would cost a
// call its timeout.
type redialTransport struct{ *http.Transport }

// RoundTrip implements http.RoundTripper.
func (t *redialTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := t.Transport.RoundTrip(r)
	if errors.Is(err, context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
	return resp, err
}

// listenAll listens on all addresses that are not empty. If one fails, it closes
// the others. The listener of an empty address is nil.
func (n Network) listenAll(ctx context.Context, addresses ...string) ([]net.Listener, error) {
	listeners := make([]net.Listener, len(addresses))
	for i, a := range addresses {
		if a == "" {
			continue
		}
		lis, err := n.Listen(ctx, a)
		if err != nil {
			for _, l := range listeners[:i] {
				if l != nil {
					_ = l.Close()
				}
			}
			return nil, fmt.Errorf("listen on %s: %w", a, err)
		}
		listeners[i] = lis
	}
	return listeners, nil
}

// ServeHTTP serves h until ctx ends.
func ServeHTTP(ctx context.Context, lis net.Listener, h http.Handler) error {
	srv := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	g, gctx := errgroup.WithContext(ctx)
	g.Go(func() error {
		if err := srv.Serve(lis); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve on %s: %w", lis.Addr(), err)
		}
		return nil
	})
	g.Go(func() error {
		<-gctx.Done()
		shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Second)
		defer cancel()
		if err := srv.Shutdown(shutdownCtx); err != nil {
			return srv.Close()
		}
		return nil
	})
	return g.Wait()
}
