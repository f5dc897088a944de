package rpc

import (
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"

	"github.com/medlargrade/medlargrade/protocol/agentrpc"
)

// Limits of connections and messages.
const (
	// MaxMessageBytes limits the size of a message in both directions.
	MaxMessageBytes = agentrpc.MaxMessageBytes
	// DefaultMaxConns is the limit of connections per address if Settings.MaxConns
	// is 0.
	DefaultMaxConns = 16
	// CallTimeout bounds a call whose context has no deadline.
	CallTimeout = 5 * time.Second
	// ClientIdleTimeout is how long a pool keeps an idle connection. It is shorter
	// than ServerIdleTimeout, so that a call rarely uses a connection that the
	// server is about to close.
	ClientIdleTimeout = 20 * time.Second
	// ServerIdleTimeout is how long a server keeps an idle connection, and how
	// long it waits for the rest of a request.
	ServerIdleTimeout = 30 * time.Second
	// WriteTimeout bounds each write of a server, so that a client that stops
	// reading does not hold a connection.
	WriteTimeout = 10 * time.Second
	// DrainTimeout bounds how long a server waits for calls in progress when it
	// shuts down.
	DrainTimeout = 5 * time.Second
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessageBytes}}
}

// limitEncoding fails to encode messages larger than MaxMessageBytes, because the
// peer would close the connection on receiving one.
type limitEncoding struct {
	drpc.Encoding
}

// MarshalAppend implements the optional method that drpc prefers to Marshal.
func (e limitEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	out, err := drpcenc.MarshalAppend(msg, e.Encoding, buf)
	if err == nil && len(out)-len(buf) > MaxMessageBytes {
		err = &SizeError{Size: len(out) - len(buf)}
	}
	return out, err
}
