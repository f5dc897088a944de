package shard

import (
	"crypto/rand"
	"encoding/json"
	"fmt"
	"time"

	"github.com/medlargrade/medlargrade/state/table"
)

// Tables of the store.
const (
	// TableShard has the row of the owner under OwnerKey.
	TableShard = "Shard"
	// TableTargets has a Target under the name of each target.
	TableTargets = "Targets"
)

// OwnerKey is the key of the owner's row in TableShard.
const OwnerKey = "Owner"

// OwnerRow names the process that plans a shard.
type OwnerRow struct {
	Epoch   uint64
	Name    string // empty if the owner has left
	Address string
	Boot    uint64 // random, of the owner's start
	// BeatMillis is the store's steady clock when the row was sent.
	BeatMillis int64
	Token      string // of the write
	// GrantsMillis is the store's steady clock until which former owners may extend
	// leases or may have done so without a record of it in Silent.
	GrantsMillis int64 `json:",omitempty"`
	// Silent has, for each target that does not answer, the store's steady clock at
	// its last answer, in milliseconds. Leases on it lapse counted from then,
	// whoever owns the shard.
	Silent map[string]int64 `json:",omitempty"`
}

// grants returns GrantsMillis for the next owner, who takes over at a time. An owner
// that leaves stops to extend leases before it writes its last row, and one whose
// process has ended has stopped by now.
func (r OwnerRow) grants(now time.Duration, ended bool) int64 {
	if r.Epoch == 0 || r.Name == "" {
		return r.GrantsMillis
	}
	until := r.BeatMillis + grantLimit.Milliseconds()
	if ended {
		until = min(until, now.Milliseconds())
	}
	return max(r.GrantsMillis, until)
}

func (r OwnerRow) encode() []byte { return table.EncodeValue(r) }

// DecodeOwner returns the owner of a row's value.
func DecodeOwner(value []byte) (OwnerRow, error) {
	var r OwnerRow
	if err := json.Unmarshal(value, &r); err != nil {
		return OwnerRow{}, fmt.Errorf("decode owner of the shard: %w", err)
	}
	return r, nil
}

// age returns how long before the store's time the row was sent.
func (r OwnerRow) age(now time.Duration) time.Duration {
	return now - time.Duration(r.BeatMillis)*time.Millisecond
}

// Target is the row by which planners find a target process.
type Target struct {
	Address string
}

func (t Target) encode() []byte { return table.EncodeValue(t) }

// DecodeTarget returns the target of a row's value.
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
