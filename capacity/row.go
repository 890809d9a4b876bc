package capacity

import (
	"fmt"
	"slices"
	"strings"
)

// Verdict says whether a row fits its limits.
type Verdict string

// The verdicts, as the page prints them.
const (
	Fits        Verdict = "fits"
	DoesNotFit  Verdict = "does not fit"
	NotBuilt    Verdict = "not built"
	NotMeasured Verdict = "not measured"
)

// Row is the cost of one role of one process.
type Row struct {
	Role string
	// Mechanism names the modules and the mechanism that carry out the role.
	Mechanism string
	// StateBytes is the encoded size of what the role must know, and
	// MemoryBytes is the memory that the process uses for it.
	StateBytes, MemoryBytes float64
	// MessageRate and ByteRate are per second, sent and received together.
	MessageRate, ByteRate float64
	// CPUShare is a share of one core.
	CPUShare float64
	// Slopes names the slopes used, and Extrapolation is the largest ratio of a
	// size to the largest size measured for its slope.
	Slopes        []string
	Extrapolation float64
	Verdict       Verdict
	// Reason explains a verdict other than Fits.
	Reason string
}

// StoreRow is the load of the whole fleet on the store in one situation.
type StoreRow struct {
	Situation string
	Mechanism string
	// WriteRate and ReadRate are calls a second, waiting watches included.
	WriteRate, ReadRate float64
	Slopes              []string
	Extrapolation       float64
	Verdict             Verdict
	Reason              string
}

// Model calculates the rows of the tables. It is not safe for concurrent use.
type Model struct {
	Fleet         Fleet
	Limits        Limits
	Assumptions   Assumptions
	measurements  *Measurements
	missingSlopes []string
	usedSlopes    []string
	extrapolation float64
}

// NewModel returns a Model of the expected fleet with the measured slopes.
func NewModel(measurements *Measurements) *Model {
	return &Model{Fleet: ExpectedFleet(), Limits: DesignLimits(), Assumptions: DefaultAssumptions(), measurements: measurements}
}

// resetRow clears the slopes used and the extrapolation before the next row.
func (m *Model) resetRow() { m.usedSlopes, m.extrapolation = nil, 1 }

// evaluate returns the cost of the named slope at size and notes the slope for
// the current row. An unknown slope is noted as missing and costs 0.
func (m *Model) evaluate(name string, size float64) float64 {
	s, ok := m.measurements.FindSlope(name)
	if !ok {
		if !slices.Contains(m.missingSlopes, name) {
			m.missingSlopes = append(m.missingSlopes, name)
		}
		return 0
	}
	if !slices.Contains(m.usedSlopes, name) {
		m.usedSlopes = append(m.usedSlopes, name)
	}
	m.extrapolation = max(m.extrapolation, s.ExtrapolationTo(size))
	return s.ValueAt(size)
}

// completeRow sets the slopes, the extrapolation and the verdict of a row. The
// row does not fit if it exceeds a limit or if a reason is given; empty reasons
// are ignored. A verdict that is already set stays.
func (m *Model) completeRow(r Row, reasons ...string) Row {
	r.Slopes, r.Extrapolation = m.usedSlopes, m.extrapolation
	if r.Verdict != "" {
		return r
	}
	if r.CPUShare > m.Limits.CPUShare {
		reasons = append(reasons, fmt.Sprintf("%.1f%% of a core exceeds %.1f%%", r.CPUShare*100, m.Limits.CPUShare*100))
	}
	if r.MemoryBytes > m.Limits.MemoryBytes {
		reasons = append(reasons, fmt.Sprintf("%s exceeds %s", FormatBytes(r.MemoryBytes), FormatBytes(m.Limits.MemoryBytes)))
	}
	if r.ByteRate > m.Limits.ByteRate {
		reasons = append(reasons, fmt.Sprintf("%s a second exceeds %s", FormatBytes(r.ByteRate), FormatBytes(m.Limits.ByteRate)))
	}
	r.Verdict, r.Reason = verdictFor(reasons)
	return r
}

// completeStoreRow does the same as completeRow for the limits of the store.
func (m *Model) completeStoreRow(r StoreRow, reasons ...string) StoreRow {
	r.Slopes, r.Extrapolation = m.usedSlopes, m.extrapolation
	if r.WriteRate > m.Limits.WriteRate {
		reasons = append(reasons, fmt.Sprintf("%.0f writes a second exceed %.0f", r.WriteRate, m.Limits.WriteRate))
	}
	if r.ReadRate > m.Limits.ReadRate {
		reasons = append(reasons, fmt.Sprintf("%.0f reads a second exceed %.0f", r.ReadRate, m.Limits.ReadRate))
	}
	r.Verdict, r.Reason = verdictFor(reasons)
	return r
}

// verdictFor returns Fits if all reasons are empty.
func verdictFor(reasons []string) (Verdict, string) {
	reasons = slices.DeleteFunc(reasons, func(s string) bool { return s == "" })
	if len(reasons) > 0 {
		return DoesNotFit, strings.Join(reasons, "; ")
	}
	return Fits, ""
}

// reasonIf returns text if the condition holds, and an empty reason otherwise.
func reasonIf(condition bool, text string) string {
	if condition {
		return text
	}
	return ""
}

// FormatBytes formats a number of bytes, with three digits from 1 KB on.
func FormatBytes(b float64) string {
	switch {
	case b >= 1e6:
		return fmt.Sprintf("%.3g MB", b/1e6)
	case b >= 1e3:
		return fmt.Sprintf("%.3g KB", b/1e3)
	default:
		return fmt.Sprintf("%.0f B", b)
	}
}
