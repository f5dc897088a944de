package operator

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"
)

// The JSON form of a configuration. Lists are never null. Fields with omitempty are
// present only if they differ from what NewWorkspace, NewKind, NewPool and NewConfig set;
// all others are always present.
type (
	configJSON struct {
		Site       siteJSON
		Workspaces []workspaceJSON
		Kinds      []kindJSON
		Pools      []poolJSON  `json:",omitempty"`
		Limits     *limitsJSON `json:",omitempty"`
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
		Name                        string
		QueueLimit                  int
		Guarantees                  []shapeJSON
		ExtraGuaranteedAccelerators int      `json:",omitempty"`
		Keys                        []string `json:",omitempty"`
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
		Limit      string      // in the format of time.Duration.String, as all durations
		Pool       string      `json:",omitempty"`
		Priority   *int        `json:",omitempty"` // missing for that of the class
		Attempts   int         `json:",omitempty"`
		Stretch    float64     `json:",omitempty"`
		Objective  string      `json:",omitempty"`
		Route      *routeJSON  `json:",omitempty"`
		Advice     *adviceJSON `json:",omitempty"`
	}
	routeJSON struct {
		Host    string
		Prefix  string
		Public  bool
		Timeout string
	}
	adviceJSON struct {
		CallTime       string
		TimePerWorker  string
		TicketLifetime string
	}
	poolJSON struct {
		Name           string
		HealthPath     string
		Connections    int
		AdmissionCheck bool
		Spare          bool
	}
	limitsJSON struct {
		HeaderBytes   int
		BodyBytes     int
		HeaderTimeout string
		IdleTimeout   string
	}
)

// JSON returns the indented JSON form of c with a final newline. It has all that a
// configuration holds, API keys included: equal configurations have the same JSON form,
// and Parse returns the configuration. Names must be valid UTF-8 and the stretch of kinds
// finite; Check reports others.
func (c Config) JSON() []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	enc.SetIndent("", "  ")
	if err := enc.Encode(toConfigJSON(c)); err != nil {
		// Every value of the types above can be encoded; toKindJSON leaves out a
		// stretch that can't.
		panic(fmt.Sprintf("operator: encode configuration: %v", err))
	}
	return b.Bytes()
}

// Equal reports whether c and other are the same in all that a configuration holds, with
// lists in the same order.
func (c Config) Equal(other Config) bool {
	return equalSites(c.site, other.site) &&
		slices.EqualFunc(c.workspaces, other.workspaces, equalWorkspaces) &&
		slices.Equal(c.kinds, other.kinds) && slices.Equal(c.pools, other.pools) && c.limits == other.limits
}

func equalSites(a, b Site) bool {
	return a.name == b.name && a.slotsPerWorker == b.slotsPerWorker &&
		slices.EqualFunc(a.dataCentres, b.dataCentres, func(a, b DataCentre) bool {
			return a.name == b.name && slices.Equal(a.racks, b.racks)
		})
}

func equalWorkspaces(a, b Workspace) bool {
	return a.name == b.name && a.queueLimit == b.queueLimit && a.guaranteed == b.guaranteed &&
		slices.Equal(a.guarantees, b.guarantees) && slices.Equal(a.keys, b.keys)
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
	for _, p := range c.pools {
		j.Pools = append(j.Pools, poolJSON{p.name, p.healthPath, p.connections, p.admissionCheck, p.spare})
	}
	if c.limits != (Limits{}) {
		j.Limits = toLimitsJSON(c.limits)
	}
	return j
}

func toWorkspaceJSON(w Workspace) workspaceJSON {
	j := workspaceJSON{
		Name: w.name, QueueLimit: w.queueLimit, Guarantees: []shapeJSON{}, ExtraGuaranteedAccelerators: w.guaranteed, Keys: w.keys,
	}
	for _, s := range w.guarantees {
		j.Guarantees = append(j.Guarantees, shapeJSON{Workers: s.workers, Accelerators: s.accelerators, Adjacent: s.adjacency})
	}
	return j
}

func toKindJSON(k Kind) kindJSON {
	j := kindJSON{
		Workspace:  k.workspace,
		Name:       k.name,
		Class:      k.class,
		Idempotent: k.idempotent,
		Limit:      k.limit.String(),
		Pool:       k.pool,
		Attempts:   k.attempts,
	}
	if k.priority != k.class.priority() {
		j.Priority = &k.priority
	}
	if !math.IsNaN(k.stretch) && !math.IsInf(k.stretch, 0) {
		j.Stretch = k.stretch
	}
	if k.objective != 0 {
		j.Objective = k.objective.String()
	}
	if r := k.route; r != (Route{}) {
		j.Route = &routeJSON{r.Host, r.Prefix, r.Public, r.Timeout.String()}
	}
	if a := k.advice; a != (Advice{}) {
		j.Advice = &adviceJSON{a.CallTime.String(), a.TimePerWorker.String(), a.TicketLifetime.String()}
	}
	return j
}

func toLimitsJSON(l Limits) *limitsJSON {
	return &limitsJSON{l.HeaderBytes, l.BodyBytes, l.HeaderTimeout.String(), l.IdleTimeout.String()}
}

func fromWorkspaceJSON(j workspaceJSON) Workspace {
	w := Workspace{name: j.Name, queueLimit: j.QueueLimit, guaranteed: j.ExtraGuaranteedAccelerators, keys: j.Keys}
	for _, s := range j.Guarantees {
		w.guarantees = append(w.guarantees, Shape{workers: s.Workers, accelerators: s.Accelerators, adjacency: s.Adjacent})
	}
	return w
}

func fromPoolJSON(j poolJSON) Pool {
	return Pool{j.Name, j.HealthPath, j.Connections, j.AdmissionCheck, j.Spare}
}

func fromKindJSON(j kindJSON) (Kind, error) {
	k := NewKind(j.Workspace, j.Name, j.Class).WithIdempotent(j.Idempotent).WithPool(j.Pool).WithAttempts(j.Attempts)
	k.stretch = j.Stretch
	if j.Priority != nil {
		k.priority = *j.Priority
	}
	var d durations
	k.limit, k.objective = d.parse(j.Limit), d.parse(j.Objective)
	if r := j.Route; r != nil {
		k.route = Route{r.Host, r.Prefix, r.Public, d.parse(r.Timeout)}
	}
	if a := j.Advice; a != nil {
		k.advice = Advice{d.parse(a.CallTime), d.parse(a.TimePerWorker), d.parse(a.TicketLifetime)}
	}
	if d.err != nil {
		return Kind{}, fmt.Errorf("kind %s/%s: %w", j.Workspace, j.Name, d.err)
	}
	return k, nil
}

func fromLimitsJSON(j limitsJSON) (Limits, error) {
	var d durations
	l := Limits{j.HeaderBytes, j.BodyBytes, d.parse(j.HeaderTimeout), d.parse(j.IdleTimeout)}
	if d.err != nil {
		return Limits{}, fmt.Errorf("limits: %w", d.err)
	}
	return l, nil
}

// durations parses durations and keeps the first error.
type durations struct{ err error }

// parse returns the duration that s holds, or 0 if s is empty or malformed.
func (p *durations) parse(s string) time.Duration {
	if s == "" {
		return 0
	}
	d, err := time.ParseDuration(s)
	if p.err == nil {
		p.err = err
	}
	return d
}
