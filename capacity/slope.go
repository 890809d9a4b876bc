package capacity

import "strings"

// Point is one measurement.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a line through measurements of one cost at several sizes.
type Slope struct {
	Name string `json:"name"`
	// Unit is that of the values and Per that of the sizes.
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Counted tells that the values are counts of bytes or calls, which are
	// the same in every run. Other values are wall-clock times or heap sizes.
	Counted   bool    `json:"counted"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
}

// Fit returns s with the least-squares line through its points. With one
// distinct size the line is flat.
func Fit(s Slope) Slope {
	n := float64(len(s.Points))
	var x, y, xx, xy float64
	for _, p := range s.Points {
		x, y, xx, xy = x+p.Size, y+p.Value, xx+p.Size*p.Size, xy+p.Size*p.Value
	}
	s.Slope, s.Intercept = 0, 0
	if n == 0 {
		return s
	}
	if d := n*xx - x*x; d > 0 {
		s.Slope = (n*xy - x*y) / d
	}
	s.Intercept = (y - s.Slope*x) / n
	return s
}

// At returns the cost at a size: the measured one if that size was measured,
// and else that of the line, but never less than zero.
func (s Slope) At(size float64) float64 {
	for _, p := range s.Points {
		if p.Size == size {
			return p.Value
		}
	}
	return max(0, s.Intercept+s.Slope*size)
}

// Factor returns how far a size lies beyond the largest that was measured; 1
// means that it was measured.
func (s Slope) Factor(size float64) float64 {
	largest := 0.0
	for _, p := range s.Points {
		largest = max(largest, p.Size)
	}
	if largest == 0 {
		return 1
	}
	return max(1, size/largest)
}

// Machine describes where slopes were measured.
type Machine struct {
	Cores int    `json:"cores"`
	Go    string `json:"go"`
}

// Record is the result of one measuring run.
type Record struct {
	Date    string  `json:"date"`
	Machine Machine `json:"machine"`
	Slopes  []Slope `json:"slopes"`
}

// Find returns the slope of a name.
func (r *Record) Find(name string) (Slope, bool) {
	for _, s := range r.Slopes {
		if s.Name == name {
			return s, true
		}
	}
	return Slope{}, false
}

// MissingError lists slopes that a calculation needs and that the record does
// not hold.
type MissingError struct{ Names []string }

// Error implements error.
func (e *MissingError) Error() string {
	return "capacity: slopes not in the record: " + strings.Join(e.Names, ", ")
}
