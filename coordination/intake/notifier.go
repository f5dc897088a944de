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
	// watchTimeout bounds one watch of the progress table. All subscribers are notified
	// after a watch that failed or returned no changes.
	watchTimeout = 2 * time.Second
	// watchRetryPause is the delay after a failed watch.
	watchRetryPause = 200 * time.Millisecond
)

// notifier notifies requests in progress of changes to their jobs. It watches the
// store only while there are subscribers.
type notifier struct {
	store  table.Store
	ctx    context.Context //nolint:containedctx // of the watch, which outlives calls
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	subscribers map[string]map[chan struct{}]struct{} // by job ID
	watching    bool
}

func newNotifier(store table.Store) *notifier {
	ctx, cancel := context.WithCancel(context.Background())
	return &notifier{store: store, ctx: ctx, cancel: cancel, subscribers: make(map[string]map[chan struct{}]struct{})}
}

func (n *notifier) close() {
	n.cancel()
	n.wg.Wait()
}

// subscribe returns a channel that receives a value when the job may have changed,
// and a function that cancels the subscription.
func (n *notifier) subscribe(id string) (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.subscribers[id] == nil {
		n.subscribers[id] = make(map[chan struct{}]struct{})
	}
	n.subscribers[id][ch] = struct{}{}
	if !n.watching {
		n.watching = true
		n.wg.Go(n.watch)
	}
	return ch, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.subscribers[id], ch)
		if len(n.subscribers[id]) == 0 {
			delete(n.subscribers, id)
		}
	}
}

// stopIfIdle reports whether the watch must end because there are no subscribers or
// the notifier is closed. If so, the next subscription starts a new watch.
func (n *notifier) stopIfIdle() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.subscribers) > 0 && n.ctx.Err() == nil {
		return false
	}
	n.watching = false
	return true
}

// watch notifies subscribers of changes to the progress table until stopIfIdle
// returns true.
func (n *notifier) watch() {
	ctx := n.ctx
	var version uint64
	for !n.stopIfIdle() {
		if version == 0 {
			// An empty range: only the version in the reply matters.
			if p, err := n.store.Read(ctx, table.Range{Table: job.TableProgress, From: "-", To: "-", Limit: 1}); err == nil {
				version = p.Version
			}
			// The watch does not return changes up to this version, so subscribers
			// must read their jobs again.
			n.notifyAll()
		}
		c, err := n.store.Watch(ctx, job.TableProgress, version, watchTimeout)
		if err != nil || version == 0 {
			version = 0
			pause.For(ctx, watchRetryPause)
			continue
		}
		version = c.Version
		for _, r := range c.Rows {
			id, _, _ := strings.Cut(r.Key, "/")
			n.notify(id)
		}
		if len(c.Rows) == 0 {
			n.notifyAll()
		}
	}
}

func (n *notifier) notify(id string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.notifyLocked(id)
}

func (n *notifier) notifyAll() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id := range n.subscribers {
		n.notifyLocked(id)
	}
}

func (n *notifier) notifyLocked(id string) {
	for ch := range n.subscribers[id] {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
