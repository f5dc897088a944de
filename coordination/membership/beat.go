package membership

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/state/rows"
)

const (
	// BeatPeriod is the time between writes of an entry's row. 48 entries make
	// 16 writes/s of the several hundred that the store sustains.
	BeatPeriod = 3 * time.Second
	// storeTimeout bounds one beat and one scan, so that both end before the
	// next one is due.
	storeTimeout = 2 * time.Second
	// beatTries is the number of reads and writes in one beat. The second one
	// follows a conflict with another incarnation of the name.
	beatTries = 2
)

// storePeer names the store in errors.
const storePeer = "store"

// ReplacedError reports that another incarnation uses the entry's name.
type ReplacedError struct {
	Name        string
	Incarnation uint64 // of the other process
}

func (e *ReplacedError) Error() string {
	return fmt.Sprintf("entry %s has been replaced by incarnation %x", e.Name, e.Incarnation)
}

// Beater writes an entry's row.
type Beater struct {
	store rows.Store
	name  string
	entry rows.Entry // as last written; owned by Run
	log   zerolog.Logger

	joined  bool // owned by Run: the row was seen with this incarnation
	failing bool // owned by Run: the last beat failed
	written atomic.Pointer[time.Time]
}

// NewBeater returns a beater that does nothing until Run is called. The
// incarnation must be random and not zero.
func NewBeater(store rows.Store, name, address string, incarnation uint64, log zerolog.Logger) *Beater {
	return &Beater{
		store: store,
		name:  name,
		entry: rows.Entry{Address: address, Incarnation: incarnation},
		log:   log,
	}
}

// Run writes the row every BeatPeriod until the context ends, and then returns
// nil. It replaces a row that an earlier incarnation left, and returns a
// *ReplacedError once a later one has replaced its own: the process must then
// stop acting under the name. It must be called once.
//
// The row stays when Run ends. Observers see it fall silent and take over what
// is left, as after a crash.
func (b *Beater) Run(ctx context.Context) error {
	ticker := time.NewTicker(BeatPeriod)
	defer ticker.Stop()
	for {
		err := b.beat(ctx)
		var replaced *ReplacedError
		if errors.As(err, &replaced) {
			b.log.Error().Int("Event", EventReplaced).Str("Entry", b.name).Uint64("Incarnation", replaced.Incarnation).Msg("entry replaced by another incarnation")
			return err
		}
		if ctx.Err() != nil {
			return nil
		}
		b.report(err)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// LastWritten returns the start of the last beat that is known to have been
// written, or the zero time.
func (b *Beater) LastWritten() time.Time {
	if t := b.written.Load(); t != nil {
		return *t
	}
	return time.Time{}
}

// beat reads the row, which tells its version and resolves earlier lost answers,
// and writes it.
func (b *Beater) beat(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	start := time.Now()
	var err error
	for range beatTries {
		var version uint64
		if version, err = b.readVersion(ctx); err != nil {
			return err
		}
		b.entry.Beat++
		b.entry.Token = rows.NewToken()
		value, encodeErr := rows.Encode(b.entry)
		if encodeErr != nil {
			return encodeErr
		}
		err = b.store.Write(ctx, rows.Write{Table: rows.TableEntry, Key: b.name, IfVersion: version, Value: value})
		if err == nil {
			b.joined = true
			b.written.Store(&start)
			return nil
		}
		var conflict *rows.ConflictError
		if !errors.As(err, &conflict) {
			break
		}
	}
	return outcome.Step("write beat of "+b.name, storePeer, err)
}

// readVersion returns the version of the row that the next write replaces.
func (b *Beater) readVersion(ctx context.Context) (uint64, error) {
	row, err := b.store.Read(ctx, rows.TableEntry, b.name)
	if errors.Is(err, rows.ErrNotFound) {
		return 0, nil
	}
	if err != nil {
		return 0, outcome.Step("read beat of "+b.name, storePeer, err)
	}
	var found rows.Entry
	if err := rows.Decode(row, &found); err != nil {
		// A row that no observer can read protects nobody, so it is replaced.
		b.log.Warn().Int("Event", EventRowUnreadable).Str("Entry", b.name).Err(err).Msg("replacing an unreadable entry row")
		return row.Version, nil
	}
	switch {
	case found.Incarnation == b.entry.Incarnation:
		b.joined = true
	case b.joined:
		return 0, &ReplacedError{Name: b.name, Incarnation: found.Incarnation}
	default:
		b.log.Info().Int("Event", EventNameTaken).Str("Entry", b.name).Uint64("Incarnation", found.Incarnation).Msg("replacing the row of an earlier incarnation")
	}
	return row.Version, nil
}

// report logs the start and the end of an outage.
func (b *Beater) report(err error) {
	switch {
	case err != nil && !b.failing:
		b.log.Warn().Int("Event", EventBeatFailed).Str("Entry", b.name).Err(err).Msg("beat not written")
	case err == nil && b.failing:
		b.log.Info().Int("Event", EventBeatResumed).Str("Entry", b.name).Msg("beats written again")
	}
	b.failing = err != nil
}
