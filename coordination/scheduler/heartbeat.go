package scheduler

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/state/targets"
)

// Heartbeat takes in the report of a target process and answers with the
// entry's generation and the entries that are alive.
func (s *Scheduler) Heartbeat(_ context.Context, in *entryrpc.HeartbeatRequest) (*entryrpc.HeartbeatReply, error) {
	s.peers.Config.Learn(in.GetGeneration())
	now := time.Now()
	old, known := s.plan.view.Get(in.GetTarget(), now)
	report := reportOf(in)
	needFull := s.plan.view.Apply(report, now)
	if !known || old.Incarnation != report.Incarnation {
		s.log.Info().Int("Event", EventTargetJoined).Str("Target", report.Target).
			Str("Address", report.Address).Uint64("Incarnation", report.Incarnation).Send()
	}
	if cur, ok := s.plan.view.Get(in.GetTarget(), now); ok && (!known || isPlanChange(old, cur)) {
		s.plan.kick()
	}
	reply := &entryrpc.HeartbeatReply{
		Generation: s.generation(),
		NeedFull:   needFull,
		Sequence:   in.GetSequence(),
	}
	addresses := s.peers.Members.Addresses()
	reply.EntriesDigest = entriesDigest(addresses)
	if reply.GetEntriesDigest() != in.GetEntriesDigest() {
		reply.Entries = addresses
	}
	return reply, nil
}

// entriesDigest identifies a list of addresses. It is never zero.
func entriesDigest(addresses []string) uint64 {
	d := xxhash.New()
	for _, a := range addresses {
		_, _ = d.WriteString(a) // Write of a hash never fails.
		_, _ = d.Write([]byte{0})
	}
	return d.Sum64() | 1
}

// isPlanChange reports whether waiting work may fit on a target that did not have a
// place for it before. Most heartbeats change nothing, and a pass for each of them
// would plan the same work over and over.
func isPlanChange(old, cur targets.Target) bool {
	return old.Incarnation != cur.Incarnation || old.Free != cur.Free || old.Slots != cur.Slots ||
		old.Ready != cur.Ready || old.Leaving != cur.Leaving
}

// isReplaced reports whether the target is known to run under another
// incarnation.
func (s *Scheduler) isReplaced(target string, incarnation uint64) bool {
	t, ok := s.plan.view.Get(target, time.Now())
	return ok && t.Incarnation != incarnation
}

func reportOf(in *entryrpc.HeartbeatRequest) targets.Report {
	r := targets.Report{
		Target:      in.GetTarget(),
		Address:     in.GetAddress(),
		DataCentre:  in.GetDataCentre(),
		Rack:        in.GetRack(),
		Incarnation: in.GetIncarnation(),
		Sequence:    in.GetSequence(),
		Base:        in.GetBase(),
		Generation:  in.GetGeneration(),
		Slots:       int(in.GetSlots()),
		Connections: int(in.GetConnections()),
		Free:        int(in.GetFreeSlots()),
		Leaving:     in.GetLeaving(),
		Ready:       in.GetReady(),
		Removed:     in.GetRemoved(),
	}
	for _, t := range in.GetTasks() {
		task := taskOf(t)
		if task.Hub.Address == "" {
			// A target is the hub of its jobs with a single task.
			task.Hub = targets.Hub{Target: r.Target, Address: r.Address, Incarnation: r.Incarnation}
		}
		r.Tasks = append(r.Tasks, task)
	}
	for _, k := range in.GetResults() {
		r.Results = append(r.Results, targets.Result{
			Workspace: k.GetWorkspace(), Kind: k.GetKind(), Succeeded: k.GetSucceeded(), Failed: k.GetFailed(),
		})
	}
	return r
}

func taskOf(t *entryrpc.TaskStatus) targets.Task {
	return targets.Task{
		Job:             t.GetAttempt().GetJob(),
		Number:          t.GetAttempt().GetNumber(),
		Workspace:       t.GetWorkspace(),
		Kind:            t.GetKind(),
		Class:           t.GetClass(),
		Slots:           int(t.GetSlots()),
		Lent:            t.GetLent(),
		Released:        t.GetReleased(),
		Run:             millis(t.GetRunMillis()),
		SinceCheckpoint: millis(t.GetCheckpointMillis()),
		Members:         int(t.GetMembers()),
		Hub: targets.Hub{
			Target: t.GetHub().GetTarget(), Address: t.GetHub().GetAddress(), Incarnation: t.GetHub().GetIncarnation(),
		},
	}
}
