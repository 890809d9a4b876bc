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
var files embed.FS

var page = template.Must(template.New("page.html").Funcs(template.FuncMap{
	"clean": clean, "rate": rate, "percent": percent, "share": share,
	"plot": newPlot, "isPrivate": isPrivate,
	"state": func(s burn.Series) burn.Alert { return s.Alert() },
	"burns": burns,
	"left":  func(s burn.Series) float64 { return s.Remaining() },
	"gauge": func(f float64) float64 { return 100 * min(1, max(0, f)) },
}).ParseFS(files, "page.html"))

// HTML writes a snapshot as one page with inline plots. It loads nothing, so
// that it can be kept or mailed as a file.
func HTML(w io.Writer, s *burn.Snapshot) error { return page.Execute(w, s) }

func burns(s burn.Series) []float64 {
	out := make([]float64, len(burn.Windows))
	for i := range out {
		out[i] = s.Burn(i)
	}
	return out
}

func isPrivate(s burn.Series, c burn.CustomerBurn) bool {
	for _, p := range s.Private() {
		if p.Customer == c.Customer {
			return true
		}
	}
	return false
}

// Geometry of a plot in the units of its view box.
const (
	plotWidth, plotHeight = 720.0, 120.0
	// plotFloor is the lowest burn rate drawn. The scale is logarithmic from
	// here to plotTop, since rates of interest lie between 1 and 1,000.
	plotFloor, plotTop = 0.1, 1000.0
)

// Plot is the burn rate of one series over the last six hours.
type Plot struct {
	Width, Height float64
	Bars          []Bar
	// Lines marks the rates 1, SlowBurn and FastBurn.
	Lines []Line
}

// Bar is the burn rate of one step of five minutes.
type Bar struct {
	X, Y, W, H float64
	Class      string
	Title      string
}

// Line is a horizontal mark.
type Line struct {
	Y     float64
	Label string
}

func newPlot(s burn.Series) Plot {
	p := Plot{Width: plotWidth, Height: plotHeight}
	for _, r := range []float64{1, burn.SlowBurn, burn.FastBurn} {
		p.Lines = append(p.Lines, Line{Y: height(r), Label: strings.TrimSuffix(rate(r), ".0")})
	}
	n := len(s.History)
	for i, c := range s.History {
		r := burn.Rate(c, s.Objective)
		if c.Total == 0 || r < plotFloor {
			continue
		}
		w := plotWidth / float64(n)
		y := height(r)
		p.Bars = append(p.Bars, Bar{X: float64(i) * w, Y: y, W: w - 1, H: plotHeight - y, Class: class(r),
			Title: fmt.Sprintf("%d min ago: burn %s, %d of %d failed, %d slow", 5*(n-1-i), rate(r), c.Failed, c.Total, c.Slow)})
	}
	return p
}

// height returns the vertical position of a rate.
func height(r float64) float64 {
	f := math.Log(r/plotFloor) / math.Log(plotTop/plotFloor)
	return plotHeight * (1 - min(1, max(0, f)))
}

func class(r float64) string {
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
