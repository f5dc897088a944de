package executor

import (
	"context"
	"time"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/attempts"
)

// pulseLoop reports to the hub until the hub has ended the gang or ctx ends.
func (m *member) pulseLoop(ctx context.Context) {
	atOnce := false // ask the hub for an immediate reply
	for ctx.Err() == nil {
		pctx, cancel := context.WithTimeout(ctx, pulseTimeout)
		m.mu.Lock()
		m.interrupt = cancel
		state, part, reason, seen := m.state, m.part, m.reason, m.verdict
		m.mu.Unlock()
		if state == attempts.MemberHeld && !m.e.table.Shown(m.spec.ID) {
			// The attempt was refused here. Its owner reports the loss.
			cancel()
			sleep(ctx, retryPause)
			continue
		}
		sent := time.Now()
		reply, err := m.pulse(pctx, state, part, reason, seen, atOnce)
		interrupted := pctx.Err() != nil && time.Since(sent) < pulseTimeout
		cancel()
		if err != nil {
			// The hub replies at once if the verdict that the member has seen is
			// not its own. Without this, the reply to the next pulse could come
			// too late for the gang lease.
			atOnce = true
			if !interrupted {
				sleep(ctx, retryPause)
			}
			continue
		}
		atOnce = false
		if m.take(reply, sent) {
			return
		}
		if time.Since(sent) < retryPause/5 && attempts.Verdict(reply.GetVerdict()) == seen {
			sleep(ctx, retryPause/5) // Bounds the rate against a hub that does not poll.
		}
	}
}

// take applies a reply of the hub and reports whether the gang has ended.
func (m *member) take(reply *targetrpc.PulseReply, sent time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	// Stop is final: a reply that was overtaken must not take it back.
	if m.verdict != attempts.StopGang {
		m.verdict = attempts.Verdict(reply.GetVerdict())
	}
	m.ended = m.ended || reply.GetEnded()
	if until := sent.Add(GangLease); until.After(m.until) {
		m.until = until
	}
	select {
	case m.news <- struct{}{}:
	default:
	}
	return m.ended
}

// pulse sends one report to the hub. The hub's own member calls it directly.
func (m *member) pulse(
	ctx context.Context, state attempts.MemberState, part attempts.Part, reason string, seen attempts.Verdict, atOnce bool,
) (*targetrpc.PulseReply, error) {
	e := m.e
	hub := m.spec.Members[m.spec.Hub]
	if atOnce {
		seen = attempts.StopGang
	}
	req := &targetrpc.PulseRequest{
		Attempt:           idMessage(m.spec.ID),
		HubIncarnation:    hub.Incarnation,
		Index:             uint32(m.spec.Index),
		MemberIncarnation: e.incarnation,
		State:             memberStates[state],
		Seen:              targetrpc.Verdict(seen),
		Generation:        e.cfg.Generation(),
	}
	switch state {
	case attempts.MemberDone:
		req.Part = partMessage(part)
	case attempts.MemberLost:
		req.Reason = reason
	}
	if m.spec.IsHub() {
		return e.Pulse(ctx, req)
	}
	client, err := e.cfg.Hubs.Hub(ctx, hub.Address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Pulse(ctx, req)
	if err != nil {
		return nil, err
	}
	e.learn(reply.GetGeneration(), hub.Address)
	return reply, nil
}

// tell reports to the hub that the member was never launched. The hub would find
// out at the release, so a few tries suffice.
func (m *member) tell(ctx context.Context, reason string) {
	for range 3 {
		pctx, cancel := context.WithTimeout(ctx, pulseTimeout)
		_, err := m.pulse(pctx, attempts.MemberLost, attempts.Part{}, reason, attempts.Wait, true)
		cancel()
		if err == nil || !sleep(ctx, retryPause) {
			return
		}
	}
}
