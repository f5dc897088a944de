package scheduler

import (
	"context"
	"errors"

	"github.com/medlargrade/medlargrade/state/rows"
)

// orphanBatch bounds how many queue rows of a silent entry one sweep reads.
const orphanBatch = 500

// adoptOrphans takes over the queued jobs of silent entries, and of former
// processes of this entry.
func (s *Scheduler) adoptOrphans(ctx context.Context) {
	if !s.peers.Config.IsReady() || s.requests.isDraining() {
		return
	}
	for _, entry := range append(s.peers.Members.SilentEntries(), s.set.Entry) {
		list, err := s.peers.Store.Scan(ctx, rows.TableQueue, entry+"/", "", orphanBatch)
		if err != nil {
			s.log.Debug().Int("Event", EventOrphanScanFailed).Str("Entry", entry).Err(err).Send()
			return
		}
		if len(list) == 0 && entry != s.set.Entry {
			s.peers.Members.Remove(ctx, entry)
		}
		for _, row := range list {
			var q rows.Queue
			if err := rows.Decode(row, &q); err != nil {
				s.log.Error().Int("Event", EventRowMalformed).Str("Key", row.Key).Err(err).Send()
				continue
			}
			s.adoptOrphan(ctx, q, row)
		}
	}
}

func (s *Scheduler) adoptOrphan(ctx context.Context, q rows.Queue, row rows.Row) {
	if _, ok := s.jobs.Get(q.Workspace, q.Key); ok {
		return
	}
	record, err := s.rec.read(ctx, q.Workspace, q.Key)
	if err != nil && !errors.Is(err, rows.ErrNotFound) {
		return
	}
	if err != nil || record.Final() {
		// The job has ended; its queue row was left behind.
		err := s.peers.Store.Write(ctx, rows.Delete(rows.TableQueue, row.Key, row.Version))
		if err != nil {
			s.log.Debug().Int("Event", EventOrphanScanFailed).Str("Key", row.Key).Err(err).Send()
		}
		return
	}
	// A row that names this process although it does not work on the job is left
	// by an adoption whose write took effect after it was given up.
	abandoned := record.Entry == s.set.Entry && record.EntryIncarnation == s.set.Incarnation
	if abandoned || s.peers.Members.Silent(record.Entry, record.EntryIncarnation) {
		s.takeOver(ctx, q.Workspace, q.Key, record)
	}
}
