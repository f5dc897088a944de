package stdout

import (
	"bytes"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	// queueBytes bounds the lines that wait for the reader of the output: some
	// seconds of a busy process, and less than 1 % of the smallest memory limit,
	// 152 MB.
	queueBytes = 1 << 20
	// closeWait bounds the wait for the reader at the end of a process. The platform
	// ends a process 2 s or more after its signal.
	closeWait = 200 * time.Millisecond
	// period is that of the budget and of the line that counts what was left out.
	period = time.Second
)

// Settings of a Writer.
type Settings struct {
	// LinesPerSecond bounds the lines below the level of a warning, and separately
	// the warnings and errors.
	LinesPerSecond int
	// UnlimitedEvents are the numbers of the events that the budget does not limit.
	UnlimitedEvents []int
	// Process is the name of the process.
	Process string
}

// Writer is a zerolog.LevelWriter. Its methods are safe for concurrent use.
type Writer struct {
	out    io.Writer
	counts zerolog.Logger // writes to the queue
	kept   map[string]struct{}
	done   chan struct{} // closed when the last line is written

	mu      sync.Mutex
	limit   int
	queue   bytes.Buffer
	wake    chan struct{} // has room for one wake-up
	closed  bool
	start   time.Time // of the second that the counts below are of
	plain   int       // lines below the level of a warning
	severe  int       // warnings and errors
	left    int       // lines beyond the budget
	dropped int       // lines for which the queue had no room
	failed  int       // lines that could not be written
}

// New returns a writer that writes to out in a goroutine of its own, which ends
// with Close.
func New(out io.Writer, cfg Settings) *Writer {
	w := &Writer{
		out: out, kept: make(map[string]struct{}), limit: cfg.LinesPerSecond, wake: make(chan struct{}, 1),
		done: make(chan struct{}), start: time.Now(),
	}
	for _, n := range cfg.UnlimitedEvents {
		w.kept[strconv.Itoa(n)] = struct{}{}
	}
	w.counts = zerolog.New(&w.queue).With().Timestamp().Str("Process", cfg.Process).Logger()
	go w.run()
	return w
}

// SetLinesPerSecond changes the budget.
func (w *Writer) SetLinesPerSecond(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.limit = n
}

// Write implements io.Writer for lines without a level.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. It takes or leaves out the line.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.turn(time.Now())
	switch {
	case w.closed:
		w.dropped++
	case !w.allowed(level, line):
		w.left++
	case w.queue.Len()+len(line) > queueBytes:
		w.dropped++
	default:
		w.queue.Write(line) // A Buffer takes every write.
		w.notify()
	}
	return len(line), nil
}

// allowed counts a line against its budget.
func (w *Writer) allowed(level zerolog.Level, line []byte) bool {
	if _, ok := w.kept[eventOf(line)]; ok {
		return true
	}
	count := &w.plain
	if level >= zerolog.WarnLevel && level < zerolog.NoLevel {
		count = &w.severe
	}
	*count++
	return *count <= w.limit
}

// turn begins the next second and counts what was left out in the one before.
func (w *Writer) turn(now time.Time) {
	if now.Sub(w.start) < period {
		return
	}
	w.start, w.plain, w.severe = now, 0, 0
	if w.left+w.dropped+w.failed == 0 || w.queue.Len() > queueBytes {
		return
	}
	w.counts.Warn().Int("Event", EventLinesLeftOut).Int("BeyondBudget", w.left).Int("QueueFull", w.dropped).
		Int("WriteFailed", w.failed).Msg("log lines were left out")
	w.left, w.dropped, w.failed = 0, 0, 0
	w.notify()
}

func (w *Writer) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes what is queued, all of it at once.
func (w *Writer) run() {
	defer close(w.done)
	var batch []byte
	for range w.wake {
		for {
			w.mu.Lock()
			batch = append(batch[:0], w.queue.Bytes()...)
			w.queue.Reset()
			closed := w.closed
			w.mu.Unlock()
			if len(batch) == 0 {
				if closed {
					return
				}
				break
			}
			if _, err := w.out.Write(batch); err != nil {
				w.mu.Lock()
				w.failed += bytes.Count(batch, []byte{'\n'})
				w.mu.Unlock()
			}
		}
	}
}

// Close writes what is queued, unless the reader stands still, and reports what was
// left out last. Lines that come later are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.turn(w.start.Add(period))
		w.closed = true
		w.notify()
	}
	w.mu.Unlock()
	limit := time.NewTimer(closeWait)
	defer limit.Stop()
	select {
	case <-w.done:
	case <-limit.C:
	}
}

var eventField = []byte(`"Event":`)

// eventOf returns the digits of the event's number in a line, or "".
func eventOf(line []byte) string {
	i := bytes.Index(line, eventField)
	if i < 0 {
		return ""
	}
	rest := line[i+len(eventField):]
	n := 0
	for n < len(rest) && rest[n] >= '0' && rest[n] <= '9' {
		n++
	}
	return string(rest[:n])
}
