package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// The JSON form of a configuration. Every field is always present, and lists
// are never null.
type (
	configJSON struct {
		Site       siteJSON
		Workspaces []workspaceJSON
		Kinds      []kindJSON
	}
	siteJSON struct {
		Name           string
		SlotsPerWorker int
		DataCentres    []dataCentreJSON
	}
	dataCentreJSON struct {
		Name  string
		Racks []rackJSON
	}
	rackJSON struct {
		Name    string
		Workers int
	}
	workspaceJSON struct {
		Name       string
		QueueLimit int
		Guarantees []shapeJSON
	}
	shapeJSON struct {
		Workers      int
		Accelerators int
		Adjacent     Adjacency
	}
	kindJSON struct {
		Workspace  string
		Name       string
		Class      Class
		Idempotent bool
		Limit      string // in the format of time.Duration.String
	}
)

// JSON returns the indented JSON form of c with a final newline. Equal
// configurations have the same JSON form. Names must be valid UTF-8; Check reports
// others.
//
// The JSON form has the site, the workspaces with their queue limits and guaranteed
// shapes, and the kinds with their classes, idempotency and run time limits. It
// leaves out everything else, such as pools, API keys and routes.
func (c Config) JSON() []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(toConfigJSON(c)); err != nil {
		// Every value of the types above can be encoded.
		panic(fmt.Sprintf("operator: encode configuration: %v", err))
	}
	return b.Bytes()
}

// Equal reports whether c and other have the same site, workspaces and kinds in the
// same order. It compares all properties of kinds, but only the names, queue limits and
// guaranteed shapes of workspaces. It ignores their API keys and
// ExtraGuaranteedAccelerators, and the pools and limits of the configuration. Equal
// configurations have the same JSON form; the converse does not hold, because the JSON
// form leaves out some properties of kinds.
func (c Config) Equal(other Config) bool {
	return equalSites(c.site, other.site) &&
		slices.EqualFunc(c.workspaces, other.workspaces, equalWorkspaces) &&
		slices.Equal(c.kinds, other.kinds)
}

func equalSites(a, b Site) bool {
	return a.name == b.name && a.slotsPerWorker == b.slotsPerWorker &&
		slices.EqualFunc(a.dataCentres, b.dataCentres, func(a, b DataCentre) bool {
			return a.name == b.name && slices.Equal(a.racks, b.racks)
		})
}

func equalWorkspaces(a, b Workspace) bool {
	return a.name == b.name && a.queueLimit == b.queueLimit && slices.Equal(a.guarantees, b.guarantees)
}

func toConfigJSON(c Config) configJSON {
	j := configJSON{
		Site: siteJSON{
			Name:           c.site.name,
			SlotsPerWorker: c.site.slotsPerWorker,
			DataCentres:    []dataCentreJSON{},
		},
		Workspaces: []workspaceJSON{},
		Kinds:      []kindJSON{},
	}
	for _, d := range c.site.dataCentres {
		dj := dataCentreJSON{Name: d.name, Racks: []rackJSON{}}
		for _, r := range d.racks {
			dj.Racks = append(dj.Racks, rackJSON{Name: r.name, Workers: r.workers})
		}
		j.Site.DataCentres = append(j.Site.DataCentres, dj)
	}
	for _, w := range c.workspaces {
		j.Workspaces = append(j.Workspaces, toWorkspaceJSON(w))
	}
	for _, k := range c.kinds {
		j.Kinds = append(j.Kinds, toKindJSON(k))
	}
	return j
}

func toWorkspaceJSON(w Workspace) workspaceJSON {
	j := workspaceJSON{Name: w.name, QueueLimit: w.queueLimit, Guarantees: []shapeJSON{}}
	for _, s := range w.guarantees {
		j.Guarantees = append(j.Guarantees, shapeJSON{Workers: s.workers, Accelerators: s.accelerators, Adjacent: s.adjacency})
	}
	return j
}

func toKindJSON(k Kind) kindJSON {
	return kindJSON{
		Workspace:  k.workspace,
		Name:       k.name,
		Class:      k.class,
		Idempotent: k.idempotent,
		Limit:      k.limit.String(),
	}
}

func fromWorkspaceJSON(j workspaceJSON) Workspace {
	w := Workspace{name: j.Name, queueLimit: j.QueueLimit}
	for _, s := range j.Guarantees {
		w.guarantees = append(w.guarantees, Shape{workers: s.Workers, accelerators: s.Accelerators, adjacency: s.Adjacent})
	}
	return w
}

func fromKindJSON(j kindJSON) (Kind, error) {
	d, err := time.ParseDuration(j.Limit)
	if err != nil {
		return Kind{}, fmt.Errorf("kind %s/%s: %w", j.Workspace, j.Name, err)
	}
	return NewKind(j.Workspace, j.Name, j.Class).WithIdempotent(j.Idempotent).WithLimit(d), nil
}
