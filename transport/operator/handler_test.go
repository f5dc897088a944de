package operator

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// Guards against reporting the wrong state to the load balancer, and against a GET
// request that starts a drain.
func TestHandler(t *testing.T) {
	drains := 0
	set := metrics.NewSet()
	set.NewCounter("jobs_total").Add(3)
	cfg := Settings{
		Status:  func() any { return map[string]int{"Targets": 11} },
		Dump:    func() any { return func() {} },
		Drain:   func() { drains++ },
		Metrics: set,
		Log:     zerolog.Nop(),
	}
	notReady := Settings{Ready: func() error { return errors.New("configuration not read") }, Log: zerolog.Nop()}
	tests := []struct {
		name   string
		cfg    Settings
		method string
		path   string
		code   int
		body   string // regular expression
		drains int
	}{
		{name: "health", cfg: notReady, method: "GET", path: "/health", code: 200, body: "alive\n"},
		{name: "ready", cfg: cfg, method: "GET", path: "/ready", code: 200, body: "ready\n"},
		{name: "not ready", cfg: notReady, method: "GET", path: "/ready", code: 503, body: "configuration not read\n"},
		{name: "status", cfg: cfg, method: "GET", path: "/status", code: 200, body: "{\n  \"Targets\": 11\n}\n"},
		{name: "no status", cfg: notReady, method: "GET", path: "/status", code: 404, body: "(?s).*"},
		{name: "dump can't be encoded", cfg: cfg, method: "GET", path: "/dump", code: 500, body: "json: unsupported type.*\n"},
		{name: "metrics", cfg: cfg, method: "GET", path: "/metrics", code: 200, body: "(?s)jobs_total 3\n.*go_goroutines .*"},
		{name: "GET of drain", cfg: cfg, method: "GET", path: "/drain", code: 405, body: "(?s).*"},
		{name: "drain", cfg: cfg, method: "POST", path: "/drain", code: http.StatusAccepted, body: "draining\n", drains: 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			drains = 0
			w := httptest.NewRecorder()
			Handler(tt.cfg).ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), tt.method, tt.path, nil))
			qt.Check(t, w.Code, qt.Equals, tt.code)
			qt.Check(t, w.Body.String(), qt.Matches, tt.body)
			qt.Check(t, drains, qt.Equals, tt.drains)
		})
	}
}

// Guards against the wrong status code for a query that can't be answered, by which the command
// tells an unknown placement from an invalid request.
func TestPlace(t *testing.T) {
	h := Handler(Settings{Log: zerolog.Nop(), Place: func(body []byte) (any, error) {
		switch string(body) {
		case "ok":
			return map[string]string{"State": "starts"}, nil
		case "missing":
			return nil, &StatusError{http.StatusNotFound, errors.New("no such job")}
		}
		return nil, errors.New("broken")
	}})
	tests := []struct {
		body string
		code int
		want string
	}{
		{"ok", 200, "{\n  \"State\": \"starts\"\n}\n"},
		{"missing", 404, "no such job\n"},
		{"other", 500, "broken\n"},
		{strings.Repeat("x", maxPlaceBytes+1), 400, "the body can't be read\n"},
	}
	for _, tt := range tests {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/place", strings.NewReader(tt.body)))
		qt.Check(t, w.Code, qt.Equals, tt.code)
		qt.Check(t, w.Body.String(), qt.Equals, tt.want)
	}
}
