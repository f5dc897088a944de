package main

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a metric in the code that is missing from docs/metrics.md, and against
// one in docs/metrics.md that is missing from the code.
func TestMetricsPage(t *testing.T) {
	const root = "../.."
	name := regexp.MustCompile("`(medlargrade_[a-z_]+)")
	var sources []string
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		body, err := os.ReadFile(path)
		for _, m := range name.FindAllStringSubmatch(string(body), -1) {
			sources = append(sources, m[1])
		}
		return err
	})
	qt.Assert(t, err, qt.IsNil)
	slices.Sort(sources)
	sources = slices.Compact(sources)
	qt.Check(t, len(sources) > 20, qt.IsTrue, qt.Commentf("only %d metrics found", len(sources)))
	body, err := os.ReadFile(filepath.Join(root, "docs", "metrics.md"))
	qt.Assert(t, err, qt.IsNil)
	var page []string
	for line := range strings.Lines(string(body)) {
		if m := name.FindStringSubmatch(line); m != nil && strings.HasPrefix(line, "|") {
			page = append(page, m[1])
		}
	}
	slices.Sort(page)
	qt.Check(t, page, qt.DeepEquals, sources)
}
