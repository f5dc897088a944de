package executor

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/attempts"
)

const (
	// pulseTimeout leaves time for one more pulse within the gang lease after a
	// pulse that got no reply.
	pulseTimeout = PulsePoll + time.Second/2
	// releaseTimeout is the time of one Release call to the worker.
	releaseTimeout = time.Second
)

// member is one task of a gang on this target, and its contact with the hub.
type member struct {
	*task
	launched chan struct{} // closed once the worker took or refused the held task
	news     chan struct{} // gets a token when the hub's decision may have changed

	mu        sync.Mutex
	state     attempts.MemberState
	part      attempts.Part
	reason    string
	verdict   attempts.Verdict
	ended     bool      // the hub has ended the gang
	until     time.Time // end of the gang lease
	interrupt context.CancelFunc
}

func (e *Executor) newMember(spec attempts.Spec, payload []byte) *member {
	return &member{
		task:      e.newTask(spec, payload),
		launched:  make(chan struct{}),
		news:      make(chan struct{}, 1),
		interrupt: func() {},
	}
}

// view is a copy of the hub's decision.
type view struct {
	verdict attempts.Verdict
	ended   bool
	until   time.Time
}

func (m *member) view() view {
	m.mu.Lock()
	defer m.mu.Unlock()
	return view{verdict: m.verdict, ended: m.ended, until: m.until}
}

// report sets the state that the next pulse carries and sends it at once.
func (m *member) report(state attempts.MemberState, part attempts.Part, reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.state == attempts.MemberDone || m.state == attempts.MemberLost {
		return
	}
	m.state, m.part, m.reason = state, part, reason
	m.interrupt()
}

// run owns the member from the launch to the end of the gang.
func (m *member) run(ctx context.Context) {
	e, id := m.e, m.spec.ID
	defer e.table.Disown(id)
	defer m.close()
	_, err := m.launch(ctx, true, 0, m.mayGoOn)
	var refused *RefusedError
	if errors.As(err, &refused) {
		e.table.Fence(id, attempts.CodeWorker, refused.Reason)
		e.table.Free(id)
		close(m.launched)
		m.tell(ctx, "the worker refused the task")
		return
	}
	if err != nil {
		// A held task that is never released does not run user code.
		e.table.Fence(id, attempts.CodeWorker, "the worker's answer to the launch was lost")
		close(m.launched)
		m.stop(ctx)
		e.table.Free(id)
		m.tell(ctx, "the worker's answer to the launch was lost")
		return
	}
	close(m.launched)
	m.watch(ctx)
	var pulses sync.WaitGroup
	pctx, cancel := context.WithCancel(ctx)
	defer pulses.Wait()
	defer cancel()
	pulses.Go(func() { m.pulseLoop(pctx) })

	part, reason, ok := m.perform(ctx)
	if ctx.Err() != nil {
		return
	}
	e.table.Free(id)
	if ok {
		e.results.countPart(m.spec, part)
		m.report(attempts.MemberDone, part, "")
	} else {
		m.report(attempts.MemberLost, attempts.Part{}, reason)
	}
	m.awaitHub(ctx)
	if ok {
		reason = "the task of this member ended; the hub has the answer"
	}
	e.table.Finish(id, attempts.End{Phase: attempts.Stopped, Reason: reason})
}

// perform waits for the release, then for the end of the task. It reports false
// if the member is lost; then the task does not run any more.
func (m *member) perform(ctx context.Context) (attempts.Part, string, bool) {
	if reason := m.awaitRelease(ctx); reason != "" {
		m.stop(ctx)
		return attempts.Part{}, reason, false
	}
	if !m.releaseOnWorker(ctx) {
		m.e.log.Warn().Int(eventField, EventReleaseFailed).Str("Attempt", m.name).Msg("worker did not confirm a release")
		m.stop(ctx)
		return attempts.Part{}, "the worker did not confirm the release", false
	}
	m.report(attempts.MemberRunning, attempts.Part{}, "")
	return m.settle(ctx, m.awaitEnd(ctx))
}

// awaitRelease waits for the hub's verdict Run and takes it. It returns why the
// member must not run, or "".
func (m *member) awaitRelease(ctx context.Context) string {
	e, id := m.e, m.spec.ID
	st := e.table.Get(id)
	lapse := time.NewTimer(time.Until(st.Deadline))
	defer lapse.Stop()
	for {
		st = e.table.Get(id)
		v := m.view()
		switch {
		case st.Phase.IsEnded():
			return st.Reason
		case st.Stopping != nil:
			return st.Stopping.Reason
		case v.verdict == attempts.StopGang || v.ended:
			return "the hub stopped the gang"
		case v.verdict == attempts.Run:
			if !e.leases.isSure(m.lease) || !m.hasContact(time.Now()) || !e.table.ReleaseLocal(id, v.until) {
				return "a lease or the reservation ended before the release"
			}
			return ""
		}
		select {
		case <-ctx.Done():
			return "the target process ended"
		case <-m.news:
		case <-st.Changed:
		case <-lapse.C:
			// A hub that has released the gang has no reservation any more; its
			// own member hears of the verdict at once.
			if e.table.Lapse(id).Phase.IsEnded() {
				e.log.Info().Int(eventField, EventReservationLapsed).Str("Attempt", m.name).Msg("reservation lapsed")
			}
		case res := <-m.results:
			return "the worker ended the held task: " + res.Error
		case <-m.lease.ended:
			return "the lease on the worker lapsed"
		}
	}
}

// releaseOnWorker releases the task as long as the gang lease lasts.
func (m *member) releaseOnWorker(ctx context.Context) bool {
	for {
		now := time.Now()
		until := m.view().until
		if !now.Before(until) || !m.e.leases.isSure(m.lease) {
			return false
		}
		cctx, cancel := context.WithDeadline(ctx, earlier(now.Add(releaseTimeout), until))
		err := m.e.cfg.Worker.Release(cctx, m.name)
		cancel()
		if err == nil {
			return true
		}
		if errors.Is(err, ErrUnknownTask) || !sleep(ctx, retryPause) {
			return false
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// awaitEnd waits for the end of the released task or for a reason to stop it.
func (m *member) awaitEnd(ctx context.Context) ending {
	limit, stopLimit := m.limitTimer(time.Now())
	defer stopLimit()
	for {
		st := m.e.table.Get(m.spec.ID)
		v := m.view()
		left := time.Until(v.until)
		switch {
		case v.verdict == attempts.StopGang || v.ended:
			return ending{stop: m.hubStop(st)}
		case st.Stopping != nil:
			return ending{stop: st.Stopping}
		case left <= 0:
			m.e.log.Warn().Int(eventField, EventGangLeaseLapsed).Str("Attempt", m.name).Msg("no reply from the hub")
			return ending{stop: &attempts.Stop{Reason: "no reply from the hub for the gang lease"}}
		}
		lapse := time.NewTimer(left)
		select {
		case <-ctx.Done():
			lapse.Stop()
			return ending{stop: &attempts.Stop{Reason: "the target process ended"}}
		case <-m.news:
		case <-st.Changed:
		case <-lapse.C:
		case res := <-m.results:
			lapse.Stop()
			return ending{result: res}
		case <-limit:
			lapse.Stop()
			return ending{limit: true}
		case <-m.lease.ended:
			lapse.Stop()
			return ending{lapsed: true}
		}
		lapse.Stop()
	}
}

// hubStop returns the stop that the hub asked for. The verdict does not say
// whether a checkpoint is wanted, so members other than the hub always try one;
// the lease of the task is not renewed meanwhile and bounds it.
func (m *member) hubStop(st attempts.Status) *attempts.Stop {
	if m.spec.IsHub() && st.Stopping != nil {
		return st.Stopping
	}
	return &attempts.Stop{Reason: "the hub stopped the gang", Checkpoint: CheckpointGrace}
}

// awaitHub waits until the hub has ended the gang or the gang lease has lapsed.
// Without a lease it still leaves time for one report.
func (m *member) awaitHub(ctx context.Context) {
	least := time.Now().Add(pulseTimeout)
	for {
		v := m.view()
		left := max(time.Until(v.until), time.Until(least))
		if v.ended || left <= 0 {
			return
		}
		lapse := time.NewTimer(left)
		select {
		case <-ctx.Done():
		case <-m.news:
		case <-lapse.C:
		}
		lapse.Stop()
		if ctx.Err() != nil {
			return
		}
	}
}

func (m *member) hasContact(now time.Time) bool {
	return !m.spec.Lent || m.e.contact.isValid(now)
}

// mayGoOn reports whether the lease of the task on the worker may be renewed:
// while held, within the reservation; afterwards, within the gang lease.
func (m *member) mayGoOn(now time.Time) bool {
	st := m.e.table.Get(m.spec.ID)
	if !m.hasContact(now) || st.Stopping != nil || st.Phase.IsEnded() {
		return false
	}
	if st.Phase == attempts.Held {
		return now.Before(st.Deadline)
	}
	return now.Before(m.view().until)
}

var memberStates = [...]targetrpc.MemberState{
	attempts.MemberHeld:    targetrpc.MemberState_MEMBER_HELD,
	attempts.MemberRunning: targetrpc.MemberState_MEMBER_RUNNING,
	attempts.MemberDone:    targetrpc.MemberState_MEMBER_DONE,
	attempts.MemberLost:    targetrpc.MemberState_MEMBER_LOST,
}
