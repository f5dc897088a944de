package attempts

import (
	"sync"
	"time"
)

// slots counts the slots of one target. A hold keeps slots for one attempt until
// it expires.
type slots struct {
	mu    sync.Mutex
	total int
	used  int
	holds map[ID]hold
}

type hold struct {
	n       int
	expires time.Time
}

// take takes n slots for id, or reports false. The slots that are held for id
// are used first. Those beyond the hold must leave keepFree slots free.
func (s *slots) take(id ID, n, keepFree int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(time.Now())
	extra := max(n-s.holds[id].n, 0)
	if extra > 0 && s.freeLocked()-extra < keepFree {
		return false
	}
	delete(s.holds, id)
	s.used += n
	return true
}

// give returns n slots. If claim is set, they are held for it.
func (s *slots) give(n int, claim ID, ttl time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.used -= n
	if claim == (ID{}) || n == 0 {
		return
	}
	s.holds[claim] = hold{n: s.holds[claim].n + n, expires: time.Now().Add(ttl)}
}

// drop ends the hold for id.
func (s *slots) drop(id ID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.holds, id)
}

func (s *slots) free() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(time.Now())
	return s.freeLocked()
}

func (s *slots) freeLocked() int {
	n := s.total - s.used
	for _, h := range s.holds {
		n -= h.n
	}
	return n
}

func (s *slots) expireLocked(now time.Time) {
	for id, h := range s.holds {
		if !now.Before(h.expires) {
			delete(s.holds, id)
		}
	}
}

// Hold is a number of slots that are kept for an attempt.
type Hold struct {
	Attempt string
	Slots   int
	Expires time.Time
}

func (s *slots) list() []Hold {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked(time.Now())
	out := make([]Hold, 0, len(s.holds))
	for id, h := range s.holds {
		out = append(out, Hold{Attempt: id.String(), Slots: h.n, Expires: h.expires})
	}
	return out
}
