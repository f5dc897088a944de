package outcome

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a CallError that omits its peer or does not unwrap to its cause.
func TestCallError(t *testing.T) {
	cause := errors.New("connection reset")
	tests := []struct {
		name string
		err  error
		want string
		op   string
	}{
		{name: "direct", err: WrapCall("reserve", "t1", cause), want: "reserve t1: connection reset", op: "reserve"},
		{name: "wrapped", err: fmt.Errorf("job j: %w", WrapCall("release", "t2", cause)), want: "job j: release t2: connection reset", op: "release"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, tt.err, qt.ErrorIs, cause)
			qt.Assert(t, tt.err.Error(), qt.Equals, tt.want)
			op, _, ok := CallOp(tt.err)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, op, qt.Equals, tt.op)
		})
	}
	qt.Assert(t, WrapCall("reserve", "t1", nil), qt.IsNil)
}
