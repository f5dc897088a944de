package comparisonpage_test

import (
	"bytes"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/medlargrade/medlargrade/experiment"
	"github.com/medlargrade/medlargrade/experiment/comparisonpage"
)

// Guards against a page that lacks a policy or a plot, or that passes names on unescaped.
func TestWrite(t *testing.T) {
	groups := []experiment.Group{{Name: "short", Jobs: 2, OnTime: 1, Share: 0.5, Wait95Millis: 1500}}
	outcome := func(name string) experiment.PolicyOutcome {
		return experiment.PolicyOutcome{Name: name, Kinds: groups, Sizes: groups, Workspaces: groups}
	}
	var b bytes.Buffer
	err := comparisonpage.Write(&b, experiment.Comparison{Runs: 3, Policies: []experiment.PolicyOutcome{outcome("default"), outcome("<b>other")}})
	qt.Assert(t, err, qt.IsNil)
	for _, want := range []string{"3 runs of each policy", ">default<", "&lt;b&gt;other", "<td>1500</td>"} {
		qt.Check(t, strings.Contains(b.String(), want), qt.IsTrue, qt.Commentf("%s", want))
	}
	qt.Check(t, strings.Count(b.String(), "<svg"), qt.Equals, 6)
	qt.Check(t, strings.Contains(b.String(), "<b>other"), qt.IsFalse)
}

// Guards against a panic on a file that is no comparison.
func TestWriteWithoutPolicies(t *testing.T) {
	err := comparisonpage.Write(&bytes.Buffer{}, experiment.Comparison{})
	qt.Assert(t, err, qt.ErrorMatches, "write page of a comparison: it has no policies")
}
