package executor

import (
	"context"
	"time"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/attempts"
)

// OpenSession implements targetrpc.DRPCTargetServer.
func (e *Executor) OpenSession(_ context.Context, r *targetrpc.OpenSessionRequest) (*targetrpc.OpenSessionReply, error) {
	e.learn(r.GetGeneration(), r.GetEntry())
	s := e.table.OpenSession(r.GetEntry(), r.GetEntryIncarnation())
	e.log.Debug().Int(eventField, EventSessionOpened).Str("Entry", r.GetEntry()).Msg("session opened")
	return &targetrpc.OpenSessionReply{
		Session:      s,
		Incarnation:  e.incarnation,
		ExpiryMillis: uint64(SessionExpiry / time.Millisecond),
		Generation:   e.cfg.Generation(),
		Target:       e.cfg.Name,
		Leaving:      e.table.Leaving(),
		UptimeMillis: uint64(e.uptime() / time.Millisecond),
	}, nil
}

// Ping implements targetrpc.DRPCTargetServer.
func (e *Executor) Ping(_ context.Context, r *targetrpc.PingRequest) (*targetrpc.PingReply, error) {
	e.learn(r.GetGeneration(), e.table.SessionEntry(r.GetSession()))
	return &targetrpc.PingReply{
		Expired:    !e.table.Ping(r.GetSession()),
		Leaving:    e.table.Leaving(),
		Generation: e.cfg.Generation(),

		UptimeMillis: uint64(e.uptime() / time.Millisecond),
	}, nil
}

// uptime returns the time since the start of the process on the monotonic clock.
func (e *Executor) uptime() time.Duration { return time.Since(e.started) }

// learn notes the generation of a peer. Learn is called for each message from a
// peer that is ahead, so that a fetch that failed is tried again.
func (e *Executor) learn(generation uint64, from string) {
	for {
		seen := e.highest.Load()
		if generation <= seen || e.highest.CompareAndSwap(seen, generation) {
			break
		}
	}
	if generation > e.cfg.Generation() {
		e.cfg.Learn(generation, from)
	}
}

// checkSender returns the code with which an effect must be refused because of
// the configuration of its sender or of this process, or CodeNone.
func (e *Executor) checkSender(generation uint64, session uint64) (attempts.Code, string) {
	e.learn(generation, e.table.SessionEntry(session))
	if !e.cfg.Ready() {
		return attempts.CodeNotReady, "the target has not learned its configuration"
	}
	if highest := max(e.highest.Load(), e.cfg.Generation()); generation < highest {
		e.log.Info().Int(eventField, EventGenerationRefused).Uint64("Generation", generation).
			Uint64("Highest", highest).Msg("sender's configuration is too old")
		return attempts.CodeGeneration, "the sender's configuration is older than the target's"
	}
	return attempts.CodeNone, ""
}
