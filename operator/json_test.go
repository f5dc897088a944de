package operator

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// drawConfig draws a configuration. Many are invalid: the small alphabet leads to
// duplicate names, and numbers may be negative.
func drawConfig(t *rapid.T, label string) Config {
	name := rapid.OneOf(rapid.StringMatching(`[abc]`), rapid.SampledFrom([]string{"", "a#2", "a/b", "é<&>\"\n"}))
	number := rapid.OneOf(rapid.IntRange(0, 9), rapid.Int())
	repeat := func(n int, f func()) {
		for range rapid.IntRange(0, n).Draw(t, label+" count") {
			f()
		}
	}
	c := Config{site: Site{name: name.Draw(t, "site"), slotsPerWorker: number.Draw(t, "slots")}}
	repeat(3, func() {
		d := DataCentre{name: name.Draw(t, "data centre")}
		repeat(3, func() { d = d.WithRack(name.Draw(t, "rack"), number.Draw(t, "workers")) })
		c.site = c.site.WithDataCentre(d)
	})
	repeat(4, func() {
		w := Workspace{name: name.Draw(t, "workspace"), queueLimit: number.Draw(t, "limit")}
		repeat(3, func() {
			w = w.WithGuarantee(NewShape(number.Draw(t, "workers"), number.Draw(t, "accelerators")).
				WithAdjacency(Adjacency(rapid.SampledFrom([]string{"none", "rack", "worker", "x"}).Draw(t, "adjacency"))))
		})
		c.workspaces = append(c.workspaces, w)
	})
	repeat(4, func() {
		k := NewKind(name.Draw(t, "workspace"), name.Draw(t, "kind"),
			Class(rapid.SampledFrom([]string{"short", "long", "fill", "x"}).Draw(t, "class")))
		c.kinds = append(c.kinds, k.WithIdempotent(rapid.Bool().Draw(t, "idempotent")).
			WithLimit(time.Duration(rapid.Int64().Draw(t, "limit"))))
	})
	return c
}

// Guards against a configuration that differs after it is written as JSON and
// parsed.
func TestParseReadsJSON(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := drawConfig(t, "config")
		got, err := Parse(c.JSON())
		if err != nil || !got.Equal(c) || string(got.JSON()) != string(c.JSON()) {
			t.Fatalf("got %s, %v, want %s", got.JSON(), err, c.JSON())
		}
	})
}

// Guards against ignoring mistakes in a file, such as a misspelt, missing or
// duplicate field.
func TestParseIsStrict(t *testing.T) {
	valid := string(validConfig().JSON())
	tests := []struct {
		name, old, updated, want string
	}{
		{"unknown field", `"QueueLimit": 1000,`, `"QueueLimit": 1000, "Limits": 1,`, `Workspaces[0].Limits: unknown field`},
		{"other case", `"QueueLimit"`, `"queueLimit"`, `Workspaces[0]: missing field QueueLimit` + "\n" + `Workspaces[0].queueLimit: unknown field`},
		{"duplicate", `"QueueLimit": 1000,`, `"QueueLimit": 1, "QueueLimit": 2,`, `configuration: line 29: Workspaces[0].QueueLimit: duplicate field`},
		{"missing", `"SlotsPerWorker": 8,`, ``, `Site: missing field SlotsPerWorker`},
		{"fraction", `"QueueLimit": 1000`, `"QueueLimit": 1e3`, `Workspaces[0].QueueLimit: must be a whole number`},
		{"string for number", `"QueueLimit": 1000`, `"QueueLimit": "1000"`, `Workspaces[0].QueueLimit: must be a whole number`},
		{"null list", `"Guarantees": [`, `"Guarantees": null, "X": [`, `Workspaces[0].X: unknown field` + "\n" + `Workspaces[0].Guarantees: must be an array`},
		{"duration", `"1h0m0s"`, `"60m"`, `Kinds[0].Limit: must be written as 1h0m0s`},
		{"no duration", `"1h0m0s"`, `"soon"`, `Kinds[0].Limit: must be a duration such as 1h30m0s`},
		{"bool", `"Idempotent": true`, `"Idempotent": 1`, `Kinds[0].Idempotent: must be true or false`},
		{"trailing data", "]\n}\n", "]\n}\n{}", `configuration: line 49: data after the end`},
		{"cut short", "]\n}\n", "]", `configuration: line 47: unexpected EOF`},
		{"invalid UTF-8", `"north"`, "\"\xff\"", `configuration: not valid UTF-8`},
		{"array", valid, `[]`, `document: must be an object`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, strings.Contains(valid, tt.old), qt.IsTrue)
			_, err := Parse([]byte(strings.Replace(valid, tt.old, tt.updated, 1)))
			qt.Assert(t, err, qt.IsNotNil)
			qt.Assert(t, err.Error(), qt.Equals, tt.want)
		})
	}
	_, err := Parse([]byte(valid))
	qt.Assert(t, err, qt.IsNil)
}

// Guards against a delta that, applied after its way through JSON, gives another
// configuration than the one it was made for, and against a delta that applies to
// a configuration it wasn't made from.
func TestDeltaLeadsToNew(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawConfig(t, "a"), drawConfig(t, "b")
		if rapid.Bool().Draw(t, "related") {
			b = Config{site: a.site, workspaces: append(b.workspaces, a.workspaces...), kinds: append(a.Kinds(), b.kinds...)}
		}
		data, err := NewDelta(a, b).MarshalJSON()
		if err != nil {
			t.Fatal(err)
		}
		var d Delta
		if err := d.UnmarshalJSON(data); err != nil {
			t.Fatal(err)
		}
		if got, err := d.Apply(a); err != nil || !got.Equal(b) {
			t.Fatalf("got %s, %v, want %s", got.JSON(), err, b.JSON())
		}
		if equal := a.Equal(b); d.IsEmpty() != equal || (len(Diff(a, b)) == 0) != equal {
			t.Fatalf("equal %t, empty %t, differences %v", equal, d.IsEmpty(), Diff(a, b))
		}
		if _, err := d.Apply(b); err == nil && !a.Equal(b) {
			t.Fatal("the delta applies to a configuration that it wasn't made from")
		}
	})
}

// Guards against a delta that contains the whole site if one rack is added, and
// against applying a damaged delta.
func TestDeltaIsSmall(t *testing.T) {
	c := validConfig()
	dc := NewDataCentre("big")
	for i := range 2467 {
		dc = dc.WithRack(strings.Repeat("r", 1+i%100)+string(rune('a'+i/100)), 3)
	}
	c = c.WithSite(c.Site().WithDataCentre(dc))
	d := c.Site().DataCentres()
	updated := c.WithSite(NewSite("north").WithDataCentre(d[0]).WithDataCentre(d[1]).WithDataCentre(d[2].WithRack("new", 3)))
	data, err := NewDelta(c, updated).MarshalJSON()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(data) < 400, qt.IsTrue, qt.Commentf("%d bytes", len(data)))
	var damaged Delta
	qt.Assert(t, damaged.UnmarshalJSON([]byte(strings.Replace(string(data), `"Workers":3`, `"Workers":4`, 1))), qt.IsNil)
	_, err = damaged.Apply(c)
	qt.Assert(t, err, qt.ErrorMatches, `delta leads to configuration .*`)
}

// Guards against differences that Diff omits or shows without their path.
func TestDiff(t *testing.T) {
	old := validConfig()
	updated := old.
		WithSite(NewSite("north").
			WithDataCentre(NewDataCentre("dc1").WithRack("r1", 2)).
			WithDataCentre(NewDataCentre("dc3").WithRack("r3", 3))).
		WithWorkspace(NewWorkspace("web").WithQueueLimit(5).WithGuarantee(NewShape(1, 8))).
		WithWorkspace(NewWorkspace("lab")).
		WithoutKind("web", "render").
		WithKind(NewKind("lab", "scan", ClassFill))
	var lines []string
	for _, c := range Diff(old, updated) {
		lines = append(lines, c.String())
	}
	qt.Assert(t, lines, qt.DeepEquals, []string{
		`~ Site.DataCentres[dc1].Racks[r1].Workers: 3 -> 2`,
		`- Site.DataCentres[dc2]: racks r2 (3 workers)`,
		`+ Site.DataCentres[dc3]: racks r3 (3 workers)`,
		`~ Workspaces[web].QueueLimit: 1000 -> 5`,
		`~ Workspaces[web].Guarantees: 2x8 rack -> 1x8 none`,
		`+ Workspaces[lab]: queue limit 1000, guarantees none`,
		`- Kinds[web/render]: class long, idempotent true, limit 1h0m0s`,
		`+ Kinds[lab/scan]: class fill, idempotent false, limit 0s`,
	})
	w := updated.Workspaces()
	swapped := Config{site: updated.site, workspaces: []Workspace{w[1], w[0]}, kinds: updated.kinds}
	qt.Assert(t, Diff(updated, swapped), qt.DeepEquals, []Change{{Op: OpReordered, Path: "Workspaces", Old: "web, lab", New: "lab, web"}})
}
