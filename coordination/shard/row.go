package shard

import (
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/state/table"
)

// Tables of the store.
const (
	// TableShard holds the owner's row under OwnerKey.
	TableShard = "Shard"
	// TableTargets holds a Target under the name of each target.
	TableTargets = "Targets"
)

// OwnerKey is the key of the owner's row in TableShard.
const OwnerKey = "Owner"

// OwnerRow names the process that owns a shard.
type OwnerRow struct {
	Epoch   uint64
	Name    string // empty if the owner has released the shard
	Address string
	// OperatorAddress is where the process serves operators; empty if it was not told.
	OperatorAddress string `json:",omitempty"`
	Boot            uint64 // random, identifies the start of the owner's process; for diagnosis only
	// BeatMillis is the time of the heartbeat of the owner: the store's monotonic clock
	// when the row was sent, in milliseconds.
	BeatMillis int64
	Token      string // random, identifies the write
	// GrantsMillis is the time on the store's monotonic clock, in milliseconds, after
	// which no former owner extends leases; 0 if every former owner has released the
	// shard. A former owner may have had answers after its last row, so Silent alone
	// does not bound the leases.
	GrantsMillis int64 `json:",omitempty"`
	// Silent maps each target that has not answered for longer than recordSilenceAfter
	// to the time of its last answer on the store's monotonic clock, in milliseconds.
	// All owners count the time after which its leases have lapsed from the later of
	// that time and GrantsMillis.
	Silent map[string]int64 `json:",omitempty"`
}

// names reports whether the row names the process of a target at an address. A machine that takes the
// place of another one may have its name, but not its address, and says nothing of the process there.
func (r OwnerRow) names(name, address string) bool { return r.Name == name && r.Address == address }

// nextGrantsMillis returns GrantsMillis for the next owner, which takes over at now on
// the store's monotonic clock. An owner that releases the shard stops extending leases
// before it writes its last row. One whose process has ended has stopped by now. Any
// other stops unconfirmedGrantLimit after its last row.
func (r OwnerRow) nextGrantsMillis(now time.Duration, processEnded bool) int64 {
	if r.Epoch == 0 || r.Name == "" {
		return r.GrantsMillis
	}
	until := r.BeatMillis + unconfirmedGrantLimit.Milliseconds()
	if processEnded {
		until = min(until, now.Milliseconds())
	}
	return max(r.GrantsMillis, until)
}

func (r OwnerRow) encode() []byte { return table.EncodeValue(r) }

// DecodeOwner decodes the value of the owner's row.
func DecodeOwner(value []byte) (OwnerRow, error) {
	var r OwnerRow
	if err := json.Unmarshal(value, &r); err != nil {
		return OwnerRow{}, fmt.Errorf("decode owner of the shard: %w", err)
	}
	if r.Epoch == 0 {
		return OwnerRow{}, errors.New("decode owner of the shard: no epoch")
	}
	return r, nil
}

// age returns how long before now, on the store's monotonic clock, the row was sent.
func (r OwnerRow) age(now time.Duration) time.Duration {
	return now - time.Duration(r.BeatMillis)*time.Millisecond
}

// Target is the row by which planners find a target process.
type Target struct {
	Address string // of the agent
	// Leaving is set by a process that is about to delete the row. The next process of the target
	// writes the row again, so that a deletion that takes effect late finds another version.
	Leaving bool `json:",omitempty"`
}

func (t Target) encode() []byte { return table.EncodeValue(t) }

// DecodeTarget decodes the value of a target's row.
func DecodeTarget(value []byte) (Target, error) {
	var t Target
	if err := json.Unmarshal(value, &t); err != nil {
		return Target{}, fmt.Errorf("decode target: %w", err)
	}
	return t, nil
}

func newToken() string { return rand.Text() }

// ownerRange selects the owner's row.
func ownerRange(part string) table.Range {
	return table.Range{Table: TableShard, Part: part, From: OwnerKey, To: OwnerKey + "\x00"}
}
