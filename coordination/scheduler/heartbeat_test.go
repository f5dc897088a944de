package scheduler

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/entryrpc"
)

// noMembers are the members of a site with this entry alone.
type noMembers struct{ Members }

func (noMembers) Addresses() []string { return nil }

// Guards against a planning pass for every heartbeat, which costs an entry of a large
// site a whole core while a gang waits, and against a change that waiting work does
// not hear of.
func TestHeartbeatAsksForPass(t *testing.T) {
	p, _ := newTestPlanner(t, 0)
	p.s.peers.Members = noMembers{}
	beat := &entryrpc.HeartbeatRequest{Target: "t1", Rack: "r", Incarnation: 1, Slots: 8, FreeSlots: 0}
	steps := []struct {
		name   string
		change func()
		want   bool
	}{
		{"first report", func() {}, true},
		{"nothing new", func() {}, false},
		{"ready", func() { beat.Ready = true }, true},
		{"slots came free", func() { beat.FreeSlots = 2 }, true},
		{"load only", func() { beat.WorkerLoad = 70 }, false},
		{"slots were taken", func() { beat.FreeSlots = 0 }, true},
		{"leaving", func() { beat.Leaving = true }, true},
		{"new process", func() { beat.Incarnation, beat.Base, beat.Sequence = 2, 0, 0 }, true},
		{"nothing new again", func() {}, false},
	}
	for _, step := range steps {
		step.change()
		beat.Sequence++
		beat.Base = 0
		_, err := p.s.Heartbeat(context.Background(), beat)
		qt.Assert(t, err, qt.IsNil)
		asked := len(p.events) > 0
		if asked {
			<-p.events
		}
		qt.Check(t, asked, qt.Equals, step.want, qt.Commentf("%s", step.name))
	}
}
