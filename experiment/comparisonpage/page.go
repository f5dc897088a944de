// Package comparisonpage draws the outcome of an experiment.Comparison as an HTML page with
// tables and plots that needs no other files.
//
// It is a package of its own, because the drawing library would add to the memory of each
// daemon.
//
// # Usage
//
//	c, err := experiment.Compare(ctx, load, policies, 1, 100, nil)
//	if err != nil {
//		return err
//	}
//	return comparisonpage.Write(w, c)
package comparisonpage

import (
	"bytes"
	"errors"
	"fmt"
	"html/template"
	"image/color"
	"io"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"github.com/medlargrade/medlargrade/experiment"
)

// Size of a plot and of its bars.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
	groupWidth = 40 // points for the bars of one group
)

// section is a table and two plots about the same groups of jobs.
type section struct {
	Title  string
	Groups func(experiment.PolicyOutcome) []experiment.Group
	Charts []template.HTML
}

func sections() []section {
	return []section{
		{Title: "Kinds", Groups: func(p experiment.PolicyOutcome) []experiment.Group { return p.Kinds }},
		{Title: "Sizes", Groups: func(p experiment.PolicyOutcome) []experiment.Group { return p.Sizes }},
		{Title: "Workspaces", Groups: func(p experiment.PolicyOutcome) []experiment.Group { return p.Workspaces }},
	}
}

// values are the plots of a section.
var values = []struct {
	title, axis string
	of          func(experiment.Group) float64
}{
	{"Worth earned", "share of the worth owed", func(g experiment.Group) float64 { return g.Share }},
	{"Wait for the first start, 95 % of the jobs within", "seconds", func(g experiment.Group) float64 { return float64(g.Wait95Millis) / 1000 }},
}

// colours tell policies apart, also for readers who do not see red and green as different.
var colours = []color.Color{
	color.RGBA{R: 0, G: 114, B: 178, A: 255},
	color.RGBA{R: 230, G: 159, B: 0, A: 255},
	color.RGBA{R: 213, G: 94, B: 0, A: 255},
	color.RGBA{R: 86, G: 86, B: 86, A: 255},
}

// Write writes the page of a comparison.
func Write(w io.Writer, c experiment.Comparison) error {
	if len(c.Policies) == 0 {
		return errors.New("write page of a comparison: it has no policies")
	}
	list := sections()
	for i := range list {
		for _, v := range values {
			svg, err := draw(c, list[i].Groups, v.title+" by "+list[i].Title, v.axis, v.of)
			if err != nil {
				return err
			}
			list[i].Charts = append(list[i].Charts, template.HTML(svg)) //nolint:gosec // drawn above; the library escapes the names
		}
	}
	data := struct {
		experiment.Comparison
		Sections []section
	}{c, list}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("write page of a comparison: %w", err)
	}
	return nil
}

// draw returns a bar chart with one bar for each group and policy as SVG.
func draw(c experiment.Comparison, groups func(experiment.PolicyOutcome) []experiment.Group, title, axis string, of func(experiment.Group) float64) (string, error) {
	p := plot.New()
	p.Title.Text, p.Y.Label.Text = title, axis
	p.Y.Min = 0
	p.Legend.Top = true
	width := vg.Points(groupWidth / float64(len(c.Policies)))
	for i, policy := range c.Policies {
		bars := make(plotter.Values, len(groups(policy)))
		for k, g := range groups(policy) {
			bars[k] = of(g)
		}
		chart, err := plotter.NewBarChart(bars, width)
		if err != nil {
			return "", fmt.Errorf("draw %s: %w", title, err)
		}
		chart.Color, chart.LineStyle.Width = colours[i%len(colours)], 0
		chart.Offset = width * vg.Length(float64(i)-float64(len(c.Policies)-1)/2)
		p.Add(chart)
		p.Legend.Add(policy.Name, chart)
	}
	names := make([]string, 0, len(groups(c.Policies[0])))
	for _, g := range groups(c.Policies[0]) {
		names = append(names, g.Name)
	}
	p.NominalX(names...)
	drawn, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", fmt.Errorf("draw %s: %w", title, err)
	}
	var b bytes.Buffer
	if _, err := drawn.WriteTo(&b); err != nil {
		return "", fmt.Errorf("draw %s: %w", title, err)
	}
	// The XML declaration may not stand within a page.
	if i := bytes.Index(b.Bytes(), []byte("<svg")); i > 0 {
		b.Next(i)
	}
	return b.String(), nil
}

var page = template.Must(template.New("comparison").Funcs(template.FuncMap{
	"share":  func(f float64) string { return fmt.Sprintf("%.3f", f) },
	"number": func(f float64) string { return fmt.Sprintf("%.0f", f) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>medlargrade: comparison of policies</title>
<style>
body { font: 14px sans-serif; margin: 2em; max-width: 75em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
td.text, th.text { text-align: left; }
</style></head><body>
<h1>Comparison of policies</h1>
<p>{{.Runs}} runs of each policy, seeds from {{.Seed}}. Means are for a run.</p>
<table><tr><th class="text">policy</th><th>share</th><th>earned</th><th>worst windows</th><th>core-seconds wasted</th><th>starts</th><th>stops</th><th>refusals</th></tr>
{{range .Policies}}<tr><td class="text">{{.Name}}</td><td>{{share .Share}}</td><td>{{share .Earned}}</td><td>{{share .WorstWindows}}</td><td>{{number .WastedCoreSeconds}}</td><td>{{number .Starts}}</td><td>{{number .Stops}}</td><td>{{number .Refusals}}</td></tr>
{{end}}</table>
{{$policies := .Policies}}{{range .Sections}}<h2>{{.Title}}</h2>
{{$groups := .Groups}}<table><tr><th class="text">policy</th><th class="text">group</th><th>jobs</th><th>on time</th><th>late</th><th>unearned</th><th>earned</th><th>wait, median ms</th><th>95 % ms</th><th>maximum ms</th></tr>
{{range $p := $policies}}{{range call $groups $p}}<tr><td class="text">{{$p.Name}}</td><td class="text">{{.Name}}</td><td>{{.Jobs}}</td><td>{{.OnTime}}</td><td>{{.Late}}</td><td>{{.Unearned}}</td><td>{{share .Share}}</td><td>{{.WaitMedianMillis}}</td><td>{{.Wait95Millis}}</td><td>{{.WaitMaxMillis}}</td></tr>
{{end}}{{end}}</table>
{{range .Charts}}<p>{{.}}</p>
{{end}}{{end}}</body></html>
`))
