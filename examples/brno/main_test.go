package main

import (
	"os"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an example that can't be applied, that has a guarantee which the loss
// of a rack breaks, or whose committed output is out of date
// (go run ./examples/brno > config.json).
func TestConfig(t *testing.T) {
	cfg := config()
	qt.Assert(t, cfg.Check(), qt.HasLen, 0)
	qt.Assert(t, cfg.Warnings(), qt.HasLen, 0)
	qt.Assert(t, cfg.Workspaces(), qt.HasLen, 4)
	qt.Assert(t, cfg.Site().Workers(), qt.Equals, 11)
	want, err := os.ReadFile("config.json")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(cfg.JSON()), qt.Equals, string(want))
}
