package speed

import "time"

const (
	// paceWindow is the shortest time over which the pace of a run is measured once it has
	// run for longer. Windows are up to twice as long. They are short enough to show a worker
	// that turns slow within 2 s.
	paceWindow = time.Second
	// minPacePercent is the least progress from which a pace is derived. Workers report whole
	// percents.
	minPacePercent = 5
)

// Pace measures the recent progress of one run. Its zero value is ready for use.
type Pace struct {
	listed       bool
	firstPercent int64 // as first reported
	// from is the beginning of the current window, next that of the one after it, and last
	// the latest change. They are reports with a change of the percentage, so that time
	// before the first progress does not count.
	from, next, last progress
}

type progress struct {
	at      time.Time
	percent int64
}

// Observe records a report of the run's progress in percent.
func (p *Pace) Observe(percent int64, now time.Time) {
	switch {
	case !p.listed || percent < p.last.percent:
		*p = Pace{listed: true, firstPercent: percent, last: progress{percent: percent}}
		return
	case percent == p.last.percent:
		return
	}
	p.last = progress{now, percent}
	if p.from.at.IsZero() {
		p.from, p.next = p.last, p.last
	}
	if now.Sub(p.next.at) >= paceWindow {
		p.from, p.next = p.next, p.last
	}
}

// TaskTime returns the time that the whole task takes at the pace of the last window, and the
// percentage that the window covers. startedAt is when the run began with nothing done; zero
// if it resumed a checkpoint or the time is not known. TaskTime returns false if there is too
// little progress.
func (p *Pace) TaskTime(startedAt time.Time) (d time.Duration, percent int64, ok bool) {
	from := p.from
	if p.last.percent-from.percent < minPacePercent || from.at.IsZero() || !p.last.at.After(from.at) {
		if startedAt.IsZero() {
			return 0, 0, false
		}
		from = progress{at: startedAt}
	}
	percent, d = p.last.percent-from.percent, p.last.at.Sub(from.at)
	if percent < minPacePercent || d <= 0 {
		return 0, 0, false
	}
	return d * 100 / time.Duration(percent), percent, true
}

// LastChange returns when the percentage last changed; zero if it has not.
func (p *Pace) LastChange() time.Time { return p.last.at }
