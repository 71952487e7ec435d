package burn

import (
	"fmt"
	"html/template"
	"io"
	"strings"

	"github.com/juju/errors"
)

// Size of a plot in SVG units.
const (
	plotWidth  = 720
	plotHeight = 120
)

// bar is a stacked bar, in SVG units.
type bar struct {
	X, Width float64
	// GoodY, GoodHeight, BadY and BadHeight position the two segments.
	GoodY, GoodHeight, BadY, BadHeight float64
	Title                              string
}

// plot shows the requests of the last day as stacked bars and the remaining error budget as a gauge.
type plot struct {
	Objective
	Bars        []bar
	MaxRequests uint64
}

func newPlot(objective Objective) plot {
	p := plot{Objective: objective}
	for _, b := range objective.History {
		p.MaxRequests = max(p.MaxRequests, b.Good+b.Bad)
	}
	if p.MaxRequests == 0 {
		return p
	}
	width := plotWidth / float64(len(objective.History))
	scale := plotHeight / float64(p.MaxRequests)
	for i, b := range objective.History {
		good, bad := float64(b.Good)*scale, float64(b.Bad)*scale
		p.Bars = append(p.Bars, bar{
			X: float64(i) * width, Width: width,
			GoodY: plotHeight - good, GoodHeight: good, BadY: plotHeight - good - bad, BadHeight: bad,
			Title: fmt.Sprintf("%d good, %d bad", b.Good, b.Bad),
		})
	}
	return p
}

// GaugeWidth returns the width of the budget gauge, which is empty for an overspent budget.
func (p plot) GaugeWidth() float64 { return plotWidth * min(1, max(0, p.BudgetLeft)) }

var reportTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": percent,
	"px":      func(f float64) string { return fmt.Sprintf("%.2f", f) },
	"rate":    func(f float64) string { return fmt.Sprintf("%.2f", f) },
	"join":    func(names []string) string { return strings.Join(names, ", ") },
}).Parse(`<!DOCTYPE html>
<html lang="en">
<head>
<meta charset="utf-8">
<title>Service-level burn</title>
<style>
body { font-family: sans-serif; margin: 2em; max-width: 60em; }
table { border-collapse: collapse; }
th, td { text-align: right; padding: 0.2em 1em; border-bottom: 1px solid #ccc; }
.good { fill: #4a90d9; } .bad { fill: #c0392b; } .frame { fill: #f4f4f4; } .left { fill: #2e8b57; }
.warning { color: #c0392b; }
</style>
</head>
<body>
<h1>Service-level burn</h1>
<p>{{.At.Format "2006-01-02 15:04:05 MST"}}, entry instances: {{join .Members}}</p>
{{- if .Missing}}
<p class="warning">Not counted, no answer: {{join .Missing}}</p>
{{- end}}
{{- range .Plots}}
<h2>{{.Name}}</h2>
<p>{{.Scope}}: {{percent .Target}} good within {{.LatencyMS}} ms over {{.WindowHours}} h. Error budget left: {{percent .BudgetLeft}}.</p>
<svg viewBox="0 0 720 12" width="720" height="12" role="img" aria-label="Error budget left">
<rect class="frame" width="720" height="12"/><rect class="left" width="{{px .GaugeWidth}}" height="12"/>
</svg>
<table>
<tr><th>Window</th><th>Good</th><th>Bad</th><th>Burn rate</th></tr>
{{- range .Windows}}
<tr><td>{{.Length}}</td><td>{{.Good}}</td><td>{{.Bad}}</td><td>{{rate .BurnRate}}</td></tr>
{{- end}}
</table>
<p>Requests in the last 24 hours, at most {{.MaxRequests}} in 20 minutes:</p>
<svg viewBox="0 0 720 120" width="720" height="120" role="img" aria-label="Good and bad requests in the last 24 hours">
<rect class="frame" width="720" height="120"/>
{{- range .Bars}}{{if or .GoodHeight .BadHeight}}
<g><title>{{.Title}}</title><rect class="good" x="{{px .X}}" y="{{px .GoodY}}" width="{{px .Width}}" height="{{px .GoodHeight}}"/><rect class="bad" x="{{px .X}}" y="{{px .BadY}}" width="{{px .Width}}" height="{{px .BadHeight}}"/></g>
{{- end}}{{end}}
</svg>
{{- end}}
</body>
</html>
`))

// WriteHTML writes the report as a self-contained HTML page.
func (r Report) WriteHTML(w io.Writer) error {
	content := struct {
		Report
		Plots []plot
	}{Report: r}
	for _, o := range r.Objectives {
		content.Plots = append(content.Plots, newPlot(o))
	}
	return errors.Annotate(reportTemplate.Execute(w, content), "writing the report")
}
