package platform

import (
	"context"
	"net/http"
	"time"

	"github.com/medlargrade/medlargrade/standin/jsonhttp"
)

// Numbers of logged events.
const eventFaults = 901

// Faults are the faults that are switched on. The zero value is none.
type Faults struct {
	Down        bool  // every request is answered with 503, not applied
	DownTables  bool  // the same for the table service only
	DownObjects bool  // the same for the object store only
	DelayMillis int64 // added before each request takes effect
	LoseAnswers int   // the next writes that take effect are not answered: their connections are closed
	LateWrites  bool  // writes take effect after their wait even if the caller has gone
}

// Faults returns the present faults. LoseAnswers counts down.
func (s *Server) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	s.faults = f
	s.mu.Unlock()
	s.log.Info().Int("Event", eventFaults).Interface("Faults", f).Msg("platform faults changed")
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, s.Faults())
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := jsonhttp.Decode(w, r, 1<<20, &f); err != nil {
		refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	s.SetFaults(f)
	jsonhttp.Write(w, http.StatusOK, f)
}

// service is the part of the platform that a request needs.
type service int

const (
	tables service = iota
	objects
)

func (f Faults) down(part service) bool {
	return f.Down || part == tables && f.DownTables || part == objects && f.DownObjects
}

// loseAnswer reports whether the answer of a write that took effect is to be
// lost.
func (s *Server) loseAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 {
		return false
	}
	s.faults.LoseAnswers--
	return true
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
