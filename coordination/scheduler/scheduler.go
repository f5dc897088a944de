package scheduler

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/jobs"
	"github.com/medlargrade/medlargrade/state/rows"
)

const (
	// maxGang is the largest number of tasks of one job.
	maxGang = 64
	// sweepPeriod is how often ended jobs are dropped and orphans looked for.
	sweepPeriod = 3 * time.Second
)

// Settings are the fixed properties of an entry.
type Settings struct {
	Entry       string // name, unique over all entries
	Incarnation uint64 // drawn at random at each start
}

// Scheduler is the core of an entry. Its methods are safe for concurrent use.
type Scheduler struct {
	set   Settings
	peers Peers
	log   zerolog.Logger
	meter *meter

	rec     *recorder
	jobs    *jobs.Table
	plan    *planner
	cancels *cancelBatcher
	janitor *janitor

	requests requests // that callers wait for
	// recording counts the ended jobs whose rows are not written yet.
	recording atomic.Int64
	leaving   chan struct{} // closed shortly before the end of the drain time
	leave     sync.Once

	// Goroutines end with life, which Close ends.
	life   context.Context
	end    context.CancelFunc
	mu     sync.Mutex // guards closed and the start of goroutines against Close
	closed bool
	tasks  sync.WaitGroup
}

// New returns a scheduler. Run must be called for it to plan anything.
func New(set Settings, peers Peers, log zerolog.Logger, reg *metrics.Set) *Scheduler {
	life, end := context.WithCancel(context.Background())
	s := &Scheduler{
		set:     set,
		peers:   peers,
		log:     log,
		rec:     &recorder{store: peers.Store, entry: set.Entry},
		jobs:    jobs.NewTable(resultRetention),
		leaving: make(chan struct{}),
		life:    life,
		end:     end,
	}
	s.plan = newPlanner(s)
	s.meter = newMeter(reg, s)
	s.cancels = newCancelBatcher(s)
	s.janitor = newJanitor(peers.Store)
	return s
}

// Run plans waiting work, drops ended jobs and adopts those of silent entries
// until ctx ends, then ends all work and waits for it.
func (s *Scheduler) Run(ctx context.Context) {
	s.background(s.plan.run)
	s.background(s.retain)
	t := time.NewTicker(sweepPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			s.jobs.Sweep(time.Now())
			s.adoptOrphans(ctx)
		case <-ctx.Done():
			s.Close()
			return
		}
	}
}

// retain removes the rows of jobs that ended long ago until ctx ends.
func (s *Scheduler) retain(ctx context.Context) {
	t := time.NewTicker(retentionPeriod)
	defer t.Stop()
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
		removed, err := s.janitor.sweep(ctx)
		if removed > 0 || err != nil {
			s.log.Info().Int("Event", EventRowsRemoved).Int("Jobs", removed).Err(err).Send()
		}
	}
}

// Close ends all work and waits for its goroutines. Attempts that run go on at
// their targets; recorded jobs are taken over by another entry.
func (s *Scheduler) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.end()
	s.tasks.Wait()
}

// start runs a job in the background.
func (s *Scheduler) start(r *run) {
	s.background(r.execute)
}

// background runs f with a context that ends with the scheduler. f must return
// when the context ends. After Close it runs in the caller's goroutine, with the
// ended context, so that whoever waits for what f does is not left waiting.
func (s *Scheduler) background(f func(ctx context.Context)) {
	s.mu.Lock()
	closed := s.closed
	if !closed {
		s.tasks.Go(func() { f(s.life) })
	}
	s.mu.Unlock()
	if closed {
		s.end()
		f(s.life)
	}
}

func (s *Scheduler) sleep(d time.Duration) bool { return sleep(s.life, d) }

func (s *Scheduler) generation() uint64 {
	return s.peers.Config.Current().Generation
}

// resolveAgain resolves the request of a job that was accepted earlier. The
// refusal is set if the configuration no longer allows new attempts; the spec
// is then good enough to settle an attempt that may be running.
func (s *Scheduler) resolveAgain(r Request) (spec, *outcome.NotRun) {
	sp, refusal := resolve(r, s.peers.Config.Current().Config)
	if refusal != nil {
		sp = spec{request: r, shape: r.shape(), class: operator.ClassLong}
		refusal.Reason = outcome.ReasonConfigChanged
	}
	return sp, refusal
}

// await asks a hub for the end of an attempt.
func (s *Scheduler) await(ctx context.Context, id *targetrpc.AttemptID, address string, incarnation uint64, wait time.Duration) (*targetrpc.AttemptReply, error) {
	ctx, cancel := context.WithTimeout(ctx, wait+startTimeout)
	defer cancel()
	c, err := s.peers.Targets.Client(ctx, address)
	if err != nil {
		return nil, outcome.Step("await", address, err)
	}
	reply, err := c.Await(ctx, &targetrpc.AwaitRequest{
		Attempt: id, Incarnation: incarnation, WaitMillis: toMillis(wait), Generation: s.generation(),
	})
	return checked(id, reply, outcome.Step("await", address, err))
}

// fence forbids an attempt that its hub has not released.
func (s *Scheduler) fence(id *targetrpc.AttemptID, hub Session, uptime time.Duration) (*targetrpc.AttemptReply, error) {
	ctx, cancel := context.WithTimeout(s.life, fenceTimeout)
	defer cancel()
	c, err := s.peers.Targets.Client(ctx, hub.Address)
	if err != nil {
		return nil, outcome.Step("fence", hub.Address, err)
	}
	reply, err := c.Fence(ctx, &targetrpc.FenceRequest{
		Attempt: id, Incarnation: hub.Incarnation, Generation: s.generation(), SentAfterMillis: toMillis(uptime),
	})
	return checked(id, reply, outcome.Step("fence", hub.Address, err))
}

func checked(id *targetrpc.AttemptID, reply *targetrpc.AttemptReply, err error) (*targetrpc.AttemptReply, error) {
	if err != nil {
		return nil, err
	}
	if err := checkReply(id, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// checkReply rejects a reply that belongs to another attempt or whose answer is
// not whole.
func checkReply(id *targetrpc.AttemptID, reply *targetrpc.AttemptReply) error {
	got := reply.GetAttempt()
	if got.GetJob() != id.GetJob() || got.GetNumber() != id.GetNumber() {
		return fmt.Errorf("reply is for attempt %s/%d, not %s/%d", got.GetJob(), got.GetNumber(), id.GetJob(), id.GetNumber())
	}
	return targetrpc.Verify(reply)
}

// storeAnswer moves an answer that is too large for a row into an object.
func (s *Scheduler) storeAnswer(ctx context.Context, final rows.Job) (rows.Job, error) {
	size := 0
	for _, p := range final.Parts {
		size += len(p)
	}
	if size <= inlineAnswerLimit {
		return final, nil
	}
	body, err := rows.Encode(final.Parts)
	if err != nil {
		return final, err
	}
	key := rows.AnswerKey(final.ID, final.Attempt)
	for wait := firstBackoff; ; wait = min(2*wait, lastBackoff) {
		err := s.peers.Store.WriteObject(ctx, key, body)
		if err == nil {
			final.Parts = nil
			final.AnswerKey = key
			return final, nil
		}
		if !sleep(ctx, wait) {
			return final, outcome.Step("write answer", "store", err)
		}
	}
}

// loadAnswer fetches an answer that is kept in an object.
func (s *Scheduler) loadAnswer(ctx context.Context, final rows.Job) (rows.Job, error) {
	if final.AnswerKey == "" {
		return final, nil
	}
	body, err := s.peers.Store.ReadObject(ctx, final.AnswerKey)
	if err != nil {
		return final, outcome.Step("read answer", "store", err)
	}
	if err := rows.Decode(rows.Row{Key: final.AnswerKey, Value: body}, &final.Parts); err != nil {
		return final, err
	}
	return final, nil
}
