package operator

import (
	"bytes"
	"testing"
)

// Guards against a configuration file that panics, is changed by reading and writing it, or
// is valid although its parts can't be used.
func FuzzParse(f *testing.F) {
	f.Add(fullConfig().JSON())
	f.Add(validConfig().JSON())
	f.Add([]byte(`{"Site":{},"Workspaces":[{}],"Kinds":[{"Stretch":1e999}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		c, err := Parse(data)
		if err != nil {
			return
		}
		again, err := Parse(c.JSON())
		if err != nil || !bytes.Equal(again.JSON(), c.JSON()) {
			t.Fatalf("%v: %s became %s", err, c.JSON(), again.JSON())
		}
		c.Check()
		c.Warnings()
	})
}
