package configuration

import (
	"cmp"
	"slices"
	"strings"

	"github.com/medlargrade/medlargrade/coordination/evacuation"
	"github.com/medlargrade/medlargrade/operator"
)

// Snapshot is one version of the configuration, with the data centres that are evacuated. It is
// immutable. Several snapshots of one version can follow each other, because evacuations have no
// version.
type Snapshot struct {
	Version uint64
	Config  operator.Config

	kinds          map[string]operator.Kind
	kindsByHost    map[string][]operator.Kind // longest prefix first
	workspaces     map[string]operator.Workspace
	workspaceByKey map[string]string // workspace names by API key
	pools          map[string]operator.Pool
	evacuations    evacuation.Set
}

// NewSnapshot returns the snapshot of a configuration.
func NewSnapshot(version uint64, cfg operator.Config) *Snapshot {
	s := &Snapshot{
		Version: version, Config: cfg, kinds: make(map[string]operator.Kind), kindsByHost: make(map[string][]operator.Kind),
		workspaces: make(map[string]operator.Workspace), workspaceByKey: make(map[string]string), pools: make(map[string]operator.Pool),
	}
	for _, k := range cfg.Kinds() {
		s.kinds[kindKey(k.Workspace(), k.Name())] = k
		if r := k.Route(); r.Prefix != "" {
			host := strings.ToLower(r.Host)
			s.kindsByHost[host] = append(s.kindsByHost[host], k)
		}
	}
	for _, list := range s.kindsByHost {
		slices.SortStableFunc(list, func(x, y operator.Kind) int {
			return cmp.Compare(len(y.Route().Prefix), len(x.Route().Prefix))
		})
	}
	for _, w := range cfg.Workspaces() {
		s.workspaces[w.Name()] = w
		for _, k := range w.Keys() {
			s.workspaceByKey[k] = w.Name()
		}
	}
	for _, p := range cfg.Pools() {
		s.pools[p.Name()] = p
	}
	return s
}

// WithEvacuations returns a copy of the snapshot with other evacuated data centres.
func (s *Snapshot) WithEvacuations(e evacuation.Set) *Snapshot {
	c := *s
	c.evacuations = e
	return &c
}

// Evacuations returns the evacuated data centres.
func (s *Snapshot) Evacuations() evacuation.Set { return s.evacuations }

func kindKey(workspace, name string) string { return workspace + "/" + name }

// Kind returns the kind with the given name that a workspace may use: its own, or
// else the one shared by all workspaces.
func (s *Snapshot) Kind(workspace, name string) (operator.Kind, bool) {
	if k, ok := s.kinds[kindKey(workspace, name)]; ok {
		return k, true
	}
	k, ok := s.kinds[kindKey("", name)]
	return k, ok
}

// Workspace returns the workspace with the given name.
func (s *Snapshot) Workspace(name string) (operator.Workspace, bool) {
	w, ok := s.workspaces[name]
	return w, ok
}

// WorkspaceOfKey returns the name of the workspace that an API key belongs to.
func (s *Snapshot) WorkspaceOfKey(key string) (string, bool) {
	w, ok := s.workspaceByKey[key]
	return w, ok
}

// Pool returns the pool with the given name.
func (s *Snapshot) Pool(name string) (operator.Pool, bool) {
	p, ok := s.pools[name]
	return p, ok
}

// Route returns the kind that serves a call: among the kinds of the host, the one
// with the longest matching path prefix. A port in host is ignored.
func (s *Snapshot) Route(host, path string) (operator.Kind, bool) {
	if name, _, ok := strings.Cut(host, ":"); ok {
		host = name
	}
	for _, k := range s.kindsByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, k.Route().Prefix) {
			return k, true
		}
	}
	return operator.Kind{}, false
}
