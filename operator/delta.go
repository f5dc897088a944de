package operator

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"slices"
	"strconv"
)

// Delta is the difference between the JSON forms of two configurations, as described
// at Config.JSON, in a form that can be sent between processes. It contains only the
// parts that differ, so its size depends on the change and not on the configuration;
// a list that is reordered adds all of its keys. The zero Delta applies to no
// configuration.
type Delta struct {
	body deltaJSON
}

type (
	deltaJSON struct {
		Base        string           // digest of the old configuration
		Result      string           // digest of the new configuration
		SiteName    *string          `json:",omitempty"`
		SlotsPer    *int             `json:"SlotsPerWorker,omitempty"`
		DataCentres *dataCentreDelta `json:",omitempty"`
		Workspaces  *workspaceDelta  `json:",omitempty"`
		Kinds       *kindDelta       `json:",omitempty"`
		Pools       *poolDelta       `json:",omitempty"`
		Limits      *limitsJSON      `json:",omitempty"`
	}
	// listDelta turns one list of unique keys into another: it removes the parts
	// of Removed, then replaces those of Set in place or appends them. Order holds
	// all keys of the new list, and is set only if these steps give another order.
	listDelta struct {
		Removed []string `json:",omitempty"`
		Set     []string `json:",omitempty"`
		Order   []string `json:",omitempty"`
	}
	dataCentreDelta struct {
		listDelta
		Parts []rackDelta `json:",omitempty"` // in the order of Set
	}
	rackDelta struct {
		Name string // of the data centre
		listDelta
		Parts []rackJSON `json:",omitempty"`
	}
	workspaceDelta struct {
		listDelta
		Parts []workspaceJSON `json:",omitempty"`
	}
	kindDelta struct {
		listDelta
		Parts []kindJSON `json:",omitempty"`
	}
	poolDelta struct {
		listDelta
		Parts []poolJSON `json:",omitempty"`
	}
)

// NewDelta returns the delta that turns old into updated.
func NewDelta(old, updated Config) Delta {
	b := deltaJSON{Base: old.digest(), Result: updated.digest()}
	if old.site.name != updated.site.name {
		b.SiteName = &updated.site.name
	}
	if old.site.slotsPerWorker != updated.site.slotsPerWorker {
		b.SlotsPer = &updated.site.slotsPerWorker
	}
	b.DataCentres = newDataCentreDelta(old.site.dataCentres, updated.site.dataCentres)

	newJSON := toConfigJSON(updated)
	l := newListDelta(workspaceKeys(old.workspaces), workspaceKeys(updated.workspaces), func(i, j int) bool {
		return equalWorkspaces(old.workspaces[i], updated.workspaces[j])
	})
	if !l.empty() {
		b.Workspaces = &workspaceDelta{listDelta: l}
		index := indexKeys(workspaceKeys(updated.workspaces))
		for _, key := range l.Set {
			b.Workspaces.Parts = append(b.Workspaces.Parts, newJSON.Workspaces[index[key]])
		}
	}
	l = newListDelta(kindKeys(old.kinds), kindKeys(updated.kinds), func(i, j int) bool {
		return old.kinds[i] == updated.kinds[j]
	})
	if !l.empty() {
		b.Kinds = &kindDelta{listDelta: l}
		index := indexKeys(kindKeys(updated.kinds))
		for _, key := range l.Set {
			b.Kinds.Parts = append(b.Kinds.Parts, newJSON.Kinds[index[key]])
		}
	}
	l = newListDelta(poolKeys(old.pools), poolKeys(updated.pools), func(i, j int) bool {
		return old.pools[i] == updated.pools[j]
	})
	if !l.empty() {
		b.Pools = &poolDelta{listDelta: l}
		index := indexKeys(poolKeys(updated.pools))
		for _, key := range l.Set {
			b.Pools.Parts = append(b.Pools.Parts, newJSON.Pools[index[key]])
		}
	}
	if old.limits != updated.limits {
		b.Limits = toLimitsJSON(updated.limits)
	}
	return Delta{body: b}
}

func newDataCentreDelta(old, updated []DataCentre) *dataCentreDelta {
	l := newListDelta(dataCentreKeys(old), dataCentreKeys(updated), func(i, j int) bool {
		return old[i].name == updated[j].name && slices.Equal(old[i].racks, updated[j].racks)
	})
	if l.empty() {
		return nil
	}
	d := &dataCentreDelta{listDelta: l}
	oldIndex, newIndex := indexKeys(dataCentreKeys(old)), indexKeys(dataCentreKeys(updated))
	for _, key := range l.Set {
		dc := updated[newIndex[key]]
		var oldRacks []Rack
		if i, ok := oldIndex[key]; ok {
			oldRacks = old[i].racks
		}
		r := rackDelta{Name: dc.name, listDelta: newListDelta(rackKeys(oldRacks), rackKeys(dc.racks), func(i, j int) bool {
			return oldRacks[i] == dc.racks[j]
		})}
		index := indexKeys(rackKeys(dc.racks))
		for _, key := range r.Set {
			rack := dc.racks[index[key]]
			r.Parts = append(r.Parts, rackJSON{Name: rack.name, Workers: rack.workers})
		}
		d.Parts = append(d.Parts, r)
	}
	return d
}

// IsEmpty reports whether applying the delta changes nothing.
func (d Delta) IsEmpty() bool { return d.body.Base == d.body.Result }

// MarshalJSON returns the JSON form of the delta.
func (d Delta) MarshalJSON() ([]byte, error) { return json.Marshal(d.body) }

// UnmarshalJSON reads the JSON form of a delta. Unknown fields are errors,
// because a change that is only partly understood must not be applied.
func (d *Delta) UnmarshalJSON(data []byte) error {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	var b deltaJSON
	if err := dec.Decode(&b); err != nil {
		return fmt.Errorf("decode configuration delta: %w", err)
	}
	d.body = b
	return nil
}

// Apply returns the configuration that results from applying the delta to old.
// It returns an error if the digest of old differs from that of the configuration
// that the delta was made from, or if the digest of the result differs from that
// of the one it was made for.
func (d Delta) Apply(old Config) (Config, error) {
	b := d.body
	if got := old.digest(); got != b.Base {
		return Config{}, fmt.Errorf("delta applies to configuration %.12s, not to %.12s", b.Base, got)
	}
	c := old
	if b.SiteName != nil {
		c.site.name = *b.SiteName
	}
	if b.SlotsPer != nil {
		c.site.slotsPerWorker = *b.SlotsPer
	}
	var err error
	if b.DataCentres != nil {
		if c.site.dataCentres, err = b.DataCentres.apply(old.site.dataCentres); err != nil {
			return Config{}, err
		}
	}
	if b.Workspaces != nil {
		if c.workspaces, err = b.Workspaces.apply(old.workspaces); err != nil {
			return Config{}, err
		}
	}
	if b.Kinds != nil {
		if c.kinds, err = b.Kinds.apply(old.kinds); err != nil {
			return Config{}, err
		}
	}
	if b.Pools != nil {
		if c.pools, err = b.Pools.apply(old.pools); err != nil {
			return Config{}, err
		}
	}
	if b.Limits != nil {
		if c.limits, err = fromLimitsJSON(*b.Limits); err != nil {
			return Config{}, err
		}
	}
	if got := c.digest(); got != b.Result {
		return Config{}, fmt.Errorf("delta leads to configuration %.12s instead of %.12s", got, b.Result)
	}
	return c, nil
}

func (d *dataCentreDelta) apply(old []DataCentre) ([]DataCentre, error) {
	if len(d.Parts) != len(d.Set) {
		return nil, errPartCount("DataCentres")
	}
	oldIndex, setIndex := indexKeys(dataCentreKeys(old)), indexKeys(d.Set)
	var list []DataCentre
	for _, key := range d.updatedKeys(dataCentreKeys(old)) {
		i, inOld := oldIndex[key]
		j, inSet := setIndex[key]
		switch {
		case inSet:
			var racks []Rack
			if inOld {
				racks = old[i].racks
			}
			racks, err := d.Parts[j].apply(racks)
			if err != nil {
				return nil, err
			}
			list = append(list, DataCentre{name: d.Parts[j].Name, racks: racks})
		case inOld:
			list = append(list, old[i])
		default:
			return nil, errNoPart("DataCentres", key)
		}
	}
	return list, nil
}

func (d *rackDelta) apply(old []Rack) ([]Rack, error) {
	if len(d.Parts) != len(d.Set) {
		return nil, errPartCount("Racks")
	}
	oldIndex, setIndex := indexKeys(rackKeys(old)), indexKeys(d.Set)
	var list []Rack
	for _, key := range d.updatedKeys(rackKeys(old)) {
		if j, ok := setIndex[key]; ok {
			list = append(list, Rack{name: d.Parts[j].Name, workers: d.Parts[j].Workers})
		} else if i, ok := oldIndex[key]; ok {
			list = append(list, old[i])
		} else {
			return nil, errNoPart("Racks", key)
		}
	}
	return list, nil
}

func (d *workspaceDelta) apply(old []Workspace) ([]Workspace, error) {
	if len(d.Parts) != len(d.Set) {
		return nil, errPartCount("Workspaces")
	}
	oldIndex, setIndex := indexKeys(workspaceKeys(old)), indexKeys(d.Set)
	var list []Workspace
	for _, key := range d.updatedKeys(workspaceKeys(old)) {
		if j, ok := setIndex[key]; ok {
			list = append(list, fromWorkspaceJSON(d.Parts[j]))
		} else if i, ok := oldIndex[key]; ok {
			list = append(list, old[i])
		} else {
			return nil, errNoPart("Workspaces", key)
		}
	}
	return list, nil
}

func (d *kindDelta) apply(old []Kind) ([]Kind, error) {
	if len(d.Parts) != len(d.Set) {
		return nil, errPartCount("Kinds")
	}
	oldIndex, setIndex := indexKeys(kindKeys(old)), indexKeys(d.Set)
	var list []Kind
	for _, key := range d.updatedKeys(kindKeys(old)) {
		if j, ok := setIndex[key]; ok {
			k, err := fromKindJSON(d.Parts[j])
			if err != nil {
				return nil, err
			}
			list = append(list, k)
		} else if i, ok := oldIndex[key]; ok {
			list = append(list, old[i])
		} else {
			return nil, errNoPart("Kinds", key)
		}
	}
	return list, nil
}

func (d *poolDelta) apply(old []Pool) ([]Pool, error) {
	if len(d.Parts) != len(d.Set) {
		return nil, errPartCount("Pools")
	}
	oldIndex, setIndex := indexKeys(poolKeys(old)), indexKeys(d.Set)
	var list []Pool
	for _, key := range d.updatedKeys(poolKeys(old)) {
		if j, ok := setIndex[key]; ok {
			list = append(list, fromPoolJSON(d.Parts[j]))
		} else if i, ok := oldIndex[key]; ok {
			list = append(list, old[i])
		} else {
			return nil, errNoPart("Pools", key)
		}
	}
	return list, nil
}

func errPartCount(list string) error { return fmt.Errorf("delta: %s has parts without keys", list) }

func errNoPart(list, key string) error { return fmt.Errorf("delta: %s has no part %q", list, key) }

// newListDelta compares two lists of unique keys. The function equal compares
// part i of the old list with part j of the new one.
func newListDelta(old, updated []string, equal func(i, j int) bool) listDelta {
	var l listDelta
	oldIndex, newIndex := indexKeys(old), indexKeys(updated)
	for _, key := range old {
		if _, ok := newIndex[key]; !ok {
			l.Removed = append(l.Removed, key)
		}
	}
	for j, key := range updated {
		if i, ok := oldIndex[key]; !ok || !equal(i, j) {
			l.Set = append(l.Set, key)
		}
	}
	if !slices.Equal(l.updatedKeys(old), updated) {
		l.Order = updated
	}
	return l
}

func (l listDelta) empty() bool { return l.Removed == nil && l.Set == nil && l.Order == nil }

// updatedKeys returns the keys of the new list, given those of the old one.
func (l listDelta) updatedKeys(old []string) []string {
	if l.Order != nil {
		return l.Order
	}
	removed, present := indexKeys(l.Removed), indexKeys(old)
	var keys []string
	for _, key := range old {
		if _, ok := removed[key]; !ok {
			keys = append(keys, key)
		}
	}
	for _, key := range l.Set {
		if _, ok := present[key]; !ok {
			keys = append(keys, key)
		}
	}
	return keys
}

// indexKeys returns the position of each key.
func indexKeys(keys []string) map[string]int {
	index := make(map[string]int, len(keys))
	for i, key := range keys {
		index[key] = i
	}
	return index
}

// uniqueKeys appends a number to each repeated name. This makes lists with
// duplicate names comparable too: Check rejects them, but Parse accepts them.
func uniqueKeys(names []string) []string {
	seen := make(map[string]bool, len(names))
	for i, name := range names {
		for n := 2; seen[names[i]]; n++ {
			names[i] = name + "#" + strconv.Itoa(n)
		}
		seen[names[i]] = true
	}
	return names
}

func dataCentreKeys(list []DataCentre) []string {
	keys := make([]string, 0, len(list))
	for _, d := range list {
		keys = append(keys, d.name)
	}
	return uniqueKeys(keys)
}

func rackKeys(list []Rack) []string {
	keys := make([]string, 0, len(list))
	for _, r := range list {
		keys = append(keys, r.name)
	}
	return uniqueKeys(keys)
}

func workspaceKeys(list []Workspace) []string {
	keys := make([]string, 0, len(list))
	for _, w := range list {
		keys = append(keys, w.name)
	}
	return uniqueKeys(keys)
}

func kindKeys(list []Kind) []string {
	keys := make([]string, 0, len(list))
	for _, k := range list {
		keys = append(keys, k.workspace+"/"+k.name)
	}
	return uniqueKeys(keys)
}

func poolKeys(list []Pool) []string {
	keys := make([]string, 0, len(list))
	for _, p := range list {
		keys = append(keys, p.name)
	}
	return uniqueKeys(keys)
}

// digest returns the SHA-256 hash of the JSON form of c in hexadecimal.
func (c Config) digest() string {
	sum := sha256.Sum256(c.JSON())
	return hex.EncodeToString(sum[:])
}
