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
