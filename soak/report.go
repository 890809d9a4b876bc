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
var pageFiles embed.FS

var pageTemplate = template.Must(template.New("page.html").Funcs(template.FuncMap{"plot": newPlot}).ParseFS(pageFiles, "page.html"))

// WriteHTML writes the results of runs as one self-contained page with inline
// plots, which loads no other resources.
func WriteHTML(w io.Writer, results []Result) error {
	if err := pageTemplate.Execute(w, results); err != nil {
		return wrapError("render the report page", err)
	}
	return nil
}

// Print writes one line with the totals of the run, and one for each late timer
// and each violation.
func (r Result) Print(w io.Writer) {
	c := r.Counts
	fmt.Fprintf(w, "seed=%d nodes=%d seconds=%.0f steps=%d sent=%d answered=%d refused=%d failed=%d left=%d cut=%d grants=%d memory_mb=%d late_timers=%d violations=%d\n",
		r.Seed, r.Shape.Nodes(), r.Took.Seconds(), len(r.Steps), c.Sent, c.Answered, c.Refused, c.Failed, c.Left, c.Cut, c.Grants, r.MaxMemoryMB, len(r.LateTimers), len(r.Violations))
	for _, l := range r.LateTimers {
		fmt.Fprintf(w, "   %.2fs a timer of the soak expired %d ms late\n", l.At.Seconds(), l.Delay.Milliseconds())
	}
	for _, v := range r.Violations {
		fmt.Fprintln(w, "  ", v)
	}
}

// Kinds lists the kinds of the steps, each with its number of steps.
func (r Result) Kinds() string {
	counts := map[string]int{}
	for _, s := range r.Steps {
		counts[s.Kind.String()]++
	}
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, counts[k]))
	}
	return strings.Join(parts, ", ")
}

// Size of a plot in the units of its SVG view box.
const (
	plotWidth, plotHeight = 720.0, 90.0
)

// Plot is a bar chart of the requests sent in each second and of those among
// them that were answered.
type Plot struct {
	Width, Height float64
	Bars          []Bar
	// Marks are vertical lines at the starts of disturbances.
	Marks []Mark
}

// Bar holds the two bars of one second.
type Bar struct {
	X, W, Sent, Answered float64 // Sent and Answered are heights
	Title                string
}

// Mark is the line of one disturbance.
type Mark struct {
	X     float64
	Title string
}

func newPlot(r Result) Plot {
	p := Plot{Width: plotWidth, Height: plotHeight}
	seconds := r.Counts.PerSecond
	maxSent := 1
	for _, s := range seconds {
		maxSent = max(maxSent, s.Sent)
	}
	barWidth := plotWidth / float64(max(1, len(seconds)))
	firstSecond := len(seconds)
	for i, s := range seconds {
		if s.Sent > 0 {
			firstSecond = min(firstSecond, i)
		}
		barHeight := func(n int) float64 { return plotHeight * float64(n) / float64(maxSent) }
		p.Bars = append(p.Bars, Bar{float64(i) * barWidth, barWidth, barHeight(s.Sent), barHeight(s.Answered), fmt.Sprintf("%d s: %d of %d answered", i, s.Answered, s.Sent)})
	}
	for _, s := range r.Steps {
		p.Marks = append(p.Marks, Mark{(float64(firstSecond) + s.At.Seconds()) * barWidth, s.String()})
	}
	return p
}
