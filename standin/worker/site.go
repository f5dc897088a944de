package worker

import (
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/state/job"
)

// Site is what the workers of one site share.
type Site struct {
	lookupJob func(id string) (job.Job, bool)

	mu       sync.Mutex // guards the state of all workers too; never held over a wait
	gangs    map[gangKey]*gang
	records  []*Record
	lastBorn int64
}

// NewSite returns a site without workers. lookup returns a job that has been
// accepted; it must not call the site.
func NewSite(lookupJob func(id string) (job.Job, bool)) *Site {
	return &Site{lookupJob: lookupJob, gangs: make(map[gangKey]*gang)}
}

// Record is the record of one run.
type Record struct {
	Task       string
	Run        int64
	Worker     string // ID
	Born       int64  // Unix milliseconds; tells lives of one ID apart
	Target     string // name of the worker
	Payload    string
	Checkpoint string    // that the run began from
	Arrived    time.Time // when the start was carried out
	Began      time.Time // when the work began; zero if it never did
	Ended      time.Time // zero while it runs
	How        string    // one of the ends of the protocol, or "crashed"
	// Void is when the lease lapsed or the life ended while the end was still
	// listed; zero if neither happened. Others may run the task from then on.
	Void time.Time
}

// Records returns the records of all runs in the order of their starts.
func (s *Site) Records() []Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Record, len(s.records))
	for i, r := range s.records {
		out[i] = *r
	}
	return out
}

// nextBornLocked returns the start of a new life: a time that no other life has.
func (s *Site) nextBornLocked() int64 {
	s.lastBorn = max(s.lastBorn+1, time.Now().UnixMilli())
	return s.lastBorn
}

// gangKey names one run of a gang.
type gangKey struct {
	job        string
	occurrence int
	step       int
	run        int64
}

// gang is one run of a gang.
type gang struct {
	size    int
	members map[int]*run
	working bool
	ended   bool
}

// join adds a member and reports whether the gang is complete.
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

// memberEndedLocked ends the other members of a gang: with the first that is done
// all are done, and with the first that ends otherwise the others are broken.
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
			m.worker.endLocked(m, others)
			m.record.Ended = at
		}
	}
}
