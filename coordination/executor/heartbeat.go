package executor

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/protocol/entryrpc"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/attempts"
)

const (
	// heartbeatTimeout ends a heartbeat before the next one is due.
	heartbeatTimeout = HeartbeatPeriod - HeartbeatPeriod/10
	// entrySilence is the time for which an entry whose heartbeat failed is
	// passed over in favour of the next one.
	entrySilence = 10 * time.Second
	// entryForget is the time after which an entry that fails, is not in the
	// settings and is no longer named by others is forgotten. Entries are
	// replaced often, and the list must not grow with them.
	entryForget = time.Minute
)

// reporter sends heartbeats to entries.
type reporter struct {
	e     *Executor
	wake  chan struct{}
	mu    sync.Mutex
	seq   uint64
	known map[string]*entryState // by address
	calls sync.WaitGroup
}

// entryState is what the reporter knows of an entry. It is guarded by the lock
// of the reporter.
type entryState struct {
	fixed       bool      // listed in the settings, never forgotten
	named       time.Time // last reply of the entry or naming it
	busy        bool
	silentUntil time.Time
	acked       *report  // last report that the entry acknowledged; nil for none
	names       []string // of other entries, as the entry gave them last
	digest      uint64   // of names, as the entry gave it
}

// report is the content of one heartbeat, kept to find the changes later.
type report struct {
	seq     uint64
	tasks   map[attempts.ID]taskKey
	results map[kindKey]kindCount
}

// taskKey holds what may change in the status of a task. The entry adds the time
// that passes by itself.
type taskKey struct {
	released   bool
	checkpoint time.Time
}

func newReporter(e *Executor) *reporter {
	r := &reporter{e: e, wake: make(chan struct{}, 1), known: make(map[string]*entryState)}
	for _, a := range e.cfg.EntryList {
		r.known[a] = &entryState{fixed: true}
	}
	return r
}

// kick makes the reporter send a heartbeat at once.
func (r *reporter) kick() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

func (r *reporter) loop(ctx context.Context) {
	defer r.calls.Wait()
	tick := time.NewTicker(HeartbeatPeriod)
	defer tick.Stop()
	for {
		r.beat(ctx)
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-r.wake:
		}
	}
}

// beat sends one heartbeat to each chosen entry that has answered the last one.
func (r *reporter) beat(ctx context.Context) {
	tasks := r.e.table.List(func(st *attempts.Status) bool { return !st.Phase.IsEnded() && st.Slots > 0 })
	results := r.e.results.snapshot()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, address := range r.chooseLocked(time.Now()) {
		s := r.known[address]
		if s.busy {
			continue
		}
		s.busy = true
		r.seq++
		req, rep := r.messageLocked(s.acked, tasks, results)
		req.EntriesDigest = s.digest
		r.calls.Go(func() { r.send(ctx, address, req, rep) })
	}
}

// chooseLocked returns up to ReportTo addresses by rendezvous hashing of the
// rack, without those that were silent lately unless all were.
func (r *reporter) chooseLocked(now time.Time) []string {
	all := make([]string, 0, len(r.known))
	for a := range r.known {
		all = append(all, a)
	}
	all = rendezvous(r.e.cfg.Rack, all)
	// Stable: silent entries come last, in hash order, so that they are tried
	// again if there are too few others.
	slices.SortStableFunc(all, func(a, b string) int {
		return boolInt(now.Before(r.known[a].silentUntil)) - boolInt(now.Before(r.known[b].silentUntil))
	})
	return all[:min(len(all), r.e.cfg.ReportTo)]
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (r *reporter) messageLocked(
	acked *report, tasks []attempts.Status, results map[kindKey]kindCount,
) (*entryrpc.HeartbeatRequest, *report) {
	e := r.e
	rep := &report{seq: r.seq, tasks: make(map[attempts.ID]taskKey, len(tasks)), results: results}
	req := &entryrpc.HeartbeatRequest{
		Target:      e.cfg.Name,
		Address:     e.cfg.Address,
		DataCentre:  e.cfg.DataCentre,
		Rack:        e.cfg.Rack,
		Incarnation: e.incarnation,
		Sequence:    r.seq,
		Generation:  e.cfg.Generation(),
		Slots:       uint32(e.cfg.Slots),
		Connections: uint32(e.cfg.Connections),
		Leaving:     e.table.Leaving(),
		Ready:       e.cfg.Ready(),
		WorkerLoad:  e.load.Load(),
		FreeSlots:   uint32(max(e.table.FreeSlots(), 0)),
	}
	base := &report{}
	if acked != nil {
		base, req.Base = acked, acked.seq
	}
	for i := range tasks {
		st := &tasks[i]
		key := taskKey{released: st.Local == attempts.LocalReleased, checkpoint: st.Checkpoint}
		rep.tasks[st.Spec.ID] = key
		if old, ok := base.tasks[st.Spec.ID]; !ok || old != key {
			req.Tasks = append(req.Tasks, taskStatus(st))
		}
	}
	for id := range base.tasks {
		if _, ok := rep.tasks[id]; !ok {
			req.Removed = append(req.Removed, id.String())
		}
	}
	for key, c := range results {
		if base.results[key] != c {
			req.Results = append(req.Results, &entryrpc.KindResult{
				Workspace: key.workspace, Kind: key.kind, Succeeded: c.succeeded, Failed: c.failed,
			})
		}
	}
	return req, rep
}

func taskStatus(st *attempts.Status) *entryrpc.TaskStatus {
	ts := &entryrpc.TaskStatus{
		Attempt:   idMessage(st.Spec.ID),
		Workspace: st.Spec.Workspace,
		Kind:      st.Spec.Kind,
		Class:     st.Spec.Class,
		Slots:     uint32(st.Slots),
		Lent:      st.Spec.Lent,
		Released:  st.Local == attempts.LocalReleased,
		Members:   uint32(max(len(st.Spec.Members), 1)),
	}
	if ts.Released && !st.Released.IsZero() {
		ts.RunMillis = uint64(time.Since(st.Released) / time.Millisecond)
		ts.CheckpointMillis = ts.RunMillis
		if !st.Checkpoint.IsZero() {
			ts.CheckpointMillis = uint64(time.Since(st.Checkpoint) / time.Millisecond)
		}
	}
	if st.Spec.IsGang() {
		hub := st.Spec.Members[st.Spec.Hub]
		ts.Hub = &targetrpc.Member{Target: hub.Target, Address: hub.Address, Incarnation: hub.Incarnation}
	}
	return ts
}

// send sends one heartbeat and applies the reply.
func (r *reporter) send(ctx context.Context, address string, req *entryrpc.HeartbeatRequest, rep *report) {
	sent := time.Now()
	cctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	var reply *entryrpc.HeartbeatReply
	client, err := r.e.cfg.Entries.Entry(cctx, address)
	if err == nil {
		reply, err = client.Heartbeat(cctx, req)
	}
	if err == nil {
		r.e.contact.renew(sent)
		r.e.learn(reply.GetGeneration(), address)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.known[address]
	s.busy = false
	now := time.Now()
	if err != nil {
		s.silentUntil = now.Add(entrySilence)
		if !s.fixed && now.Sub(s.named) >= entryForget {
			delete(r.known, address)
		}
		if ctx.Err() == nil {
			r.e.log.Warn().Int(eventField, EventEntrySilent).Str("Entry", address).Err(err).Msg("heartbeat failed")
		}
		return
	}
	s.silentUntil, s.named = time.Time{}, now
	if d := reply.GetEntriesDigest(); d != s.digest || d == 0 {
		s.names, s.digest = reply.GetEntries(), reply.GetEntriesDigest()
	}
	for _, a := range s.names {
		if _, ok := r.known[a]; !ok {
			r.known[a] = &entryState{}
		}
		r.known[a].named = now
	}
	switch {
	case reply.GetNeedFull():
		s.acked = nil
		if req.GetBase() != 0 {
			r.kick()
		}
	case reply.GetSequence() == rep.seq:
		s.acked = rep
	}
	if req.GetLeaving() != r.e.table.Leaving() {
		r.kick() // The target began to leave while this heartbeat was on its way.
	}
}
