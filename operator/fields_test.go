package operator

import (
	"reflect"
	"testing"
	"time"
	"unsafe"

	qt "github.com/frankban/quicktest"
)

// fullConfig returns a configuration that has each list and sets each field.
func fullConfig() Config {
	return NewConfig(NewSite("s").WithDataCentre(NewDataCentre("dc").WithRack("r", 2))).
		WithWorkspace(NewWorkspace("w").WithGuarantee(NewShape(1, 2)).WithKey("secret").WithExtraGuaranteedAccelerators(3)).
		WithPool(NewPool("p").WithHealthPath("/h").WithConnections(4)).
		WithKind(NewKind("w", "k", ClassLong).WithPool("p").WithAttempts(2).WithObjective(1.5, time.Second).WithLimit(time.Hour).
			WithRoute(Route{Host: "h", Prefix: "/x", Timeout: time.Second}).
			WithAdvice(Advice{CallTime: 1, TimePerWorker: 2, TicketLifetime: 3})).
		WithLimits(Limits{HeaderBytes: 1, BodyBytes: 2, HeaderTimeout: 3, IdleTimeout: 4})
}

// leaves calls f for each field of v that is neither a struct nor a slice, with its path. Of
// a slice it visits the first element.
func leaves(t *testing.T, path string, v reflect.Value, f func(path string, v reflect.Value)) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			leaves(t, path+"."+v.Type().Field(i).Name, v.Field(i), f)
		}
	case reflect.Slice:
		qt.Assert(t, v.Len() > 0, qt.IsTrue, qt.Commentf("fullConfig does not fill %s", path))
		leaves(t, path+"[0]", v.Index(0), f)
	default:
		// The fields are not exported.
		f(path, reflect.NewAt(v.Type(), unsafe.Pointer(v.UnsafeAddr())).Elem())
	}
}

func change(t *testing.T, path string, v reflect.Value) {
	switch v.Kind() {
	case reflect.String:
		v.SetString(v.String() + "x")
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + 1)
	case reflect.Float64:
		v.SetFloat(v.Float() + 1)
	case reflect.Bool:
		v.SetBool(!v.Bool())
	default:
		t.Fatalf("%s has a type that the test can't change: %s", path, v.Type())
	}
}

// Guards against a field that is added to the configuration and forgotten in its JSON form,
// Equal, Diff or Delta: a change of it would be lost, or not be seen.
func TestEveryFieldIsCovered(t *testing.T) {
	var paths []string
	counted := fullConfig()
	leaves(t, "Config", reflect.ValueOf(&counted).Elem(), func(path string, _ reflect.Value) { paths = append(paths, path) })
	for _, path := range paths {
		t.Run(path, func(t *testing.T) {
			old, updated := fullConfig(), fullConfig()
			leaves(t, "Config", reflect.ValueOf(&updated).Elem(), func(p string, v reflect.Value) {
				if p == path {
					change(t, path, v)
				}
			})
			qt.Check(t, old.Equal(updated), qt.IsFalse)
			parsed, err := Parse(updated.JSON())
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, reflect.DeepEqual(parsed, updated), qt.IsTrue, qt.Commentf("parsed: %s", parsed.JSON()))
			qt.Check(t, Diff(old, updated), qt.Not(qt.HasLen), 0)
			applied, err := NewDelta(old, updated).Apply(old)
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, reflect.DeepEqual(applied, updated), qt.IsTrue, qt.Commentf("applied: %s", applied.JSON()))
		})
	}
}

// Guards against an API key that a diff shows.
func TestDiffHidesKeys(t *testing.T) {
	without := fullConfig().WithWorkspace(NewWorkspace("w"))
	for _, c := range append(Diff(without, fullConfig()), Diff(NewConfig(NewSite("s")), fullConfig())...) {
		qt.Check(t, c.String(), qt.Not(qt.Contains), "secret")
	}
}

// Guards against a configuration that is accepted although a part of it can't be meant.
func TestCheckOfPolicy(t *testing.T) {
	kind := fullConfig().Kinds()[0]
	tests := []struct {
		name string
		cfg  Config
		want string
	}{
		{"valid", fullConfig(), ""},
		{"unknown pool", fullConfig().WithKind(kind.WithPool("q")), `Kinds[0].Pool: unknown pool "q"`},
		{"priority", fullConfig().WithKind(kind.WithPriority(-1)), "Kinds[0].Priority: -1 must not be negative"},
		{"attempts", fullConfig().WithKind(kind.WithAttempts(-1)), "Kinds[0].Attempts: -1 must not be negative"},
		{"stretch", fullConfig().WithKind(kind.WithObjective(-1, 0)), "Kinds[0].Stretch: -1 must be finite and not negative"},
		{"objective", fullConfig().WithKind(kind.WithObjective(0, -1)), "Kinds[0].Objective: -1ns must not be negative"},
		{"route", fullConfig().WithKind(kind.WithRoute(Route{Timeout: -1})), "Kinds[0].Route.Timeout: -1ns must not be negative"},
		{"advice", fullConfig().WithKind(kind.WithAdvice(Advice{CallTime: -1})), "Kinds[0].Advice.CallTime: -1ns must not be negative"},
		{"key of two workspaces", fullConfig().WithWorkspace(NewWorkspace("v").WithKey("secret")), "Workspaces[1].Keys[0]: is the same as Workspaces[0].Keys[0]"},
		{"empty key", fullConfig().WithWorkspace(NewWorkspace("v").WithKey("")), "Workspaces[1].Keys[0]: must not be empty"},
		{"extra guarantee", fullConfig().WithWorkspace(NewWorkspace("v").WithExtraGuaranteedAccelerators(-1)), "Workspaces[1].ExtraGuaranteedAccelerators: -1 must not be negative"},
		{"connections", fullConfig().WithPool(NewPool("q").WithConnections(-1)), "Pools[1].Connections: -1 must not be negative"},
		{"limits", fullConfig().WithLimits(Limits{BodyBytes: -1}), "Limits.BodyBytes: -1 must not be negative"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var got []string
			for _, p := range tt.cfg.Check() {
				got = append(got, p.String())
			}
			var want []string
			if tt.want != "" {
				want = []string{tt.want}
			}
			qt.Check(t, got, qt.DeepEquals, want)
		})
	}
}
