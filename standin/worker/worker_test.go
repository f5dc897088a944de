package worker

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/protocol/workerapi"
	"github.com/medlargrade/medlargrade/standin/pipenet"
)

// call makes a request and returns the status, or 0 without a reply. It
// decodes the reply into into.
func call(t *testing.T, hc *http.Client, method, path, body string, into any) int {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), method, "http://w1:80"+path, strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	resp, err := hc.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	if into != nil {
		qt.Assert(t, json.NewDecoder(resp.Body).Decode(into), qt.IsNil)
	}
	return resp.StatusCode
}

func serve(t *testing.T, settings Settings) (*Worker, *http.Client) {
	t.Helper()
	var n pipenet.Network
	w := New(settings, zerolog.Nop())
	t.Cleanup(w.Close)
	hc := n.TestHTTP(t, "t1", "w1:80", w)
	hc.Timeout = 2 * time.Second
	return w, hc
}

// Guards against use that is reported early, late or wrong.
func TestUsageLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, hc := serve(t, Settings{Slots: 4})
		var u workerapi.Usage
		want := func(used, held, running int) {
			t.Helper()
			qt.Check(t, call(t, hc, http.MethodGet, "/usage", "", &u), qt.Equals, 200)
			qt.Check(t, u, qt.Equals, workerapi.Usage{Slots: 4, UsedSlots: used, Held: held, Running: running, AgeMillis: 2000})
		}
		qt.Check(t, call(t, hc, http.MethodPost, "/tasks", `{"ID":"a","Slots":3,"Held":true,"LeaseMillis":9000}`, nil), qt.Equals, 200)
		time.Sleep(time.Second)
		qt.Check(t, call(t, hc, http.MethodPost, "/tasks", `{"ID":"b","Slots":1,"LeaseMillis":9000,"Payload":"eyJSdW5NaWxsaXMiOjUwMH0="}`, nil), qt.Equals, 200)
		time.Sleep(999 * time.Millisecond)
		want(0, 0, 0)
		time.Sleep(time.Millisecond)
		want(3, 1, 0)
		time.Sleep(time.Second)
		want(4, 1, 1)
		time.Sleep(500 * time.Millisecond)
		want(3, 1, 0)
		w.Close()
		want(3, 1, 0)
		time.Sleep(2 * time.Second)
		want(0, 0, 0)
	})
}

// Guards against faults over HTTP that have another effect than stated, and
// against a history that lacks a task that ran or is unreadable during a cut.
func TestFaultsOverHTTP(t *testing.T) {
	tests := []struct {
		fault  string
		status int // of the fault
		launch int // status
		ended  []End
	}{
		{fault: `{}`, status: 200, launch: 200, ended: []End{EndDone}},
		{fault: `{"FailTasks":true}`, status: 200, launch: 200, ended: []End{EndFailed}},
		{fault: `{"CutOff":true}`, status: 200, launch: 0, ended: []End{}},
		{fault: `{"LoseAnswers":1}`, status: 200, launch: 0, ended: []End{EndDone}},
		{fault: `{"Cutoff":true,"X":1}`, status: 400, launch: 200, ended: []End{EndDone}},
	}
	for _, tt := range tests {
		t.Run(tt.fault, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, hc := serve(t, Settings{})
				qt.Check(t, call(t, hc, http.MethodPost, "/fault", tt.fault, nil), qt.Equals, tt.status)
				qt.Check(t, call(t, hc, http.MethodPost, "/tasks", `{"ID":"a","Slots":1,"LeaseMillis":9000}`, nil), qt.Equals, tt.launch)
				var h History
				qt.Check(t, call(t, hc, http.MethodGet, "/history", "", &h), qt.Equals, 200)
				ended := []End{}
				for _, r := range h.Records {
					ended = append(ended, r.Ended)
				}
				qt.Check(t, ended, qt.DeepEquals, tt.ended)
			})
		})
	}
}

// Guards against a reply that was prepared before a cut and leaves during it.
func TestCutDuringWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, hc := serve(t, Settings{})
		time.AfterFunc(100*time.Millisecond, func() { w.SetFaults(Faults{CutOff: true}) })
		const launch = `{"ID":"a","Slots":1,"LeaseMillis":9000,"Payload":"eyJSdW5NaWxsaXMiOjUwMH0=","WaitMillis":1000}`
		qt.Check(t, call(t, hc, http.MethodPost, "/tasks", launch, nil), qt.Equals, 0)
		qt.Check(t, w.History()[0].Ended, qt.Equals, EndDone)
	})
}
