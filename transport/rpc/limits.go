package rpc

import (
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcenc"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcwire"
)

// Limits of connections and messages.
const (
	// MaxMessage is the size limit of a message in bytes, in both directions.
	// It leaves room for the response limit of 4 MiB and the messages around it.
	MaxMessage = 8 << 20
	// ConnLimit is the default limit of connections per address. A target has 64
	// connections for up to four entries.
	ConnLimit = 16
	// CallTimeout bounds a call whose context has no deadline.
	CallTimeout = 5 * time.Second
	// ClientIdle is how long a pool keeps an unused connection. It is shorter
	// than ServerIdle, so that a call rarely meets a connection that the server
	// is about to close.
	ClientIdle = 20 * time.Second
	// ServerIdle is how long a server keeps a connection without a call, and how
	// long it waits for the rest of a request.
	ServerIdle = 30 * time.Second
	// WriteTimeout bounds one write of a server, so that a silent client does not
	// hold a connection.
	WriteTimeout = 10 * time.Second
	// DrainTime bounds how long a server that ends waits for calls in progress.
	DrainTime = 5 * time.Second
)

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: MaxMessage}}
}

// limitEncoding refuses to encode messages above MaxMessage, on which the peer
// would close the connection.
type limitEncoding struct {
	drpc.Encoding
}

// MarshalAppend is what drpc calls in preference to Marshal.
func (e limitEncoding) MarshalAppend(buf []byte, msg drpc.Message) ([]byte, error) {
	out, err := drpcenc.MarshalAppend(msg, e.Encoding, buf)
	if err == nil && len(out)-len(buf) > MaxMessage {
		err = &SizeError{Size: len(out) - len(buf)}
	}
	return out, err
}
