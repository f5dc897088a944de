package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/contention"
)

// reservation is capacity that is kept for a unit that has waited long, until enough of it is
// free. Other work may use it that is predicted to end before.
type reservation struct {
	unit      unit
	tasks     map[*target]int // tasks of the unit by target
	readyAt   time.Time       // when the capacity is predicted to be free
	createdAt time.Time
}

// accelerators returns how many accelerators are reserved.
func (r *reservation) accelerators() int { return len(r.unit.tasks) * r.unit.resources.accelerators }

// reservationOf returns the reservation of the unit's step, or nil.
func (p *Planner) reservationOf(u unit) *reservation {
	for _, r := range p.reservations {
		if r.unit.step == u.step {
			return r
		}
	}
	return nil
}

// reserve reserves capacity for a unit that waits, if it is large, has waited for a part of its
// slack and has no reservation. Large are gangs, and tasks that need more than half of a worker.
func (p *Planner) reserve(u unit, s *eligibleTargets, now time.Time) {
	if !p.settings.Policy.Backfill || isUrgent(u.kind) || u.tier == tierWorthless || p.reservationOf(u) != nil {
		return
	}
	if !u.step.spec.Gang && p.amountOf(u.resources, 1).Workers == 0 {
		return
	}
	slack := u.objectiveEnd.Sub(u.waitingSince) - p.runTime(u.step.occ.job.job.Kind, u.step.spec)
	if !contention.MustReserve(now.Sub(u.waitingSince), slack) {
		return
	}
	reserved, total := 0, 0
	for _, r := range p.reservations {
		reserved += r.accelerators()
	}
	for _, t := range s.targets {
		total += t.capacity.accelerators
	}
	if !contention.MayReserve(len(u.tasks)*u.resources.accelerators, reserved, total) {
		return
	}
	r := p.earliestReservation(u, s, now)
	if r == nil {
		return
	}
	p.reservations = append(p.reservations, r)
	for t := range r.tasks {
		t.reservation = r
	}
	p.count(`medlargrade_reservations_total`)
	p.log.Info().Int("Event", EventReservation).Str("Job", u.step.occ.job.job.ID).Int("Step", u.step.index).Int("Tasks", len(u.tasks)).
		Int("Accelerators", r.accelerators()).Int("Workers", len(r.tasks)).Dur("Waited", now.Sub(u.waitingSince)).Dur("Ready", r.readyAt.Sub(now)).
		Msg("capacity reserved for work that has waited long")
}

// earliestReservation returns a reservation on the targets where the unit is predicted to fit first,
// or nil.
func (p *Planner) earliestReservation(u unit, s *eligibleTargets, now time.Time) *reservation {
	var best []contention.Reserved
	bestAfter := time.Duration(0)
	for _, group := range p.targetGroups(u, s, now) {
		options := make([]contention.Option, 0, len(group))
		for _, t := range group {
			if t.reservation == nil {
				options = append(options, contention.Option{Worker: t.name, Fits: p.fitsOn(u, t, now)})
			}
		}
		if found, after := contention.Earliest(options, len(u.tasks)); found != nil && (best == nil || after < bestAfter) {
			best, bestAfter = found, after
		}
	}
	if best == nil {
		return nil
	}
	r := &reservation{unit: u, tasks: make(map[*target]int, len(best)), readyAt: now.Add(bestAfter), createdAt: now}
	for _, b := range best {
		r.tasks[p.targetNamed(b.Worker)] = b.Tasks
	}
	return r
}

// fitsOn returns how many tasks of the unit fit on a target now and after the predicted end of
// each of its runs.
func (p *Planner) fitsOn(u unit, t *target, now time.Time) []contention.Fit {
	limit := p.remainingPerWorker(u, t)
	available := t.available()
	out := []contention.Fit{{Tasks: available.maxCount(u.resources, limit)}}
	type end struct {
		after time.Duration
		freed resources
		task  string
	}
	ends := make([]end, 0, len(t.runs))
	for r := range t.runs {
		if r.stopReason == "" && !r.task.step.spec.LongRunning {
			ends = append(ends, end{p.remainingTime(r, now), r.resources, r.task.name})
		}
	}
	slices.SortFunc(ends, func(x, y end) int { return cmp.Or(cmp.Compare(x.after, y.after), cmp.Compare(x.task, y.task)) })
	for _, e := range ends {
		available = available.plus(e.freed)
		out = append(out, contention.Fit{After: e.after, Tasks: available.maxCount(u.resources, limit)})
	}
	return out
}

// reservationTimeout is the time after which a reservation ends although its unit has not
// started. It is twice the longest time for which capacity is predicted.
const reservationTimeout = 30 * time.Second

// updateReservations drops the reservations that are no longer needed or can't be met, and
// predicts anew when the others are ready. Reservations don't hold while at least
// half of the accelerators are available, so that no work waits at an idle site.
func (p *Planner) updateReservations(now time.Time) {
	if len(p.reservations) == 0 {
		return
	}
	p.reservations = slices.DeleteFunc(p.reservations, func(r *reservation) bool {
		valid := !r.unit.step.occ.state.Final() && !r.unit.step.occ.job.cancelled && now.Sub(r.createdAt) <= reservationTimeout
		for _, t := range r.unit.tasks {
			valid = valid && !t.done && !t.claimed && len(t.runs) == 0
		}
		after := time.Duration(0)
		for t, n := range r.tasks {
			fits := p.fitsOn(r.unit, t, now)
			i := slices.IndexFunc(fits, func(f contention.Fit) bool { return f.Tasks >= n })
			if valid = valid && t.acceptsWork(now) && i >= 0; valid {
				after = max(after, fits[i].After)
			}
		}
		if valid {
			r.readyAt = now.Add(after)
			return false
		}
		for t := range r.tasks {
			t.reservation = nil
		}
		return true
	})
	available, total := availableAccelerators(p.sortedTargets), 0
	for _, t := range p.sortedTargets {
		total += t.capacity.accelerators
	}
	p.reservationsHold = available < total/2
}

// withoutReserved lowers the number of tasks of a unit that a target may run by what is
// reserved there for another unit. Urgent and guaranteed units, units of a higher priority and
// those that are predicted to end in time may use reserved capacity.
func (p *Planner) withoutReserved(u unit, t *target, limit int) int {
	r := t.reservation
	if r == nil || !p.reservationsHold || r.unit.step == u.step || isUrgent(u.kind) || u.kind.Priority() < r.unit.kind.Priority() {
		return limit
	}
	if contention.MayBackfill(p.runTime(u.step.occ.job.job.Kind, u.step.spec), r.readyAt.Sub(p.lastPass)) || p.isGuaranteed(u) {
		return limit
	}
	left := t.available()
	for range r.tasks[t] {
		left = left.minus(r.unit.resources)
	}
	return left.maxCount(u.resources, limit)
}

// ReservationState is capacity that is reserved for work that has waited long.
type ReservationState struct {
	Job     string
	Step    int
	Tasks   int
	Workers []string
	ReadyIn string // until the capacity is predicted to be free
	Age     string
}

func (p *Planner) reservationStates(now time.Time) []ReservationState {
	var out []ReservationState
	for _, r := range p.reservations {
		st := ReservationState{
			Job: r.unit.step.occ.job.job.ID, Step: r.unit.step.index, Tasks: len(r.unit.tasks), ReadyIn: r.readyAt.Sub(now).String(), Age: now.Sub(r.createdAt).String(),
		}
		for t := range r.tasks {
			st.Workers = append(st.Workers, t.name)
		}
		slices.Sort(st.Workers)
		out = append(out, st)
	}
	return out
}
