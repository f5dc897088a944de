package pipenet

import (
	"net/http"
	"strings"
	"testing"
)

// TestHTTP serves HTTP at an address for the time of a test, and returns a
// client on another host. Called inside a bubble, it ends with the bubble.
func (n *Network) TestHTTP(t testing.TB, from, address string, handler http.Handler) *http.Client {
	t.Helper()
	host, _, _ := strings.Cut(address, ":")
	stop, err := n.Host(host).ServeHTTP(address, handler)
	if err != nil {
		t.Fatal(err)
	}
	client := n.Host(from).HTTPClient()
	t.Cleanup(func() {
		client.CloseIdleConnections()
		stop()
	})
	return client
}

// HTTPClient returns a client whose connections start at the host. It uses no
// proxy.
func (h *Host) HTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: h.DialContext, MaxIdleConnsPerHost: 64}}
}

// ServeHTTP serves HTTP at an address of the host until the returned function
// is called, which closes all connections and waits for the accepting loop.
// Handlers that are still running see their requests canceled.
func (h *Host) ServeHTTP(address string, handler http.Handler) (stop func(), err error) {
	l, err := h.Listen(address)
	if err != nil {
		return nil, err
	}
	srv := &http.Server{Handler: handler}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = srv.Serve(l) // always http.ErrServerClosed
	}()
	return func() {
		_ = srv.Close()
		<-done
	}, nil
}
