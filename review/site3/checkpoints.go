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
)

// checkpointBytes is the length of the checkpoints of the case, for which the pages set no limit.
const checkpointBytes = 30_000

// padding follows the checkpoint of the project's stand-in, which has a few bytes.
const padding = "."

// padCheckpoints returns the body of an answer to a hold with checkpoints of checkpointBytes.
func padCheckpoints(body []byte) []byte {
	var m map[string]json.RawMessage
	if json.Unmarshal(body, &m) != nil {
		return body
	}
	for field, column := range map[string]int{"Running": 2, "Ended": 4} {
		var rows [][]json.RawMessage
		if m[field] == nil || json.Unmarshal(m[field], &rows) != nil {
			continue
		}
		for _, row := range rows {
			var c string
			if json.Unmarshal(row[column], &c) == nil && c != "" {
				row[column], _ = json.Marshal(c + strings.Repeat(padding, checkpointBytes-len(c)))
			}
		}
		m[field], _ = json.Marshal(rows)
	}
	out, _ := json.Marshal(m)
	return out
}

// unpadCheckpoint makes the stand-in get the checkpoint of a start without the padding.
func unpadCheckpoint(r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var m map[string]any
	if json.Unmarshal(body, &m) == nil {
		if c, ok := m["LastCheckpoint"].(string); ok {
			m["LastCheckpoint"] = strings.TrimRight(c, padding)
			body, _ = json.Marshal(m)
		}
	}
	r.Body, r.ContentLength = io.NopCloser(bytes.NewReader(body)), int64(len(body))
}

// playLongCheckpoints lets the units of one job have long checkpoints, and hands in another job after it.
func playLongCheckpoints(ctx context.Context, s *site, trouble bool) error {
	for _, h := range s.hosts {
		h.longCheckpoints.Store(trouble)
	}
	const large, small = "00000000000000c1", "00000000000000d1"
	err := s.submit(ctx, 0, "offcut-renest", large, map[string]any{
		"Spec":  payload(20 * time.Second),
		"Steps": []any{map[string]any{"Count": 200, "Cpu": 200, "MemMb": 100, "EstMs": 20000, "Checkpointable": true}},
	})
	if err != nil {
		return err
	}
	time.Sleep(50 * time.Second)
	err = s.submit(ctx, 0, "cut-check", small, map[string]any{
		"Spec": payload(2 * time.Second), "Steps": []any{map[string]any{"Count": 1, "Cpu": 15000, "MemMb": 31000, "Gpu": 1, "EstMs": 2000}},
	})
	if err != nil {
		return err
	}
	end := time.Now().Add(40 * time.Second)
	shown := ""
	for time.Now().Before(end) && shown != "completed" {
		state, status := s.state(ctx, 0, "cut-check", small)
		if state != shown {
			s.rec.add("GET /cut-check/%s -> %d %s", small, status, state)
			shown = state
		}
		time.Sleep(500 * time.Millisecond)
	}
	state, status := s.state(ctx, 0, "offcut-renest", large)
	s.rec.add("GET /offcut-renest/%s -> %d %s", large, status, state)
	byHow := make(map[string]int)
	for _, r := range s.runsOf(large) {
		byHow[r.Target+" "+r.How]++
	}
	s.rec.add("runs of the large job by worker and end: %v", byHow)
	for _, h := range s.hosts {
		s.rec.add("%s runs %d units", h.name, len(h.worker.RunningTasks()))
	}
	s.addRuns(small)
	switch {
	case shown == "completed":
		return nil
	case len(s.runsOf(small)) > 0:
		return errors.New("the small job has begun and not ended")
	}
	return fmt.Errorf("%w: LOST: nothing of a job of one unit has run in 40 s, with all workers empty or nearly so; it is shown as %q", errBroken, shown)
}
