package admission

import (
	"cmp"
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/medlargrade/medlargrade/coordination/outcome"
	"github.com/medlargrade/medlargrade/operator"
)

// Item is a waiting request.
type Item struct {
	ID        string // unique in the queue
	Workspace string
	Class     operator.Class
	Cost      float64 // service that the request takes, e.g. in slot seconds; at least minCost is charged
	Enqueued  time.Time
	Deadline  time.Time // zero for none
}

// minCost keeps a workspace from starting any number of requests without cost.
const minCost = 0.001

// Decision is what Scan does with the item that it has offered.
type Decision int

// Decisions.
const (
	Take          Decision = iota // remove the item and charge its workspace
	Skip                          // leave it
	SkipClass                     // leave it and the rest of its class in its workspace
	SkipWorkspace                 // leave it and the rest of its workspace
	Stop                          // leave it and end the scan
)

// Queue holds waiting requests by workspace.
type Queue struct {
	scan   sync.Mutex // held during a scan, so that no item is offered twice at once
	mu     sync.Mutex
	spaces []*space // by name
	vtime  float64  // start tag of the last item taken
	index  map[string]*place
}

type place struct {
	space *space
	class int
	elem  *list.Element
}

// space is the queue of one workspace.
type space struct {
	name   string
	weight float64
	limit  int
	tag    float64 // start tag of its next item
	lists  [3]*list.List
	drain  [3]window // items taken since the list was last empty
}

// NewQueue returns an empty queue for the workspaces of cfg.
func NewQueue(cfg operator.Config) *Queue {
	q := &Queue{index: make(map[string]*place)}
	q.Configure(cfg)
	return q
}

// Configure takes over the workspaces of cfg, with their guarantees as weights (at
// least 1) and their queue limits. It returns the items of workspaces that are
// gone, which are no longer queued.
func (q *Queue) Configure(cfg operator.Config) []Item {
	q.mu.Lock()
	defer q.mu.Unlock()
	old := q.spaces
	q.spaces = nil
	for _, w := range cfg.Workspaces() {
		i := slices.IndexFunc(old, func(s *space) bool { return s.name == w.Name() })
		s := &space{name: w.Name(), lists: [3]*list.List{list.New(), list.New(), list.New()}}
		if i >= 0 {
			s = old[i]
			old = slices.Delete(old, i, i+1)
		}
		s.weight, s.limit = max(float64(w.GuaranteedSlots()), 1), w.QueueLimit()
		q.spaces = append(q.spaces, s)
	}
	slices.SortFunc(q.spaces, func(a, b *space) int { return cmp.Compare(a.name, b.name) })
	var dropped []Item
	for _, s := range old {
		for _, l := range s.lists {
			for e := l.Front(); e != nil; e = e.Next() {
				it := e.Value.(Item)
				dropped = append(dropped, it)
				delete(q.index, it.ID)
			}
		}
	}
	return dropped
}

// Push appends an item. It returns false and the refusal if the workspace is
// unknown or its queue is full, or if the observed drain rate says that the
// item's turn comes after its deadline.
func (q *Queue) Push(it Item, now time.Time) (outcome.NotRun, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.space(it.Workspace)
	if s == nil {
		return outcome.NotRun{Reason: outcome.ReasonInvalid, Detail: "unknown workspace " + it.Workspace}, false
	}
	if _, ok := q.index[it.ID]; ok {
		return outcome.NotRun{Reason: outcome.ReasonInvalid, Detail: "request " + it.ID + " is already queued"}, false
	}
	c := classIndex(it.Class)
	if s.len() >= s.room(c) {
		return outcome.NotRun{Reason: outcome.ReasonQueueFull, RetryAfter: s.retryAfter(c, now)}, false
	}
	if wait, ok := s.wait(c, now); ok && !it.Deadline.IsZero() && now.Add(wait).After(it.Deadline) {
		return outcome.NotRun{Reason: outcome.ReasonNoCapacity, RetryAfter: s.retryAfter(c, now)}, false
	}
	q.insert(s, c, it, false)
	return outcome.NotRun{}, true
}

// PushFront puts an item that has already been admitted, such as preempted work,
// before all others of its class. It returns false if the workspace is unknown or
// the item is already queued.
func (q *Queue) PushFront(it Item) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := q.space(it.Workspace)
	if s == nil || q.index[it.ID] != nil {
		return false
	}
	q.insert(s, classIndex(it.Class), it, true)
	return true
}

func (q *Queue) insert(s *space, c int, it Item, front bool) {
	if s.len() == 0 {
		s.tag = max(s.tag, q.vtime)
	}
	if s.lists[c].Len() == 0 {
		s.drain[c] = window{start: it.Enqueued}
	}
	p := &place{space: s, class: c}
	if front {
		p.elem = s.lists[c].PushFront(it)
	} else {
		p.elem = s.lists[c].PushBack(it)
	}
	q.index[it.ID] = p
}

// Remove takes out an item without charge, for example after a cancellation.
func (q *Queue) Remove(id string) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, ok := q.index[id]
	if ok {
		p.space.lists[p.class].Remove(p.elem)
		delete(q.index, id)
	}
	return ok
}

// Len returns the number of items of a workspace, or of all for "".
func (q *Queue) Len(workspace string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	if workspace == "" {
		return len(q.index)
	}
	if s := q.space(workspace); s != nil {
		return s.len()
	}
	return 0
}

// Scan offers items in fair order until visit stops it or all have been offered.
// Items that are not taken keep their place and cost nothing. visit may call the
// other methods of q, but not Scan. If an item is removed just before or while it is
// offered, it is not taken, and the rest of its class is skipped in this scan.
func (q *Queue) Scan(now time.Time, visit func(Item) Decision) {
	q.scan.Lock()
	defer q.scan.Unlock()
	q.mu.Lock()
	defer q.mu.Unlock()
	cursors := make([]cursor, 0, len(q.spaces))
	for _, s := range q.spaces {
		if s.len() > 0 {
			cursors = append(cursors, newCursor(s))
		}
	}
	for {
		best := -1
		for i := range cursors {
			if cursors[i].elem != nil && (best < 0 || cursors[i].tag < cursors[best].tag) {
				best = i
			}
		}
		if best < 0 {
			return
		}
		c := &cursors[best]
		elem, it, class := c.elem, c.elem.Value.(Item), c.class
		p := q.index[it.ID]
		if p == nil || p.elem != elem { // removed during the visit of another item
			c.skipClass()
			continue
		}
		// Skipped items count in this scan only, so that each workspace gets its
		// share of the offers.
		c.tag += max(it.Cost, minCost) / c.space.weight
		decision := q.offer(it, visit)
		if decision != Stop && q.index[it.ID] != p {
			c.skipClass() // the element has no successor any more
			continue
		}
		switch decision {
		case Take:
			c.next()
			q.take(c.space, class, elem, now)
		case Skip:
			c.next()
		case SkipClass:
			c.skipClass()
		case SkipWorkspace:
			c.elem = nil
		case Stop:
			return
		}
	}
}

// offer calls visit without the lock of q.
func (q *Queue) offer(it Item, visit func(Item) Decision) Decision {
	q.mu.Unlock()
	defer q.mu.Lock()
	return visit(it)
}

func (q *Queue) take(s *space, class int, elem *list.Element, now time.Time) {
	it := s.lists[class].Remove(elem).(Item)
	delete(q.index, it.ID)
	s.drain[class].add(now, 1)
	q.vtime = max(q.vtime, s.tag)
	s.tag += max(it.Cost, minCost) / s.weight
}

// cursor walks over the items of one workspace during a scan.
type cursor struct {
	space *space
	class int
	elem  *list.Element
	tag   float64
}

func newCursor(s *space) cursor {
	c := cursor{space: s, class: -1, tag: s.tag}
	c.skipClass()
	return c
}

func (c *cursor) next() {
	if c.elem = c.elem.Next(); c.elem == nil {
		c.skipClass()
	}
}

func (c *cursor) skipClass() {
	c.elem = nil
	for c.elem == nil && c.class < len(c.space.lists)-1 {
		c.class++
		c.elem = c.space.lists[c.class].Front()
	}
}

func (q *Queue) space(name string) *space {
	for _, s := range q.spaces {
		if s.name == name {
			return s
		}
	}
	return nil
}

// classIndex orders the classes within a workspace's turn.
func classIndex(c operator.Class) int {
	switch c {
	case operator.ClassShort:
		return 0
	case operator.ClassFill:
		return 2
	case operator.ClassLong:
	}
	return 1
}
