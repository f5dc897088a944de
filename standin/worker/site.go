package worker

import (
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/state/job"
)

// Site is the state shared by the workers of a site.
type Site struct {
	lookupJob func(id string) (job.Job, bool)

	mu       sync.Mutex // guards the state of all workers too; not held while waiting
	gangs    map[gangKey]*gang
	records  []*Record
	lastBorn int64
}

// NewSite returns a site without workers. lookupJob returns a job that has been
// accepted. It is called with the site locked, so it must not call the site.
func NewSite(lookupJob func(id string) (job.Job, bool)) *Site {
	return &Site{lookupJob: lookupJob, gangs: make(map[gangKey]*gang)}
}

// Record is the record of a run.
type Record struct {
	Task       string
	Run        int64
	Worker     string // ID of the worker's incarnation
	Born       int64  // Unix milliseconds; distinguishes incarnations with the same ID
	Target     string // name of the worker
	Payload    string
	Checkpoint string    // the checkpoint that the run resumed from
	Arrived    time.Time // when the start was executed
	Began      time.Time // when the work began; zero if it has not
	Ended      time.Time // zero while the run is in progress
	How        string    // one of the End constants
	// LacksLabel is whether the worker lacks the label that the run's step requires.
	LacksLabel bool
	// CrashesWorker is whether the run crashes its worker, if it gets that far.
	CrashesWorker bool
	// Excess is whether the start brought the worker over its capacity, and CapacityAge how long
	// before that the worker had first reported this capacity; 0 if it had not.
	Excess      bool
	CapacityAge time.Duration
	// Void is when the end became void: the lease expired or the incarnation ended
	// while the end was still listed. From then on the task may be run again. Zero if
	// neither happened. If calls that were carried out late have extended the lease from
	// then, which no planner knows, Void is when it would have expired without that.
	Void time.Time
}

// Records returns copies of the records of all runs in the order of their starts.
func (s *Site) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Record, len(s.records))
	for i, r := range s.records {
		out[i] = *r
	}
	return out
}

// nextBornLocked returns the start time of a new incarnation, which is unique in the
// site.
func (s *Site) nextBornLocked() int64 {
	s.lastBorn = max(s.lastBorn+1, time.Now().UnixMilli())
	return s.lastBorn
}

// gangKey identifies a run of a gang.
type gangKey struct {
	job        string
	occurrence int
	step       int
	run        int64
}

// gang is a run of a gang.
type gang struct {
	size    int
	members map[int]*run
	working bool
	ended   bool
}

// joinGangLocked adds r to its gang. The members start to work when the gang is
// complete. A member for which this takes longer than Settings.GangWait ends.
func (s *Site) joinGangLocked(r *run, size int) {
	key := gangKey{r.name.Job, r.name.Occurrence, r.name.Step, r.number}
	g := s.gangs[key]
	if g == nil {
		g = &gang{size: size, members: make(map[int]*run)}
		s.gangs[key] = g
	}
	g.members[r.name.Index] = r
	r.gang = g
	if g.ended {
		r.worker.endLocked(r, EndBroken)
		return
	}
	if len(g.members) < g.size {
		r.timer = time.AfterFunc(r.worker.cfg.GangWait, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if !g.working && !r.finished {
				r.worker.endLocked(r, EndAlone)
			}
		})
		return
	}
	g.working = true
	for _, m := range g.members {
		m.worker.resumeLocked(m)
	}
}

// doneLocked reports whether all members have done their work. The gang ends with its slowest.
func (g *gang) doneLocked() bool {
	for _, m := range g.members {
		if !m.waiting {
			return false
		}
	}
	return true
}

// memberEndedLocked ends the other members of a gang when the first has ended: they are
// done if the first is done, and broken otherwise.
func (g *gang) memberEndedLocked(how string, at time.Time) {
	if g.ended {
		return
	}
	g.ended = true
	others := EndBroken
	if how == EndDone {
		others = EndDone
	}
	for _, m := range g.members {
		if !m.finished {
			end := others
			if m.worker.down {
				end = EndCrashed
			}
			m.worker.endLocked(m, end)
			m.record.Ended = at
		}
	}
}
