package platform

import (
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/standin/pipenet"
)

// post sends a JSON body and returns the status.
func post(t *testing.T, hc *http.Client, path, body string) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://platform:80"+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	resp, err := hc.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func serve(t *testing.T, settings Settings) (*Server, *http.Client) {
	t.Helper()
	var n pipenet.Network
	s := New(settings, zerolog.Nop())
	return s, n.TestHTTP(t, "entry", "platform:80", s)
}

// Guards against rates above or below the stated ones, and against errors
// where the stand-in has to delay.
func TestRates(t *testing.T) {
	const callers, duration = 40, time.Second
	tests := []struct {
		name       string
		path, body string
		settings   Settings
		rate       float64
	}{
		{name: "writes", path: "/table/write", body: `{"Writes":[{"Table":"T","Key":"k"},{"Table":"T","Key":"l"}]}`, rate: 400},
		{name: "reads", path: "/table/read", body: `{"Table":"T","Key":"k"}`, rate: 2000},
		{name: "scans", path: "/table/scan", body: `{"Table":"T","Limit":5}`, rate: 2000},
		{name: "configured", path: "/table/read", body: `{"Table":"T","Key":"k"}`, settings: Settings{ReadsPerSecond: 150}, rate: 150},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, hc := serve(t, tt.settings)
				end := time.Now().Add(duration)
				var wg sync.WaitGroup
				for range callers {
					wg.Go(func() {
						for time.Now().Before(end) {
							if code := post(t, hc, tt.path, tt.body); code == 0 || code >= 500 {
								t.Errorf("status %d", code)
							}
						}
					})
				}
				wg.Wait()
				c := s.Counts()
				// Each caller has one request under way at the end.
				want, slack := tt.rate*duration.Seconds(), float64(callers)+tt.rate*burstTime.Seconds()
				got := float64(c.Reads + c.Writes + c.Conflicts)
				qt.Check(t, got >= want && got <= want+slack, qt.IsTrue, qt.Commentf("%v calls, want %v to %v", got, want, want+slack))
			})
		})
	}
}

// Guards against faults that differ between HTTP and Go, a misspelt fault that
// passes, and parts of the platform that fail together when only one should.
func TestFaults(t *testing.T) {
	const read, object = `{"Table":"T","Key":"k"}`, "/object/a%2Fb"
	tests := []struct {
		fault        string
		status       int
		read, object int // statuses
	}{
		{fault: `{}`, status: 200, read: 404, object: 404},
		{fault: `{"Down":true}`, status: 200, read: 503, object: 503},
		{fault: `{"DownTables":true}`, status: 200, read: 503, object: 404},
		{fault: `{"DownObjects":true}`, status: 200, read: 404, object: 503},
		{fault: `{"Dwon":true}`, status: 400, read: 404, object: 404},
	}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			_, hc := serve(t, Settings{})
			qt.Check(t, post(t, hc, "/fault", tt.fault), qt.Equals, tt.status)
			qt.Check(t, post(t, hc, "/table/read", read), qt.Equals, tt.read)
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://platform:80"+object, http.NoBody)
			qt.Assert(t, err, qt.IsNil)
			resp, err := hc.Do(req)
			qt.Assert(t, err, qt.IsNil)
			_ = resp.Body.Close()
			qt.Check(t, resp.StatusCode, qt.Equals, tt.object)
		})
	}
}
