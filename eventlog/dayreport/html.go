package dayreport

import (
	"bytes"
	"fmt"
	"html/template"
	"image/color"
	"io"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 8 * vg.Centimeter
)

// line is a line of a plot: a value of each state.
type line struct {
	name  string
	value func(s State) float64
}

// chart is a plot of lines over time.
type chart struct {
	title string
	axis  string // name and unit of the values
	lines []line
}

// charts are the plots of a report.
var charts = []chart{
	{"Tasks that wait, by priority", "tasks", []line{
		{"priority 0", func(s State) float64 { return element(s.Waiting, 0) }},
		{"priority 1", func(s State) float64 { return element(s.Waiting, 1) }},
		{"priority 2 and lower", func(s State) float64 { return element(s.Waiting, 2) }},
	}},
	{"Tasks that wait after their objective, by priority", "tasks", []line{
		{"priority 0", func(s State) float64 { return element(s.Late, 0) }},
		{"priority 1", func(s State) float64 { return element(s.Late, 1) }},
		{"priority 2 and lower", func(s State) float64 { return element(s.Late, 2) }},
	}},
	{"Accelerators of workers that accept work", "accelerators", []line{
		{"all", func(s State) float64 { return float64(s.Accelerators) }},
		{"free", func(s State) float64 { return float64(s.Free) }},
		{"of runs being stopped", func(s State) float64 { return float64(s.Stopping) }},
		{"claimed", func(s State) float64 { return float64(s.Claimed) }},
	}},
	{"Runs", "runs", []line{
		{"running", func(s State) float64 { return float64(s.Running) }},
		{"being stopped", func(s State) float64 { return float64(s.Stops) }},
	}},
	{"Targets", "targets", []line{
		{"all", func(s State) float64 { return float64(s.Targets) }},
		{"accept work", func(s State) float64 { return float64(s.Accepting) }},
		{"not reached", func(s State) float64 { return float64(s.Disconnected) }},
		{"paused", func(s State) float64 { return float64(s.Paused) }},
	}},
	{"Times of the planner", "milliseconds", []line{
		{"longest pass", func(s State) float64 { return s.LongestPass }},
		{"longest transaction", func(s State) float64 { return s.LongestCommit }},
		{"oldest answer of a target", func(s State) float64 { return s.OldestAnswer }},
	}},
	{"Passes and transactions", "a second", []line{
		{"passes", func(s State) float64 { return float64(s.Passes) }},
		{"transactions", func(s State) float64 { return float64(s.Commits) }},
	}},
}

// element returns element i of a list, or 0 if it has none.
func element(list []int, i int) float64 {
	if i >= len(list) {
		return 0
	}
	return float64(list[i])
}

// colours tell the lines of a plot apart, also for readers who do not see red and green as
// different.
var colours = []color.Color{
	color.RGBA{R: 0, G: 114, B: 178, A: 255},
	color.RGBA{R: 230, G: 159, B: 0, A: 255},
	color.RGBA{R: 213, G: 94, B: 0, A: 255},
	color.RGBA{R: 86, G: 86, B: 86, A: 255},
}

// draw returns the plot of a chart as SVG.
func (c chart) draw(begin time.Time, states []State) (string, error) {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = c.title, "seconds since the first line", c.axis
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, l := range c.lines {
		points := make(plotter.XYs, len(states))
		for k, s := range states {
			points[k] = plotter.XY{X: s.Time.Sub(begin).Seconds(), Y: l.value(s)}
		}
		drawn, err := plotter.NewLine(points)
		if err != nil {
			return "", fmt.Errorf("draw %s: %w", c.title, err)
		}
		drawn.Color, drawn.Width = colours[i%len(colours)], vg.Points(1.5)
		p.Add(drawn)
		p.Legend.Add(l.name, drawn)
	}
	w, err := p.WriterTo(plotWidth, plotHeight, "svg")
	if err != nil {
		return "", fmt.Errorf("draw %s: %w", c.title, err)
	}
	var b bytes.Buffer
	if _, err := w.WriteTo(&b); err != nil {
		return "", fmt.Errorf("draw %s: %w", c.title, err)
	}
	// The XML declaration may not stand within a page.
	if i := bytes.Index(b.Bytes(), []byte("<svg")); i > 0 {
		b.Next(i)
	}
	return b.String(), nil
}

// WriteHTML writes the report as a page that needs no other files.
func (r *Report) WriteHTML(w io.Writer) error {
	data := struct {
		*Report
		Charts []template.HTML
	}{Report: r}
	if len(r.States) > 0 {
		for _, c := range charts {
			svg, err := c.draw(r.Begin, r.States)
			if err != nil {
				return err
			}
			data.Charts = append(data.Charts, template.HTML(svg)) //nolint:gosec // drawn above, from numbers and constant texts
		}
	}
	if err := page.Execute(w, data); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}

var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"quantile": func(list []time.Duration, share float64) string {
		return Quantile(list, share).Round(time.Millisecond).String()
	},
	"seconds": func(t, begin time.Time) string { return fmt.Sprintf("%+.3f", t.Sub(begin).Seconds()) },
	"number":  func(f float64) string { return fmt.Sprintf("%.0f", f) },
}).Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>medlargrade: report on logs</title>
<style>
body { font: 14px sans-serif; margin: 2em; max-width: 75em; }
table { border-collapse: collapse; margin: 1em 0; }
td, th { border: 1px solid #bbb; padding: 0.2em 0.6em; text-align: right; }
td:first-child, th:first-child, td.text { text-align: left; }
</style></head><body>
<h1>Report on logs</h1>
<p>{{.Lines}} lines from {{.Begin.Format "2006-01-02 15:04:05.000"}} to {{.End.Format "15:04:05.000"}}.
{{if .Dropped}}<strong>{{.Dropped}} lines were left out by the processes, so that counts may be too low.</strong>{{end}}</p>
<h2>Kinds</h2>
<table><tr><th>kind</th><th>jobs</th><th>tasks</th><th>completed</th><th>in time</th><th>failed</th><th>cancelled</th><th>expired</th><th>lost</th>
<th>first start, half within</th><th>95 % within</th><th>end, half within</th><th>95 % within</th><th>core-seconds lost</th></tr>
{{range .Kinds}}<tr><td>{{.Name}}</td><td>{{.Jobs}}</td><td>{{.Tasks}}</td><td>{{index .Ended "completed"}}</td><td>{{.InTime}}</td><td>{{index .Ended "failed"}}</td>
<td>{{index .Ended "cancelled"}}</td><td>{{index .Ended "expired"}}</td><td>{{index .Ended "lost"}}</td>
<td>{{quantile .Waits 0.5}}</td><td>{{quantile .Waits 0.95}}</td><td>{{quantile .Durations 0.5}}</td><td>{{quantile .Durations 0.95}}</td><td>{{number .Lost}}</td></tr>
{{end}}</table>
<h2>Work thrown away</h2>
<table><tr><th>end of the run</th><th>reason of the stop</th><th>runs</th><th>core-seconds</th></tr>
{{range .Lost}}<tr><td>{{.How}}</td><td class="text">{{.Reason}}</td><td>{{.Runs}}</td><td>{{number .CoreSeconds}}</td></tr>
{{end}}</table>
<h2>Preemptions</h2>
<table><tr><th>for kind</th><th>within its guarantee</th><th>number</th><th>victims</th><th>predicted loss, core-seconds</th></tr>
{{range .Claims}}<tr><td>{{.Kind}}</td><td>{{.Guaranteed}}</td><td>{{.N}}</td><td>{{.Victims}}</td><td>{{number .Loss}}</td></tr>
{{end}}</table>
<h2>Waits</h2>
<table><tr><th>reason</th><th>units</th></tr>
{{range .Waits}}<tr><td>{{.Name}}</td><td>{{.N}}</td></tr>
{{end}}</table>
<h2>Over time</h2>
{{range .Charts}}<p>{{.}}</p>
{{else}}<p>No line has the state of the shard (event 655).</p>
{{end}}
<h2>Planner and store</h2>
<table><tr><th>second</th><th>process</th><th>event</th><th>line</th></tr>
{{$begin := .Begin}}{{range .Shards}}<tr><td>{{seconds .Time $begin}}</td><td>{{.Process}}</td><td>{{.Number}}</td><td class="text">{{.Text}}</td></tr>
{{end}}</table>
</body></html>
`))
