package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
)

// writeTimeout bounds the time to write a response, so that a slow client doesn't
// delay the shutdown of the process.
const writeTimeout = 30 * time.Second

// Settings configures a Handler. A path whose function is nil isn't served, except
// that /ready then always returns 200.
type Settings struct {
	// Ready returns nil if the process accepts work, otherwise the reason why not.
	Ready func() error
	// Status returns a summary as a value that encoding/json can encode.
	Status func() any
	// Dump returns the complete state as a value that encoding/json can encode.
	Dump func() any
	// Drain starts a drain and returns without waiting for its end. It may be
	// called more than once.
	Drain func()
	// Place answers the body of a request where a job would be placed, with a value that
	// encoding/json can encode. A *StatusError has the status code of the response.
	Place func(body []byte) (any, error)
	// Metrics is served at /metrics together with the metrics of the process.
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Handler returns the operators' API.
func Handler(cfg Settings) http.Handler {
	r := chi.NewRouter()
	r.Use(withWriteTimeout)
	r.Get("/health", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "alive") })
	r.Get("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if cfg.Ready != nil {
			if err := cfg.Ready(); err != nil {
				writeText(w, http.StatusServiceUnavailable, err.Error())
				return
			}
		}
		writeText(w, http.StatusOK, "ready")
	})
	if cfg.Status != nil {
		r.Get("/status", serveJSON(cfg.Status, cfg.Log))
	}
	if cfg.Dump != nil {
		r.Get("/dump", serveJSON(cfg.Dump, cfg.Log))
	}
	r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		if cfg.Metrics != nil {
			cfg.Metrics.WritePrometheus(w)
		}
		metrics.WriteProcessMetrics(w)
	})
	if cfg.Drain != nil {
		r.Post("/drain", func(w http.ResponseWriter, req *http.Request) {
			cfg.Log.Info().Int("Event", EventDrainRequested).Str("Peer", req.RemoteAddr).Msg("drain requested")
			cfg.Drain()
			writeText(w, http.StatusAccepted, "draining")
		})
	}
	if cfg.Place != nil {
		r.Post("/place", func(w http.ResponseWriter, req *http.Request) {
			body, err := io.ReadAll(http.MaxBytesReader(w, req.Body, maxPlaceBytes))
			if err != nil {
				writeText(w, http.StatusBadRequest, "the body can't be read")
				return
			}
			cfg.Log.Info().Int("Event", EventPlacementQueried).Str("Peer", req.RemoteAddr).Msg("placement queried")
			v, err := cfg.Place(body)
			var status *StatusError
			switch {
			case errors.As(err, &status):
				writeText(w, status.Status, err.Error())
			case err != nil:
				writeText(w, http.StatusInternalServerError, err.Error())
			default:
				serveJSON(func() any { return v }, cfg.Log)(w, req)
			}
		})
	}
	return r
}

// maxPlaceBytes limits the body of a request to /place: a job without its payload.
const maxPlaceBytes = 1 << 20

// StatusError is an error with the status code of its response.
type StatusError struct {
	Status int
	Err    error
}

func (e *StatusError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *StatusError) Unwrap() error { return e.Err }

// withWriteTimeout sets the write deadline of each response.
func withWriteTimeout(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// Writers that don't support deadlines, as in tests, have none.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
		next.ServeHTTP(w, r)
	})
}

// serveJSON serves the value that snapshot returns as JSON. It encodes the value before
// it writes the header, so that an encoding error results in code 500 and not in a
// partial body with code 200.
func serveJSON(snapshot func() any, log zerolog.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var buf bytes.Buffer
		enc := json.NewEncoder(&buf)
		enc.SetEscapeHTML(false)
		enc.SetIndent("", "  ")
		if err := enc.Encode(snapshot()); err != nil {
			log.Error().Int("Event", EventEncodeFailed).Str("Path", req.URL.Path).Err(err).Msg("failed to encode response")
			writeText(w, http.StatusInternalServerError, err.Error())
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(buf.Bytes()) // Fails only if the client has disconnected or is too slow.
	}
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(text + "\n")) // Fails only if the client has disconnected or is too slow.
}
