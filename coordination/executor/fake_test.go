package executor

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc"

	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

var errCut = errors.New("no connection")

// fakeTask is a task on a fakeWorker.
type fakeTask struct {
	released time.Time // zero while held
	lease    time.Time
	result   *Result
	endedAt  time.Time
}

// fakeWorker runs tasks that take runTime and enforces their leases.
type fakeWorker struct {
	mu        sync.Mutex
	runTime   time.Duration
	fail      bool  // tasks end with an error of their own
	refuse    bool  // Launch refuses
	loseReply bool  // Launch takes the task but its answer is lost
	stopErr   error // Stop fails
	launches  int
	saved     int // checkpoints
	tasks     map[string]*fakeTask
}

// set changes the behaviour of a worker that is in use.
func (w *fakeWorker) set(f func(*fakeWorker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

func (w *fakeWorker) Launch(ctx context.Context, l Launch) (*Result, error) {
	w.mu.Lock()
	lose := w.loseReply
	if w.refuse {
		w.mu.Unlock()
		return nil, &RefusedError{Reason: "full"}
	}
	w.launches++
	t := &fakeTask{lease: time.Now().Add(l.Lease)}
	w.tasks[l.ID] = t
	if !l.Held {
		t.released = time.Now()
	}
	w.mu.Unlock()
	if lose {
		return nil, errCut
	}
	return w.Wait(ctx, l.ID, l.Wait)
}

// stepLocked applies what has happened to a task until now.
func (w *fakeWorker) stepLocked(t *fakeTask) {
	if t.result != nil {
		return
	}
	now := time.Now()
	if end := t.released.Add(w.runTime); !t.released.IsZero() && w.runTime > 0 && !now.Before(end) && !t.lease.Before(end) {
		t.endLocked(&Result{Body: []byte("done"), Failed: w.fail, Error: map[bool]string{true: "bad input"}[w.fail]}, end)
	} else if !now.Before(t.lease) {
		t.endLocked(&Result{Stopped: true, Error: "lease lapsed"}, t.lease)
	}
}

func (t *fakeTask) endLocked(r *Result, at time.Time) {
	t.result, t.endedAt = r, at
}

func (w *fakeWorker) Wait(ctx context.Context, id string, wait time.Duration) (*Result, error) {
	for deadline := time.Now().Add(wait); ; {
		var res *Result
		err := w.with(id, func(*fakeTask) {}, func(t *fakeTask) { res = t.result })
		if err != nil || res != nil || !time.Now().Before(deadline) {
			return res, err
		}
		if !sleep(ctx, 10*time.Millisecond) {
			return nil, ctx.Err()
		}
	}
}

// with calls the first of do on a task that has not ended, the second on others.
func (w *fakeWorker) with(id string, do ...func(*fakeTask)) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[id]
	if !ok {
		return ErrUnknownTask
	}
	if w.stepLocked(t); t.result == nil {
		do[0](t)
	} else if len(do) > 1 {
		do[1](t)
	}
	return nil
}

func (w *fakeWorker) Release(_ context.Context, id string) error {
	return w.with(id, func(t *fakeTask) { t.released = time.Now() })
}

func (w *fakeWorker) Checkpoint(_ context.Context, id string) error {
	return w.with(id, func(*fakeTask) { w.saved++ })
}

func (w *fakeWorker) Throttle(_ context.Context, id string) error {
	return w.with(id, func(*fakeTask) {})
}

func (w *fakeWorker) Stop(_ context.Context, id string) error {
	var err error
	w.set(func(w *fakeWorker) { err = w.stopErr })
	if err != nil {
		return err
	}
	return w.with(id, func(t *fakeTask) { t.endLocked(&Result{Stopped: true, Error: "stopped"}, time.Now()) })
}

func (w *fakeWorker) Renew(_ context.Context, ids []string, lease time.Duration) ([]string, error) {
	var lost []string
	for _, id := range ids {
		renewed := false
		_ = w.with(id, func(t *fakeTask) { t.lease, renewed = time.Now().Add(lease), true })
		if !renewed {
			lost = append(lost, id)
		}
	}
	return lost, nil
}

func (w *fakeWorker) Usage(context.Context) (Usage, error) { return Usage{LoadPercent: 7}, nil }

// ran returns when user code of a task began and ended; zero if it did not.
func (w *fakeWorker) ran(id string) (began, ended time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	t, ok := w.tasks[id]
	if !ok || t.released.IsZero() {
		return
	}
	w.stepLocked(t)
	return t.released, t.endedAt
}

// fakeNet connects executors and entries within the process. An address in cut
// has no connection: calls hang until their context ends.
type fakeNet struct {
	targets sync.Map                                                                  // *Executor by address
	cut     sync.Map                                                                  // bool by address
	onPulse func(ctx context.Context, from string, reply *targetrpc.PulseReply) error // may lose a reply
	reply   atomic.Pointer[entryrpc.HeartbeatReply]                                   // of all entries
	mu      sync.Mutex
	beats   map[string][]*entryrpc.HeartbeatRequest
}

// takeBeats returns the heartbeats to an entry since the last call.
func (n *fakeNet) takeBeats(entry string) []*entryrpc.HeartbeatRequest {
	n.mu.Lock()
	defer n.mu.Unlock()
	defer delete(n.beats, entry)
	return n.beats[entry]
}

func (n *fakeNet) setCut(address string, cut bool) { n.cut.Store(address, cut) }

func (n *fakeNet) isCut(address string) bool {
	cut, _ := n.cut.Load(address)
	return cut == true
}

// link is the view that one target has of a fakeNet.
type link struct {
	*fakeNet
	from string
}

func (l link) Hub(_ context.Context, address string) (targetrpc.DRPCTargetClient, error) {
	e, _ := l.targets.Load(address)
	return directClient{Executor: e.(*Executor), link: l, to: address}, nil
}

func (l link) Entry(_ context.Context, address string) (entryrpc.DRPCEntryClient, error) {
	return fakeEntry{link: l, address: address}, nil
}

// directClient calls an Executor without a connection.
type directClient struct {
	*Executor
	link link
	to   string
}

func (directClient) DRPCConn() drpc.Conn { return nil }

func (c directClient) Pulse(ctx context.Context, r *targetrpc.PulseRequest) (*targetrpc.PulseReply, error) {
	var reply *targetrpc.PulseReply
	var err error
	cut := func() bool { return c.link.isCut(c.link.from) || c.link.isCut(c.to) }
	if !cut() {
		reply, err = c.Executor.Pulse(ctx, r)
		if err == nil && c.link.onPulse != nil {
			err = c.link.onPulse(ctx, c.link.from, reply)
		}
	}
	if cut() {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return reply, err
}

// fakeEntry is an entry of which only Heartbeat is called.
type fakeEntry struct {
	entryrpc.DRPCEntryClient
	link    link
	address string
}

func (f fakeEntry) Heartbeat(_ context.Context, r *entryrpc.HeartbeatRequest) (*entryrpc.HeartbeatReply, error) {
	if f.link.isCut(f.address) || f.link.isCut(f.link.from) {
		return nil, errCut
	}
	f.link.mu.Lock()
	defer f.link.mu.Unlock()
	f.link.beats[f.address] = append(f.link.beats[f.address], r)
	n := f.link.reply.Load()
	return &entryrpc.HeartbeatReply{Sequence: r.GetSequence(), NeedFull: n.GetNeedFull(), Entries: n.GetEntries()}, nil
}
