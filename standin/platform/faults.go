package platform

import (
	"net"
	"net/http"
	"time"

	"github.com/medlargrade/medlargrade/standin/jsonhttp"
)

// Numbers of logged events.
const (
	// eventFaults occurs when the faults of the platform's stand-in were changed.
	eventFaults = 901
)

// Down says how a store that is down answers.
type Down string

// Ways to be down.
const (
	DownNot    Down = ""
	DownBusy   Down = "Busy"   // status 503
	DownLimit  Down = "Limit"  // status 429
	DownReset  Down = "Reset"  // the connection is closed
	DownSilent Down = "Silent" // no answer until the fault is over, and none then
)

// Faults are the faults that are switched on. The zero value is none.
type Faults struct {
	Down        Down
	Hosts       []string // that are denied; all if empty
	Slow        float64  // multiplies the times of transactions and reads; 0 stands for 1
	LoseAnswers int      // the next transactions take effect and are not answered
	LateMillis  int64    // transactions whose answers are lost take effect after this time
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
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
	s.mu.Unlock()
	s.log.Info().Int("Event", eventFaults).Interface("Faults", f).Msg("platform faults changed")
}

// DropHistory makes all watches read their tables again.
func (s *Server) DropHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.droppedVersion = nil, s.version
	close(s.changed)
	s.changed = make(chan struct{})
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

// denies reports whether the fault hits a caller.
func (f Faults) denies(r *http.Request) bool {
	if f.Down == DownNot {
		return false
	}
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil {
		host = r.RemoteAddr
	}
	for _, h := range f.Hosts {
		if h == host {
			return true
		}
	}
	return len(f.Hosts) == 0
}

// admit answers a call that the faults deny, and reports whether it may go on.
func (s *Server) admit(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f, changed := s.faults, s.faultsChanged
	s.counts.Calls++
	s.mu.Unlock()
	if !f.denies(r) {
		return true
	}
	switch f.Down {
	case DownBusy:
		refuse(w, http.StatusServiceUnavailable, "the store is down")
		return false
	case DownLimit:
		refuse(w, http.StatusTooManyRequests, "too many calls")
		return false
	case DownSilent:
		select {
		case <-changed:
		case <-r.Context().Done():
		}
	}
	panic(http.ErrAbortHandler) // closes the connection
}

// scaleTime returns a time as it is under the present faults.
func (s *Server) scaleTime(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Slow > 0 {
		return time.Duration(float64(d) * s.faults.Slow)
	}
	return d
}

// nextAnswerLost reports whether the answer of the next transaction is to be lost, and
// after which time the transaction takes effect then.
func (s *Server) nextAnswerLost() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 {
		return false, 0
	}
	s.faults.LoseAnswers--
	return true, time.Duration(s.faults.LateMillis) * time.Millisecond
}
