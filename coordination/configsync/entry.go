package configsync

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/state/rows"
)

const (
	// PollPeriod is the time between an entry's reads of the head row.
	PollPeriod = time.Second
	// headTimeout bounds one read of the head row, so that a store that doesn't
	// respond delays the next read by no more than that.
	headTimeout = 2 * time.Second
	// contentTimeout bounds reading the changes or the snapshot, which may be
	// some hundred kilobytes.
	contentTimeout = 5 * time.Second
	// maxReadChanges is the gap up to which an entry reads changes rather than
	// the snapshot.
	maxReadChanges = 64
)

// ErrNotReady reports a process that hasn't learned the accepted configuration
// since its start.
var ErrNotReady = errors.New("configuration not learned yet")

// ErrStopped reports a synchronization that has ended.
var ErrStopped = errors.New("configuration synchronization stopped")

// EntrySync keeps an entry's Holder up to date with the store and serves
// targets. All reads of the store happen in Run, so callers of Fresh that
// arrive together share one read.
type EntrySync struct {
	store  rows.Store
	holder *Holder
	log    zerolog.Logger

	fresh   chan chan error // callers of Fresh
	hint    chan struct{}   // asks for a poll before its time
	ready   chan struct{}   // closed after the first complete refresh
	stopped chan struct{}   // closed when Run ends

	failing bool // owned by Run: the last refresh failed
	behind  bool // owned by Run: the head was lower at the last refresh
}

// NewEntrySync returns a synchronization that does nothing until Run is called.
func NewEntrySync(store rows.Store, holder *Holder, log zerolog.Logger) *EntrySync {
	return &EntrySync{
		store:   store,
		holder:  holder,
		log:     log,
		fresh:   make(chan chan error),
		hint:    make(chan struct{}, 1),
		ready:   make(chan struct{}),
		stopped: make(chan struct{}),
	}
}

// Run polls the head row until the context ends. It must be called once.
func (s *EntrySync) Run(ctx context.Context) {
	defer close(s.stopped)
	ticker := time.NewTicker(PollPeriod)
	defer ticker.Stop()
	var waiting []chan error
	for ctx.Err() == nil {
		// Only callers that are here before the read begins share its result.
		for more := true; more; {
			select {
			case w := <-s.fresh:
				waiting = append(waiting, w)
			default:
				more = false
			}
		}
		err := s.refresh(ctx)
		s.report(err)
		for _, w := range waiting {
			w <- err
		}
		waiting = nil
		select {
		case <-ctx.Done():
		case <-ticker.C:
		case <-s.hint:
		case w := <-s.fresh:
			waiting = append(waiting, w)
		}
	}
	for _, w := range waiting {
		w <- ErrStopped
	}
}

// IsReady reports whether the head row has been read, and its generation
// reached, since Run was called.
func (s *EntrySync) IsReady() bool { return isClosed(s.ready) }

// WaitReady waits until IsReady.
func (s *EntrySync) WaitReady(ctx context.Context) error { return waitReady(ctx, s.ready, s.stopped) }

// Fresh reads the head row after the call began and brings the holder up to it.
func (s *EntrySync) Fresh(ctx context.Context) error {
	w := make(chan error, 1)
	select {
	case s.fresh <- w:
	case <-s.stopped:
		return ErrStopped
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-w:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Learn polls the head row at once if the generation, seen in any message, is
// higher than the one that the entry holds.
func (s *EntrySync) Learn(generation uint64) {
	if generation > s.holder.Generation() {
		signal(s.hint)
	}
}

// FetchConfig serves a target: the changes after the generation that the target
// holds, or the whole configuration.
func (s *EntrySync) FetchConfig(ctx context.Context, req *entryrpc.FetchConfigRequest) (*entryrpc.FetchConfigReply, error) {
	if req.GetFresh() {
		if err := s.Fresh(ctx); err != nil {
			return nil, fmt.Errorf("fresh configuration: %w", err)
		}
	} else if !s.IsReady() {
		return nil, ErrNotReady
	}
	s.Learn(req.GetAfter())
	if req.GetAfter() > 0 {
		if generation, changes, ok := s.holder.Since(req.GetAfter()); ok {
			reply := &entryrpc.FetchConfigReply{Generation: generation}
			for _, c := range changes {
				reply.Changes = append(reply.Changes, &entryrpc.Change{Generation: c.Generation, Body: c.Body})
			}
			return reply, nil
		}
	}
	current := s.holder.Current()
	reply := &entryrpc.FetchConfigReply{Generation: current.Generation}
	if current.Generation > 0 {
		reply.Snapshot = current.Config.JSON()
	}
	return reply, nil
}

// refresh reads the head row and brings the holder up to it.
func (s *EntrySync) refresh(ctx context.Context) error {
	headCtx, cancel := context.WithTimeout(ctx, headTimeout)
	defer cancel()
	head, _, err := readHead(headCtx, s.store)
	if err != nil {
		return err
	}
	held := s.holder.Generation()
	if head.Generation < held {
		if !s.behind {
			s.log.Error().Int("Event", EventHeadBehind).Uint64("Generation", held).Uint64("Head", head.Generation).
				Msg("head row names a lower generation; keeping the higher one")
		}
		s.behind = true
		return nil
	}
	s.behind = false
	if head.Generation == held {
		return nil
	}
	contentCtx, cancel := context.WithTimeout(ctx, contentTimeout)
	defer cancel()
	if held > 0 && head.Generation-held <= maxReadChanges {
		err := s.advanceByChanges(contentCtx, held, head.Generation)
		if err == nil {
			return nil
		}
		s.log.Warn().Int("Event", EventChangesUnusable).Uint64("Generation", held).Uint64("Head", head.Generation).Err(err).
			Msg("changes unusable; reading the whole configuration")
	}
	snapshot, err := readSnapshot(contentCtx, s.store, head.Generation, head.SnapshotKey)
	if err != nil {
		return err
	}
	if s.holder.Advance(snapshot) {
		s.logAdvance(snapshot.Generation)
	}
	return nil
}

func (s *EntrySync) advanceByChanges(ctx context.Context, held, head uint64) error {
	changes, err := readChanges(ctx, s.store, held, head)
	if err != nil {
		return err
	}
	if err := s.holder.AdvanceBy(changes); err != nil {
		return err
	}
	reached := s.holder.Generation()
	if reached < head {
		return fmt.Errorf("change row %d is missing", reached+1)
	}
	s.logAdvance(reached)
	return nil
}

func (s *EntrySync) logAdvance(generation uint64) {
	s.log.Info().Int("Event", EventConfigAdvanced).Uint64("Generation", generation).Msg("configuration advanced")
}

// report logs the start and the end of an outage and the first success.
func (s *EntrySync) report(err error) {
	switch {
	case err != nil && !s.failing:
		s.log.Warn().Int("Event", EventHeadUnreadable).Uint64("Generation", s.holder.Generation()).Err(err).
			Msg("configuration unreadable; keeping the generation held")
	case err == nil && s.failing:
		s.log.Info().Int("Event", EventHeadReadable).Uint64("Generation", s.holder.Generation()).Msg("configuration readable again")
	}
	s.failing = err != nil
	if err == nil && !s.IsReady() {
		close(s.ready)
		s.log.Info().Int("Event", EventConfigReady).Uint64("Generation", s.holder.Generation()).Msg("configuration learned")
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func waitReady(ctx context.Context, ready, stopped <-chan struct{}) error {
	select {
	case <-ready:
		return nil
	case <-stopped:
		return ErrStopped
	case <-ctx.Done():
		return fmt.Errorf("%w: %w", ErrNotReady, ctx.Err())
	}
}

// signal sends to a channel of capacity 1 unless a signal is pending.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
