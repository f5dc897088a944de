//go:build review3

package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
)

// maxListedEnds is how many ends a worker returns at a time, by the platform's protocol.
const maxListedEnds = 500

// serveLimited returns the handler of the host's worker, which lists at most maxListedEnds ends in an
// answer, those with the lowest numbers. The project's stand-in lists all of them.
func (h *host) serveLimited() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/medlargrade/hold" {
			if h.longCheckpoints.Load() {
				unpadCheckpoint(r)
			}
			h.worker.ServeHTTP(w, r)
			return
		}
		request, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(request))
		a := &answer{header: make(http.Header), status: http.StatusOK}
		h.worker.ServeHTTP(a, r)
		body := h.limitEnds(a.body.Bytes())
		if h.longCheckpoints.Load() {
			body = padCheckpoints(body)
		}
		if log := h.logHold.Load(); log != nil {
			(*log)(string(request), a.status, string(body))
		}
		for k, v := range a.header {
			w.Header()[k] = v
		}
		w.Header().Set("Content-Length", strconv.Itoa(len(body)))
		w.WriteHeader(a.status)
		_, _ = w.Write(body)
	})
}

// limitEnds returns the body of an answer with the first ends only, and keeps how many ends the worker
// has not been told to forget.
func (h *host) limitEnds(body []byte) []byte {
	var m map[string]json.RawMessage
	var ends [][]json.RawMessage
	if json.Unmarshal(body, &m) != nil {
		return body
	}
	if m["Ended"] != nil && json.Unmarshal(m["Ended"], &ends) != nil {
		return body
	}
	h.endsLeft.Store(int64(len(ends)))
	if len(ends) <= maxListedEnds {
		return body
	}
	number := func(row []json.RawMessage) int {
		n, _ := strconv.Atoi(string(row[0]))
		return n
	}
	slices.SortFunc(ends, func(x, y []json.RawMessage) int { return number(x) - number(y) })
	m["Ended"], _ = json.Marshal(ends[:maxListedEnds])
	out, _ := json.Marshal(m)
	return out
}

// answer keeps the answer of a handler.
type answer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *answer) Header() http.Header         { return a.header }
func (a *answer) WriteHeader(status int)      { a.status = status }
func (a *answer) Write(b []byte) (int, error) { return a.body.Write(b) }
