package configsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/rows"
)

// storePeer names the store in errors.
const storePeer = "store"

// Read returns the accepted configuration. If nothing was ever applied, it
// returns generation 0.
func Read(ctx context.Context, store rows.Store) (Snapshot, error) {
	head, _, err := readHead(ctx, store)
	if err != nil {
		return Snapshot{}, err
	}
	return readSnapshot(ctx, store, head.Generation, head.SnapshotKey)
}

// ReadAt returns the configuration of an earlier generation, or an error that
// wraps rows.ErrNotFound if there was none.
func ReadAt(ctx context.Context, store rows.Store, generation uint64) (Snapshot, error) {
	row, err := store.Read(ctx, rows.TableConfig, rows.ChangeKey(generation))
	if err != nil {
		return Snapshot{}, outcome.Step(fmt.Sprintf("read change %d", generation), storePeer, err)
	}
	var change ChangeRow
	if err := rows.Decode(row, &change); err != nil {
		return Snapshot{}, outcome.Step("read change", storePeer, err)
	}
	return readSnapshot(ctx, store, generation, rows.SnapshotKey(generation, change.Token))
}

// readHead returns the head and the version of its row; both are zero if
// nothing was ever applied.
func readHead(ctx context.Context, store rows.Store) (rows.Head, uint64, error) {
	row, err := store.Read(ctx, rows.TableConfig, rows.HeadKey)
	if errors.Is(err, rows.ErrNotFound) {
		return rows.Head{}, 0, nil
	}
	if err != nil {
		return rows.Head{}, 0, outcome.Step("read configuration head", storePeer, err)
	}
	var head rows.Head
	if err := rows.Decode(row, &head); err != nil {
		return rows.Head{}, 0, outcome.Step("read configuration head", storePeer, err)
	}
	return head, row.Version, nil
}

func readSnapshot(ctx context.Context, store rows.Store, generation uint64, key string) (Snapshot, error) {
	if generation == 0 {
		return Snapshot{}, nil
	}
	body, err := store.ReadObject(ctx, key)
	if err != nil {
		return Snapshot{}, outcome.Step("read configuration "+key, storePeer, err)
	}
	cfg, err := operator.Parse(body)
	if err != nil {
		return Snapshot{}, outcome.Step("read configuration "+key, storePeer, err)
	}
	return Snapshot{Generation: generation, Config: cfg}, nil
}

// readChanges returns the changes after one generation up to another, as far as
// they exist.
func readChanges(ctx context.Context, store rows.Store, after, upTo uint64) ([]Change, error) {
	limit := int(upTo - after)
	list, err := store.Scan(ctx, rows.TableConfig, "Change/", rows.ChangeKey(after), limit)
	if err != nil {
		return nil, outcome.Step("read configuration changes", storePeer, err)
	}
	changes := make([]Change, 0, limit)
	for i, row := range list {
		generation := after + 1 + uint64(i)
		if generation > upTo || row.Key != rows.ChangeKey(generation) {
			break
		}
		changes = append(changes, Change{Generation: generation, Body: row.Value})
	}
	return changes, nil
}

func encodeChange(token string, d operator.Delta) ([]byte, error) {
	b, err := json.Marshal(ChangeRow{Token: token, Delta: d})
	if err != nil {
		return nil, fmt.Errorf("encode change: %w", err)
	}
	return b, nil
}
