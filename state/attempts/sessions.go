package attempts

import (
	"crypto/rand"
	"encoding/binary"
	"sync"
	"time"
)

// RandomID returns a random number that is never zero.
func RandomID() uint64 {
	var b [8]byte
	for {
		// Read of crypto/rand never fails.
		_, _ = rand.Read(b[:])
		if n := binary.LittleEndian.Uint64(b[:]); n != 0 {
			return n
		}
	}
}

// sessions are the rights of entries to send effects. A session expires on the
// monotonic clock of the target, so that a copy of a message that was delayed
// for longer than the expiry after the entry stopped is refused.
type sessions struct {
	mu     sync.Mutex
	expiry time.Duration
	byID   map[uint64]*session
}

type session struct {
	entry       string
	incarnation uint64
	expires     time.Time
}

func (s *sessions) open(entry string, incarnation uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := RandomID()
	s.byID[id] = &session{entry: entry, incarnation: incarnation, expires: time.Now().Add(s.expiry)}
	return id
}

// renew extends a session that has not expired.
func (s *sessions) renew(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	ss, ok := s.byID[id]
	if !ok || !now.Before(ss.expires) {
		delete(s.byID, id)
		return false
	}
	ss.expires = now.Add(s.expiry)
	return true
}

func (s *sessions) valid(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	ss, ok := s.byID[id]
	return ok && time.Now().Before(ss.expires)
}

func (s *sessions) entry(id uint64) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if ss, ok := s.byID[id]; ok {
		return ss.entry
	}
	return ""
}

func (s *sessions) sweep() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, ss := range s.byID {
		if !now.Before(ss.expires) {
			delete(s.byID, id)
		}
	}
}

// Session is a copy of the state of a session.
type Session struct {
	Entry       string
	Incarnation uint64
	Expires     time.Time
}

func (s *sessions) list() []Session {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]Session, 0, len(s.byID))
	for _, ss := range s.byID {
		out = append(out, Session{Entry: ss.entry, Incarnation: ss.incarnation, Expires: ss.expires})
	}
	return out
}
