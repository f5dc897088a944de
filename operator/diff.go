package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// ChangeOp is the operation of a Change.
type ChangeOp string

// Operations of a Change.
const (
	OpAdded     ChangeOp = "added"
	OpRemoved   ChangeOp = "removed"
	OpChanged   ChangeOp = "changed"
	OpReordered ChangeOp = "reordered"
)

// Change is one difference between two configurations, in a form for people to
// read. Delta is the form for programs.
type Change struct {
	Op   ChangeOp
	Path string // by name, for example Workspaces[web].QueueLimit
	Old  string // empty if added
	New  string // empty if removed
}

// String returns the change as one line.
func (c Change) String() string {
	switch c.Op {
	case OpAdded:
		return fmt.Sprintf("+ %s: %s", c.Path, c.New)
	case OpRemoved:
		return fmt.Sprintf("- %s: %s", c.Path, c.Old)
	case OpChanged:
		return fmt.Sprintf("~ %s: %s -> %s", c.Path, c.Old, c.New)
	case OpReordered:
		return fmt.Sprintf("~ %s: order %s -> %s", c.Path, c.Old, c.New)
	}
	return fmt.Sprintf("%s %s: %s -> %s", c.Op, c.Path, c.Old, c.New)
}

// Diff returns the differences between two configurations: the site, then the
// workspaces, the kinds, the pools and the limits; in each, parts that were removed or
// changed, then added, then reordered. Equal configurations have no differences. API keys
// are shown by digests.
func Diff(old, updated Config) []Change {
	var d differ
	d.field("Site.Name", strconv.Quote(old.site.name), strconv.Quote(updated.site.name))
	d.field("Site.SlotsPerWorker", strconv.Itoa(old.site.slotsPerWorker), strconv.Itoa(updated.site.slotsPerWorker))
	d.dataCentres(old.site.dataCentres, updated.site.dataCentres)
	d.workspaces(old.workspaces, updated.workspaces)
	d.kinds(old.kinds, updated.kinds)
	d.pools(old.pools, updated.pools)
	d.field("Limits", describeLimits(old.limits), describeLimits(updated.limits))
	return d.changes
}

// differ collects changes. It matches parts by their keys. These are their names
// unless a list has duplicate names, which Check rejects but Parse accepts; only
// then can matched parts have different names.
type differ struct {
	changes []Change
}

// field adds a change if the values differ.
func (d *differ) field(path, old, updated string) {
	if old != updated {
		d.changes = append(d.changes, Change{Op: OpChanged, Path: path, Old: old, New: updated})
	}
}

func (d *differ) added(path, s string) {
	d.changes = append(d.changes, Change{Op: OpAdded, Path: path, New: s})
}

func (d *differ) removed(path, s string) {
	d.changes = append(d.changes, Change{Op: OpRemoved, Path: path, Old: s})
}

func (d *differ) reordered(path string, old, updated []string) {
	d.changes = append(d.changes, Change{
		Op: OpReordered, Path: path,
		Old: strings.Join(old, ", "), New: strings.Join(updated, ", "),
	})
}

// order adds a change if the new list isn't the old one with parts removed and
// new parts appended.
func (d *differ) order(path string, old, updated []string) {
	if l := newListDelta(old, updated, func(int, int) bool { return true }); l.Order != nil {
		d.reordered(path, old, updated)
	}
}

func (d *differ) dataCentres(old, updated []DataCentre) {
	oldKeys, newKeys := dataCentreKeys(old), dataCentreKeys(updated)
	for i, key := range oldKeys {
		path := fmt.Sprintf("Site.DataCentres[%s]", key)
		j := slices.Index(newKeys, key)
		if j < 0 {
			d.removed(path, describeDataCentre(old[i]))
			continue
		}
		d.field(path+".Name", old[i].name, updated[j].name)
		d.racks(path+".Racks", old[i].racks, updated[j].racks)
	}
	for j, key := range newKeys {
		if !slices.Contains(oldKeys, key) {
			d.added(fmt.Sprintf("Site.DataCentres[%s]", key), describeDataCentre(updated[j]))
		}
	}
	d.order("Site.DataCentres", oldKeys, newKeys)
}

func (d *differ) racks(path string, old, updated []Rack) {
	oldKeys, newKeys := rackKeys(old), rackKeys(updated)
	index := indexKeys(newKeys)
	for i, key := range oldKeys {
		rackPath := fmt.Sprintf("%s[%s]", path, key)
		j, ok := index[key]
		if !ok {
			d.removed(rackPath, describeRack(old[i]))
			continue
		}
		d.field(rackPath+".Name", old[i].name, updated[j].name)
		d.field(rackPath+".Workers", strconv.Itoa(old[i].workers), strconv.Itoa(updated[j].workers))
	}
	index = indexKeys(oldKeys)
	for j, key := range newKeys {
		if _, ok := index[key]; !ok {
			d.added(fmt.Sprintf("%s[%s]", path, key), describeRack(updated[j]))
		}
	}
	d.order(path, oldKeys, newKeys)
}

func (d *differ) workspaces(old, updated []Workspace) {
	oldKeys, newKeys := workspaceKeys(old), workspaceKeys(updated)
	for i, key := range oldKeys {
		path := fmt.Sprintf("Workspaces[%s]", key)
		j := slices.Index(newKeys, key)
		if j < 0 {
			d.removed(path, describeWorkspace(old[i]))
			continue
		}
		d.field(path+".Name", old[i].name, updated[j].name)
		d.field(path+".QueueLimit", strconv.Itoa(old[i].queueLimit), strconv.Itoa(updated[j].queueLimit))
		d.guarantees(path+".Guarantees", old[i].guarantees, updated[j].guarantees)
		d.field(path+".ExtraGuaranteedAccelerators", strconv.Itoa(old[i].guaranteed), strconv.Itoa(updated[j].guaranteed))
		d.field(path+".Keys", joinOrNone(keyDigests(old[i].keys)), joinOrNone(keyDigests(updated[j].keys)))
	}
	for j, key := range newKeys {
		if !slices.Contains(oldKeys, key) {
			d.added(fmt.Sprintf("Workspaces[%s]", key), describeWorkspace(updated[j]))
		}
	}
	d.order("Workspaces", oldKeys, newKeys)
}

// guarantees compares lists of shapes, which have no names. If one shape was
// removed and one added, it adds them as one change.
func (d *differ) guarantees(path string, old, updated []Shape) {
	removed, added := slices.Clone(old), []Shape(nil)
	for _, s := range updated {
		if i := slices.Index(removed, s); i >= 0 {
			removed = slices.Delete(removed, i, i+1)
		} else {
			added = append(added, s)
		}
	}
	switch {
	case len(removed) == 1 && len(added) == 1:
		d.field(path, removed[0].String(), added[0].String())
	case len(removed) == 0 && len(added) == 0 && !slices.Equal(old, updated):
		d.reordered(path, shapeStrings(old), shapeStrings(updated))
	default:
		for _, s := range removed {
			d.removed(path, s.String())
		}
		for _, s := range added {
			d.added(path, s.String())
		}
	}
}

func (d *differ) kinds(old, updated []Kind) {
	oldKeys, newKeys := kindKeys(old), kindKeys(updated)
	for i, key := range oldKeys {
		path := fmt.Sprintf("Kinds[%s]", key)
		j := slices.Index(newKeys, key)
		if j < 0 {
			d.removed(path, describeKind(old[i]))
			continue
		}
		d.field(path+".Workspace", old[i].workspace, updated[j].workspace)
		d.field(path+".Name", old[i].name, updated[j].name)
		d.field(path+".Class", string(old[i].class), string(updated[j].class))
		d.field(path+".Idempotent", strconv.FormatBool(old[i].idempotent), strconv.FormatBool(updated[j].idempotent))
		d.field(path+".Limit", old[i].limit.String(), updated[j].limit.String())
		d.field(path+".Pool", strconv.Quote(old[i].pool), strconv.Quote(updated[j].pool))
		d.field(path+".Priority", strconv.Itoa(old[i].priority), strconv.Itoa(updated[j].priority))
		d.field(path+".Attempts", strconv.Itoa(old[i].attempts), strconv.Itoa(updated[j].attempts))
		d.field(path+".Stretch", formatFloat(old[i].stretch), formatFloat(updated[j].stretch))
		d.field(path+".Objective", old[i].objective.String(), updated[j].objective.String())
		d.field(path+".Route", describeRoute(old[i].route), describeRoute(updated[j].route))
		d.field(path+".Advice", describeAdvice(old[i].advice), describeAdvice(updated[j].advice))
	}
	for j, key := range newKeys {
		if !slices.Contains(oldKeys, key) {
			d.added(fmt.Sprintf("Kinds[%s]", key), describeKind(updated[j]))
		}
	}
	d.order("Kinds", oldKeys, newKeys)
}

func (d *differ) pools(old, updated []Pool) {
	oldKeys, newKeys := poolKeys(old), poolKeys(updated)
	for i, key := range oldKeys {
		path := fmt.Sprintf("Pools[%s]", key)
		j := slices.Index(newKeys, key)
		if j < 0 {
			d.removed(path, describePool(old[i]))
			continue
		}
		d.field(path+".Name", old[i].name, updated[j].name)
		d.field(path+".HealthPath", strconv.Quote(old[i].healthPath), strconv.Quote(updated[j].healthPath))
		d.field(path+".Connections", strconv.Itoa(old[i].connections), strconv.Itoa(updated[j].connections))
		d.field(path+".AdmissionCheck", strconv.FormatBool(old[i].admissionCheck), strconv.FormatBool(updated[j].admissionCheck))
		d.field(path+".Spare", strconv.FormatBool(old[i].spare), strconv.FormatBool(updated[j].spare))
	}
	for j, key := range newKeys {
		if !slices.Contains(oldKeys, key) {
			d.added(fmt.Sprintf("Pools[%s]", key), describePool(updated[j]))
		}
	}
	d.order("Pools", oldKeys, newKeys)
}

func describeDataCentre(d DataCentre) string {
	racks := make([]string, 0, len(d.racks))
	for _, r := range d.racks {
		racks = append(racks, fmt.Sprintf("%s (%s)", r.name, describeRack(r)))
	}
	return "racks " + joinOrNone(racks)
}

func describeRack(r Rack) string { return fmt.Sprintf("%d workers", r.workers) }

func describeWorkspace(w Workspace) string {
	s := fmt.Sprintf("queue limit %d, guarantees %s", w.queueLimit, joinOrNone(shapeStrings(w.guarantees)))
	if w.guaranteed != 0 {
		s += fmt.Sprintf(", %d extra guaranteed accelerators", w.guaranteed)
	}
	if len(w.keys) > 0 {
		s += ", keys " + joinOrNone(keyDigests(w.keys))
	}
	return s
}

func describeKind(k Kind) string {
	s := fmt.Sprintf("class %s, idempotent %t, limit %s", k.class, k.idempotent, k.limit)
	if k.pool != "" {
		s += fmt.Sprintf(", pool %s", k.pool)
	}
	if k.priority != k.class.priority() {
		s += fmt.Sprintf(", priority %d", k.priority)
	}
	if k.attempts != 0 {
		s += fmt.Sprintf(", %d attempts", k.attempts)
	}
	if k.stretch != 0 || k.objective != 0 {
		s += fmt.Sprintf(", objective %s times the run time and %s", formatFloat(k.stretch), k.objective)
	}
	if k.route != (Route{}) {
		s += ", route " + describeRoute(k.route)
	}
	if k.advice != (Advice{}) {
		s += ", advice " + describeAdvice(k.advice)
	}
	return s
}

func describePool(p Pool) string {
	return fmt.Sprintf("health path %q, %d connections, admission check %t, spare %t", p.healthPath, p.connections, p.admissionCheck, p.spare)
}

func describeRoute(r Route) string {
	return fmt.Sprintf("%s%s, public %t, timeout %s", r.Host, r.Prefix, r.Public, r.Timeout)
}

func describeAdvice(a Advice) string {
	return fmt.Sprintf("call %s, worker %s, lifetime %s", a.CallTime, a.TimePerWorker, a.TicketLifetime)
}

func describeLimits(l Limits) string {
	return fmt.Sprintf("header %d bytes in %s, body %d bytes, idle %s", l.HeaderBytes, l.HeaderTimeout, l.BodyBytes, l.IdleTimeout)
}

func formatFloat(f float64) string { return strconv.FormatFloat(f, 'g', -1, 64) }

// keyDigests returns the first bytes of the digests of API keys, which are secret.
func keyDigests(keys []string) []string {
	const digestBytes = 4
	out := make([]string, 0, len(keys))
	for _, k := range keys {
		sum := sha256.Sum256([]byte(k))
		out = append(out, hex.EncodeToString(sum[:digestBytes]))
	}
	return out
}

func shapeStrings(shapes []Shape) []string {
	names := make([]string, 0, len(shapes))
	for _, s := range shapes {
		names = append(names, s.String())
	}
	return names
}

func joinOrNone(items []string) string {
	if len(items) == 0 {
		return "none"
	}
	return strings.Join(items, ", ")
}
