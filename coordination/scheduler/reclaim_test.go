package scheduler

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/targets"
)

// preempted counts the attempts that a scheduler has preempted.
type preempted struct {
	targetrpc.DRPCTargetClient
	attempts atomic.Int64
}

func (p *preempted) Preempt(_ context.Context, in *targetrpc.PreemptRequest) (*targetrpc.PreemptReply, error) {
	p.attempts.Add(int64(len(in.GetAttempts())))
	return &targetrpc.PreemptReply{}, nil
}

func (p *preempted) Session(_ context.Context, address string) (Session, error) {
	return Session{ID: 1, Incarnation: 1, Address: address, Client: p, Live: func() bool { return true }}, nil
}

func (p *preempted) Client(context.Context, string) (targetrpc.DRPCTargetClient, error) {
	return p, nil
}

// Guards against short work that waits for lent work to end by itself, and against
// preemptions that nothing asked for. The target is full of lent fill work.
func TestReclaim(t *testing.T) {
	tests := []struct {
		name      string
		workspace string // roller has an unused guarantee, samples has none left
		kind      string
		declared  time.Duration
		avoid     []string
		want      int64 // preempted attempts
	}{
		{name: "claim", workspace: "roller", kind: "cut-check", declared: time.Second, want: 1},
		{name: "claim that avoids the target", workspace: "roller", kind: "cut-check", declared: time.Second, avoid: []string{"t0"}, want: 0},
		{name: "short beyond the guarantee", workspace: "samples", kind: "cut-check", declared: time.Second, want: 1},
		{name: "very short beyond the guarantee", workspace: "samples", kind: "cut-check", declared: 100 * time.Millisecond, want: 0},
		{name: "fill beyond the guarantee", workspace: "samples", kind: "offcut-renest", declared: time.Hour, want: 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p, _ := newTestPlanner(t, 0)
				defer p.s.Close()
				calls := &preempted{}
				p.s.peers.Targets = calls
				report := testReport(0, 1)
				report.Free = 0
				for i := range 8 {
					report.Tasks = append(report.Tasks, targets.Task{
						Job: fmt.Sprintf("f%d", i), Number: 1, Workspace: "samples", Kind: "offcut-renest",
						Class: string(operator.ClassFill), Slots: 1, Lent: true, Released: true, Members: 1,
						Hub: targets.Hub{Target: report.Target, Address: report.Address, Incarnation: 1},
					})
				}
				p.view.Apply(report, time.Now())
				r := testRun(t, p, Request{
					Workspace: tt.workspace, Kind: tt.kind, Workers: 1, Accelerators: 1,
					Adjacent: operator.AdjacentNone, Declared: tt.declared,
				})
				ctx, cancel := context.WithTimeout(t.Context(), time.Second)
				defer cancel()
				_, refusal := p.acquire(ctx, &waiter{run: r, number: 1, avoid: tt.avoid})
				qt.Assert(t, refusal == nil, qt.Equals, tt.want > 0, qt.Commentf("%v", refusal))
				qt.Assert(t, calls.attempts.Load(), qt.Equals, tt.want)
			})
		})
	}
}
