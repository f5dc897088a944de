package scheduler

import (
	"context"
	"errors"
	"time"

	"github.com/medlargrade/medlargrade/coordination/configsync"
	"github.com/medlargrade/medlargrade/protocol/targetrpc"
	"github.com/medlargrade/medlargrade/state/rows"
)

// ErrNotSent marks a call that never left the entry, so that its request is
// known not to have had an effect. Implementations of Targets wrap it.
var ErrNotSent = errors.New("request not sent")

// Session is the right to send effects to one target process. It ends when the
// target process restarts, leaves it unanswered or forgets it.
type Session struct {
	ID          uint64
	Incarnation uint64 // of the target process
	Target      string
	Address     string // IP:port of the target process
	Client      targetrpc.DRPCTargetClient
	Uptime      time.Duration // of the target process before anything is sent in the session from now on
	Live        func() bool   // false once the target may have expired the session
}

// Targets gives access to target processes.
type Targets interface {
	// Session returns a live session with the target process at the address.
	Session(ctx context.Context, address string) (Session, error)
	// Client returns a client for calls that need no session.
	Client(ctx context.Context, address string) (targetrpc.DRPCTargetClient, error)
}

// Members tells which entries are alive.
type Members interface {
	// Silent reports whether the entry's incarnation is known to have ended: its
	// row is gone, names another incarnation, or has not changed for the owner
	// silence.
	Silent(entry string, incarnation uint64) bool
	// SilentEntries returns the names of the silent entries.
	SilentEntries() []string
	// Addresses returns where the live entries listen for targets.
	Addresses() []string
	// Remove forgets a silent entry whose queued jobs have been taken over.
	Remove(ctx context.Context, entry string)
}

// Config gives the configuration in force. An entry combines a
// configsync.Holder and a configsync.EntrySync.
type Config interface {
	// Current returns the configuration that the entry holds.
	Current() configsync.Snapshot
	// Changed returns a channel that is closed by the next change.
	Changed() <-chan struct{}
	// IsReady reports whether the held generation was read from the store after
	// the start of the process.
	IsReady() bool
	// Learn tells of a generation that a peer has seen.
	Learn(generation uint64)
}

// Peers are the parts that a Scheduler works with.
type Peers struct {
	Store   rows.Store
	Targets Targets
	Config  Config
	Members Members
}
