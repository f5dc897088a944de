package process_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/process"
	"github.com/medlargrade/medlargrade/standin/pipenet"
	"github.com/medlargrade/medlargrade/standin/platform"
	"github.com/medlargrade/medlargrade/standin/worker"
	"github.com/medlargrade/medlargrade/state/job"
)

// Addresses of the site in these tests.
const (
	pathStore  = "10.3.0.1:80"
	pathEntry  = "10.0.0.1"
	pathRoute  = pathEntry + ":2"
	pathReady  = pathEntry + ":4"
	pathTarget = "10.1.0.1"
	pathWorker = "10.2.0.1:80"
)

// pathConfig is a configuration in the platform's format, with one key that is withdrawn by
// pathConfigNext.
const (
	pathConfig = `{"Version": 1, "Limits": {"MaxBodyBytes": 4000}, "Services": [{"Name": "pool", "AdmissionCheck": true}],
		"Tenants": [{"Name": "t1", "ApiKeys": ["key1", "key2"], "Guaranteed": {"Gpu": 4}}, {"Name": "t2", "ApiKeys": ["key3"]}],
		"Routes": [{"Name": "r1", "Host": "h.example", "PathPrefix": "/a/", "Backend": "pool", "Attempts": 2, "Stretch": 2, "SloMs": 1000}]}`
	pathConfigNext = `{"Version": 2, "Services": [{"Name": "pool", "AdmissionCheck": true}],
		"Tenants": [{"Name": "t1", "ApiKeys": ["key1"], "Guaranteed": {"Gpu": 4}}],
		"Routes": [{"Name": "r1", "Host": "h.example", "PathPrefix": "/a/", "Backend": "pool", "Attempts": 2},
			{"Name": "r2", "Host": "h.example", "PathPrefix": "/b/", "Backend": "pool", "Public": true}]}`
)

// pathSite is a site of one entry, one target and one worker, all of whose messages are in the
// platform's format.
type pathSite struct {
	t       *testing.T
	net     pipenet.Network
	store   *platform.Server
	outage  *outage // of the store
	workers *worker.Site
	client  *http.Client
	// admission is whether the planner publishes its load and the entry refuses by it.
	admission  bool
	stopTarget func() error
}

func withPathSite(t *testing.T, f func(s *pathSite)) {
	t.Helper()
	runPathSite(t, false, f)
}

func runPathSite(t *testing.T, admission bool, f func(s *pathSite)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		// The store carries out a transaction that it has received also if the client has gone, which
		// takes some milliseconds. The bubble must not end before that.
		t.Cleanup(func() { time.Sleep(time.Second) })
		s := &pathSite{t: t, admission: admission, store: platform.New(platform.Settings{}, zerolog.Nop())}
		s.workers = worker.NewSite(func(id string) (job.Job, bool) { return s.store.Job(process.ShardPart, id) })
		s.store.Put("op", "config", []byte(pathConfig))
		s.outage = &outage{next: s.store}
		s.serve("10.3.0.1", pathStore, s.outage)

		workerClient := s.net.Host("10.2.0.1").HTTPClient()
		w := worker.New(s.workers, worker.Settings{
			Name: "w1", Pool: "pool", DataCentre: "dc1", Rack: "r1", Accelerators: 4, Address: pathWorker, ReportAddress: pathTarget + ":3",
		}, workerClient, zerolog.Nop())
		s.serve("10.2.0.1", pathWorker, w)
		s.run(func(ctx context.Context) error {
			w.Run(ctx)
			w.Crash()
			workerClient.CloseIdleConnections()
			return nil
		})
		s.stopTarget = s.runTarget()
		stopEntry := s.runEntry()
		s.client = s.net.Host("10.4.0.1").HTTPClient()
		t.Cleanup(s.client.CloseIdleConnections)
		s.waitReady()
		f(s)
		qt.Check(t, stopEntry(), qt.IsNil)
	})
}

func (s *pathSite) serve(host, address string, h http.Handler) {
	stop, err := s.net.Host(host).ServeHTTP(address, h)
	qt.Assert(s.t, err, qt.IsNil)
	s.t.Cleanup(stop)
}

// run runs f until the test ends or the returned function is called, which returns f's error.
func (s *pathSite) run(f func(ctx context.Context) error) (stop func() error) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f(ctx) }()
	stopped := false
	stop = func() error {
		if stopped {
			return nil
		}
		stopped = true
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			return err
		}
		return nil
	}
	s.t.Cleanup(func() { _ = stop() })
	return stop
}

func (s *pathSite) network(host string) process.Network {
	h := s.net.Host(host)
	return process.Network{
		Dial:   h.Dial,
		Listen: func(_ context.Context, address string) (net.Listener, error) { return h.Listen(address) },
	}
}

func (s *pathSite) runEntry() (stop func() error) {
	set := process.DefaultEntrySettings()
	set.Name, set.DataCentre, set.Platform, set.Config = "e1", "dc1", "http://"+pathStore, process.SourcePlatform
	set.Policy.Admission = s.admission
	set.CallerAddress, set.RouteAddress, set.OperatorAddress, set.ReadyAddress = pathEntry+":1", pathRoute, pathEntry+":3", pathReady
	return s.run(func(ctx context.Context) error {
		return process.RunEntry(ctx, set, s.network(pathEntry), zerolog.Nop())
	})
}

func (s *pathSite) runTarget() (stop func() error) {
	set := process.DefaultTargetSettings()
	set.Name, set.DataCentre, set.Platform, set.Config = "t1", "dc1", "http://"+pathStore, process.SourcePlatform
	set.Policy.PublishLoad = s.admission
	set.Address, set.OperatorAddress, set.ReportAddress, set.Worker = pathTarget+":1", pathTarget+":2", pathTarget+":3", "http://"+pathWorker
	return s.run(func(ctx context.Context) error {
		return process.RunTarget(ctx, set, s.network(pathTarget), zerolog.Nop())
	})
}

// waitReady waits until the entry is ready and the worker is known.
func (s *pathSite) waitReady() {
	for range 100 {
		time.Sleep(100 * time.Millisecond)
		if code, _ := s.do("GET", "http://"+pathReady+"/ready", "", ""); code == http.StatusOK {
			return
		}
	}
	s.t.Fatal("the entry is not ready within 10 s")
}

func (s *pathSite) do(method, url, key, body string) (int, string) {
	req, err := http.NewRequestWithContext(s.t.Context(), method, url, strings.NewReader(body))
	qt.Assert(s.t, err, qt.IsNil)
	req.Host = "h.example"
	if key != "" {
		req.Header.Set("Authorization", "Token "+key)
	}
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	qt.Check(s.t, err, qt.IsNil)
	return resp.StatusCode, string(b)
}

func (s *pathSite) call(method, path, key, body string) (int, string) {
	return s.do(method, "http://"+pathRoute+path, key, body)
}

// submit hands a job in and requires its acceptance.
func (s *pathSite) submit(id, body string) {
	s.t.Helper()
	code, reply := s.call("POST", "/a/"+id, "key1", body)
	qt.Assert(s.t, code/100, qt.Equals, 2, qt.Commentf("%d %s", code, reply))
}

func (s *pathSite) state(id string) string {
	s.t.Helper()
	code, reply := s.call("GET", "/a/"+id, "key1", "")
	qt.Assert(s.t, code, qt.Equals, http.StatusOK, qt.Commentf("%s", reply))
	var m struct{ State string }
	qt.Assert(s.t, json.Unmarshal([]byte(reply), &m), qt.IsNil)
	return m.State
}

// waitState waits for a state of the job.
func (s *pathSite) waitState(id, state string) {
	s.t.Helper()
	last := ""
	for range 300 {
		if last = s.state(id); last == state {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.t.Fatalf("job %s is %s after 15 s, not %s", id, last, state)
}

// ends returns how the runs of a job's tasks have ended, by task and run.
func (s *pathSite) ends(id string) map[string]string {
	out := make(map[string]string)
	for _, r := range s.workers.Records() {
		if strings.HasPrefix(r.Task, id+".") {
			out[fmt.Sprintf("%s run %d", strings.TrimPrefix(r.Task, id+"."), r.Run)] = r.How
		}
	}
	return out
}

const (
	pathJobA = "5c0e7a21d94b36f8"
	pathJobB = "5c0e7a21d94b36f9"
)

// Guards against a field, path or code of the platform's format that entry and target
// programs read or write otherwise than the platform, from a call to the answer.
func TestWholePath(t *testing.T) {
	withPathSite(t, func(s *pathSite) {
		s.submit(pathJobA, `{"Spec": "{\"RunMillis\": 400}", "Steps": [
			{"Count": 2, "Cpu": 1000, "MemMb": 64, "Gpu": 2, "EstMs": 400, "Gang": true},
			{"Count": 1, "Cpu": 1000, "MemMb": 64, "Gpu": 1, "EstMs": 400, "After": [0]}]}`)
		s.waitState(pathJobA, "completed")
		qt.Check(t, s.ends(pathJobA), qt.DeepEquals, map[string]string{"0.0.0 run 1": "done", "0.0.1 run 1": "done", "0.1.0 run 1": "done"})
		// The same request again is the same job.
		s.submit(pathJobA, `{"Spec": "x", "Steps": [{"Count": 1, "Cpu": 1000}]}`)
		time.Sleep(3 * time.Second)
		qt.Check(t, s.state(pathJobA), qt.Equals, "completed")
		qt.Check(t, s.ends(pathJobA), qt.HasLen, 3)
	})
}

// Guards against refusals that the platform's callers can't act on.
func TestWholePathRefusals(t *testing.T) {
	small := `{"Spec": "x", "Steps": [{"Count": 1, "Cpu": 1000}]}`
	tests := []struct {
		name, method, path, key, body string
		code                          int
	}{
		{"unknown key", "POST", "/a/" + pathJobA, "key9", small, 401},
		{"no key", "POST", "/a/" + pathJobA, "", small, 401},
		{"unknown route", "POST", "/c/" + pathJobA, "key1", small, 404},
		{"no JSON", "POST", "/a/" + pathJobA, "key1", "{", 400},
		{"no steps", "POST", "/a/" + pathJobA, "key1", `{"Spec": "x"}`, 400},
		{"a field of another type", "POST", "/a/" + pathJobA, "key1", `{"Spec": 3, "Steps": [{"Count": 1}]}`, 400},
		{"steps in a circle", "POST", "/a/" + pathJobA, "key1", `{"Spec": "x", "Steps": [{"Count": 1, "After": [1]}, {"Count": 1, "After": [0]}]}`, 400},
		{"too large", "POST", "/a/" + pathJobA, "key1", `{"Spec": "` + strings.Repeat("x", 5000) + `", "Steps": [{"Count": 1}]}`, 413},
		{"unknown job", "GET", "/a/" + pathJobA, "key1", "", 410},
		{"cancellation of an unknown job", "DELETE", "/a/" + pathJobA, "key1", "", 410},
	}
	withPathSite(t, func(s *pathSite) {
		for _, tt := range tests {
			code, reply := s.call(tt.method, tt.path, tt.key, tt.body)
			qt.Check(t, code, qt.Equals, tt.code, qt.Commentf("%s: %s", tt.name, reply))
		}
		qt.Check(t, s.workers.Records(), qt.HasLen, 0)
	})
}

// Guards against a cancellation, a count or a new configuration that doesn't reach workers and
// callers.
func TestWholePathChanges(t *testing.T) {
	withPathSite(t, func(s *pathSite) {
		long := `{"Spec": "{\"RunMillis\": 60000}", "Steps": [{"Count": 1, "Cpu": 1000, "Gpu": 4, "EstMs": 60000}]}`
		s.submit(pathJobA, long)
		s.waitState(pathJobA, "running")
		s.submit(pathJobB, long)
		time.Sleep(2500 * time.Millisecond)
		code, reply := s.call("GET", "/a/", "key1", "")
		qt.Check(t, code, qt.Equals, 200)
		qt.Check(t, strings.TrimSpace(reply), qt.JSONEquals, map[string]int{"Waiting": 1})

		for _, id := range []string{pathJobA, pathJobB} {
			code, reply = s.call("DELETE", "/a/"+id, "key1", "")
			qt.Check(t, code/100, qt.Equals, 2, qt.Commentf("%s", reply))
		}
		s.waitState(pathJobA, "cancelled")
		s.waitState(pathJobB, "cancelled")
		time.Sleep(2 * time.Second)
		qt.Check(t, s.ends(pathJobA), qt.DeepEquals, map[string]string{"0.0.0 run 1": "stopped"})
		qt.Check(t, s.ends(pathJobB), qt.HasLen, 0)

		code, _ = s.call("GET", "/b/"+pathJobB, "", "")
		qt.Check(t, code, qt.Equals, 404)
		s.store.Put("op", "config", []byte(pathConfigNext))
		time.Sleep(time.Duration(process.DefaultBounds().ConfigInForce))
		code, _ = s.call("GET", "/a/"+pathJobA, "key2", "")
		qt.Check(t, code, qt.Equals, 401)
		code, _ = s.call("GET", "/b/"+pathJobB, "", "")
		qt.Check(t, code, qt.Equals, 410)
	})
}
