// Package eventlog reads the logs of processes: JSON lines with numbered events, as they are
// listed in docs/events.md.
//
// # Usage
//
//	lines, err := eventlog.ReadFiles([]string{"entry.log", "target.log"}, os.Stdin)
//	if err != nil {
//		return err
//	}
//	for _, l := range lines { // in order of time
//		fmt.Println(l.Time, l.Process, l.Event)
//	}
package eventlog

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

// maxLineBytes bounds the length of a log line. The longest lines have the name of
// a task and an error text.
const maxLineBytes = 1 << 20

// Line is a line of a process's log.
type Line struct {
	Time    time.Time `json:"time"`
	Process string
	Event   int
	Job     string
	Task    string
	// RequestID identifies a call about the job.
	RequestID string
	// Text is the JSON object of the line.
	Text []byte `json:"-"`
}

// IsAbout reports whether a line is about the job or task id, or about one of its
// tasks.
func (l Line) IsAbout(id string) bool {
	return l.Job == id || l.Task == id || strings.HasPrefix(l.Task, id+".")
}

// JobID returns the ID of the job that the line is about, or "".
func (l Line) JobID() string {
	if l.Job != "" {
		return l.Job
	}
	id, _, _ := strings.Cut(l.Task, ".")
	return id
}

// Decode decodes fields of the line into the struct that v points to. Fields of another type
// are left as they are.
func (l Line) Decode(v any) { _ = json.Unmarshal(l.Text, v) }

// Read appends the log lines read from r. It ignores text before the JSON object
// of a line, such as a time added by a log collector, and lines that are not log
// events.
func Read(lines []Line, r io.Reader) ([]Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		i := bytes.IndexByte(s.Bytes(), '{')
		if i < 0 {
			continue
		}
		l := Line{Text: bytes.Clone(s.Bytes()[i:])}
		if json.Unmarshal(l.Text, &l) != nil || l.Event == 0 || l.Time.IsZero() {
			continue
		}
		lines = append(lines, l)
	}
	return lines, s.Err()
}

// ReadFiles returns the lines of files in order of time, or those of stdin if there are no
// files. The order of lines of different processes is as accurate as their clocks.
func ReadFiles(paths []string, stdin io.Reader) ([]Line, error) {
	var lines []Line
	for _, path := range paths {
		f, err := os.Open(path)
		if err != nil {
			return nil, fmt.Errorf("open log: %w", err)
		}
		lines, err = Read(lines, f)
		_ = f.Close() // The file was only read.
		if err != nil {
			return nil, fmt.Errorf("read log %s: %w", path, err)
		}
	}
	if len(paths) == 0 {
		var err error
		if lines, err = Read(lines, stdin); err != nil {
			return nil, fmt.Errorf("read standard input: %w", err)
		}
	}
	Sort(lines)
	return lines, nil
}

// Sort sorts lines by time. Lines of the same time stay in their order.
func Sort(lines []Line) {
	slices.SortStableFunc(lines, func(x, y Line) int { return x.Time.Compare(y.Time) })
}
