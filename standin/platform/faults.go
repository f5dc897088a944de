package platform

import (
	"net"
	"net/http"
	"time"

	"github.com/medlargrade/medlargrade/standin/jsonhttp"
)

// Numbers of logged events.
const (
	// eventFaults is logged when the injected faults of the simulated platform have
	// been replaced.
	eventFaults = 901
)

// Down is the behaviour of the store while it is down.
type Down string

// The values of Down.
const (
	DownNot    Down = ""
	DownBusy   Down = "Busy"   // status 503
	DownLimit  Down = "Limit"  // status 429
	DownReset  Down = "Reset"  // the connection is closed
	DownSilent Down = "Silent" // no response; the connection is closed when the faults change
)

// Faults are the injected faults. The zero value is none.
type Faults struct {
	Down        Down
	Hosts       []string // hosts for which the store is down; all if empty
	Slow        float64  // factor on the times of transactions and reads; 0 means 1
	LoseAnswers int      // number of next transactions that get no response but take effect
	LateMillis  int64    // delay before transactions without a response take effect
}

// Faults returns the current faults. Each lost response decrements LoseAnswers.
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

// DropHistory drops the history of changes, so that feeds that are behind the current
// version get status 410 and their clients have to read the whole table again.
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

// denies reports whether the store is down for the client of r.
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

// admit counts a call and reports whether it may proceed. If the store is down for
// the client, admit sends the status of the fault, or panics with
// http.ErrAbortHandler if the call gets no response.
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

// scaleTime multiplies d by the factor of the current faults.
func (s *Server) scaleTime(d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Slow > 0 {
		return time.Duration(float64(d) * s.faults.Slow)
	}
	return d
}

// loseNextResponse decrements LoseAnswers. It reports whether the current transaction
// gets no response and, if so, the delay before it is executed.
func (s *Server) loseNextResponse() (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers <= 0 {
		return false, 0
	}
	s.faults.LoseAnswers--
	return true, time.Duration(s.faults.LateMillis) * time.Millisecond
}
