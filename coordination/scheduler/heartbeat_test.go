package scheduler

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/protocol/entryrpc"
)

// namedMembers are entries of which none is silent.
type namedMembers struct {
	addresses []string
}

func (m *namedMembers) Silent(string, uint64) bool     { return false }
func (m *namedMembers) SilentEntries() []string        { return nil }
func (m *namedMembers) Addresses() []string            { return m.addresses }
func (m *namedMembers) Remove(context.Context, string) {}

// Guards against replies that repeat the list of entries to every target every two
// seconds, and against a target that misses a change of the list.
func TestHeartbeatNamesEntriesOnChange(t *testing.T) {
	p, _ := newTestPlanner(t, 0)
	members := &namedMembers{addresses: []string{"10.0.0.1:1", "10.0.0.2:1"}}
	p.s.peers.Members = members
	beat := func(digest uint64) *entryrpc.HeartbeatReply {
		reply, err := p.s.Heartbeat(t.Context(), &entryrpc.HeartbeatRequest{
			Target: "t", Address: "10.0.0.9:1", Incarnation: 1, Sequence: 1, Slots: 8, EntriesDigest: digest,
		})
		qt.Assert(t, err, qt.IsNil)
		return reply
	}
	first := beat(0)
	qt.Assert(t, first.GetEntries(), qt.DeepEquals, members.addresses)
	qt.Assert(t, beat(first.GetEntriesDigest()).GetEntries(), qt.HasLen, 0)
	members.addresses = members.addresses[:1]
	qt.Assert(t, beat(first.GetEntriesDigest()).GetEntries(), qt.DeepEquals, members.addresses)
}
