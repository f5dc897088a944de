package httpcall

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

// Request describes a call.
type Request struct {
	Method  string
	URL     string
	Host    string // in the Host header, if it differs from that of URL; connections are pooled by the latter
	Header  http.Header
	Body    []byte
	Timeout time.Duration // of the whole call, including reading the reply's body; 0 for none but ctx's
	MaxBody int64         // limit of the reply's body in bytes
}

// Reply is the complete reply to a call.
type Reply struct {
	Status int
	Body   []byte
}

// Error reports a call without a complete reply.
type Error struct {
	Sent bool // the server may have received the request
	Err  error
}

func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no reply: %v", e.Err)
	}
	return fmt.Sprintf("not sent: %v", e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Do makes one call and reads the complete reply, whatever its status. It does not
// follow redirects, because that would send the request a second time. All errors
// are of type *Error.
func Do(ctx context.Context, client *http.Client, r Request) (Reply, error) {
	if err := ctx.Err(); err != nil {
		return Reply{}, &Error{Err: err}
	}
	if r.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, r.Timeout)
		defer cancel()
	}
	// waitingForConn is true while the transport waits for a connection.
	var waitingForConn atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { waitingForConn.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { waitingForConn.Store(false) },
	})
	req, err := http.NewRequestWithContext(ctx, r.Method, r.URL, bytes.NewReader(r.Body))
	if err != nil {
		return Reply{}, &Error{Err: err}
	}
	req.Host = cmp.Or(r.Host, req.Host)
	for k, v := range r.Header {
		req.Header[k] = v
	}
	c := *client
	c.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	resp, err := c.Do(req)
	if err != nil {
		return Reply{}, &Error{Sent: !waitingForConn.Load(), Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.MaxBody+1))
	if err == nil && int64(len(body)) > r.MaxBody {
		err = fmt.Errorf("reply exceeds %d bytes", r.MaxBody)
	}
	if err != nil {
		return Reply{}, &Error{Sent: true, Err: err}
	}
	return Reply{Status: resp.StatusCode, Body: body}, nil
}
