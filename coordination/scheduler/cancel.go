package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

const (
	// cancelDelay collects the cancellations of a wave into one message per
	// target.
	cancelDelay = 5 * time.Millisecond
	// cancelBatch is the largest number of attempts in one message.
	cancelBatch = 256
)

// cancelBatcher sends cancellations to targets in batches.
type cancelBatcher struct {
	s *Scheduler

	mu      sync.Mutex
	waiting map[targetProcess][]*pendingCancel
}

// targetProcess is one incarnation of a target process.
type targetProcess struct {
	address     string
	incarnation uint64
}

type pendingCancel struct {
	id    *targetrpc.AttemptID
	done  chan struct{}
	reply *targetrpc.AttemptReply
	err   error
}

func newCancelBatcher(s *Scheduler) *cancelBatcher {
	return &cancelBatcher{s: s, waiting: make(map[targetProcess][]*pendingCancel)}
}

// cancelAttempt stops an attempt and returns what its target then knows of it.
func (s *Scheduler) cancelAttempt(id *targetrpc.AttemptID, address string, incarnation uint64) (*targetrpc.AttemptReply, error) {
	c := s.cancels.add(targetProcess{address: address, incarnation: incarnation}, id)
	select {
	case <-c.done:
		return checked(id, c.reply, c.err)
	case <-s.life.Done():
		return nil, outcome.Step("cancel", address, s.life.Err())
	}
}

func (b *cancelBatcher) add(to targetProcess, id *targetrpc.AttemptID) *pendingCancel {
	c := &pendingCancel{id: id, done: make(chan struct{})}
	b.mu.Lock()
	b.waiting[to] = append(b.waiting[to], c)
	first := len(b.waiting[to]) == 1
	b.mu.Unlock()
	if first {
		b.s.background(func(ctx context.Context) {
			sleep(ctx, cancelDelay)
			b.flush(ctx, to)
		})
	}
	return c
}

func (b *cancelBatcher) flush(ctx context.Context, to targetProcess) {
	b.mu.Lock()
	batch := b.waiting[to]
	delete(b.waiting, to)
	b.mu.Unlock()
	for len(batch) > 0 {
		n := min(len(batch), cancelBatch)
		b.send(ctx, to, batch[:n])
		batch = batch[n:]
	}
}

func (b *cancelBatcher) send(ctx context.Context, to targetProcess, batch []*pendingCancel) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	ids := make([]*targetrpc.AttemptID, len(batch))
	for i, c := range batch {
		ids[i] = c.id
	}
	reply, err := b.call(ctx, to, ids)
	for i, c := range batch {
		c.err = outcome.Step("cancel", to.address, err)
		if err == nil {
			c.reply = reply.GetAttempts()[i]
		}
		close(c.done)
	}
}

func (b *cancelBatcher) call(ctx context.Context, to targetProcess, ids []*targetrpc.AttemptID) (*targetrpc.CancelReply, error) {
	client, err := b.s.peers.Targets.Client(ctx, to.address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Cancel(ctx, &targetrpc.CancelRequest{
		Attempts: ids, Incarnation: to.incarnation, Generation: b.s.generation(),
	})
	if err != nil {
		return nil, err
	}
	if len(reply.GetAttempts()) != len(ids) {
		return nil, errShortReply
	}
	return reply, nil
}
