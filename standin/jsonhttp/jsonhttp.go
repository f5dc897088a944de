// Package jsonhttp holds what the stand-ins share for serving JSON over HTTP.
//
// # Usage
//
//	var req request
//	if err := jsonhttp.Decode(w, r, maxBody, &req); err != nil {
//		jsonhttp.Write(w, http.StatusBadRequest, reply{Error: err.Error()})
//		return
//	}
package jsonhttp

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/go-chi/chi/v5"
)

// Decode fills into from the body of a request. Unknown fields are an error,
// so that a misspelt fault does not pass as no fault.
func Decode(w http.ResponseWriter, r *http.Request, maxBody int64, into any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return fmt.Errorf("decode request: %w", err)
	}
	// The server notices that a caller has gone only after the whole body has
	// been read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return fmt.Errorf("read request: %w", err)
	}
	return nil
}

// Write answers with a status and the JSON form of v.
func Write(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b) // The caller may have gone.
}

// PathParam returns a parameter of the chi route without its escapes.
func PathParam(r *http.Request, name string) (string, error) {
	v := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return v, nil // chi took it from the unescaped path
	}
	return url.PathUnescape(v)
}
