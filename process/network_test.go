package process

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/standin/pipenet"
)

// Guards against a client whose idle connections have gone silent for good and each cost a call its
// timeout, one after the other, while new connections work.
func TestSilentIdleConnections(t *testing.T) {
	const timeout = time.Second
	tests := []struct {
		name string
		idle int // connections when they go silent
	}{
		{name: "one", idle: 1},
		{name: "all that are kept", idle: maxIdleConnsPerPeer},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var n pipenet.Network
				stop, err := n.Host("store").ServeHTTP("store:1", http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
					time.Sleep(10 * time.Millisecond)
				}))
				qt.Assert(t, err, qt.IsNil)
				defer stop()
				client := Network{Dial: func(ctx context.Context, address string) (net.Conn, error) {
					return n.Host("entry").Dial(ctx, address)
				}}.HTTPClient()
				defer client.CloseIdleConnections()
				call := func() error {
					ctx, cancel := context.WithTimeout(t.Context(), timeout)
					defer cancel()
					r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://store:1/", nil)
					qt.Assert(t, err, qt.IsNil)
					resp, err := client.Do(r)
					if err != nil {
						return err
					}
					return resp.Body.Close()
				}
				var wg sync.WaitGroup
				for range tt.idle {
					wg.Go(func() { qt.Check(t, call(), qt.IsNil) })
				}
				wg.Wait()
				qt.Assert(t, n.Conns("entry", "store"), qt.Equals, tt.idle)
				n.Freeze("entry", "store")
				qt.Check(t, call(), qt.ErrorIs, context.DeadlineExceeded)
				qt.Check(t, call(), qt.IsNil)
			})
		})
	}
}
