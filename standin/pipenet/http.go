package pipenet

import (
	"net/http"
	"strings"
	"testing"
)

// ServeTestHTTP serves HTTP at an address for the duration of a test, and returns a
// client on the host from. Called inside a synctest bubble, it ends with the bubble.
func (n *Network) ServeTestHTTP(t testing.TB, from, address string, handler http.Handler) *http.Client {
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

// HTTPClient returns a client that dials from the host. It uses no proxy.
func (h *Host) HTTPClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: h.DialContext, MaxIdleConnsPerHost: 64}}
}

// ServeHTTP serves HTTP at an address of the host until stop is called. stop
// closes all connections and waits for the accept loop, but not for handlers,
// whose requests are canceled.
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
