package operator

import (
	"bytes"
	"encoding/json"
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/rs/zerolog"
)

// writeTimeout bounds a response, so that a slow reader does not hold up the end
// of the process.
const writeTimeout = 30 * time.Second

// Settings of a Handler. A path whose function is nil does not exist, but /ready
// without a function is always 200.
type Settings struct {
	// Ready returns why the process takes no work, or nil.
	Ready func() error
	// Status returns a summary that encoding/json can encode.
	Status func() any
	// Dump returns the whole state in the same way.
	Dump func() any
	// Drain starts the drain and returns at once. It may be called repeatedly.
	Drain func()
	// Metrics is written to /metrics together with the metrics of the process.
	Metrics *metrics.Set
	Log     zerolog.Logger
}

// Handler returns the operators' API.
func Handler(cfg Settings) http.Handler {
	r := chi.NewRouter()
	r.Use(limitWrites)
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
	return r
}

func limitWrites(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// A writer without deadlines, as in tests, is served without.
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
		next.ServeHTTP(w, r)
	})
}

// serveJSON writes the value that f returns. It encodes the value first, so that
// a failure does not leave half a body with code 200.
func serveJSON(f func() any, log zerolog.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		var buf bytes.Buffer
		enc := json.NewEncoder(&buf)
		enc.SetEscapeHTML(false)
		enc.SetIndent("", "  ")
		if err := enc.Encode(f()); err != nil {
			log.Error().Int("Event", EventEncodeFailed).Str("Path", req.URL.Path).Err(err).Msg("value not encoded")
			writeText(w, http.StatusInternalServerError, err.Error())
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(buf.Bytes()) // The reader has gone away.
	}
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	_, _ = w.Write([]byte(text + "\n")) // The reader has gone away.
}
