package outcome

import (
	"errors"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a CallError that omits its peer or does not unwrap to its cause.
func TestStep(t *testing.T) {
	cause := errors.New("connection reset")
	tests := []struct {
		name string
		err  error
		want string
		step string
	}{
		{name: "direct", err: WrapCall("reserve", "t1", cause), want: "reserve t1: connection reset", step: "reserve"},
		{name: "wrapped", err: fmt.Errorf("job j: %w", WrapCall("release", "t2", cause)), want: "job j: release t2: connection reset", step: "release"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			qt.Assert(t, tt.err, qt.ErrorIs, cause)
			qt.Assert(t, tt.err.Error(), qt.Equals, tt.want)
			step, _, ok := CallOp(tt.err)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, step, qt.Equals, tt.step)
		})
	}
	qt.Assert(t, WrapCall("reserve", "t1", nil), qt.IsNil)
}
