package report

import (
	"embed"
	"fmt"
	"html/template"
	"io"
	"math"
	"strings"

	"marjoramshore.example/burn"
)

//go:embed page.html
var pageFiles embed.FS

var page = template.Must(template.New("page.html").Funcs(template.FuncMap{
	"clean": maskControls, "rate": formatRate, "percent": formatPercent, "share": formatShare,
	"plot": newPlot, "isPrivate": hasPrivateOutage,
	"state": func(s burn.Series) burn.Alert { return s.Alert() },
	"burns": burnRates,
	"left":  func(s burn.Series) float64 { return s.RemainingBudget() },
	"gauge": func(f float64) float64 { return 100 * min(1, max(0, f)) },
}).ParseFS(pageFiles, "page.html"))

// HTML writes a snapshot as one page with inline plots. The page loads no other
// resource, so that it can be stored or mailed as one file.
func HTML(w io.Writer, s *burn.Snapshot) error { return page.Execute(w, s) }

func burnRates(s burn.Series) []float64 {
	out := make([]float64, len(burn.Windows))
	for i := range out {
		out[i] = s.BurnRate(i)
	}
	return out
}

// hasPrivateOutage reports whether c is in an outage that s does not show.
func hasPrivateOutage(s burn.Series, c burn.CustomerBurn) bool {
	for _, p := range s.PrivateOutages() {
		if p.Customer == c.Customer {
			return true
		}
	}
	return false
}

// Geometry of a plot in the units of its view box.
const (
	plotWidth, plotHeight = 720.0, 120.0
	// plotMinRate is the lowest burn rate drawn. The scale is logarithmic from
	// plotMinRate to plotMaxRate, because rates of interest lie between 1 and
	// 1,000.
	plotMinRate, plotMaxRate = 0.1, 1000.0
)

// Plot is the burn rate of one series over the last six hours.
type Plot struct {
	Width, Height float64
	Bars          []Bar
	// Lines mark the rates 1, SlowBurn and FastBurn.
	Lines []Line
}

// Bar is the burn rate of one step of five minutes.
type Bar struct {
	X, Y, W, H float64 // top left corner, width and height
	Class      string  // CSS class, see alertClass
	Title      string
}

// Line is a horizontal line with a label.
type Line struct {
	Y     float64
	Label string
}

func newPlot(s burn.Series) Plot {
	p := Plot{Width: plotWidth, Height: plotHeight}
	for _, r := range []float64{1, burn.SlowBurn, burn.FastBurn} {
		p.Lines = append(p.Lines, Line{Y: yOf(r), Label: strings.TrimSuffix(formatRate(r), ".0")})
	}
	n := len(s.History)
	for i, c := range s.History {
		r := burn.BurnRate(c, s.Objective)
		if c.Total == 0 || r < plotMinRate {
			continue
		}
		w := plotWidth / float64(n)
		y := yOf(r)
		p.Bars = append(p.Bars, Bar{X: float64(i) * w, Y: y, W: w - 1, H: plotHeight - y, Class: alertClass(r),
			Title: fmt.Sprintf("%d min ago: burn %s, %d of %d failed, %d slow", 5*(n-1-i), formatRate(r), c.Failed, c.Total, c.Slow)})
	}
	return p
}

// yOf returns the vertical position of a burn rate, from 0 at the top.
func yOf(r float64) float64 {
	f := math.Log(r/plotMinRate) / math.Log(plotMaxRate/plotMinRate)
	return plotHeight * (1 - min(1, max(0, f)))
}

// alertClass returns the CSS class of a bar with burn rate r.
func alertClass(r float64) string {
	switch {
	case r >= burn.FastBurn:
		return "page"
	case r >= burn.SlowBurn:
		return "ticket"
	case r >= 1:
		return "above"
	}
	return "ok"
}
