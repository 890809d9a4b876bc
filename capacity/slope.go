package capacity

import "strings"

// Point is the measured value of a cost at one size.
type Point struct {
	Size  float64 `json:"size"`
	Value float64 `json:"value"`
}

// Slope is a line fitted to the measurements of one cost at several sizes.
type Slope struct {
	Name string `json:"name"`
	// Unit is the unit of the values, and Per is the unit of the sizes.
	Unit string `json:"unit"`
	Per  string `json:"per"`
	// Counted reports that the values are counts of bytes or calls, which are
	// the same in every run. Other values are wall-clock times or heap sizes.
	Counted   bool    `json:"counted"`
	Points    []Point `json:"points"`
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
}

// Fit returns s with the least-squares line through its points. If all points
// have the same size, the line is flat.
func Fit(s Slope) Slope {
	n := float64(len(s.Points))
	var sumX, sumY, sumXX, sumXY float64
	for _, p := range s.Points {
		sumX, sumY, sumXX, sumXY = sumX+p.Size, sumY+p.Value, sumXX+p.Size*p.Size, sumXY+p.Size*p.Value
	}
	s.Slope, s.Intercept = 0, 0
	if n == 0 {
		return s
	}
	if denominator := n*sumXX - sumX*sumX; denominator > 0 {
		s.Slope = (n*sumXY - sumX*sumY) / denominator
	}
	s.Intercept = (sumY - s.Slope*sumX) / n
	return s
}

// ValueAt returns the cost at size: the measured value if that size was
// measured, otherwise the value of the line, but never less than zero.
func (s Slope) ValueAt(size float64) float64 {
	for _, p := range s.Points {
		if p.Size == size {
			return p.Value
		}
	}
	return max(0, s.Intercept+s.Slope*size)
}

// ExtrapolationTo returns the ratio of size to the largest measured size, and 1
// if size lies within the measured sizes.
func (s Slope) ExtrapolationTo(size float64) float64 {
	largest := 0.0
	for _, p := range s.Points {
		largest = max(largest, p.Size)
	}
	if largest == 0 {
		return 1
	}
	return max(1, size/largest)
}

// Host describes where the slopes were measured.
type Host struct {
	Cores int    `json:"cores"`
	Go    string `json:"go"`
}

// Measurements is the result of one measuring run.
type Measurements struct {
	Date   string  `json:"date"`
	Host   Host    `json:"machine"`
	Slopes []Slope `json:"slopes"`
}

// FindSlope returns the slope with the given name.
func (m *Measurements) FindSlope(name string) (Slope, bool) {
	for _, s := range m.Slopes {
		if s.Name == name {
			return s, true
		}
	}
	return Slope{}, false
}

// MissingSlopesError lists the slopes that a calculation needs and that the
// measurements lack.
type MissingSlopesError struct{ Names []string }

// Error implements error.
func (e *MissingSlopesError) Error() string {
	return "capacity: measurements lack the slopes " + strings.Join(e.Names, ", ")
}
