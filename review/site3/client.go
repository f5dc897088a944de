//go:build review3

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/medlargrade/medlargrade/standin/worker"
)

// callTimeout is how long a caller waits for an answer.
const callTimeout = 3 * time.Second

// request makes one call and returns the status and the body of the answer.
func (s *site) request(ctx context.Context, method, url string, body any) (int, []byte, error) {
	var r io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return 0, nil, fmt.Errorf("encode the request: %w", err)
		}
		r = bytes.NewReader(b)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, r)
	if err != nil {
		return 0, nil, fmt.Errorf("create the request: %w", err)
	}
	req.Host = hostName
	req.Header.Set("Authorization", "Token "+apiKey)
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	return resp.StatusCode, b, err
}

// submit hands in a job at an entry and fails unless it is accepted.
func (s *site) submit(ctx context.Context, entry int, queue, id string, body map[string]any) error {
	status, answer, err := s.request(ctx, http.MethodPost, "http://"+s.entries[entry].route+"/"+queue+"/"+id, body)
	s.rec.add("POST /%s/%s -> %d %s %v", queue, id, status, answer, errText(err))
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("the job %s was not accepted: status %d, %w", id, status, errors.Join(err))
	}
	return nil
}

func errText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// state asks for the state of a job; it is empty if there was no answer with one.
func (s *site) state(ctx context.Context, entry int, queue, id string) (string, int) {
	status, answer, err := s.request(ctx, http.MethodGet, "http://"+s.entries[entry].route+"/"+queue+"/"+id, nil)
	var m struct {
		State string `json:"State"`
	}
	if err != nil || json.Unmarshal(answer, &m) != nil {
		return "", status
	}
	return m.State, status
}

// runsOf returns the records of the runs of a job or of one task.
func (s *site) runsOf(id string) []worker.Record {
	var out []worker.Record
	for _, r := range s.runs.Records() {
		if r.Task == id || strings.HasPrefix(r.Task, id+".") {
			out = append(out, r)
		}
	}
	return out
}

// addRuns adds the runs of the tasks whose names begin with id to the record.
func (s *site) addRuns(id string) {
	at := func(t time.Time) string {
		if t.IsZero() {
			return "-"
		}
		return fmt.Sprintf("%.3f", t.Sub(s.rec.start).Seconds())
	}
	for _, r := range s.runsOf(id) {
		s.rec.add("run %d of %s on %s (%s): begun %s, ended %s %s", r.Run, r.Task, r.Target, r.Worker, at(r.Arrived), at(r.Ended), r.How)
	}
}

// await repeats a check until it succeeds, for at most limit.
func await(ctx context.Context, limit time.Duration, check func() bool) bool {
	end := time.Now().Add(limit)
	for time.Now().Before(end) && ctx.Err() == nil {
		if check() {
			return true
		}
		time.Sleep(20 * time.Millisecond)
	}
	return check()
}
