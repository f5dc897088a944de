package stdout

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"
)

// reader is the far end of the output. It takes nothing while it is stopped.
type reader struct {
	stop chan struct{} // closed when it takes writes again; nil if it does

	mu   sync.Mutex
	text bytes.Buffer
	err  error
}

func (r *reader) Write(b []byte) (int, error) {
	if r.stop != nil {
		<-r.stop
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.err != nil {
		return 0, r.err
	}
	return r.text.Write(b)
}

func (r *reader) lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return strings.Split(strings.TrimSuffix(r.text.String(), "\n"), "\n")
}

func (r *reader) count(part string) int {
	n := 0
	for _, l := range r.lines() {
		if strings.Contains(l, part) {
			n++
		}
	}
	return n
}

func newLogger(out io.Writer, limit int) (*Writer, zerolog.Logger) {
	w := New(out, Settings{LinesPerSecond: limit, UnlimitedEvents: []int{552}, Process: "p"})
	return w, zerolog.New(w)
}

// Guards against a busy second that fills the output, and against a budget that
// hides the end of a request, a warning, or how much is missing.
func TestBudget(t *testing.T) {
	tests := []struct {
		name               string
		plain, warn, kept  int // lines of one second
		wantPlain, wantLow int // of plain lines and warnings
		wantLeft           int
	}{
		{name: "below", plain: 9, warn: 1, kept: 3, wantPlain: 9, wantLow: 1},
		{name: "at the budget", plain: 10, wantPlain: 10},
		{name: "beyond", plain: 25, warn: 2, kept: 40, wantPlain: 10, wantLow: 2, wantLeft: 15},
		{name: "many warnings", plain: 3, warn: 12, wantPlain: 3, wantLow: 10, wantLeft: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := &reader{}
				w, log := newLogger(r, 10)
				for range tt.plain {
					log.Info().Int("Event", 553).Send()
				}
				for range tt.warn {
					log.Warn().Int("Event", 600).Send()
				}
				for range tt.kept {
					log.Info().Int("Event", 552).Send()
				}
				time.Sleep(period)
				log.Info().Int("Event", 661).Send()
				w.Close()
				qt.Check(t, r.count(`"Event":553`), qt.Equals, tt.wantPlain)
				qt.Check(t, r.count(`"Event":600`), qt.Equals, tt.wantLow)
				qt.Check(t, r.count(`"Event":552`), qt.Equals, tt.kept)
				qt.Check(t, r.count(`"Event":661`), qt.Equals, 1)
				want := 0
				if tt.wantLeft > 0 {
					want = 1
				}
				qt.Check(t, r.count(fmt.Sprintf(`"BeyondBudget":%d`, tt.wantLeft)), qt.Equals, want)
			})
		})
	}
}

// Guards against a process that stops because nobody reads its output, and against
// a queue that grows without a bound meanwhile.
func TestBlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{stop: make(chan struct{})}
		w, log := newLogger(r, 1000)
		long := strings.Repeat("x", 10_000)
		begin := time.Now()
		const lines = 500
		for range lines {
			log.Info().Int("Event", 552).Str("Text", long).Send()
			synctest.Wait()
		}
		qt.Check(t, time.Since(begin), qt.Equals, time.Duration(0), qt.Commentf("time that the callers waited"))
		w.mu.Lock()
		qt.Check(t, w.queue.Len() <= queueBytes, qt.IsTrue)
		dropped := w.dropped
		w.mu.Unlock()
		close(r.stop)
		time.Sleep(period)
		log.Info().Int("Event", 661).Send()
		w.Close()
		qt.Check(t, r.count(`"Event":552`), qt.Equals, lines-dropped)
		qt.Check(t, r.count(fmt.Sprintf(`"QueueFull":%d`, dropped)), qt.Equals, 1)
	})
}

// Guards against an end of the process that waits for a reader for ever.
func TestCloseWithBlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{stop: make(chan struct{})}
		w, log := newLogger(r, 10)
		log.Info().Int("Event", 661).Send()
		begin := time.Now()
		w.Close()
		qt.Check(t, time.Since(begin), qt.Equals, closeWait)
		log.Info().Int("Event", 662).Send() // Must not panic.
		close(r.stop)
		<-w.done
		qt.Check(t, r.count(`"Event":661`), qt.Equals, 1)
	})
}

// Guards against lines that are lost at the end, and against two lines in one.
func TestCloseWritesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{}
		w, log := newLogger(r, 1000)
		var wg sync.WaitGroup
		for i := range 10 {
			wg.Go(func() {
				for range 20 {
					log.Info().Int("Event", 553).Int("Of", i).Send()
				}
			})
		}
		wg.Wait()
		w.Close()
		w.Close()
		qt.Check(t, len(r.lines()), qt.Equals, 200)
		for _, l := range r.lines() {
			qt.Check(t, strings.HasPrefix(l, "{") && strings.HasSuffix(l, "}"), qt.IsTrue, qt.Commentf("%s", l))
		}
	})
}

// Guards against an output that takes nothing and nobody learns of it.
func TestFailedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{err: errors.New("closed pipe")}
		w, log := newLogger(r, 1000)
		log.Info().Int("Event", 553).Send()
		synctest.Wait()
		r.mu.Lock()
		r.err = nil
		r.mu.Unlock()
		time.Sleep(period)
		log.Info().Int("Event", 661).Send()
		w.Close()
		qt.Check(t, r.count(`"WriteFailed":1`), qt.Equals, 1)
	})
}

// Guards against a changed setting without effect.
func TestSetLinesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := &reader{}
		w, log := newLogger(r, 1)
		w.SetLinesPerSecond(3)
		for range 5 {
			log.Info().Int("Event", 553).Send()
		}
		w.Close()
		qt.Check(t, r.count(`"Event":553`), qt.Equals, 3)
		qt.Check(t, r.count(`"BeyondBudget":2`), qt.Equals, 1)
	})
}
