package operator

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"
	"unicode/utf8"
)

// Parse decodes the JSON form that Config.JSON returns. It requires each field that
// Config.JSON always writes, and each field at most once, with names in the exact case and values in the format of
// Config.JSON, and no data after the end; only white space and the order of the
// fields of an object may differ. A syntax error or a duplicate field ends the
// parsing; otherwise the error joins all errors, each with its path. Parse doesn't
// validate the configuration; Check does.
func Parse(data []byte) (Config, error) {
	if !utf8.Valid(data) {
		return Config{}, errors.New("configuration: not valid UTF-8")
	}
	root, err := parseTree(data)
	if err != nil {
		return Config{}, fmt.Errorf("configuration: %w", err)
	}
	var p parser
	c := p.config(root)
	if err := errors.Join(p.errs...); err != nil {
		return Config{}, err
	}
	return c, nil
}

// node is a JSON value with its path. Value is nil, a bool, a string, a
// json.Number, a []node (array) or a map[string]node (object).
type node struct {
	path  string
	value any
}

// parseTree parses a JSON document. Its errors name the line.
func parseTree(data []byte) (node, error) {
	dec := json.NewDecoder(bytes.NewReader(data))
	dec.UseNumber()
	root, err := readNode(dec, "")
	if err == nil {
		_, err = dec.Token()
		if errors.Is(err, io.EOF) {
			return root, nil
		}
		if err == nil {
			err = errors.New("data after the end")
		}
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	line := 1 + bytes.Count(data[:min(int(dec.InputOffset()), len(data))], []byte("\n"))
	return node{}, fmt.Errorf("line %d: %w", line, err)
}

func readNode(dec *json.Decoder, path string) (node, error) {
	tok, err := dec.Token()
	if err != nil {
		return node{}, pathError(path, err)
	}
	n := node{path: path, value: tok}
	switch tok {
	case json.Delim('{'):
		fields := make(map[string]node)
		for dec.More() {
			tok, err := dec.Token()
			if err != nil {
				return node{}, pathError(path, err)
			}
			name, _ := tok.(string) // The decoder returns only strings here.
			fieldPath := strings.TrimPrefix(path+"."+name, ".")
			if _, ok := fields[name]; ok {
				return node{}, pathError(fieldPath, errors.New("duplicate field"))
			}
			if fields[name], err = readNode(dec, fieldPath); err != nil {
				return node{}, err
			}
		}
		n.value = fields
	case json.Delim('['):
		var items []node
		for dec.More() {
			item, err := readNode(dec, fmt.Sprintf("%s[%d]", path, len(items)))
			if err != nil {
				return node{}, err
			}
			items = append(items, item)
		}
		n.value = items
	default:
		return n, nil
	}
	if _, err := dec.Token(); err != nil { // the closing delimiter
		return node{}, pathError(path, err)
	}
	return n, nil
}

func pathError(path string, err error) error {
	if path == "" {
		path = "document"
	}
	return fmt.Errorf("%s: %w", path, err)
}

// parser converts nodes to values and collects errors.
type parser struct {
	errs []error
}

func (p *parser) fail(n node, format string, args ...any) {
	p.errs = append(p.errs, pathError(n.path, fmt.Errorf(format, args...)))
}

// object returns the fields of an object and adds an error for each of the named
// fields that is missing and for each other field.
func (p *parser) object(n node, names ...string) map[string]node {
	return p.objectWith(n, names, nil)
}

// objectWith is like object, but allows that the optional fields are missing.
func (p *parser) objectWith(n node, names, optional []string) map[string]node {
	fields, ok := n.value.(map[string]node)
	if !ok {
		p.fail(n, "must be an object")
		return nil
	}
	for _, name := range names {
		if _, ok := fields[name]; !ok {
			p.fail(n, "missing field %s", name)
		}
	}
	unknown := make([]string, 0)
	for name := range fields {
		if !slices.Contains(names, name) && !slices.Contains(optional, name) {
			unknown = append(unknown, name)
		}
	}
	slices.Sort(unknown)
	for _, name := range unknown {
		p.fail(fields[name], "unknown field")
	}
	return fields
}

// absent reports whether n is the zero node, which stands for a missing field. The
// parser has already added an error for it. Every field that is present has a path.
func (n node) absent() bool { return n.path == "" && n.value == nil }

func (p *parser) list(n node) []node {
	items, ok := n.value.([]node)
	if !ok && !n.absent() {
		p.fail(n, "must be an array")
	}
	return items
}

func (p *parser) string(n node) string {
	s, ok := n.value.(string)
	if !ok && !n.absent() {
		p.fail(n, "must be a string")
	}
	return s
}

func (p *parser) bool(n node) bool {
	b, ok := n.value.(bool)
	if !ok && !n.absent() {
		p.fail(n, "must be true or false")
	}
	return b
}

func (p *parser) int(n node) int {
	if n.absent() {
		return 0
	}
	num, _ := n.value.(json.Number)
	i, err := strconv.Atoi(num.String())
	if err != nil || strconv.Itoa(i) != num.String() {
		p.fail(n, "must be a whole number")
	}
	return i
}

func (p *parser) float(n node) float64 {
	if n.absent() {
		return 0
	}
	num, _ := n.value.(json.Number)
	f, err := num.Float64()
	if err != nil {
		p.fail(n, "must be a number")
	}
	return f
}

func (p *parser) duration(n node) time.Duration {
	s := p.string(n)
	if _, ok := n.value.(string); !ok {
		return 0
	}
	d, err := time.ParseDuration(s)
	switch {
	case err != nil:
		p.fail(n, "must be a duration such as 1h30m0s")
	case d.String() != s:
		p.fail(n, "must be written as %s", d)
	}
	return d
}

func (p *parser) config(n node) Config {
	f := p.objectWith(n, []string{"Site", "Workspaces", "Kinds"}, []string{"Pools", "Limits"})
	var c Config
	if site, ok := f["Site"]; ok {
		c.site = p.site(site)
	}
	for _, n := range p.list(f["Workspaces"]) {
		c.workspaces = append(c.workspaces, p.workspace(n))
	}
	for _, n := range p.list(f["Kinds"]) {
		c.kinds = append(c.kinds, p.kind(n))
	}
	for _, n := range p.list(f["Pools"]) {
		f := p.object(n, "Name", "HealthPath", "Connections", "AdmissionCheck", "Spare")
		c.pools = append(c.pools, Pool{
			p.string(f["Name"]), p.string(f["HealthPath"]), p.int(f["Connections"]), p.bool(f["AdmissionCheck"]), p.bool(f["Spare"]),
		})
	}
	if limits, ok := f["Limits"]; ok {
		f := p.object(limits, "HeaderBytes", "BodyBytes", "HeaderTimeout", "IdleTimeout")
		c.limits = Limits{p.int(f["HeaderBytes"]), p.int(f["BodyBytes"]), p.duration(f["HeaderTimeout"]), p.duration(f["IdleTimeout"])}
	}
	return c
}

func (p *parser) site(n node) Site {
	f := p.object(n, "Name", "SlotsPerWorker", "DataCentres")
	s := Site{name: p.string(f["Name"]), slotsPerWorker: p.int(f["SlotsPerWorker"])}
	for _, n := range p.list(f["DataCentres"]) {
		f := p.object(n, "Name", "Racks")
		d := DataCentre{name: p.string(f["Name"])}
		for _, n := range p.list(f["Racks"]) {
			f := p.object(n, "Name", "Workers")
			d.racks = append(d.racks, Rack{name: p.string(f["Name"]), workers: p.int(f["Workers"])})
		}
		s.dataCentres = append(s.dataCentres, d)
	}
	return s
}

func (p *parser) workspace(n node) Workspace {
	f := p.objectWith(n, []string{"Name", "QueueLimit", "Guarantees"}, []string{"ExtraGuaranteedAccelerators", "Keys"})
	w := Workspace{name: p.string(f["Name"]), queueLimit: p.int(f["QueueLimit"]), guaranteed: p.int(f["ExtraGuaranteedAccelerators"])}
	for _, n := range p.list(f["Keys"]) {
		w.keys = append(w.keys, p.string(n))
	}
	for _, n := range p.list(f["Guarantees"]) {
		f := p.object(n, "Workers", "Accelerators", "Adjacent")
		w.guarantees = append(w.guarantees, Shape{
			workers:      p.int(f["Workers"]),
			accelerators: p.int(f["Accelerators"]),
			adjacency:    Adjacency(p.string(f["Adjacent"])),
		})
	}
	return w
}

func (p *parser) kind(n node) Kind {
	f := p.objectWith(n, []string{"Workspace", "Name", "Class", "Idempotent", "Limit"},
		[]string{"Pool", "Priority", "Attempts", "Stretch", "Objective", "Route", "Advice"})
	k := NewKind(p.string(f["Workspace"]), p.string(f["Name"]), Class(p.string(f["Class"]))).
		WithIdempotent(p.bool(f["Idempotent"])).WithLimit(p.duration(f["Limit"])).
		WithPool(p.string(f["Pool"])).WithAttempts(p.int(f["Attempts"])).
		WithObjective(p.float(f["Stretch"]), p.duration(f["Objective"]))
	if n, ok := f["Priority"]; ok {
		k = k.WithPriority(p.int(n))
	}
	if n, ok := f["Route"]; ok {
		f := p.object(n, "Host", "Prefix", "Public", "Timeout")
		k = k.WithRoute(Route{p.string(f["Host"]), p.string(f["Prefix"]), p.bool(f["Public"]), p.duration(f["Timeout"])})
	}
	if n, ok := f["Advice"]; ok {
		f := p.object(n, "CallTime", "TimePerWorker", "TicketLifetime")
		k = k.WithAdvice(Advice{p.duration(f["CallTime"]), p.duration(f["TimePerWorker"]), p.duration(f["TicketLifetime"])})
	}
	return k
}
