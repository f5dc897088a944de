package configsync

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/protocol/entryrpc"
)

const (
	// fetchTimeout bounds one fetch, so that a silent connection doesn't stop
	// the synchronization.
	fetchTimeout = 2 * time.Second
	// freshTimeout bounds one fresh fetch, which may wait for two reads of the
	// head row (2 s each) at the entry.
	freshTimeout = 6 * time.Second
	// parallelFetches is the number of entries that are asked at the same time,
	// so that a few silent ones don't delay a target.
	parallelFetches = 4
	// retryPause is the pause after all entries failed, plus up to as much
	// jitter, which spreads the targets of a restarted data centre.
	retryPause = 500 * time.Millisecond
	// maxFetchRounds bounds the tries for a generation that no entry serves.
	// The next message that names it starts again.
	maxFetchRounds = 5
)

// ClientFunc returns a client for the Entry service at an address. The
// connection belongs to the function's owner.
type ClientFunc func(ctx context.Context, address string) (entryrpc.DRPCEntryClient, error)

// TargetSync keeps a target process's Holder up to date through the entries.
type TargetSync struct {
	holder *Holder
	client ClientFunc
	log    zerolog.Logger

	hint    chan struct{} // something was learned
	ready   chan struct{} // closed after the first fresh fetch
	stopped chan struct{} // closed when Run ends

	mu      sync.Mutex
	entries []string // known addresses
	wanted  uint64   // highest generation learned
	source  string   // address that wanted came from
}

// NewTargetSync returns a synchronization that does nothing until Run is called.
func NewTargetSync(holder *Holder, client ClientFunc, log zerolog.Logger) *TargetSync {
	return &TargetSync{
		holder:  holder,
		client:  client,
		log:     log,
		hint:    make(chan struct{}, 1),
		ready:   make(chan struct{}),
		stopped: make(chan struct{}),
	}
}

// SetEntries replaces the addresses of the entries, which come from the settings
// and from heartbeat replies.
func (s *TargetSync) SetEntries(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.entries = slices.Clone(addresses)
}

// Learn tells of a generation seen in a message from the entry at the address.
// It doesn't block.
func (s *TargetSync) Learn(generation uint64, address string) {
	if generation <= s.holder.Generation() {
		return
	}
	s.mu.Lock()
	if generation > s.wanted {
		s.wanted, s.source = generation, address
	}
	s.mu.Unlock()
	signal(s.hint)
}

// IsReady reports whether an entry has read the head row for this process since
// Run was called.
func (s *TargetSync) IsReady() bool { return isClosed(s.ready) }

// WaitReady waits until IsReady.
func (s *TargetSync) WaitReady(ctx context.Context) error { return waitReady(ctx, s.ready, s.stopped) }

// Run learns the accepted configuration and then follows it until the context
// ends. It must be called once.
func (s *TargetSync) Run(ctx context.Context) {
	defer close(s.stopped)
	if !s.start(ctx) {
		return
	}
	for {
		s.catchUp(ctx)
		select {
		case <-ctx.Done():
			return
		case <-s.hint:
		}
	}
}

// start asks entries to read the head row until one has done so. It reports
// false if the context ended first.
func (s *TargetSync) start(ctx context.Context) bool {
	for failed := false; ; failed = true {
		if s.fetchFresh(ctx) {
			close(s.ready)
			s.log.Info().Int("Event", EventConfigReady).Uint64("Generation", s.holder.Generation()).Msg("configuration learned")
			return true
		}
		if ctx.Err() != nil {
			return false
		}
		if !failed {
			s.log.Warn().Int("Event", EventNoEntryFresh).Int("Entries", len(s.known(""))).Msg("no entry could read the configuration head; trying again")
		}
		if sleep(ctx, retryPause+rand.N(retryPause)) != nil {
			return false
		}
	}
}

// fetchFresh asks all known entries, a few at a time, until one succeeds.
func (s *TargetSync) fetchFresh(ctx context.Context) bool {
	for group := range slices.Chunk(s.known(""), parallelFetches) {
		if s.fetchAny(ctx, group, true, 0) {
			return true
		}
	}
	return false
}

// catchUp fetches changes until the holder has the highest generation learned:
// first from the entry that named it, then from the others.
func (s *TargetSync) catchUp(ctx context.Context) {
	for range maxFetchRounds {
		s.mu.Lock()
		wanted, source := s.wanted, s.source
		s.mu.Unlock()
		if s.holder.Generation() >= wanted || s.fetchAny(ctx, []string{source}, false, wanted) {
			return
		}
		for group := range slices.Chunk(s.known(source), parallelFetches) {
			if s.fetchAny(ctx, group, false, wanted) {
				return
			}
		}
		if sleep(ctx, retryPause+rand.N(retryPause)) != nil {
			return
		}
	}
}

// fetchAny asks a group of entries at the same time and reports whether one of
// them brought the holder up to the wanted generation, which ends the other
// calls.
func (s *TargetSync) fetchAny(ctx context.Context, group []string, fresh bool, wanted uint64) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan bool, len(group))
	for _, address := range group {
		go func() { results <- s.tryFetch(ctx, address, fresh) && s.holder.Generation() >= wanted }()
	}
	success := false
	for range group { // Waits for every goroutine.
		if <-results {
			success = true
			cancel()
		}
	}
	return success
}

// known returns the known entries but one in random order.
func (s *TargetSync) known(except string) []string {
	s.mu.Lock()
	list := slices.Clone(s.entries)
	s.mu.Unlock()
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return slices.DeleteFunc(list, func(a string) bool { return a == except })
}

// tryFetch fetches from one entry and reports whether that succeeded.
func (s *TargetSync) tryFetch(ctx context.Context, address string, fresh bool) bool {
	timeout := fetchTimeout
	if fresh {
		timeout = freshTimeout
	}
	fetchCtx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	err := s.fetch(fetchCtx, address, fresh)
	if err != nil && ctx.Err() == nil {
		s.log.Debug().Int("Event", EventFetchFailed).Str("Entry", address).Err(err).Msg("fetching the configuration failed")
	}
	return err == nil
}

// fetch brings the holder up to the generation of one entry.
func (s *TargetSync) fetch(ctx context.Context, address string, fresh bool) error {
	client, err := s.client(ctx, address)
	if err != nil {
		return outcome.Step("dial entry", address, err)
	}
	held := s.holder.Generation()
	reply, err := client.FetchConfig(ctx, &entryrpc.FetchConfigRequest{After: held, Fresh: fresh})
	if err != nil {
		return outcome.Step("fetch configuration", address, err)
	}
	err = s.advance(reply)
	if err != nil && held > 0 {
		s.log.Warn().Int("Event", EventChangesUnusable).Str("Entry", address).Uint64("Generation", held).Err(err).
			Msg("changes unusable; fetching the whole configuration")
		if reply, err = client.FetchConfig(ctx, &entryrpc.FetchConfigRequest{}); err == nil {
			err = s.advance(reply)
		}
	}
	return outcome.Step("fetch configuration", address, err)
}

// advance moves the holder to the generation of a reply. A reply with a lower
// generation than the one held changes nothing and is no error.
func (s *TargetSync) advance(reply *entryrpc.FetchConfigReply) error {
	before := s.holder.Generation()
	if reply.GetSnapshot() != nil {
		cfg, err := operator.Parse(reply.GetSnapshot())
		if err != nil {
			return err
		}
		s.holder.Advance(Snapshot{Generation: reply.GetGeneration(), Config: cfg})
	} else {
		changes := make([]Change, 0, len(reply.GetChanges()))
		for _, c := range reply.GetChanges() {
			changes = append(changes, Change{Generation: c.GetGeneration(), Body: c.GetBody()})
		}
		if err := s.holder.AdvanceBy(changes); err != nil {
			return err
		}
	}
	now := s.holder.Generation()
	if now < reply.GetGeneration() {
		return fmt.Errorf("reply for generation %d leads to %d", reply.GetGeneration(), now)
	}
	if now > before {
		s.log.Info().Int("Event", EventConfigAdvanced).Uint64("Generation", now).Msg("configuration advanced")
	}
	return nil
}
