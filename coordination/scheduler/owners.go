package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/membership"
)

// Owners tells from the entries' rows whether the owner of a job has ended. It
// implements Members.
type Owners struct {
	observer *membership.Observer

	mu      sync.Mutex
	missing map[membership.Member]time.Time // when an owner was first not found
}

// NewOwners returns the owners that the observer knows.
func NewOwners(o *membership.Observer) *Owners {
	return &Owners{observer: o, missing: make(map[membership.Member]time.Time)}
}

// Silent reports whether the entry's incarnation has ended. An incarnation whose
// row is not found counts as ended only after the owner silence, because it may
// have started after the latest scan.
func (o *Owners) Silent(entry string, incarnation uint64) bool {
	for _, m := range o.observer.Silent() {
		if m.Name == entry && m.Incarnation == incarnation {
			return true
		}
	}
	owner := membership.Member{Name: entry, Incarnation: incarnation}
	now := time.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, m := range o.observer.List() {
		if m.Name == entry && m.Incarnation == incarnation {
			delete(o.missing, owner)
			return false
		}
	}
	since, ok := o.missing[owner]
	if !ok {
		o.missing[owner] = now
		o.prune(now)
		return false
	}
	return now.Sub(since) >= membership.SilentAfter
}

// prune drops owners that nobody has asked for in a while.
func (o *Owners) prune(now time.Time) {
	for m, since := range o.missing {
		if now.Sub(since) > resultRetention {
			delete(o.missing, m)
		}
	}
}

// SilentEntries returns the names of the silent entries.
func (o *Owners) SilentEntries() []string {
	var names []string
	for _, m := range o.observer.Silent() {
		names = append(names, m.Name)
	}
	return names
}

// Addresses returns where the live entries listen for targets.
func (o *Owners) Addresses() []string {
	var list []string
	for _, m := range o.observer.List() {
		list = append(list, m.Address)
	}
	return list
}

// Remove drops the row of a silent entry whose queued jobs have been taken over.
func (o *Owners) Remove(ctx context.Context, entry string) {
	for _, m := range o.observer.Silent() {
		if m.Name == entry {
			// If the row has changed the entry is back; the next scan shows it.
			_ = o.observer.Remove(ctx, m)
		}
	}
}
