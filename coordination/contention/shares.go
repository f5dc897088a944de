package contention

import (
	"maps"
	"math"
	"time"
)

const (
	// useHalfLife is the time after which past use counts half. It is some run times of long
	// jobs.
	useHalfLife = 20 * time.Second
	// useSteps is the number of steps in which the use of a workspace relative to its share is
	// compared. Workspaces in the same step are served by their objectives, so that small
	// differences of use make no work late.
	useSteps = 2
)

// Shares compares the use of capacity by workspaces with their shares. It is not safe for
// concurrent use.
type Shares struct {
	at          time.Time
	inUse       map[string]int
	byWorkspace map[string]float64 // decayed mean of the accelerators in use
}

// Clone returns a copy of the state.
func (s *Shares) Clone() *Shares {
	return &Shares{at: s.at, inUse: maps.Clone(s.inUse), byWorkspace: maps.Clone(s.byWorkspace)}
}

// NewShares returns the state without past use.
func NewShares(now time.Time) *Shares {
	return &Shares{at: now, byWorkspace: make(map[string]float64)}
}

// Update adds the use since the last update, and sets the accelerators that are now in use by
// workspace. It keeps the map.
func (s *Shares) Update(inUse map[string]int, now time.Time) {
	if elapsed := now.Sub(s.at); elapsed > 0 {
		kept := math.Exp2(-float64(elapsed) / float64(useHalfLife))
		for w, mean := range s.byWorkspace {
			s.byWorkspace[w] = mean * kept
			if s.inUse[w] == 0 && mean*kept < 0.01 {
				delete(s.byWorkspace, w)
			}
		}
		for w, n := range s.inUse {
			s.byWorkspace[w] += float64(n) * (1 - kept)
		}
		s.at = now
	}
	s.inUse = inUse
}

// Use returns the accelerators that a workspace uses, as the larger of the decayed mean and the
// present number.
func (s *Shares) Use(workspace string) float64 {
	return max(s.byWorkspace[workspace], float64(s.inUse[workspace]))
}

// Step returns the order in which workspaces are served: the lower first. share is the
// workspace's guarantee or an equal part of the total, whichever is larger.
func (s *Shares) Step(workspace string, guaranteed, total, workspaces int) int {
	share := max(float64(guaranteed), float64(total)/float64(max(workspaces, 1)), 1)
	return int(useSteps * s.Use(workspace) / share)
}
