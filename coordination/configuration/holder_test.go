package configuration_test

import (
	"errors"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rs/zerolog"

	"github.com/medlargrade/medlargrade/coordination/configuration"
	"github.com/medlargrade/medlargrade/operator"
	"github.com/medlargrade/medlargrade/state/table"
)

// Guards against a process that goes back to an older version, in which a withdrawn key is
// valid, or that drops its configuration because of a row that is malformed or missing.
func TestHolder(t *testing.T) {
	row := func(key, value string) table.Row { return table.Row{Key: key, Value: []byte(value)} }
	deleted := table.Row{Key: "c", Deleted: true}
	tests := []struct {
		name string
		rows []table.Row
		want uint64 // version; 0 for none
	}{
		{"nothing", nil, 0},
		{"other row", []table.Row{row("d", "1")}, 0},
		{"malformed", []table.Row{row("c", "x")}, 0},
		{"newer", []table.Row{row("c", "1"), row("c", "3")}, 3},
		{"older", []table.Row{row("c", "3"), row("c", "2")}, 3},
		{"malformed later", []table.Row{row("c", "3"), row("c", "x")}, 3},
		{"deleted later", []table.Row{row("c", "3"), deleted}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			decode := func(value []byte) (uint64, operator.Config, error) {
				n, err := strconv.ParseUint(string(value), 10, 64)
				if err != nil {
					return 0, operator.Config{}, errors.New("malformed")
				}
				return n, operator.NewConfig(operator.NewSite("")), nil
			}
			h := configuration.NewHolder("c", decode, zerolog.Nop())
			for _, r := range tt.rows {
				h.Reset([]table.Row{r})
			}
			got := uint64(0)
			if s := h.Snapshot(); s != nil {
				got = s.Version
			}
			qt.Check(t, got, qt.Equals, tt.want)
		})
	}
}

// Guards against an evacuation that is lost with a new configuration, that begins before a
// configuration is known, or that outlives its row.
func TestHolderFollowsEvacuations(t *testing.T) {
	decode := func(value []byte) (uint64, operator.Config, error) {
		return uint64(value[0]), operator.NewConfig(operator.NewSite("")), nil
	}
	h := configuration.NewHolder("c", decode, zerolog.Nop()).WithEvacuations("e/")
	config := func(version byte) table.Row {
		return table.Row{Key: "c", Value: []byte{version}, Version: uint64(version)}
	}
	evacuated := table.Row{Key: "e/dc1", Version: 2}
	withdrawn := table.Row{Key: "e/dc1", Version: 5, Deleted: true}
	h.Reset([]table.Row{evacuated})
	qt.Assert(t, h.Snapshot(), qt.IsNil)
	steps := []struct {
		name string
		do   func()
		want bool
	}{
		{"configuration", func() { h.Apply([]table.Row{config(3)}) }, true},
		{"newer configuration", func() { h.Apply([]table.Row{config(4)}) }, true},
		{"withdrawn", func() { h.Apply([]table.Row{withdrawn}) }, false},
		{"older row", func() { h.Apply([]table.Row{evacuated}) }, false},
		{"full read with the row", func() { h.Reset([]table.Row{config(4), {Key: "e/dc1", Version: 7}}) }, true},
		{"full read without it", func() { h.Reset([]table.Row{config(4)}) }, false},
	}
	for _, s := range steps {
		changed := h.Changed()
		before := h.Snapshot()
		s.do()
		qt.Assert(t, h.Snapshot().Evacuations().Contains("dc1"), qt.Equals, s.want, qt.Commentf("%s", s.name))
		select {
		case <-changed:
			qt.Assert(t, h.Snapshot(), qt.Not(qt.Equals), before, qt.Commentf("%s", s.name))
		default:
			qt.Assert(t, h.Snapshot(), qt.Equals, before, qt.Commentf("%s", s.name))
		}
	}
}
