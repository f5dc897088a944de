package daemon

import (
	"context"
	"net"
	"net/http"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection. Links take milliseconds; a
	// peer without power does not answer at all.
	dialTimeout = 500 * time.Millisecond
	// idleTimeout is how long an unused HTTP connection is kept.
	idleTimeout = 30 * time.Second
	// maxIdle bounds the unused HTTP connections to one peer.
	maxIdle = 8
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

// client returns an HTTP client with connections of its own.
func (n Network) client() *http.Client {
	return &http.Client{Transport: &http.Transport{
		DialContext:         func(ctx context.Context, _, address string) (net.Conn, error) { return n.Dial(ctx, address) },
		MaxIdleConnsPerHost: maxIdle,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}
