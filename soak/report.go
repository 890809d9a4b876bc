package soak

import (
	"embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
)

//go:embed page.html
var files embed.FS

var page = template.Must(template.New("page.html").Funcs(template.FuncMap{"plot": newPlot}).ParseFS(files, "page.html"))

// WriteHTML writes the results of runs as one page with inline plots that loads
// nothing.
func WriteHTML(w io.Writer, list []Result) error {
	if err := page.Execute(w, list); err != nil {
		return fault("render the page", err)
	}
	return nil
}

// Print writes one line for a run and one for each violation.
func (r Result) Print(w io.Writer) {
	c := r.Counts
	fmt.Fprintf(w, "seed=%d nodes=%d seconds=%.0f steps=%d sent=%d answered=%d refused=%d failed=%d cut=%d grants=%d violations=%d\n",
		r.Seed, r.Shape.Nodes(), r.Took.Seconds(), len(r.Steps), c.Sent, c.Answered, c.Refused, c.Failed, c.Cut, c.Grants, len(r.Violations))
	for _, v := range r.Violations {
		fmt.Fprintln(w, "  ", v)
	}
}

// Kinds counts the steps of a run by kind.
func (r Result) Kinds() string {
	count := map[string]int{}
	for _, s := range r.Steps {
		count[s.Kind.String()]++
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(count)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, count[k]))
	}
	return strings.Join(parts, ", ")
}

// Geometry of a plot in the units of its view box.
const (
	plotWidth, plotHeight = 720.0, 90.0
)

// Plot shows the requests of each second, and of these the answered ones.
type Plot struct {
	Width, Height float64
	Bars          []Bar
	// Marks are the starts of disturbances.
	Marks []Mark
}

// Bar is one second.
type Bar struct {
	X, W, Sent, Answered float64 // heights of the bars
	Title                string
}

// Mark is one disturbance.
type Mark struct {
	X     float64
	Title string
}

func newPlot(r Result) Plot {
	p := Plot{Width: plotWidth, Height: plotHeight}
	list := r.Counts.PerSecond
	most := 1
	for _, s := range list {
		most = max(most, s.Sent)
	}
	w := plotWidth / float64(max(1, len(list)))
	first := len(list)
	for i, s := range list {
		if s.Sent > 0 {
			first = min(first, i)
		}
		h := func(n int) float64 { return plotHeight * float64(n) / float64(most) }
		p.Bars = append(p.Bars, Bar{float64(i) * w, w, h(s.Sent), h(s.Answered), fmt.Sprintf("%d s: %d of %d answered", i, s.Answered, s.Sent)})
	}
	for _, s := range r.Steps {
		p.Marks = append(p.Marks, Mark{(float64(first) + s.At.Seconds()) * w, s.String()})
	}
	return p
}
