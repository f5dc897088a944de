package placement

import (
	"cmp"
	"slices"
	"time"

	"github.com/medlargrade/medlargrade/operator"
)

// Node is a target as far as placement needs it.
type Node struct {
	Name       string // unique
	Rack       string // unique within the data centre
	DataCentre string
	Slots      int  // in total
	Free       int  // neither held nor running
	KeepFree   int  // slots that only short work and guarantee claims may take
	Unusable   bool // leaving, not ready or on probation
}

// Request is what a job asks for.
type Request struct {
	Shape operator.Shape
	// UseLane allows the slots of Node.KeepFree. Set it for short work and for
	// guarantee claims: a shape of whole workers fits on no worker with a lane.
	UseLane bool
	// End is the estimated end if started now. Work without one never uses the
	// slots held for a waiting gang.
	End time.Time
	// Holder marks the gang for which the slots of Hold are kept.
	Holder bool
	// Exclude names targets that the job must not use.
	Exclude []string
}

// Member is the place of one member of a gang.
type Member struct {
	Target string
	Slots  int
}

// Placement lists the members of a gang by target name. A target occurs once for
// each member that it runs.
type Placement []Member

// Site is a set of nodes in racks.
type Site struct {
	nodes []Node // by data centre, rack and name
	index map[string]int
	racks []rack
	rack  []int // of each node
	holds map[int]Held
	start time.Time // of the holds
}

// rack is a range of nodes with the sums of its usable ones.
type rack struct {
	first, end  int
	free, slots int
}

// NewSite returns a site of the given nodes.
func NewSite(nodes []Node) *Site {
	s := &Site{nodes: slices.Clone(nodes), index: make(map[string]int, len(nodes)), rack: make([]int, len(nodes))}
	slices.SortFunc(s.nodes, func(a, b Node) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.Rack, b.Rack), cmp.Compare(a.Name, b.Name))
	})
	for i, n := range s.nodes {
		s.index[n.Name] = i
		if i == 0 || n.Rack != s.nodes[i-1].Rack || n.DataCentre != s.nodes[i-1].DataCentre {
			s.racks = append(s.racks, rack{first: i})
		}
		k := len(s.racks) - 1
		s.rack[i] = k
		s.racks[k].end = i + 1
		s.count(i, 1)
	}
	return s
}

// Clone returns an independent copy of s.
func (s *Site) Clone() *Site {
	c := *s
	c.nodes = slices.Clone(s.nodes)
	c.racks = slices.Clone(s.racks)
	return &c
}

// Node returns the node of that name.
func (s *Site) Node(name string) (Node, bool) {
	i, ok := s.index[name]
	if !ok {
		return Node{}, false
	}
	return s.nodes[i], true
}

// Update replaces the node of the same name and rack. It returns false if the
// site has none; build a new site then.
func (s *Site) Update(n Node) bool {
	i, ok := s.index[n.Name]
	if !ok || s.nodes[i].Rack != n.Rack || s.nodes[i].DataCentre != n.DataCentre {
		return false
	}
	s.count(i, -1)
	s.nodes[i] = n
	s.count(i, 1)
	return true
}

// Take marks the slots of p as used.
func (s *Site) Take(p Placement) { s.add(p, -1) }

// Give marks the slots of p as free.
func (s *Site) Give(p Placement) { s.add(p, 1) }

func (s *Site) add(p Placement, sign int) {
	for _, m := range p {
		if i, ok := s.index[m.Target]; ok {
			s.addFree(i, sign*m.Slots)
		}
	}
}

func (s *Site) addFree(i, slots int) {
	s.count(i, -1)
	s.nodes[i].Free += slots
	s.count(i, 1)
}

// count adds the node to the sums of its rack, or takes it out.
func (s *Site) count(i, sign int) {
	n := s.nodes[i]
	if n.Unusable {
		return
	}
	r := &s.racks[s.rack[i]]
	r.free += sign * n.Free
	r.slots += sign * n.Slots
}

// avail returns the slots of a node that the request may use.
func (s *Site) avail(i int, r Request) int {
	n := &s.nodes[i]
	if n.Unusable || len(r.Exclude) > 0 && slices.Contains(r.Exclude, n.Name) {
		return 0
	}
	free := n.Free
	if !r.UseLane {
		free -= n.KeepFree
	}
	if len(s.holds) > 0 && !r.Holder && (r.End.IsZero() || r.End.After(s.start)) {
		if h, ok := s.holds[i]; ok {
			free = min(free, h.Spare)
		}
	}
	return max(free, 0)
}
