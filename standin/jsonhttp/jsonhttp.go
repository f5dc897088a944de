// Package jsonhttp has helpers for serving JSON over HTTP.
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

// Decode decodes the body of a request into dst. Unknown fields are an error, so
// that a misspelt field of a fault is reported.
func Decode(w http.ResponseWriter, r *http.Request, maxBody int64, dst any) error {
	dec := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	dec.DisallowUnknownFields()
	if err := dec.Decode(dst); err != nil {
		return fmt.Errorf("decode request: %w", err)
	}
	// net/http detects a closed connection, and cancels the request's context, only
	// after the whole body has been read.
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return fmt.Errorf("read request: %w", err)
	}
	return nil
}

// Write sends a response with the given status and v encoded as JSON.
func Write(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b) // Fails if the caller has disconnected.
}

// PathParam returns a path parameter of the chi route, unescaped.
func PathParam(r *http.Request, name string) (string, error) {
	v := chi.URLParam(r, name)
	if r.URL.RawPath == "" {
		return v, nil // chi matched the unescaped path
	}
	return url.PathUnescape(v)
}
