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
	// maxQueueBytes limits the queued lines. It holds some seconds of output of a
	// busy process and is less than 1 % of the smallest memory limit, 152 MB.
	maxQueueBytes = 1 << 20
	// closeTimeout bounds how long Close waits for a blocked output. The platform
	// kills a process 2 s or more after it signals the process to stop.
	closeTimeout = 200 * time.Millisecond
	// budgetPeriod is the period of the budget and of the report of dropped lines.
	budgetPeriod = time.Second
)

// Settings of a Writer.
type Settings struct {
	// LinesPerSecond limits the lines below the warning level, and separately the
	// warnings and errors.
	LinesPerSecond int
	// UnlimitedEvents lists the numbers of the events that are exempt from the budget.
	UnlimitedEvents []int
	// Process is the name of the process.
	Process string
}

// Writer is a zerolog.LevelWriter. Its methods are safe for concurrent use.
type Writer struct {
	out      io.Writer
	queueLog zerolog.Logger // writes to the queue
	exempt   map[string]struct{}
	done     chan struct{} // closed after the last write

	mu             sync.Mutex
	linesPerSecond int
	queue          bytes.Buffer
	wake           chan struct{} // wakes run; buffers one wake-up
	closed         bool
	periodStart    time.Time // start of the period that belowWarn and warnings count
	belowWarn      int       // lines below the warning level
	warnings       int       // warnings and errors
	overBudget     int       // lines dropped because of the budget, since the last report
	queueFull      int       // lines dropped because the queue was full or the Writer closed
	writeFailed    int       // lines lost in failed writes
}

// New returns a Writer that writes to out in a goroutine, which ends after Close.
func New(out io.Writer, cfg Settings) *Writer {
	w := &Writer{
		out: out, exempt: make(map[string]struct{}), linesPerSecond: cfg.LinesPerSecond, wake: make(chan struct{}, 1),
		done: make(chan struct{}), periodStart: time.Now(),
	}
	for _, n := range cfg.UnlimitedEvents {
		w.exempt[strconv.Itoa(n)] = struct{}{}
	}
	w.queueLog = zerolog.New(&w.queue).With().Timestamp().Str("Process", cfg.Process).Logger()
	go w.run()
	return w
}

// SetLinesPerSecond changes Settings.LinesPerSecond.
func (w *Writer) SetLinesPerSecond(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.linesPerSecond = n
}

// Write implements io.Writer for lines without a level.
func (w *Writer) Write(line []byte) (int, error) { return w.WriteLevel(zerolog.NoLevel, line) }

// WriteLevel implements zerolog.LevelWriter. It queues the line or drops it, and
// always reports success.
func (w *Writer) WriteLevel(level zerolog.Level, line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rollPeriod(time.Now())
	switch {
	case w.closed:
		w.queueFull++
	case !w.allowed(level, line):
		w.overBudget++
	case w.queue.Len()+len(line) > maxQueueBytes:
		w.queueFull++
	default:
		w.queue.Write(line) // Write on a bytes.Buffer returns no error.
		w.notify()
	}
	return len(line), nil
}

// allowed counts a line against its budget and reports whether it may be written.
func (w *Writer) allowed(level zerolog.Level, line []byte) bool {
	if _, ok := w.exempt[eventNumber(line)]; ok {
		return true
	}
	count := &w.belowWarn
	if level >= zerolog.WarnLevel && level < zerolog.NoLevel {
		count = &w.warnings
	}
	*count++
	return *count <= w.linesPerSecond
}

// rollPeriod starts a new budget period if the last one is over, and reports the
// lines that were dropped since the last report. If the queue is over its limit,
// the report is postponed.
func (w *Writer) rollPeriod(now time.Time) {
	if now.Sub(w.periodStart) < budgetPeriod {
		return
	}
	w.periodStart, w.belowWarn, w.warnings = now, 0, 0
	if w.overBudget+w.queueFull+w.writeFailed == 0 || w.queue.Len() > maxQueueBytes {
		return
	}
	w.queueLog.Warn().Int("Event", EventLinesLeftOut).Int("BeyondBudget", w.overBudget).Int("QueueFull", w.queueFull).
		Int("WriteFailed", w.writeFailed).Msg("log lines were dropped")
	w.overBudget, w.queueFull, w.writeFailed = 0, 0, 0
	w.notify()
}

func (w *Writer) notify() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// run writes all queued lines in one write each time it is woken.
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
				w.writeFailed += bytes.Count(batch, []byte{'\n'})
				w.mu.Unlock()
			}
		}
	}
}

// Close reports the lines dropped since the last report and writes the queue, but
// gives up on a blocked output after closeTimeout. Later lines are dropped.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.rollPeriod(w.periodStart.Add(budgetPeriod))
		w.closed = true
		w.notify()
	}
	w.mu.Unlock()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

var eventField = []byte(`"Event":`)

// eventNumber returns the event number in a line as decimal digits, or "".
func eventNumber(line []byte) string {
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
