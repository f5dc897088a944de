package scheduler

import (
	"context"
	"time"

	"github.com/medlargrade/medlargrade/coordination/guarantee"
	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
)

const (
	// checkpointGrace is the time that a victim has for its checkpoint.
	checkpointGrace = 3 * time.Second
	// reclaimTimeout is the reclaim bound for targets that can be reached.
	reclaimTimeout = 5 * time.Second
)

// startReclaim preempts the victims in the background and then grants the place.
// If a target does not preempt as asked, the attempt is refused there and the
// job is planned again.
func (p *planner) startReclaim(w *waiter, where place, v guarantee.Victims) {
	p.s.log.Info().Int("Event", EventReclaim).Str("Job", w.run.job.ID()).
		Str("Workspace", w.run.spec.request.Workspace).Int("Slots", v.Slots).Strs("Targets", where.targets()).Send()
	p.s.background(func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, reclaimTimeout)
		defer cancel()
		parallel(len(v.ByHub), func(i int) {
			if err := p.preempt(ctx, w, v.ByHub[i]); err != nil {
				p.s.log.Warn().Int("Event", EventReclaimFailed).Str("Target", v.ByHub[i].Hub.Target).Err(err).Send()
			}
		})
		w.granted <- where
	})
}

func (p *planner) preempt(ctx context.Context, w *waiter, h guarantee.HubVictims) error {
	s, err := p.s.peers.Targets.Session(ctx, h.Hub.Address)
	if err != nil {
		return outcome.Step("preempt", h.Hub.Target, err)
	}
	req := &targetrpc.PreemptRequest{
		Session:     s.ID,
		Incarnation: h.Hub.Incarnation,
		Claimant:    w.run.spec.request.Workspace,
		Claim:       &targetrpc.AttemptID{Job: w.run.job.ID(), Number: w.number},
		GraceMillis: toMillis(checkpointGrace),
		Generation:  p.s.generation(),
	}
	for _, a := range h.Attempts {
		req.Attempts = append(req.Attempts, &targetrpc.AttemptID{Job: a.Job, Number: a.Number})
	}
	reply, err := s.Client.Preempt(ctx, req)
	if err != nil {
		return outcome.Step("preempt", h.Hub.Target, err)
	}
	if r := reply.GetRefusal(); r.GetCode() != targetrpc.RefusalCode_REFUSAL_NONE {
		return outcome.Step("preempt", h.Hub.Target, &refusalError{refusal: r})
	}
	return nil
}

// refusalError is a refusal of a target as an error.
type refusalError struct {
	refusal *targetrpc.Refusal
}

func (e *refusalError) Error() string {
	return "refused: " + e.refusal.GetCode().String() + " " + e.refusal.GetReason()
}
