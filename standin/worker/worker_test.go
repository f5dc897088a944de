package worker

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
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

// Guards against an end that counts as void, so that its task may be run again, although the planner
// could not know that, or although the worker's lease did not expire before the end was acknowledged.
func TestEndsBecomeVoid(t *testing.T) {
	const (
		leaseEnd = 10 * time.Second // by the planner's caps
		lateEnd  = 14 * time.Second // of the lease of a call that is carried out 4 s late
	)
	late := Faults{LoseOrders: 1, LateMillis: 4000}
	lateFromArrival := late
	lateFromArrival.LeaseFromArrival = true
	hold := func(w *Worker, until time.Duration, seen int64) {
		call(w, "hold", fmt.Sprintf(`{"UntilMs":%d,"LastSeen":%d}`, until.Milliseconds()+1, seen))
	}
	tests := []struct {
		name   string
		faults Faults // of a repeated start at 0 s
		after  func(w *Worker)
		want   time.Duration // 0 if the end is not void
	}{
		{name: "the lease expires", after: func(*Worker) {}, want: leaseEnd},
		{name: "a call is carried out late", faults: late, after: func(*Worker) {}, want: leaseEnd},
		{name: "the lease in a late call counts from its execution", faults: lateFromArrival, after: func(*Worker) {}, want: leaseEnd},
		{name: "so does it, and a later call extends the lease in time", faults: lateFromArrival, after: func(w *Worker) {
			time.Sleep(6 * time.Second)
			hold(w, 16*time.Second, 0)
		}, want: 16 * time.Second},
		{name: "so does it, and a later call extends the lease after it would have expired", faults: lateFromArrival, after: func(w *Worker) {
			time.Sleep(12 * time.Second)
			hold(w, 20*time.Second, 0)
		}, want: leaseEnd},
		{name: "so does it, a later call extends the lease after it would have expired, and the end is acknowledged", faults: lateFromArrival, after: func(w *Worker) {
			time.Sleep(12 * time.Second)
			hold(w, 20*time.Second, 0)
			time.Sleep(time.Second)
			hold(w, 0, 1)
		}},
		{name: "so does it, and the end is acknowledged before the lease expires", faults: lateFromArrival, after: func(w *Worker) {
			time.Sleep(13 * time.Second)
			hold(w, 0, 1)
		}},
		{name: "so does it, and the worker crashes before the lease would have expired", faults: lateFromArrival, after: func(w *Worker) {
			time.Sleep(8 * time.Second)
			w.Crash()
		}, want: 8 * time.Second},
		{name: "so does it, and the worker crashes after the lease would have expired", faults: lateFromArrival, after: func(w *Worker) {
			time.Sleep(12 * time.Second)
			w.Crash()
		}, want: leaseEnd},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				site := NewSite(func(string) (job.Job, bool) { return job.Job{}, false })
				w := New(site, Settings{Name: "w", LeaseMax: leaseEnd}, nil, zerolog.Nop())
				start := time.Now()
				order := fmt.Sprintf(`{"Task":"j.0.0.0","Run":1,"Spec":"{\"RunMillis\":1000}","UntilMs":%d}`, leaseEnd.Milliseconds()+1)
				call(w, "run-start", order)
				if tt.faults.LoseOrders > 0 {
					w.SetFaults(tt.faults)
					call(w, "run-start", order)
				}
				tt.after(w)
				time.Sleep(2 * lateEnd)
				void := site.Records()[0].Void
				if tt.want == 0 {
					qt.Assert(t, void.IsZero(), qt.IsTrue)
					return
				}
				qt.Check(t, void.Sub(start), qt.Equals, tt.want)
			})
		})
	}
}

// call calls a worker and returns the response, or nil if the worker loses it.
func call(w *Worker, name, body string) (rec *httptest.ResponseRecorder) {
	defer func() {
		if r := recover(); r != nil {
			if r != any(http.ErrAbortHandler) {
				panic(r)
			}
			rec = nil
		}
	}()
	rec = httptest.NewRecorder()
	w.ServeHTTP(rec, httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/medlargrade/"+name, strings.NewReader(body)))
	return rec
}

// Guards against a stand-in that is more forgiving than a worker: it lists 500 ends at a time, those with
// the lowest numbers, and a connection to it ends with its incarnation.
func TestListsAndConnectionsAreLimited(t *testing.T) {
	const ends = 700
	site := NewSite(func(string) (job.Job, bool) { return job.Job{}, false })
	w := New(site, Settings{Name: "w"}, nil, zerolog.Nop())
	for i := range ends {
		call(w, "run-start", fmt.Sprintf(`{"Task":"j.0.0.%d","Run":1,"UntilMs":9000}`, i))
	}
	site.mu.Lock()
	for _, r := range w.incarnation.runs {
		w.endLocked(r, EndDone)
	}
	site.mu.Unlock()
	listed := func(seen int) (first, count int) {
		rec := call(w, "hold", fmt.Sprintf(`{"LastSeen":%d}`, seen))
		var out struct{ Ended [][]any }
		qt.Assert(t, json.Unmarshal(rec.Body.Bytes(), &out), qt.IsNil)
		number, ok := out.Ended[0][0].(float64)
		qt.Assert(t, ok, qt.IsTrue)
		return int(number), len(out.Ended)
	}
	first, count := listed(0)
	qt.Check(t, []int{first, count}, qt.DeepEquals, []int{1, 500})
	first, count = listed(500)
	qt.Check(t, []int{first, count}, qt.DeepEquals, []int{501, 200})

	w.Restart(false)
	qt.Check(t, call(w, "hold", `{}`), qt.IsNil)
	qt.Check(t, call(w, "hold", `{}`), qt.IsNotNil, qt.Commentf("on a new connection"))
}
