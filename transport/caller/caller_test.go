package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
	"go.uber.org/goleak"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/protocol/callerapi"
	"github.com/medlargrade/medlargrade/transport/rpc/rpctest"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeService answers every method with the same response after a delay.
type fakeService struct {
	resp   callerapi.Response
	err    error
	delay  time.Duration
	calls  []string
	req    callerapi.Request
	wait   time.Duration
	ctxErr error // from the context of a call that ended early
	mu     sync.Mutex
}

func (f *fakeService) answer(ctx context.Context, call string) (callerapi.Response, error) {
	f.mu.Lock()
	f.calls = append(f.calls, call)
	f.mu.Unlock()
	select {
	case <-time.After(f.delay):
		return f.resp, f.err
	case <-ctx.Done():
		f.ctxErr = ctx.Err()
		return callerapi.Response{}, ctx.Err()
	}
}

func (f *fakeService) Submit(ctx context.Context, req callerapi.Request, wait time.Duration) (callerapi.Response, error) {
	f.mu.Lock()
	f.req, f.wait = req, wait
	f.mu.Unlock()
	return f.answer(ctx, "submit")
}

func (f *fakeService) Lookup(ctx context.Context, workspace, key string, wait time.Duration) (callerapi.Response, error) {
	f.wait = wait
	return f.answer(ctx, "lookup "+workspace+" "+key)
}

func (f *fakeService) Cancel(ctx context.Context, workspace, key string) (callerapi.Response, error) {
	return f.answer(ctx, "cancel "+workspace+" "+key)
}

func (f *fakeService) List(ctx context.Context, workspace, after string, _ int) (callerapi.List, error) {
	resp, err := f.answer(ctx, "list "+workspace+" "+after)
	return callerapi.List{Jobs: []callerapi.Response{resp}, After: "k9"}, err
}

func serve(f *fakeService, method, target, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	r := httptest.NewRequestWithContext(context.Background(), method, target, strings.NewReader(body))
	Handler(f, zerolog.Nop()).ServeHTTP(w, r)
	return w
}

const validBody = `{"Workspace": "web", "Kind": "cut"}`

// Guards against a wrong status code or Retry-After header, which would make a
// caller repeat a request that may have run, or give up on one that can be
// retried.
func TestSubmitStatus(t *testing.T) {
	notRun := func(reason outcome.Reason, retry time.Duration) outcome.Outcome {
		return outcome.NotRun{Reason: reason, RetryAfter: retry}
	}
	tests := []struct {
		name       string
		result     outcome.Outcome
		err        error
		code       int
		retryAfter string
		want       callerapi.Outcome
	}{
		{name: "ran", result: outcome.Ran{Answer: outcome.Answer{Parts: [][]byte{[]byte("1")}}}, code: 200, want: callerapi.Ran},
		{name: "failed", result: outcome.Ran{Answer: outcome.Answer{Failed: true, Error: "x"}}, code: 200, want: callerapi.Ran},
		{name: "unknown", result: outcome.Unknown{Detail: "x"}, code: 200, want: callerapi.Unknown},
		{name: "not ended", code: 202},
		{name: "unknown kind", result: notRun(outcome.ReasonInvalid, 0), code: 400, want: callerapi.NotRun},
		{name: "key conflict", result: notRun(outcome.ReasonKeyConflict, 0), code: 409, want: callerapi.NotRun},
		{name: "never fits", result: notRun(outcome.ReasonNeverFits, 0), code: 422, want: callerapi.NotRun},
		{name: "queue full", result: notRun(outcome.ReasonQueueFull, 1100*time.Millisecond), code: 429, retryAfter: "2", want: callerapi.NotRun},
		{name: "retries spent", result: notRun(outcome.ReasonRetriesSpent, 0), code: 429, retryAfter: "1", want: callerapi.NotRun},
		{name: "store down", result: notRun(outcome.ReasonStoreDown, 5*time.Second), code: 503, retryAfter: "5", want: callerapi.NotRun},
		{name: "leaving", result: notRun(outcome.ReasonLeaving, time.Millisecond), code: 503, retryAfter: "1", want: callerapi.NotRun},
		{name: "deadline", result: notRun(outcome.ReasonDeadline, 0), code: 504, want: callerapi.NotRun},
		{name: "service fails", err: errors.New("boom"), code: 500, want: callerapi.Unknown},
		{name: "service finds it invalid", err: callerapi.NewInvalidError("Idempotent", "x"), code: 400, want: callerapi.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeService{resp: withOutcome(callerapi.Response{State: callerapi.Queued, Job: "j"}, tt.result), err: tt.err}
			w := serve(f, "POST", "/v1/jobs?wait=2s", validBody)
			qt.Check(t, w.Code, qt.Equals, tt.code)
			qt.Check(t, w.Header().Get("Retry-After"), qt.Equals, tt.retryAfter)
			var resp callerapi.Response
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &resp), qt.IsNil)
			qt.Check(t, resp.Outcome, qt.Equals, tt.want)
			qt.Check(t, resp.State == "", qt.Equals, tt.want != "")
			qt.Check(t, f.wait, qt.Equals, 2*time.Second)
		})
	}
}

// Guards against passing an invalid request to the service, and against a refusal
// that lacks the outcome or some of the problems.
func TestInvalid(t *testing.T) {
	tests := []struct {
		name   string
		method string
		target string
		body   string
		code   int
		fields string
	}{
		{name: "oversized", method: "POST", target: "/v1/jobs", body: strings.Repeat(" ", callerapi.MaxBodyBytes+1), code: 413},
		{name: "body and wait", method: "POST", target: "/v1/jobs?wait=2", body: `{"Kind": "cut"}`, code: 400, fields: "wait Workspace"},
		{name: "misspelt wait", method: "POST", target: "/v1/jobs?wiat=0s", body: validBody, code: 400, fields: "wiat"},
		{name: "repeated wait", method: "POST", target: "/v1/jobs?wait=0s&wait=1s", body: validBody, code: 400, fields: "wait"},
		{name: "negative wait", method: "GET", target: "/v1/workspaces/web/jobs/k?wait=-1s", code: 400, fields: "wait"},
		{name: "bad names", method: "DELETE", target: "/v1/workspaces/w%20b/jobs/k%2F", code: 400, fields: "workspace key"},
		{name: "bad page", method: "GET", target: "/v1/workspaces/web/jobs?limit=0&after=%20", code: 400, fields: "after limit"},
		{name: "no such path", method: "GET", target: "/v2/jobs", code: 404},
		{name: "method", method: "PUT", target: "/v1/jobs", code: 405},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := &fakeService{}
			w := serve(f, tt.method, tt.target, tt.body)
			qt.Check(t, w.Code, qt.Equals, tt.code)
			var resp callerapi.Response
			qt.Assert(t, json.Unmarshal(w.Body.Bytes(), &resp), qt.IsNil)
			qt.Check(t, resp.Outcome == callerapi.NotRun, qt.Equals, tt.method == "POST")
			var fields []string
			for _, p := range resp.Errors {
				fields = append(fields, p.Field)
			}
			qt.Check(t, strings.Join(fields, " "), qt.Equals, tt.fields)
			qt.Check(t, f.calls, qt.HasLen, 0)
		})
	}
}

// harness holds a server and a client of a fake service on an in-memory network.
type harness struct {
	net    rpctest.Network
	svc    fakeService
	server *Server
	client Client
	limits atomic.Pointer[operator.Limits]
	served chan error
}

// withServer runs f with a server in a synctest bubble.
func withServer(t *testing.T, f func(t *testing.T, h *harness)) {
	synctest.Test(t, func(t *testing.T) {
		h := &harness{served: make(chan error, 1)}
		tr := &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
			return h.net.Dial(ctx, "e1")
		}, ExpectContinueTimeout: time.Hour}
		h.client = Client{Base: "http://e1", HTTP: &http.Client{Transport: tr}}
		h.limits.Store(&operator.Limits{HeaderBytes: 16 << 10, HeaderTimeout: 5 * time.Second, IdleTimeout: 2 * time.Minute})
		h.server = NewServer(Handler(&h.svc, zerolog.Nop()), func() operator.Limits { return *h.limits.Load() }, zerolog.Nop())
		lis := h.net.Listen("e1")
		go func() { h.served <- h.server.Serve(lis) }()
		f(t, h)
		_ = h.server.Shutdown(context.Background())
		qt.Check(t, <-h.served, qt.IsNil)
		tr.CloseIdleConnections()
	})
}

// Guards against a client and a server that use different paths, bodies or errors.
func TestClient(t *testing.T) {
	withServer(t, func(t *testing.T, h *harness) {
		ctx := t.Context()
		h.svc.resp = callerapi.Response{Outcome: callerapi.Ran, Key: "k", Answer: &callerapi.Answer{Parts: []json.RawMessage{[]byte(`"<&>"`)}}}
		got, err := h.client.Submit(ctx, callerapi.Request{Workspace: "web", Kind: "cut"}, 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.DeepEquals, h.svc.resp)
		qt.Check(t, h.svc.req.Shape, qt.Equals, callerapi.DefaultShape)
		got, err = h.client.Submit(ctx, callerapi.Request{Workspace: "web"}, 0)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got.Outcome, qt.Equals, callerapi.NotRun)
		qt.Check(t, got.Errors, qt.DeepEquals, []callerapi.Problem{{Field: "Kind", Message: "is required"}})

		h.svc.resp = callerapi.Response{State: callerapi.Dispatched}
		got, err = h.client.Lookup(ctx, "web", "k", time.Second)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, got, qt.DeepEquals, h.svc.resp)
		_, err = h.client.Cancel(ctx, "web", "k")
		qt.Assert(t, err, qt.IsNil)
		page, err := h.client.List(ctx, "web", "k1", 10)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, page, qt.DeepEquals, callerapi.List{Jobs: []callerapi.Response{h.svc.resp}, After: "k9"})
		qt.Check(t, h.svc.calls, qt.DeepEquals, []string{"submit", "lookup web k", "cancel web k", "list web k1"})

		h.svc.err = callerapi.ErrNotFound
		_, err = h.client.Lookup(ctx, "web", "k", 0)
		qt.Check(t, err, qt.ErrorIs, callerapi.ErrNotFound)
		h.svc.err = fmt.Errorf("%w: store is down", callerapi.ErrUnavailable)
		_, err = h.client.Lookup(ctx, "web", "k", 0)
		qt.Check(t, err, qt.ErrorMatches, "look up http://e1: status 503: .*")
		_, err = h.client.List(ctx, "web", "", 0)
		qt.Check(t, err, qt.ErrorMatches, "list http://e1: status 400: .*limit: .*")
	})
}

// Guards against a wait that continues after its caller has disconnected.
func TestCallerGoesAway(t *testing.T) {
	withServer(t, func(t *testing.T, h *harness) {
		h.svc.delay = time.Hour
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := h.client.Submit(ctx, callerapi.Request{Workspace: "web", Kind: "cut"}, time.Hour)
		qt.Check(t, err, qt.ErrorIs, context.DeadlineExceeded)
		synctest.Wait()
		qt.Check(t, h.svc.ctxErr, qt.ErrorIs, context.Canceled)
	})
}

// Guards against read and write deadlines that end a long wait or stay in force
// for the next request on the connection, and against a handler that waits forever
// for a body that never arrives.
func TestTimeouts(t *testing.T) {
	withServer(t, func(t *testing.T, h *harness) {
		h.svc.resp, h.svc.delay = callerapi.Response{Outcome: callerapi.Unknown}, 6*time.Minute
		for range 2 {
			req, err := http.NewRequestWithContext(t.Context(), "POST", "http://e1/v1/jobs?wait=1h", strings.NewReader(validBody))
			qt.Assert(t, err, qt.IsNil)
			req.Header.Set("Expect", "100-continue")
			resp, err := h.client.HTTP.Do(req)
			qt.Assert(t, err, qt.IsNil)
			_, err = io.Copy(io.Discard, resp.Body)
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, resp.Body.Close(), qt.IsNil)
			qt.Check(t, resp.StatusCode, qt.Equals, 200)
			time.Sleep(WriteTimeout + time.Second)
		}
		qt.Check(t, h.net.Dials("e1"), qt.Equals, 1)

		start := time.Now()
		body, writer := io.Pipe()
		req, err := http.NewRequestWithContext(t.Context(), "POST", "http://e1/v1/jobs", io.MultiReader(bytes.NewReader([]byte(`{"Kind"`)), body))
		qt.Assert(t, err, qt.IsNil)
		resp, err := h.client.HTTP.Do(req)
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, resp.Body.Close(), qt.IsNil)
		qt.Check(t, resp.StatusCode, qt.Equals, 408)
		qt.Check(t, time.Since(start), qt.Equals, BodyTimeout)
		qt.Check(t, writer.Close(), qt.IsNil)
	})
}

// Guards against limits of the configuration that are ignored, and against a change
// that cuts a request in progress or a connection of a caller.
func TestLimits(t *testing.T) {
	tests := []struct {
		name   string
		limits operator.Limits
		header int           // bytes of a header's value
		pause  time.Duration // before a second request
		code   int
		dials  int // for both requests
	}{
		{name: "defaults", limits: operator.DefaultLimits(), header: 10 << 10, pause: 20 * time.Second, code: 200, dials: 1},
		{name: "small header", limits: operator.Limits{HeaderBytes: 2 << 10}.WithDefaults(), header: 10 << 10, code: 431, dials: 2},
		{name: "large header", limits: operator.Limits{HeaderBytes: 64 << 10}.WithDefaults(), header: 60 << 10, code: 200, dials: 1},
		{name: "short idle time", limits: operator.Limits{IdleTimeout: 5 * time.Second}.WithDefaults(), pause: 20 * time.Second, code: 200, dials: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withServer(t, func(t *testing.T, h *harness) {
				do := func(header int) int {
					req, err := http.NewRequestWithContext(t.Context(), "POST", "http://e1/v1/jobs?wait=1h", strings.NewReader(validBody))
					qt.Assert(t, err, qt.IsNil)
					req.Header.Set("X-Padding", strings.Repeat("a", header))
					resp, err := h.client.HTTP.Do(req)
					qt.Assert(t, err, qt.IsNil)
					_, _ = io.Copy(io.Discard, resp.Body)
					qt.Check(t, resp.Body.Close(), qt.IsNil)
					return resp.StatusCode
				}
				h.svc.resp, h.svc.delay = callerapi.Response{Outcome: callerapi.Unknown}, time.Minute
				before := make(chan int, 1)
				go func() { before <- do(0) }()
				time.Sleep(time.Second)
				h.limits.Store(&tt.limits)
				qt.Check(t, do(tt.header), qt.Equals, tt.code)
				qt.Check(t, <-before, qt.Equals, 200)
				h.client.HTTP.CloseIdleConnections()
				dials := h.net.Dials("e1")
				qt.Check(t, do(tt.header), qt.Equals, tt.code)
				time.Sleep(tt.pause)
				qt.Check(t, do(tt.header), qt.Equals, tt.code)
				qt.Check(t, h.net.Dials("e1")-dials, qt.Equals, tt.dials)
			})
		})
	}
}

// Guards against a client that sends its header too slowly and keeps its connection.
func TestHeaderTimeout(t *testing.T) {
	withServer(t, func(t *testing.T, h *harness) {
		l := operator.Limits{HeaderTimeout: 3 * time.Second}.WithDefaults()
		h.limits.Store(&l)
		conn, err := h.net.Dial(t.Context(), "e1")
		qt.Assert(t, err, qt.IsNil)
		defer func() { _ = conn.Close() }()
		_, err = conn.Write([]byte("POST /v1/jobs HTTP/1.1\r\n"))
		qt.Assert(t, err, qt.IsNil)
		start := time.Now()
		_, err = io.ReadAll(conn)
		qt.Check(t, err, qt.IsNil)
		qt.Check(t, time.Since(start), qt.Equals, 3*time.Second)
	})
}

// Guards against a shutdown that aborts a request before its context ends, and
// against one that does not return when it ends.
func TestShutdown(t *testing.T) {
	tests := []struct {
		name  string
		delay time.Duration
		err   string
	}{
		{name: "request ends in time", delay: 20 * time.Second},
		{name: "request is too long", delay: time.Hour, err: "1 requests cut short: context deadline exceeded"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			withServer(t, func(t *testing.T, h *harness) {
				h.svc.resp, h.svc.delay = callerapi.Response{Outcome: callerapi.Unknown}, tt.delay
				result := make(chan error, 1)
				go func() {
					_, err := h.client.Submit(t.Context(), callerapi.Request{Workspace: "web", Kind: "cut"}, time.Hour)
					result <- err
				}()
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
				defer cancel()
				err := h.server.Shutdown(ctx)
				if tt.err != "" {
					qt.Check(t, err, qt.ErrorMatches, tt.err)
					qt.Check(t, <-result, qt.IsNotNil)
					qt.Check(t, h.svc.ctxErr, qt.ErrorIs, context.Canceled)
					return
				}
				qt.Check(t, err, qt.IsNil)
				qt.Check(t, <-result, qt.IsNil)
				_, err = h.client.Lookup(t.Context(), "web", "k", 0)
				qt.Check(t, err, qt.ErrorMatches, ".*connection refused.*")
			})
		})
	}
}
