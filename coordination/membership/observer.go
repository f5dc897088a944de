package membership

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/state/rows"
)

const (
	// ScanPeriod is the time between an observer's scans of the rows.
	ScanPeriod = 3 * time.Second
	// SilentAfter is the time without a change after which an entry is silent:
	// three beats and some delay of the store.
	SilentAfter = 10 * time.Second
	// maxScanGap is the longest time between two scans that counts as silence.
	// After a longer one, as when the observer was paused, nobody knows whether
	// the store was up in between.
	maxScanGap = 2 * ScanPeriod
	// maxOwnBeatAge is the age of the observer's own last beat up to which time
	// counts as silence. While it can't write, others probably can't either.
	maxOwnBeatAge = BeatPeriod + storeTimeout
	// scanPage is the number of rows read at a time.
	scanPage = 256
)

// Member is an entry that an observer knows.
type Member struct {
	Name        string
	Address     string
	Incarnation uint64
}

// member is the observer's state of one row.
type member struct {
	Member
	version uint64
	quiet   time.Duration // counted time without a change
	silent  bool
	valid   bool // the value could be decoded
}

// Observer watches the rows of all entries. Its methods are safe for concurrent
// use.
type Observer struct {
	store  rows.Store
	beater *Beater // nil if the observer's process has no row of its own
	log    zerolog.Logger

	failing bool      // owned by Run: the last scan failed
	last    time.Time // owned by Run: end of the last scan; zero if it failed

	mu      sync.Mutex
	members map[string]*member
	changed chan struct{} // closed by the next change; nil if nobody waits
}

// NewObserver returns an observer that does nothing until Run is called. With
// the process's own beater, time during which it can't write doesn't count as
// silence of others; the beater may be nil.
func NewObserver(store rows.Store, beater *Beater, log zerolog.Logger) *Observer {
	return &Observer{store: store, beater: beater, log: log, members: make(map[string]*member)}
}

// Run scans the rows every ScanPeriod until the context ends. It must be called
// once.
func (o *Observer) Run(ctx context.Context) {
	ticker := time.NewTicker(ScanPeriod)
	defer ticker.Stop()
	for {
		start := time.Now()
		list, err := o.scan(ctx)
		if ctx.Err() != nil {
			return
		}
		o.report(err)
		if err == nil {
			o.absorb(list, start, time.Now())
		} else {
			o.last = time.Time{}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// List returns the entries that aren't silent, by name, including the observer's
// own. An entry that the observer has just seen for the first time is listed
// until it has been silent for SilentAfter.
func (o *Observer) List() []Member { return o.filter(false) }

// Silent returns the entries whose rows have not changed for SilentAfter, by
// name.
func (o *Observer) Silent() []Member { return o.filter(true) }

// Changed returns a channel that is closed when List or Silent change next. To
// miss nothing, call Changed before them.
func (o *Observer) Changed() <-chan struct{} {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.changed == nil {
		o.changed = make(chan struct{})
	}
	return o.changed
}

// Remove deletes the row of a silent entry after its work has been taken over.
// It fails with a *rows.ConflictError if the entry has written its row since the
// last scan. An entry that was only paused inserts its row again.
func (o *Observer) Remove(ctx context.Context, m Member) error {
	o.mu.Lock()
	x, ok := o.members[m.Name]
	ok = ok && x.silent && x.Incarnation == m.Incarnation
	var version uint64
	if ok {
		version = x.version
	}
	o.mu.Unlock()
	if !ok {
		return fmt.Errorf("entry %s is not silent", m.Name)
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	err := o.store.Write(ctx, rows.Delete(rows.TableEntry, m.Name, version))
	return outcome.Step("remove entry "+m.Name, storePeer, err)
}

func (o *Observer) filter(silent bool) []Member {
	o.mu.Lock()
	defer o.mu.Unlock()
	var list []Member
	for _, x := range o.members {
		if x.valid && x.silent == silent {
			list = append(list, x.Member)
		}
	}
	slices.SortFunc(list, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return list
}

func (o *Observer) scan(ctx context.Context) ([]rows.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var list []rows.Row
	for {
		after := ""
		if len(list) > 0 {
			after = list[len(list)-1].Key
		}
		page, err := o.store.Scan(ctx, rows.TableEntry, "", after, scanPage)
		if err != nil {
			return nil, outcome.Step("scan entries", storePeer, err)
		}
		list = append(list, page...)
		if len(page) < scanPage {
			return list, nil
		}
	}
}

// absorb updates the members from a scan that ran from start to end. The rows
// were read at some moment in between, so only the time from the end of one scan
// to the start of the next is certain to have passed between two reads.
func (o *Observer) absorb(list []rows.Row, start, end time.Time) {
	passed := time.Duration(0)
	if gap := start.Sub(o.last); !o.last.IsZero() && gap <= maxScanGap {
		passed = gap
	}
	if o.beater != nil && start.Sub(o.beater.LastWritten()) > maxOwnBeatAge {
		passed = 0
	}
	o.last = end

	o.mu.Lock()
	defer o.mu.Unlock()
	changed := false
	present := make(map[string]bool, len(list))
	for _, row := range list {
		present[row.Key] = true
		changed = o.absorbRowLocked(row, passed) || changed
	}
	for name := range o.members {
		if !present[name] {
			delete(o.members, name)
			changed = true
			o.log.Info().Int("Event", EventEntryRemoved).Str("Entry", name).Msg("entry removed")
		}
	}
	if changed && o.changed != nil {
		close(o.changed)
		o.changed = nil
	}
}

// absorbRowLocked updates one member and reports whether List or Silent change.
func (o *Observer) absorbRowLocked(row rows.Row, passed time.Duration) bool {
	x := o.members[row.Key]
	if x != nil && x.version == row.Version {
		x.quiet += passed
		if x.silent || x.quiet < SilentAfter {
			return false
		}
		x.silent = true
		o.log.Warn().Int("Event", EventEntrySilent).Str("Entry", x.Name).Uint64("Incarnation", x.Incarnation).Dur("Quiet", x.quiet).Msg("entry silent")
		return x.valid
	}
	updated := &member{Member: Member{Name: row.Key}, version: row.Version}
	var entry rows.Entry
	if err := rows.Decode(row, &entry); err != nil {
		o.log.Warn().Int("Event", EventRowUnreadable).Str("Entry", row.Key).Err(err).Msg("entry row unreadable")
	} else {
		updated.Address, updated.Incarnation, updated.valid = entry.Address, entry.Incarnation, true
	}
	o.members[row.Key] = updated
	switch {
	case x == nil || x.Incarnation != updated.Incarnation:
		o.log.Info().Int("Event", EventEntrySeen).Str("Entry", row.Key).Uint64("Incarnation", updated.Incarnation).Str("Address", updated.Address).Msg("entry seen")
	case x.silent:
		o.log.Info().Int("Event", EventEntryReturned).Str("Entry", row.Key).Uint64("Incarnation", updated.Incarnation).Msg("entry returned")
	}
	return x == nil || x.silent || x.Member != updated.Member || x.valid != updated.valid
}

// report logs the start and the end of an outage.
func (o *Observer) report(err error) {
	switch {
	case err != nil && !o.failing:
		o.log.Warn().Int("Event", EventScanFailed).Err(err).Msg("entry rows unreadable")
	case err == nil && o.failing:
		o.log.Info().Int("Event", EventScanResumed).Msg("entry rows readable again")
	}
	o.failing = err != nil
}
