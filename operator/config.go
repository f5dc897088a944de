package operator

import "slices"

// Config is the whole configuration of a site. It is immutable: each With
// method returns a changed copy. The zero Config is an empty site.
type Config struct {
	site       Site
	workspaces []Workspace
	kinds      []Kind
	pools      []Pool
	limits     Limits
}

// NewConfig returns a configuration of s without workspaces, kinds and pools.
func NewConfig(s Site) Config { return Config{site: s} }

// WithPool returns a copy of c with p added, or replaced if c has a pool of that
// name.
func (c Config) WithPool(p Pool) Config {
	c.pools = slices.Clone(c.pools)
	i := slices.IndexFunc(c.pools, func(x Pool) bool { return x.name == p.name })
	if i < 0 {
		c.pools = append(c.pools, p)
	} else {
		c.pools[i] = p
	}
	return c
}

// WithLimits returns a copy of c with l as its limits on requests.
func (c Config) WithLimits(l Limits) Config {
	c.limits = l
	return c
}

// WithSite returns a copy of c for the site s.
func (c Config) WithSite(s Site) Config {
	c.site = s
	return c
}

// WithWorkspace returns a copy of c with w added, or replaced if c has a
// workspace of that name.
func (c Config) WithWorkspace(w Workspace) Config {
	c.workspaces = slices.Clone(c.workspaces)
	i := slices.IndexFunc(c.workspaces, func(x Workspace) bool { return x.name == w.name })
	if i < 0 {
		c.workspaces = append(c.workspaces, w)
	} else {
		c.workspaces[i] = w
	}
	return c
}

// WithoutWorkspace returns a copy of c without the workspace and its kinds.
func (c Config) WithoutWorkspace(name string) Config {
	c.workspaces = slices.DeleteFunc(slices.Clone(c.workspaces), func(x Workspace) bool { return x.name == name })
	c.kinds = slices.DeleteFunc(slices.Clone(c.kinds), func(x Kind) bool { return x.workspace == name })
	return c
}

// WithKind returns a copy of c with k added, or replaced if c has a kind of that
// workspace and name.
func (c Config) WithKind(k Kind) Config {
	c.kinds = slices.Clone(c.kinds)
	i := slices.IndexFunc(c.kinds, func(x Kind) bool { return x.workspace == k.workspace && x.name == k.name })
	if i < 0 {
		c.kinds = append(c.kinds, k)
	} else {
		c.kinds[i] = k
	}
	return c
}

// WithKinds returns a copy of c with all kinds replaced by ks.
func (c Config) WithKinds(ks []Kind) Config {
	c.kinds = slices.Clone(ks)
	return c
}

// WithoutKind returns a copy of c without the kind.
func (c Config) WithoutKind(workspace, name string) Config {
	c.kinds = slices.DeleteFunc(slices.Clone(c.kinds), func(x Kind) bool { return x.workspace == workspace && x.name == name })
	return c
}

// Site returns the site.
func (c Config) Site() Site { return c.site }

// Workspaces returns the workspaces in the order in which they were added.
func (c Config) Workspaces() []Workspace { return slices.Clone(c.workspaces) }

// Kinds returns the kinds in the order in which they were added.
func (c Config) Kinds() []Kind { return slices.Clone(c.kinds) }

// Pools returns the pools in the order in which they were added.
func (c Config) Pools() []Pool { return slices.Clone(c.pools) }

// Limits returns the limits on requests, by default DefaultLimits.
func (c Config) Limits() Limits {
	if c.limits == (Limits{}) {
		return DefaultLimits()
	}
	return c.limits
}

// Workspace returns the workspace of that name.
func (c Config) Workspace(name string) (Workspace, bool) {
	for _, w := range c.workspaces {
		if w.name == name {
			return w, true
		}
	}
	return Workspace{}, false
}

// Kind returns the kind of that workspace and name.
func (c Config) Kind(workspace, name string) (Kind, bool) {
	for _, k := range c.kinds {
		if k.workspace == workspace && k.name == name {
			return k, true
		}
	}
	return Kind{}, false
}
