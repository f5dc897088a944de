package jobs

import (
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/medlargrade/medlargrade/state/rows"
)

// shardCount spreads 5,000 submissions a second over enough locks that two of
// them rarely meet.
const shardCount = 32

// Table holds the jobs of one entry.
type Table struct {
	retention time.Duration
	shards    [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	jobs map[string]*Job // by rows.JobKey
}

// NewTable returns an empty table that keeps ended jobs for the retention time.
func NewTable(retention time.Duration) *Table {
	t := &Table{retention: retention}
	for i := range t.shards {
		t.shards[i].jobs = make(map[string]*Job)
	}
	return t
}

func (t *Table) shard(key string) *shard {
	return &t.shards[xxhash.Sum64String(key)%shardCount]
}

// Add stores j unless the table has a job of the same workspace and key. It
// returns the stored job and whether it is j.
func (t *Table) Add(j *Job) (*Job, bool) {
	key := rows.JobKey(j.workspace, j.key)
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if old, ok := s.jobs[key]; ok {
		return old, false
	}
	s.jobs[key] = j
	return j, true
}

// Get returns the job of the workspace and key.
func (t *Table) Get(workspace, key string) (*Job, bool) {
	k := rows.JobKey(workspace, key)
	s := t.shard(k)
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[k]
	return j, ok
}

// Remove drops j. Another job of the same workspace and key is left alone.
func (t *Table) Remove(j *Job) {
	key := rows.JobKey(j.workspace, j.key)
	s := t.shard(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.jobs[key] == j {
		delete(s.jobs, key)
	}
}

// List returns the jobs of the workspace in key order, or all jobs if the
// workspace is empty.
func (t *Table) List(workspace string) []*Job {
	var list []*Job
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for _, j := range s.jobs {
			if workspace == "" || j.workspace == workspace {
				list = append(list, j)
			}
		}
		s.mu.Unlock()
	}
	sort.Slice(list, func(a, b int) bool {
		if c := strings.Compare(list[a].workspace, list[b].workspace); c != 0 {
			return c < 0
		}
		return list[a].key < list[b].key
	})
	return list
}

// Sweep drops the jobs that ended longer ago than the retention time.
func (t *Table) Sweep(now time.Time) {
	limit := now.Add(-t.retention)
	for i := range t.shards {
		s := &t.shards[i]
		s.mu.Lock()
		for key, j := range s.jobs {
			if j.endedBefore(limit) {
				delete(s.jobs, key)
			}
		}
		s.mu.Unlock()
	}
}
