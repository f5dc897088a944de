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

// fakeOutput records what is written to it. Writes can block or fail.
type fakeOutput struct {
	unblock chan struct{} // writes block until it is closed; nil to never block

	mu   sync.Mutex
	text bytes.Buffer
	err  error // returned by writes if not nil
}

func (o *fakeOutput) Write(b []byte) (int, error) {
	if o.unblock != nil {
		<-o.unblock
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err != nil {
		return 0, o.err
	}
	return o.text.Write(b)
}

func (o *fakeOutput) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSuffix(o.text.String(), "\n"), "\n")
}

func (o *fakeOutput) count(part string) int {
	n := 0
	for _, l := range o.lines() {
		if strings.Contains(l, part) {
			n++
		}
	}
	return n
}

func newLogger(out io.Writer, linesPerSecond int) (*Writer, zerolog.Logger) {
	w := New(out, Settings{LinesPerSecond: linesPerSecond, UnlimitedEvents: []int{552}, Process: "p"})
	return w, zerolog.New(w)
}

// Guards against a burst of lines that exceeds the budget, and against a budget
// that drops the end of a request or warnings, or does not report the number of
// dropped lines.
func TestBudget(t *testing.T) {
	tests := []struct {
		name               string
		info, warn, exempt int // lines logged within one period
		wantInfo, wantWarn int
		wantLeftOut        int
	}{
		{name: "below", info: 9, warn: 1, exempt: 3, wantInfo: 9, wantWarn: 1},
		{name: "at the budget", info: 10, wantInfo: 10},
		{name: "beyond", info: 25, warn: 2, exempt: 40, wantInfo: 10, wantWarn: 2, wantLeftOut: 15},
		{name: "many warnings", info: 3, warn: 12, wantInfo: 3, wantWarn: 10, wantLeftOut: 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				out := &fakeOutput{}
				w, log := newLogger(out, 10)
				for range tt.info {
					log.Info().Int("Event", 553).Send()
				}
				for range tt.warn {
					log.Warn().Int("Event", 600).Send()
				}
				for range tt.exempt {
					log.Info().Int("Event", 552).Send()
				}
				time.Sleep(budgetPeriod)
				log.Info().Int("Event", 661).Send()
				w.Close()
				qt.Check(t, out.count(`"Event":553`), qt.Equals, tt.wantInfo)
				qt.Check(t, out.count(`"Event":600`), qt.Equals, tt.wantWarn)
				qt.Check(t, out.count(`"Event":552`), qt.Equals, tt.exempt)
				qt.Check(t, out.count(`"Event":661`), qt.Equals, 1)
				want := 0
				if tt.wantLeftOut > 0 {
					want = 1
				}
				qt.Check(t, out.count(fmt.Sprintf(`"BeyondBudget":%d`, tt.wantLeftOut)), qt.Equals, want)
			})
		})
	}
}

// Guards against callers that block because nothing reads the output, and against
// a queue that then grows without limit.
func TestBlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &fakeOutput{unblock: make(chan struct{})}
		w, log := newLogger(out, 1000)
		long := strings.Repeat("x", 10_000)
		start := time.Now()
		const lines = 500
		for range lines {
			log.Info().Int("Event", 552).Str("Text", long).Send()
			synctest.Wait()
		}
		qt.Check(t, time.Since(start), qt.Equals, time.Duration(0), qt.Commentf("time for which callers were blocked"))
		w.mu.Lock()
		qt.Check(t, w.queue.Len() <= maxQueueBytes, qt.IsTrue)
		dropped := w.queueFull
		w.mu.Unlock()
		close(out.unblock)
		time.Sleep(budgetPeriod)
		log.Info().Int("Event", 661).Send()
		w.Close()
		qt.Check(t, out.count(`"Event":552`), qt.Equals, lines-dropped)
		qt.Check(t, out.count(fmt.Sprintf(`"QueueFull":%d`, dropped)), qt.Equals, 1)
	})
}

// Guards against a Close that waits forever for a blocked output.
func TestCloseWithBlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &fakeOutput{unblock: make(chan struct{})}
		w, log := newLogger(out, 10)
		log.Info().Int("Event", 661).Send()
		start := time.Now()
		w.Close()
		qt.Check(t, time.Since(start), qt.Equals, closeTimeout)
		log.Info().Int("Event", 662).Send() // must not panic
		close(out.unblock)
		<-w.done
		qt.Check(t, out.count(`"Event":661`), qt.Equals, 1)
	})
}

// Guards against lines that are lost at Close, and against lines that are
// interleaved.
func TestCloseWritesAll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &fakeOutput{}
		w, log := newLogger(out, 1000)
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
		qt.Check(t, len(out.lines()), qt.Equals, 200)
		for _, l := range out.lines() {
			qt.Check(t, strings.HasPrefix(l, "{") && strings.HasSuffix(l, "}"), qt.IsTrue, qt.Commentf("%s", l))
		}
	})
}

// Guards against write errors that are not reported once the output works again.
func TestFailedWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &fakeOutput{err: errors.New("closed pipe")}
		w, log := newLogger(out, 1000)
		log.Info().Int("Event", 553).Send()
		synctest.Wait()
		out.mu.Lock()
		out.err = nil
		out.mu.Unlock()
		time.Sleep(budgetPeriod)
		log.Info().Int("Event", 661).Send()
		w.Close()
		qt.Check(t, out.count(`"WriteFailed":1`), qt.Equals, 1)
	})
}

// Guards against a change of the budget that has no effect.
func TestSetLinesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &fakeOutput{}
		w, log := newLogger(out, 1)
		w.SetLinesPerSecond(3)
		for range 5 {
			log.Info().Int("Event", 553).Send()
		}
		w.Close()
		qt.Check(t, out.count(`"Event":553`), qt.Equals, 3)
		qt.Check(t, out.count(`"BeyondBudget":2`), qt.Equals, 1)
	})
}
