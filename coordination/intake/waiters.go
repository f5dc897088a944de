package intake

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/pause"
	"github.com/medlargrade/medlargrade/state/job"
	"github.com/medlargrade/medlargrade/state/table"
)

const (
	// waitersWatch is the wait of one watch for ends. After it, or after a failed
	// watch, all waiters look at their jobs.
	waitersWatch = 2 * time.Second
	// waitersPause is the pause after a failed watch.
	waitersPause = 200 * time.Millisecond
)

// waiters tells requests that their jobs have changed. It watches the store only
// while somebody waits.
type waiters struct {
	store  table.Store
	ctx    context.Context //nolint:containedctx // of the watch, which outlives calls
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu      sync.Mutex
	waiting map[string]map[chan struct{}]struct{}
	watches bool
}

func newWaiters(store table.Store) *waiters {
	ctx, cancel := context.WithCancel(context.Background())
	return &waiters{store: store, ctx: ctx, cancel: cancel, waiting: make(map[string]map[chan struct{}]struct{})}
}

func (w *waiters) close() {
	w.cancel()
	w.wg.Wait()
}

// add returns a channel that gets a value when the job may have changed, and a
// function that gives it up.
func (w *waiters) add(id string) (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting[id] == nil {
		w.waiting[id] = make(map[chan struct{}]struct{})
	}
	w.waiting[id][ch] = struct{}{}
	if !w.watches {
		w.watches = true
		w.wg.Go(w.watch)
	}
	return ch, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.waiting[id], ch)
		if len(w.waiting[id]) == 0 {
			delete(w.waiting, id)
		}
	}
}

// done reports whether nobody waits, and that the watch ends then.
func (w *waiters) done() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting) > 0 && w.ctx.Err() == nil {
		return false
	}
	w.watches = false
	return true
}

// watch follows the progress of all jobs until nobody waits.
func (w *waiters) watch() {
	ctx := w.ctx
	var version uint64
	for !w.done() {
		if version == 0 {
			if p, err := w.store.Read(ctx, table.Range{Table: job.TableProgress, From: "-", To: "-", Limit: 1}); err == nil {
				version = p.Version
			}
			// What changed before this version is found by looking.
			w.notifyAll()
		}
		c, err := w.store.Watch(ctx, job.TableProgress, version, waitersWatch)
		if err != nil || version == 0 {
			version = 0
			pause.For(ctx, waitersPause)
			continue
		}
		version = c.Version
		for _, r := range c.Rows {
			id, _, _ := strings.Cut(r.Key, "/")
			w.notify(id)
		}
		if len(c.Rows) == 0 {
			w.notifyAll()
		}
	}
}

func (w *waiters) notify(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.notifyLocked(id)
}

func (w *waiters) notifyAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for id := range w.waiting {
		w.notifyLocked(id)
	}
}

func (w *waiters) notifyLocked(id string) {
	for ch := range w.waiting[id] {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
