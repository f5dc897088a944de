package shard

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/coordination/planner"
	"github.com/medlargrade/medlargrade/state/job"
)

// PlaceRequest asks where a job would be placed now: a recorded one by its ID, or Job.
type PlaceRequest struct {
	ID  string   `json:",omitempty"`
	Job *job.Job `json:",omitempty"`
}

// PlaceReply is the placement, with the age of the knowledge it is based on.
type PlaceReply struct {
	planner.Placement
	Planner     string
	Epoch       uint64
	ConfigAge   string         // how old the configuration may be; empty if that is not known
	Unconfirmed string         // time since the last confirmed transaction was sent
	Unreached   []SilentTarget `json:",omitempty"` // targets that do not answer
}

// SilentTarget is a target that does not answer the planner.
type SilentTarget struct {
	Name  string
	Since string // time since its last answer
}

// ErrNotPlanner reports that this process does not plan the shard.
var ErrNotPlanner = errors.New("this process does not plan the shard")

// Place returns where a job would be placed now. It makes its passes on a copy of the planner's
// state, and holds the lock only while it copies.
func (c *Candidate) Place(r PlaceRequest) (PlaceReply, error) {
	c.mu.Lock()
	o := c.owner
	c.mu.Unlock()
	if o == nil {
		return PlaceReply{}, ErrNotPlanner
	}
	query, reply, now := o.newQuery()
	var err error
	if r.Job != nil {
		reply.Placement, err = query.Place(*r.Job, now)
	} else {
		reply.Placement, err = query.PlaceRecorded(r.ID, now)
	}
	return reply, err
}

func (o *owner) newQuery() (*planner.Query, PlaceReply, time.Time) {
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	reply := PlaceReply{Planner: o.cfg.Name, Epoch: o.row.Epoch, Unconfirmed: now.Sub(o.confirmedSentAt).String()}
	query := o.plan.NewQuery()
	if o.config != nil {
		// The planner gets a new configuration with its next pass only.
		age, known := o.config.Age()
		query.SetConfig(o.config.Snapshot(), age, known)
		if known {
			reply.ConfigAge = age.String()
		}
	}
	for name, w := range o.watches {
		if !w.connected && w.row != rowRetired {
			reply.Unreached = append(reply.Unreached, SilentTarget{name, now.Sub(w.lastAnswerAt).String()})
		}
	}
	slices.SortFunc(reply.Unreached, func(x, y SilentTarget) int { return cmp.Compare(x.Name, y.Name) })
	return query, reply, now
}
