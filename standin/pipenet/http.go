package pipenet

import (
	"net/http"
)

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
	// The owner of the network is a test, which sets its own time limits.
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
