package worker

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/state/job"
)

// transportFunc is an http.RoundTripper that calls itself.
type transportFunc func(r *http.Request) (*http.Response, error)

func (f transportFunc) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

// Guards against a worker that stays down for good, because it was restarted while a former
// incarnation was leaving.
func TestRestartWhileLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		client := &http.Client{Transport: transportFunc(func(r *http.Request) (*http.Response, error) {
			if r.Method == http.MethodDelete {
				time.Sleep(100 * time.Millisecond) // the restart falls into this call
			}
			return httptest.NewRecorder().Result(), nil
		})}
		site := NewSite(func(string) (job.Job, bool) { return job.Job{}, false })
		w := New(site, Settings{Name: "w", ReportAddress: "10.0.0.1:1"}, client, zerolog.Nop())
		go w.Run(t.Context())
		w.Drain(time.Second)
		time.Sleep(1050 * time.Millisecond)
		w.Restart(true)
		time.Sleep(time.Second)
		site.mu.Lock()
		defer site.mu.Unlock()
		qt.Check(t, w.down, qt.IsFalse)
	})
}
